/**
 * Answers with statuses that no server may send.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { platform } from '../../platform/index.js';
import { createEngineCalls } from '../../src/gateway/backends/engine-calls.js';
import { Exchanges, REQUEST_ID, type ExchangePath, type ExchangeResult } from './exchange.js';
import { send } from './lost-links.steps.js';
import type { RelayWorld } from './relay.steps.js';

interface StatusWorld extends RelayWorld {
  exchanges: Exchanges;
  results: ExchangeResult[];
  callServer: Server;
  askedStatus: string;
}

const BODY = 'answer';
const FRAMINGS: Readonly<Record<string, { field?: string; body: string }>> = {
  'with a length': { field: `Content-Length: ${BODY.length}`, body: BODY },
  'in chunks': {
    field: 'Transfer-Encoding: chunked',
    body: `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  },
  'until it closes': { body: BODY },
  'with a length of zero': { field: 'Content-Length: 0', body: '' },
};
const PATHS = ['/list/x', '/check/x', '/chat/x'];
const MIN_STATUS = 100;
const MAX_STATUS = 599;
const HIGHEST_STATUS = 999;

function renderAnswer(status: string, framing: string, id: string): string {
  const chosen = FRAMINGS[framing];
  assert.ok(chosen, framing);
  const { field, body } = chosen;
  const fields = [`Attempt-Id: ${id}`, 'Response-Seal: seal', ...(field ? [field] : [])];
  return [`HTTP/1.1 ${status} Odd`, ...fields, '', body].join('\r\n');
}

function listOddStatuses(): string[] {
  return Array.from({ length: HIGHEST_STATUS + 1 }, (_, status) => status)
    .filter((status) => status < MIN_STATUS || status > MAX_STATUS)
    .map((status) => String(status).padStart(3, '0'));
}

After(function (this: Partial<StatusWorld>) {
  this.callServer?.close();
});

When(
  /^it sends each status that no server may send (.+), (direct|relayed)$/,
  { timeout: 60_000 },
  async function (this: StatusWorld, framing: string, path: ExchangePath) {
    for (const status of listOddStatuses()) {
      const bytes = renderAnswer(status, framing, REQUEST_ID);
      this.results.push(await this.exchanges.run({ bytes, end: 'close' }, path));
    }
  },
);

Then('each of these answers has failed as one of unknown outcome', function (this: StatusWorld) {
  assert.equal(this.results.length, listOddStatuses().length);
  const others = this.results.filter(
    ({ isWhole, failure }) => isWhole || failure?.kind !== 'broken',
  );
  assert.deepEqual(others, []);
});

When(
  /^lookups, calls and streams come while all servers answer with status (\d{3}) in each framing$/,
  async function (this: StatusWorld, status: string) {
    this.askedStatus = status;
    const [gateway] = this.site.gateways;
    assert.ok(gateway);
    this.attempts = [];
    for (const framing of Object.keys(FRAMINGS)) {
      for (const server of this.site.servers) {
        const render = (id: string): string => renderAnswer(status, framing, id);
        server.fault = { kind: 'cut', render, end: 'close' };
      }
      await Promise.all(PATHS.map((path) => send(this, gateway, path)));
    }
  },
);

Then(
  "no caller got that status, and each call's outcome was unknown",
  function (this: StatusWorld) {
    const got = this.attempts.map(({ path, answer }) => `${path} ${answer?.status ?? 'none'}`);
    assert.equal(got.length, PATHS.length * Object.keys(FRAMINGS).length);
    const statuses = this.attempts.map(({ answer }) => answer?.status ?? 0);
    assert.ok(!statuses.includes(Number(this.askedStatus)), got.join());
    const calls = got.filter((each) => each.startsWith('/check/'));
    assert.deepEqual(new Set(calls), new Set(['/check/x 502']), got.join());
  },
);

Given(
  /^an engine that answers calls with status (\d{3})$/,
  async function (this: StatusWorld, status: string) {
    this.callServer = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => socket.end(renderAnswer(status, 'with a length', REQUEST_ID)));
    });
    this.callServer.listen(0, '127.0.0.1');
    await once(this.callServer, 'listening');
  },
);

Then(
  'the outcome of an order to it is unknown, and a report of it is none',
  async function (this: StatusWorld) {
    const address = `127.0.0.1:${(this.callServer.address() as AddressInfo).port}`;
    const engine = { id: 'engine-0', address, startedAt: 1 } as never;
    const calls = createEngineCalls({
      codec: platform.orders,
      onProbe: () => undefined,
      availability: { record: () => undefined, cooldownLeftMs: () => 0 } as never,
      links: { probeFromAll: () => Promise.resolve({ kind: 'silent' }) },
    });
    const outcome = await calls.order({ to: engine, order: { kind: 'stage', model: 'small' } });
    const probe = await calls.probe(engine, 'here');
    await calls.close();
    assert.deepEqual([outcome.kind, probe.kind], ['unknown', 'silent']);
  },
);
