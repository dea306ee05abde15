import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Result } from 'neverthrow';
import { createEngineClient } from '../../src/adapters/engines/index.js';
import { createPeerClient } from '../../src/adapters/peers/index.js';
import { createServices } from '../../src/adapters/services/index.js';
import { createPeerClient as createGatewayPeerClient } from '../../src/gateway/peers/rpc.js';
import { createPlatformClient } from '../../src/adapters/platform/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { streamMixtures } from './mixtures.js';
import {
  respond,
  startHostileServer,
  type HostileAnswer,
  type HostileServer,
} from './raw-server.js';

interface ClientsWorld {
  server?: HostileServer;
  outcome: 'failed' | 'succeeded';
  tookMs: number;
  mixtures: readonly string[];
}

const TIMEOUT_MS = 700;
const NOISE = 'þ\u0000\u0007}{"'.repeat(40);
const OTHER_SCHEMA = JSON.stringify({ objects: 7, instance: ['x'], result: { data: { a: 1 } } });
const BOMB_BYTES = 60_000_000;
const ORDER = { kind: 'release', replica: 'r-1', fence: 1 } as const;
const MESSAGE = { digests: [], summaries: [] };
const REQUEST = {
  attempt: 'a-1',
  model: 'm',
  replica: 'r-1',
  fence: 1,
  messages: [{ role: 'user' as const, content: 'hi' }],
  maxTokens: 5,
  priority: 1,
  seed: 1,
  resumeFrom: 0,
};

const SERVICE_REQUEST = {
  method: 'GET',
  path: '/',
  headers: [],
  body: undefined,
  repeatable: true,
  timeoutMs: TIMEOUT_MS,
};

const ANSWERS: Readonly<Record<string, () => HostileAnswer>> = {
  'noise instead of HTTP': () => ({ parts: [NOISE], then: 'hang' }),
  'noise for JSON': () => respond(NOISE),
  'another schema': () => respond(OTHER_SCHEMA),
  'the status 000': () => respondWith('000'),
  'the status 099': () => respondWith('099'),
  'the status 600': () => respondWith('600'),
  'the status 999': () => respondWith('999'),
  'a body without end': () => ({ parts: startBody('application/json'), then: 'flood' }),
  'an event stream without end': () => ({
    parts: [...startBody('text/event-stream'), 'data: '],
    then: 'flood',
  }),
  'headers without end': () => ({ parts: ['HTTP/1.1 200 OK\r\nX-Long: '], then: 'flood' }),
  'interim responses without end': () => ({
    parts: [],
    then: 'flood',
    repeat: 'HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n',
  }),
  'blank lines without end': () => ({ parts: [], then: 'flood', repeat: '\r\n' }),
  'a reason phrase without end': () => ({ parts: ['HTTP/1.1 200 '], then: 'flood' }),
  'header fields without end': () => ({
    parts: ['HTTP/1.1 200 OK\r\n'],
    then: 'flood',
    repeat: 'X-A: b\r\n',
  }),
  'trailers without end': () => ({
    parts: [startChunks('text/event-stream'), '1\r\nb\r\n0\r\n'],
    then: 'flood',
    repeat: 'X-A: b\r\n',
  }),
  'chunks of one byte without end': () => ({
    parts: [startChunks('application/json')],
    then: 'flood',
    repeat: '1\r\nb\r\n',
  }),
  'data lines without end': () => ({
    parts: startBody('text/event-stream'),
    then: 'flood',
    repeat: 'data: b\n',
  }),
  'comments without end': () => ({
    parts: startBody('text/event-stream'),
    then: 'flood',
    repeat: ': c\n\n',
  }),
  silence: () => ({ parts: [], then: 'hang' }),
  'a message that inflates without end': () => {
    const bomb = deflateRawSync('['.repeat(BOMB_BYTES)).toString('base64url');
    return respond(JSON.stringify({ result: { data: bomb } }));
  },
};

/** An answer that would be good but for its status. */
function respondWith(status: string): HostileAnswer {
  const body = JSON.stringify({ result: { data: {} } });
  const length = `Content-Length: ${body.length}`;
  const head = `HTTP/1.1 ${status} Odd\r\nContent-Type: application/json\r\n${length}\r\n\r\n`;
  return { parts: [head, body], then: 'hang' };
}

function startBody(type: string): readonly string[] {
  return [`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nConnection: close\r\n\r\n`];
}

function startChunks(type: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

type Ask = (address: string) => Promise<'failed' | 'succeeded'>;

const judge = (result: Result<unknown, unknown>) => (result.isErr() ? 'failed' : 'succeeded');

const CLIENTS: Readonly<Record<string, Ask>> = {
  "engine's health": (at) =>
    withEngines(async (client) => judge(await client.health(at, TIMEOUT_MS))),
  "engine's order": (at) =>
    withEngines(async (client) => judge(await client.order(at, ORDER, TIMEOUT_MS))),
  "engine's events": (at) => withEngines(async (client) => judge(await client.cacheEvents(at, 0))),
  "engine's stream": (at) => withEngines((client) => readStream(client, at)),
  "peer's exchange": async (at) => {
    const client = createPeerClient({ timeoutMs: TIMEOUT_MS });
    const result = await client.exchange(at, MESSAGE);
    await client.close();
    return judge(result);
  },
  "gateway's question": async (at) => {
    const client = createGatewayPeerClient();
    const outcome = await client.askFreshness(at).then(
      () => 'succeeded' as const,
      () => 'failed' as const,
    );
    await client.close();
    return outcome;
  },
  "service's answer": async (at) => {
    const services = createServices();
    const { signal } = new AbortController();
    const start = await services.call(at, SERVICE_REQUEST, signal);
    await services.close();
    return start.kind === 'lost' ? 'failed' : 'succeeded';
  },
  "platform's read": (at) =>
    withPlatform(at, async (client) => judge(await client.read('model', 'm'))),
  "platform's list": (at) => withPlatform(at, async (client) => judge(await client.list('model'))),
  "platform's watch": (at) =>
    withPlatform(at, async (client) => judge(await client.watch(['model'], 0, 100))),
  "platform's write": (at) =>
    withPlatform(at, async (client) =>
      judge(await client.write({ kind: 'model', name: 'm', expected: 0, nonce: 'n', value: {} })),
    ),
};

type EngineClient = ReturnType<typeof createEngineClient>;
type PlatformClient = ReturnType<typeof createPlatformClient>;

async function withEngines<Value>(ask: (client: EngineClient) => Promise<Value>): Promise<Value> {
  const client = createEngineClient({
    answerTimeoutMs: TIMEOUT_MS,
    silenceTimeoutMs: TIMEOUT_MS,
    callTimeoutMs: TIMEOUT_MS,
  });
  const value = await ask(client);
  await client.close();
  return value;
}

async function withPlatform<Value>(
  address: string,
  ask: (client: PlatformClient) => Promise<Value>,
): Promise<Value> {
  const options = { address, timeoutMs: TIMEOUT_MS, random: createRandom(1), logger: silentLogger };
  const client = createPlatformClient(options);
  const value = await ask(client);
  await client.close();
  return value;
}

async function readStream(client: EngineClient, at: string): Promise<'failed' | 'succeeded'> {
  const start = await client.complete(at, REQUEST, new AbortController().signal);
  if (start.kind !== 'started') return 'failed';
  let last = '';
  for await (const chunk of start.chunks) last = chunk.kind;
  return last === 'error' ? 'failed' : 'succeeded';
}

After(function (this: Partial<ClientsWorld>) {
  this.server?.stop();
});

Given(
  /^a hostile server that answers with (.+)$/,
  async function (this: ClientsWorld, name: string) {
    this.server = await startHostileServer();
    const answer = ANSWERS[name];
    assert.ok(answer, name);
    this.server.answer = answer();
  },
);

When(
  /^the ((?:engine|peer|platform|gateway|service)'s [a-z]+) asks it$/,
  async function (this: ClientsWorld, name: string) {
    const ask = CLIENTS[name];
    assert.ok(ask, name);
    const startedAt = performance.now();
    this.outcome = await ask(this.server?.address ?? '');
    this.tookMs = performance.now() - startedAt;
  },
);

Then(
  'the hostile answer ends in a failure within {int} ms',
  function (this: ClientsWorld, boundMs: number) {
    assert.equal(this.outcome, 'failed');
    assert.ok(this.tookMs <= boundMs, `${this.tookMs} ms`);
  },
);

Then(
  'at most {int} million bytes of the hostile answer were taken',
  function (this: ClientsWorld, millions: number) {
    const sent = this.server?.sentBytes() ?? 0;
    assert.ok(sent <= millions * 1e6, `${sent} bytes`);
  },
);

When(
  'an engine streams {int} random mixtures of chunks, noise and cuts',
  async function (this: ClientsWorld, count: number) {
    this.server = await startHostileServer();
    this.mixtures = await streamMixtures(this.server, count);
  },
);

Then(
  'each stream was passed on as tokens in order and one last end or error',
  function (this: ClientsWorld) {
    // Each was checked when it was read; both ways to end must have been met.
    assert.ok(
      this.mixtures.some((kinds) => kinds.endsWith('end')),
      'a whole stream',
    );
    assert.ok(
      this.mixtures.some((kinds) => kinds.endsWith('error')),
      'a broken stream',
    );
  },
);
