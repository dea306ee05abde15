/**
 * Steps for callers that do not read their responses.
 *
 * Entry, backend server and callers share this process, so a busy machine can't be mistaken for
 * transfers that have stopped.
 */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import { BLOCKED_BYTES, BUFFERS } from '../support/entry-buffers.js';
import { waitFor } from '../support/waiting.js';
import {
  RESPONSE_BYTES,
  RESPONSE_TOKENS,
  startLargeResponseBackend,
  type LargeResponseBackend,
} from './large-response-backend.js';
import { KEY, MODEL } from './fixture.js';
import type { RequestWorld } from './requests.steps.js';

type ResponseKind = keyof typeof BUFFERS;

interface UnreadWorld extends RequestWorld, World {
  largeResponseBackend?: LargeResponseBackend;
  blockedSockets: Socket[];
  /** Peak of the bytes held by the entry, for each group of callers. */
  peaks: number[];
}

const POLL_INTERVAL_MS = 10;
/** Consecutive polls without a change after which all transfers count as stopped. */
const IDLE_POLLS = 30;
/** Generous timeout for steps that transfer 200 megabytes; not an assertion on speed. */
const STEP_TIMEOUT_MS = 60_000;
/** Deadline of the callers' requests; outlasts all steps. */
const DEADLINE_MS = 3 * STEP_TIMEOUT_MS;

After(async function (this: Partial<UnreadWorld>) {
  for (const socket of this.blockedSockets ?? []) socket.destroy();
  await this.largeResponseBackend?.stop();
});

Given(
  'its backend servers send {int} megabytes in each answer',
  async function (this: UnreadWorld, megabytes: number) {
    assert.equal(RESPONSE_BYTES, megabytes * 1_000_000);
    const [engine] = this.entry.engines;
    assert.ok(engine);
    const { address } = (this.largeResponseBackend = await startLargeResponseBackend(
      engine.address,
    ));
    this.entry.writeFleet([
      { instance: engine.instance, address },
      { instance: 'gate-1', address },
    ]);
    this.blockedSockets = [];
    this.peaks = [];
  },
);

When(
  /^(\d+) callers ask for (streams|downloads) and read nothing, until nothing moves any more$/,
  { timeout: STEP_TIMEOUT_MS },
  async function (this: UnreadWorld, callers: string, kind: ResponseKind) {
    for (let count = 0; count < Number(callers); count += 1) {
      this.blockedSockets.push(sendWithoutReading(this.entry.address, kind));
    }
    this.peaks.push(await measurePeakUntilIdle(this));
  },
);

Then(
  /^each of the (\d+) callers of (streams|downloads) is held up, and the entry held no more than their buffers$/,
  function (this: UnreadWorld, callers: string, kind: ResponseKind) {
    const heldBytes = this.peaks.at(-1) ?? 0;
    const bound = Number(callers) * BUFFERS[kind];
    this.log(`${callers} ${kind}: held at most ${heldBytes} bytes, bound ${bound}`);
    assert.equal(this.blockedSockets.length, Number(callers));
    assert.ok(heldBytes <= bound, `${heldBytes} bytes, more than ${bound}`);
    assert.ok(
      this.entry.unread.total() >= this.blockedSockets.length * BLOCKED_BYTES,
      'not all callers are blocked',
    );
  },
);

Then(
  /^the (\d+) callers that came later cost no more than the buffers of \d+ (streams|downloads)$/,
  function (this: UnreadWorld, callers: string, kind: ResponseKind) {
    const [first = 0, last = Infinity] = this.peaks;
    const bound = Number(callers) * BUFFERS[kind];
    assert.ok(last - first <= bound, `${last - first} bytes more, over ${bound}`);
  },
);

When('the callers read on', function (this: UnreadWorld) {
  for (const socket of this.blockedSockets) socket.resume();
});

Then('each has the whole answer, and the entry holds nothing', async function (this: UnreadWorld) {
  await Promise.all(
    this.blockedSockets.map((socket) =>
      waitFor('the end of an answer', () => socket.readableEnded, STEP_TIMEOUT_MS),
    ),
  );
  for (const { bytesRead } of this.blockedSockets) {
    assert.ok(bytesRead > RESPONSE_BYTES, `${bytesRead} bytes`);
  }
  await waitFor('the entry to hold nothing', () => this.entry.unread.total() === 0);
});

/** Resolves with the peak of bytes held by the entry, once all transfers have stopped. */
async function measurePeakUntilIdle({
  largeResponseBackend,
  entry,
  blockedSockets,
}: UnreadWorld): Promise<number> {
  assert.ok(largeResponseBackend);
  await waitFor(
    'all answers to begin',
    () => largeResponseBackend.startedResponses() === blockedSockets.length,
  );
  let peak = 0;
  let previousState = '';
  for (let idlePolls = 0; idlePolls < IDLE_POLLS;) {
    const heldBytes = entry.unread.total();
    const currentState = `${heldBytes} ${largeResponseBackend.writtenBytes()}`;
    peak = Math.max(peak, heldBytes);
    idlePolls = currentState === previousState ? idlePolls + 1 : 0;
    previousState = currentState;
    await sleep(POLL_INTERVAL_MS);
  }
  return peak;
}

function sendWithoutReading(address: string, kind: ResponseKind): Socket {
  const [host, port] = address.split(':');
  const options = { model: MODEL, stream: true, max_tokens: RESPONSE_TOKENS };
  const messages = [{ role: 'user', content: 'what is new?' }];
  const body = kind === 'streams' ? JSON.stringify({ ...options, messages }) : '';
  const head = [
    kind === 'streams' ? 'POST /v1/chat/completions HTTP/1.1' : 'GET /services/gate/ample HTTP/1.1',
    `Host: ${address}`,
    `Authorization: Bearer ${KEY}`,
    `X-Request-Deadline-Ms: ${DEADLINE_MS}`,
    `Content-Length: ${body.length}`,
    'Connection: close',
  ];
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  return socket;
}
