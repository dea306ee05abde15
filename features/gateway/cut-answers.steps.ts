/**
 * Answers that a backend server cuts off, at connections of this process.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  Exchanges,
  REQUEST_ID,
  type ConnectionEnd,
  type ExchangePath,
  type ExchangeResult,
} from './exchange.js';

interface CutWorld {
  exchanges: Exchanges;
  results: ExchangeResult[];
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

/** The begin of answers that close their connections. */
const CLOSING_ANSWERS: Readonly<Record<string, string>> = {
  'without a length': renderHead('HTTP/1.1'),
  'with a length and "Connection: close"': renderHead('HTTP/1.1', [CLOSE_FIELD, LENGTH_FIELD]),
  'in chunks and with "Connection: close"': `${renderHead('HTTP/1.1', [CLOSE_FIELD, CHUNKED_FIELD])}${CHUNK_START}`,
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
    const begin = CLOSING_ANSWERS[framing];
    assert.ok(begin, framing);
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
    const begin = CLOSING_ANSWERS[framing];
    assert.ok(begin, framing);
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
