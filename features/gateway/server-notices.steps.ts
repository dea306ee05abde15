/**
 * Servers that ask for rest or say that they are leaving, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { listArrivals, sendRequests, type ServerWorld } from './server-limit.steps.js';
import { Site, type GatewayProcess } from './site.js';
import type { Arrival, EngineStandIn } from './stand-ins/engine.js';

type NoticeWorld = ServerWorld;

const MS_PER_SECOND = 1_000;
/** Requests that were under way when the rest was asked for may still arrive. */
const REST_GRACE_MS = 500;
const CHANGE_INTERVAL_MS = 700;

function restMs({ retryAfter }: EngineStandIn): number {
  return Number(retryAfter) * MS_PER_SECOND;
}

function askForRest(server: EngineStandIn, seconds: string): void {
  server.fault = { kind: 'refuse' };
  server.retryAfter = seconds;
}

function observeFirst(world: NoticeWorld): EngineStandIn {
  const [first = world.site.servers[0]] = world.site.listOpen();
  assert.ok(first);
  world.observed = first;
  return first;
}

Given(
  'the first of them that serves refuses requests and asks for {string} s of rest',
  function (this: NoticeWorld, seconds: string) {
    askForRest(observeFirst(this), seconds);
  },
);

Given(
  'the other servers fail {int} of {int} requests',
  function (this: NoticeWorld, failing: number, of: number) {
    for (const server of this.site.servers)
      if (server !== this.observed) server.fault = { kind: 'failSome', failing, of };
  },
);

Given(
  'all of them refuse requests and ask for {string} s of rest',
  function (this: NoticeWorld, seconds: string) {
    for (const server of this.site.servers) askForRest(server, seconds);
  },
);

Given(
  'the first of them that serves says in its answers that it is leaving',
  function (this: NoticeWorld) {
    observeFirst(this).leavingNotice = '1';
  },
);

Given(
  'a site with engines of which one refuses orders and asks for {string} s of rest',
  async function (this: NoticeWorld, seconds: string) {
    this.site = new Site();
    await this.site.open();
    for (let index = 0; index < 4; index += 1)
      await this.site.addServer({ id: `server-${index}`, service: 'models', domain: 'domain' });
    const [first] = this.site.servers;
    assert.ok(first);
    this.observed = first;
    first.refusesCalls = true;
    askForRest(first, seconds);
    this.site.configure();
    await this.site.waitUntilReady(await this.site.startGateway());
    await waitFor('its first order', () => first.callTimes.length > 0);
  },
);

async function makeChanges(world: NoticeWorld, seconds: number): Promise<void> {
  const endsAt = performance.now() + seconds * MS_PER_SECOND;
  for (let version = 3; performance.now() < endsAt; version += 1) {
    await sleep(CHANGE_INTERVAL_MS);
    for (const gateway of world.site.gateways) gateway.signal('SIGHUP');
    world.site.configure({ version });
    // A member of a replica that loses its entry is replaced, and would get no requests anyway.
    const canLoseEntry = world.observed.options.domain === undefined;
    if (canLoseEntry && version % 2 === 0)
      world.site.store.remove('servers', world.observed.options.id);
    else world.observed.report();
  }
}

When(
  "callers send {int} requests a second to the gateways in turn for {int} s, while settings, configuration and the server's entry change",
  async function (this: NoticeWorld, perSecond: number, seconds: number) {
    await Promise.all([sendRequests(this, perSecond, seconds), makeChanges(this, seconds)]);
  },
);

When('it refuses nothing any more', function (this: NoticeWorld) {
  this.observed.fault = { kind: 'none' };
});

When('that server starts again under its id', async function (this: NoticeWorld) {
  await this.observed.restart();
});

/** Arrivals at `server` by the gateway that sent them. */
function groupByGateway(world: NoticeWorld, server: EngineStandIn): Map<GatewayProcess, Arrival[]> {
  const groups = new Map<GatewayProcess, Arrival[]>();
  for (const arrival of world.site.journal.filter((each) => each.server === server.options.id)) {
    const gateway = world.senders.get(arrival.id);
    if (gateway) groups.set(gateway, [...(groups.get(gateway) ?? []), arrival]);
  }
  return groups;
}

/** The largest number of `times` between half a second after a refusal and the end of its rest. */
function mostInRest(refusals: readonly number[], times: readonly number[], forMs: number): number {
  const counts = refusals.map(
    (start) => times.filter((at) => at >= start + REST_GRACE_MS && at < start + forMs).length,
  );
  return Math.max(0, ...counts);
}

function assertLeftAlone(world: NoticeWorld, server: EngineStandIn, most: number): void {
  for (const arrivals of groupByGateway(world, server).values()) {
    const times = arrivals.map(({ at }) => at);
    const refusals = arrivals.filter(({ ran }) => !ran).map(({ at }) => at);
    const got = mostInRest(refusals, times, restMs(server));
    assert.ok(got <= most, `${server.options.id} got ${got} of ${times.length} in a rest`);
  }
}

Then(
  'no gateway sends it more than {int} requests while it is to rest',
  function (this: NoticeWorld, most: number) {
    assertLeftAlone(this, this.observed, most);
  },
);

Then(
  'no gateway sends any of them more than {int} requests while it is to rest',
  function (this: NoticeWorld, most: number) {
    for (const server of this.site.servers) assertLeftAlone(this, server, most);
  },
);

Then(
  'from {int} s on each request is refused within {int} ms and told to come back when the rest ends',
  async function (this: NoticeWorld, from: number, mostMs: number) {
    const [gateway] = this.site.gateways;
    assert.ok(gateway);
    const answers = await Promise.all(this.replies);
    const ends = gateway.lines.filter(({ name }) => name === 'requestEnded');
    const perSecond = 10;
    for (const [index, { status, headers }] of answers.entries()) {
      if (index < from * perSecond) continue;
      assert.equal(status, 503);
      const seconds = Number(headers['retry-after']);
      assert.ok(seconds > 1 && seconds <= 5, `Retry-After: ${headers['retry-after']}`);
    }
    const late = ends.filter(({ tookMs }) => Number(tookMs) > mostMs);
    assert.ok(ends.length >= answers.length - from * perSecond);
    assert.ok(late.length <= from * perSecond, `${late.length} of ${ends.length} were late`);
  },
);

Then(
  'within {int} s it gets at most {int} orders and probes in any of its rests',
  async function (this: NoticeWorld, seconds: number, most: number) {
    await sleep(seconds * MS_PER_SECOND);
    const { callTimes } = this.observed;
    const got = mostInRest(callTimes, callTimes, restMs(this.observed));
    assert.ok(got <= most, `it got ${got} of ${callTimes.length}`);
  },
);

Then(
  'no gateway sends it a request from a caller later than {int} ms after it passed on such an answer',
  function (this: NoticeWorld, drainMs: number) {
    const groups = groupByGateway(this, this.observed);
    assert.ok(groups.size > 0);
    for (const arrivals of groups.values()) {
      const first = Math.min(...arrivals.map(({ at }) => at));
      const late = arrivals.filter(({ at }) => at > first + drainMs);
      assert.equal(late.length, 0, `${late.length} of ${arrivals.length}`);
    }
  },
);

Then('it gets requests again', async function (this: NoticeWorld) {
  const after = performance.now();
  await sendRequests(this, 24, 4);
  await Promise.all(this.replies);
  assert.ok(listArrivals(this, after).length > 0);
});
