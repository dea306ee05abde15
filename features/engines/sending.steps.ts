import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { createEngineClient } from '../../src/adapters/engines/index.js';
import { waitFor } from '../support/waiting.js';
import {
  openLab,
  REPLICA,
  requestFor,
  startRawServer,
  takeDeadAddress,
  type EngineWorld,
} from './lab.js';
import { checkChunkSequence, checkScheduler } from './properties.js';

interface SendingWorld extends EngineWorld {
  engineAddress: string;
  requestsSeen: number;
  lastSocket?: Socket;
  orderEnd?: string;
}

const REFUSAL = JSON.stringify({ refusal: 'notReady', reason: 'not leading a whole replica' });

const SERVERS: Readonly<Record<string, (seen: number) => string | undefined>> = {
  'a server that closes as soon as the request arrives': () => undefined,
  'a server that answers 503 without a refusal': () => answer('503 Unavailable', 'busy'),
  'a server that answers with what is not a stream': () => answer('200 OK', '{}'),
  'a server that refuses with notReady': () => answer('503 Unavailable', REFUSAL),
  'a server that refuses the first request and closes at the second': (seen) =>
    seen === 1 ? answer('503 Unavailable', REFUSAL) : undefined,
};

Given(
  /^an engine address with (nobody listening|a server that .*)$/,
  async function (this: SendingWorld, what: string) {
    const lab = openLab(this);
    this.requestsSeen = 0;
    if (what === 'nobody listening') {
      this.engineAddress = await takeDeadAddress(lab);
      return;
    }
    this.engineAddress = await startRawServer(lab, (socket, data) => {
      this.lastSocket = socket;
      if (!data.startsWith('POST')) return;
      this.requestsSeen += 1;
      if (what === 'a server that never answers') return;
      const reply = SERVERS[what]?.(this.requestsSeen);
      if (reply === undefined) socket.destroy();
      else socket.write(reply);
    });
  },
);

Given('an engine client with 1 stream to each engine', async function (this: SendingWorld) {
  await this.engineLab.client.close();
  this.engineLab.client = createEngineClient({ streamsPerEngine: 1 });
});

When('a completion is sent to that engine address', async function (this: SendingWorld) {
  await send(this, new AbortController().signal);
});

When(
  'a completion is sent to that engine address and left open',
  async function (this: SendingWorld) {
    void send(this, new AbortController().signal);
    await waitFor('the request at the server', () => this.requestsSeen === 1);
  },
);

When('a second completion is sent and cancelled', async function (this: SendingWorld) {
  const abort = new AbortController();
  const sent = send(this, abort.signal);
  abort.abort();
  await sent;
});

When(
  'an order with a timeout of {int} ms is sent to that engine address',
  async function (this: SendingWorld, timeoutMs: number) {
    const order = { kind: 'release', fence: 1, replica: REPLICA } as const;
    const sent = this.engineLab.client.order(this.engineAddress, order, timeoutMs);
    const socket = await waitFor('the order at the server', () => this.lastSocket);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    const result = await sent;
    this.engineLab.outcome = result.isErr() ? result.error.kind : 'answered';
    await closed;
    this.orderEnd = socket.errored?.message ?? 'closed in good order';
  },
);

Then('the engine client says {word}', function (this: SendingWorld, outcome: string) {
  assert.equal(this.engineLab.start?.kind, outcome);
});

Then('the server has seen {int} request', function (this: SendingWorld, requests: number) {
  assert.equal(this.requestsSeen, requests);
});

Then('the order fails as unreachable and its connection was reset', function (this: SendingWorld) {
  assert.equal(this.engineLab.outcome, 'unreachable');
  assert.match(this.orderEnd ?? '', /ECONNRESET/);
});

Then(
  'the chunk sequence passes only right chunks in {int} streams of repeated, lost and foreign ones',
  checkChunkSequence,
);

Then("the engine's scheduler keeps its bounds in {int} random runs", checkScheduler);

async function send(world: SendingWorld, signal: AbortSignal): Promise<void> {
  const { client } = world.engineLab;
  world.engineLab.start = await client.complete(world.engineAddress, requestFor('a'), signal);
}

function answer(status: string, body: string): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${body}`;
}
