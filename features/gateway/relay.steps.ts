/**
 * Requests that one gateway relays for another one, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { encodeRelayOrder } from '../../src/gateway/relay/relay-messages.js';
import { send, wholeStream, type LinkWorld } from './lost-links.steps.js';
import type { GatewayProcess } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { EngineFault } from './stand-ins/engine.js';

export interface RelayWorld extends LinkWorld {
  refusals: { status: number; headers: IncomingMessage['headers'] }[];
}

const FAULTS: Readonly<Record<string, EngineFault>> = {
  'lose their answers': { kind: 'loseAnswer' },
  refuse: { kind: 'refuse' },
  fail: { kind: 'fail' },
  'send answers of another request': { kind: 'foreignAnswer' },
  'reset answers without a length': { kind: 'resetUnframed' },
  'answer without a length': { kind: 'unframed' },
};
const LONG_STREAM_GAP_MS = 100;
/** Between two requests of a series. */
const PAUSE_MS = 10;

export async function cutOff(world: RelayWorld, count: number): Promise<void> {
  world.cutGateways = world.site.gateways.slice(0, count);
  await world.site.cut(count, 'reset');
  await waitFor('the links to be found lost', async () => {
    for (const gateway of world.cutGateways)
      for (const path of ['/list/x', '/chat/x']) await send(world, gateway, path);
    return world.cutGateways.every(
      ({ lines }) => lines.filter(({ name }) => name === 'serviceCutOff').length >= 2,
    );
  });
  world.attempts = [];
}

function firstGateway({ site }: RelayWorld): GatewayProcess {
  const [first] = site.gateways;
  assert.ok(first);
  return first;
}

async function sendSeries(world: RelayWorld, paths: readonly string[]): Promise<void> {
  const pending: Promise<void>[] = [];
  for (const path of paths) {
    pending.push(send(world, firstGateway(world), path));
    await sleep(PAUSE_MS);
  }
  await Promise.all(pending);
}

Given('the first gateway has lost all links', async function (this: RelayWorld) {
  await cutOff(this, 1);
});

Given('both gateways have lost all links', async function (this: RelayWorld) {
  await cutOff(this, 2);
});

When(
  /^the plain servers (.+) and (\d+) calls and (\d+) lookups come to the first gateway$/,
  async function (this: RelayWorld, fault: string, calls: string, lookups: string) {
    const spoiled = FAULTS[fault];
    assert.ok(spoiled);
    for (const server of this.site.servers)
      if (server.options.domain === undefined) server.fault = spoiled;
    const paths = [
      ...Array.from({ length: Number(calls) }, () => '/check/x'),
      ...Array.from({ length: Number(lookups) }, () => '/list/x'),
    ];
    await sendSeries(this, paths);
  },
);

When(
  'the engines cut streams after {int} events and {int} streams come to the first gateway',
  async function (this: RelayWorld, events: number, streams: number) {
    const [engine] = this.site.listOpen();
    assert.ok(engine);
    engine.fault = { kind: 'cutStream', events };
    await sendSeries(
      this,
      Array.from({ length: streams }, () => '/chat/x'),
    );
    engine.fault = { kind: 'none' };
  },
);

When(
  /^(\d+) streams come to the first gateway while the second gateway is (killed|stopped)$/,
  async function (this: RelayWorld, streams: string, end: string) {
    const [, second] = this.site.gateways;
    const paths = Array.from({ length: Number(streams) }, () => '/chat/x');
    const sent = sendSeries(this, paths);
    await sleep((paths.length / 2) * PAUSE_MS);
    second?.signal(end === 'killed' ? 'SIGKILL' : 'SIGTERM');
    await sent;
  },
);

When(
  '{int} callers of long streams at the first gateway leave after {int} ms',
  async function (this: RelayWorld, callers: number, ms: number) {
    for (const { options } of this.site.servers) options.gapMs = LONG_STREAM_GAP_MS;
    const [host, port] = firstGateway(this).callers.split(':');
    const outgoing = Array.from({ length: callers }, () => {
      const headers = exampleHeaders(this.site.nextId());
      const one = httpRequest({ host, port, method: 'POST', path: '/chat/x', headers });
      one.on('error', () => undefined);
      one.end();
      return one;
    });
    await sleep(ms);
    assert.ok(this.site.servers.some(({ runningStreams }) => runningStreams > 0));
    for (const one of outgoing) one.destroy();
  },
);

async function askToRelay(world: RelayWorld, relayHeader: readonly string[]): Promise<void> {
  const [host, port] = world.site.peerAddresses.at(-1)?.split(':') ?? [];
  const own = Object.entries(exampleHeaders(world.site.nextId())).flat();
  const headers = [...relayHeader, ...own];
  const outgoing = httpRequest({ host, port, method: 'GET', path: '/list/x', headers });
  outgoing.end();
  const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
  incoming.resume();
  world.refusals.push({ status: incoming.statusCode ?? 0, headers: incoming.headers });
}

When(
  'requests with odd or invalid relay headers come to the port for peers',
  async function (this: RelayWorld) {
    this.refusals = [];
    const valid = { server: 'plain-0', requestId: 'x', requiresNewConnection: false };
    const invalid: unknown[] = [
      {},
      'plain-0',
      { ...valid, server: 'nobody' },
      { ...valid, server: '' },
      { ...valid, server: 'x'.repeat(10_000) },
      { ...valid, address: '127.0.0.1:1' },
      { ...valid, requiresNewConnection: 'yes' },
    ];
    const texts = [
      '%',
      '%ff',
      '{',
      ...invalid.map((value) => encodeURIComponent(JSON.stringify(value))),
    ];
    for (const text of texts) await askToRelay(this, ['yuccasail-relay', text]);
  },
);

When('a valid request to relay comes to the port for peers', async function (this: RelayWorld) {
  this.refusals = [];
  await askToRelay(
    this,
    encodeRelayOrder({
      server: 'plain-0',
      requestId: this.site.nextId(),
      requiresNewConnection: false,
    }),
  );
});

Then('each success is the whole answer of a server to that request', function (this: RelayWorld) {
  for (const { id, answer } of this.attempts) {
    if (answer?.status !== 200 || !answer.whole) continue;
    assert.ok([`answer to ${id}`, 'answer'].includes(answer.body), answer.body);
  }
});

Then('each success is the whole stream', function (this: RelayWorld) {
  for (const { answer } of this.attempts)
    if (answer?.status === 200 && answer.whole) assert.equal(answer.body, wholeStream());
});

Then(/^(none|all) of the lookups were answered$/, function (this: RelayWorld, which: string) {
  const lookups = this.attempts.filter(({ path }) => path === '/list/x');
  const answered = lookups.filter(({ answer }) => answer?.status === 200 && answer.whole);
  assert.equal(answered.length, which === 'all' ? lookups.length : 0);
});

Then(
  '{int} of {int} streams were answered',
  function (this: RelayWorld, least: number, of: number) {
    assert.equal(this.attempts.length, of);
    const answered = this.attempts.filter(({ answer }) => answer?.status === 200 && answer.whole);
    assert.ok(answered.length >= least, `${answered.length}`);
  },
);

Then('within {int} ms no engine runs a stream', async function (this: RelayWorld, ms: number) {
  await sleep(ms);
  const running = this.site.servers.filter(({ runningStreams }) => runningStreams > 0);
  assert.deepEqual(
    running.map(({ options }) => options.id),
    [],
  );
});

Then(
  /^(?:all of them are|it is) refused and none has reached a server$/,
  function (this: RelayWorld) {
    assert.ok(this.refusals.length > 0);
    for (const { status, headers } of this.refusals) {
      assert.equal(status, 502);
      assert.match(String(headers['yuccasail-relay']), /unavailable/);
    }
    assert.equal(
      this.site.journal.filter(({ path }) => path === '/list/x').length,
      this.attempts.length,
    );
  },
);
