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
}

const BODY = 'answer';
const OWN_FIELDS = [`Attempt-Id: ${REQUEST_ID}`, 'Response-Seal: seal'];
const CLOSE_FIELD = 'Connection: close';
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
