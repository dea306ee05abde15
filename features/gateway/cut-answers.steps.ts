/**
 * Answers that a backend server cuts off, at connections of this process.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import {
  Exchanges,
  REQUEST_ID,
  type ConnectionEnd,
  type ExchangePath,
  type ExchangeResult,
} from './exchange.js';
import type { Answer } from './site.js';
import type { EngineFault } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface CutWorld extends GatewayWorld {
  exchanges: Exchanges;
  results: ExchangeResult[];
  sent: { id: string; path: string; answer: Answer }[];
  /** Thrown where nobody catches them. */
  errors: Error[];
}

const BODY = 'answer';
const OWN_FIELDS = [`Attempt-Id: ${REQUEST_ID}`, 'Response-Seal: seal'];
const CLOSE_FIELD = 'Connection: close';
const CHUNKED_FIELD = 'Transfer-Encoding: chunked';
const INTERIM_HEAD = 'HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n';

function renderHead(version: string, fields: readonly string[] = []): string {
  return [`${version} 200 OK`, ...OWN_FIELDS, ...fields, '', ''].join('\r\n');
}

/** Heads of answers that end with their connection. */
const UNFRAMED_HEADS: Readonly<Record<string, string>> = {
  'HTTP/1.1': renderHead('HTTP/1.1'),
  'HTTP/1.1 with "Connection: close"': renderHead('HTTP/1.1', [CLOSE_FIELD]),
  'HTTP/1.0': renderHead('HTTP/1.0'),
  'HTTP/1.1 after an interim head': `${INTERIM_HEAD}${renderHead('HTTP/1.1')}`,
};

const LARGE_BYTES = 200_000;
const LENGTH_FIELD = `Content-Length: ${2 * LARGE_BYTES}`;
const CHUNK_START = `${(2 * LARGE_BYTES).toString(16)}\r\n`;

/** Heads of answers that close their connections. */
const CLOSING_HEADS: Readonly<Record<string, string>> = {
  'without a length': renderHead('HTTP/1.1'),
  'with a length and "Connection: close"': renderHead('HTTP/1.1', [CLOSE_FIELD, LENGTH_FIELD]),
  'in chunks and with "Connection: close"': renderHead('HTTP/1.1', [CLOSE_FIELD, CHUNKED_FIELD]),
};

/** Heads of all versions and framings, with and without an interim head and `Connection: close`. */
function listHeads(): string[] {
  const framings = [[], [`Content-Length: ${BODY.length}`], [CHUNKED_FIELD]];
  const heads: string[] = [];
  for (const version of ['HTTP/1.1', 'HTTP/1.0'])
    for (const framing of framings)
      for (const closing of [[], [CLOSE_FIELD]])
        for (const interim of ['', INTERIM_HEAD])
          heads.push(`${interim}${renderHead(version, [...framing, ...closing])}`);
  return heads;
}

/** A head and, where chunks are used, the begin of one. */
function renderBegin(framing: string): string {
  const head = CLOSING_HEADS[framing];
  assert.ok(head, framing);
  return head.includes(CHUNKED_FIELD) ? `${head}${CHUNK_START}` : head;
}

After(async function (this: Partial<CutWorld>) {
  await this.exchanges?.close();
});

Given('a backend server that sends given bytes', async function (this: CutWorld) {
  this.exchanges = new Exchanges();
  this.results = [];
  await this.exchanges.open();
});

When(
  /^it sends an answer without a length in (.+) and ends the connection by (close|reset), (direct|relayed)$/,
  async function (this: CutWorld, form: string, end: ConnectionEnd, path: ExchangePath) {
    const head = UNFRAMED_HEADS[form];
    assert.ok(head, form);
    this.results = [];
    for (const body of ['', BODY.slice(0, 1), BODY])
      this.results.push(await this.exchanges.run({ bytes: `${head}${body}`, end }, path));
  },
);

Then(
  /^(none|each) of the answers is taken for whole$/,
  function (this: CutWorld, which: 'none' | 'each') {
    assert.ok(this.results.length > 0);
    for (const result of this.results)
      assert.equal(result.isWhole, which === 'each', JSON.stringify(result));
  },
);

Given('callers that read nothing for {int} ms', function (this: CutWorld, ms: number) {
  this.exchanges.pauseMs = ms;
});

When(
  /^it sends a part of an answer (.+) and ends the connection in each way$/,
  async function (this: CutWorld, framing: string) {
    const begin = renderBegin(framing);
    for (const path of ['direct', 'relayed'] as const)
      for (const end of ['close', 'reset'] as const)
        for (const endAfterMs of [undefined, 20])
          for (const bytes of [1, LARGE_BYTES / 10, LARGE_BYTES]) {
            const answer = {
              bytes: `${begin}${'a'.repeat(bytes)}`,
              end,
              ...(endAfterMs && { endAfterMs }),
            };
            const result = await this.exchanges.run(answer, path);
            const mayBeWhole = framing === 'without a length' && end === 'close';
            this.results.push(result);
            assert.equal(result.isWhole, mayBeWhole, `${path} ${end} ${bytes}`);
            if (mayBeWhole) assert.equal(result.body.length, bytes);
          }
  },
);

Then(
  'none of the answers is taken for whole but those without a length that end by close',
  function (this: CutWorld) {
    for (const { isWhole, failure } of this.results) assert.ok(isWhole || failure);
  },
);

When(
  /^callers leave while the rest of an answer (.+) is not read$/,
  async function (this: CutWorld, framing: string) {
    const begin = renderBegin(framing);
    this.errors = [];
    const record = (error: Error): void => {
      this.errors.push(error);
    };
    process.on('uncaughtExceptionMonitor', record);
    for (const end of ['close', 'reset'] as const)
      await this.exchanges.giveUp({ bytes: `${begin}${'a'.repeat(LARGE_BYTES)}`, end });
    process.off('uncaughtExceptionMonitor', record);
  },
);

Then('nothing has failed', function (this: CutWorld) {
  assert.deepEqual(this.errors, []);
});

When(
  /^it ends the connection at each byte of each form of head by (close|reset), (direct|relayed)$/,
  async function (this: CutWorld, end: ConnectionEnd, path: ExchangePath) {
    for (const head of listHeads())
      for (let bytes = 0; bytes < head.length; bytes += 1)
        this.results.push(await this.exchanges.run({ bytes: head.slice(0, bytes), end }, path));
  },
);

const REQUESTS_OF_A_KIND = 6;
const STREAM_EVENTS = 10;
const PATHS = ['/list/x', '/check/x', '/chat/x'] as const;

/** Cuts heads at different bytes, one after the other. */
function createCut(framing: string, end: ConnectionEnd): EngineFault {
  let count = 0;
  const render = (id: string): string => {
    const head = CLOSING_HEADS[framing]?.replace(REQUEST_ID, id) ?? '';
    count += 1;
    return head.slice(0, -((count * 17) % (head.length - 1)) - 1);
  };
  return { kind: 'cut', render, end };
}

async function sendAll(
  { site, gateway }: CutWorld,
  paths: readonly string[],
): Promise<{ id: string; path: string; answer: Answer }[]> {
  const requests = paths.flatMap((path) => Array.from({ length: REQUESTS_OF_A_KIND }, () => path));
  return Promise.all(
    requests.map(async (path) => {
      const id = site.nextId();
      const answer = await site.request(gateway, { path, method: 'POST', body: '{}' });
      return { id, path, answer };
    }),
  );
}

function isSound(id: string, path: string, { body }: Answer): boolean {
  const events = Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1);
  const stream = events.map((event) => `id: ${event}\ndata: token ${event}\n\n`).join('');
  return body === (path === '/chat/x' ? stream : `answer to ${id}`);
}

Given('{int} plain servers', async function (this: CutWorld, servers: number) {
  for (let index = 0; index < servers; index += 1)
    await this.site.addServer({ id: `plain-${index}`, service: 'app' });
  await waitFor('the servers to be known', () => {
    const known = this.gateway.lines.filter(
      ({ name, service }) => name === 'serverAppeared' && service === 'app',
    );
    return known.length >= servers;
  });
});

When(
  /^lookups, calls and streams come while one server of each kind cuts heads (.+) by (close|reset)$/,
  async function (this: CutWorld, framing: string, end: ConnectionEnd) {
    const [engine] = this.site.listOpen();
    const plain = this.site.servers.find(({ options }) => options.service === 'app');
    assert.ok(engine && plain);
    for (const server of [engine, plain]) server.fault = createCut(framing, end);
    this.sent = await sendAll(this, PATHS);
  },
);

When(
  /^streams come of which the first run breaks off and the second one's head is cut (.+) by (close|reset)$/,
  async function (this: CutWorld, framing: string, end: ConnectionEnd) {
    const [first, second] = this.site.listOpen();
    assert.ok(first && second);
    first.fault = { kind: 'cutStream', events: 3 };
    second.fault = createCut(framing, end);
    this.sent = await sendAll(this, ['/chat/x']);
  },
);

Then(
  'each answer with status 200 is whole and as its server has made it',
  function (this: CutWorld) {
    for (const { id, path, answer } of this.sent)
      if (answer.status === 200)
        assert.ok(answer.whole && isSound(id, path, answer), JSON.stringify(answer));
  },
);

Then('each lookup and stream has been answered', function (this: CutWorld) {
  for (const { path, answer } of this.sent)
    if (path !== '/check/x') assert.equal(answer.status, 200, `${path} ${answer.body}`);
});

Then(
  'each answer with status 200 that looks whole is as its server has made it',
  function (this: CutWorld) {
    for (const { id, path, answer } of this.sent)
      if (answer.status === 200 && answer.whole)
        assert.ok(isSound(id, path, answer), JSON.stringify(answer));
  },
);
