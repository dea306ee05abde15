import assert from 'node:assert/strict';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createEngineClient, type EngineReport } from '../../src/adapters/engines/index.js';
import { createBoard, type InstanceHealth, type Plans } from '../../src/board/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { createHealthPassing, type HealthPassing } from '../../src/entry/health/health-passing.js';
import type { EntryContext } from '../../src/entry/types.js';
import {
  composeHealthDigest,
  healthDigestSchema,
  listDueProbes,
  listEligibleReplicas,
  readHealthDigest,
  recordReport,
  type HealthDigest,
} from '../../src/controllers/health/index.js';
import { domainPlanSchema, instanceSchema } from '../../src/objects/index.js';
import { waitFor } from '../support/waiting.js';
import { createEngineStandIn, type EngineStandIn } from '../../src/stand-ins/engine/index.js';

const FRESH_MS = 2_000;
const PROBE_MS = 500;
const WITHIN_MS = 750;
const START = 100_000;
const MEMBERS = ['engine-0', 'engine-1', 'engine-2'];
const DEAD = 'engine-1';

interface PassingWorld {
  now: number;
  plans: Plans;
  health: Map<string, InstanceHealth>;
  digest: HealthDigest;
  former: HealthDigest;
  engines: EngineStandIn[];
  client: ReturnType<typeof createEngineClient>;
  passing: HealthPassing;
  clock: ReturnType<typeof createManualClock>;
  kept: number;
  answers: { report: EngineReport; bytes: number }[];
  counted: WeakMap<Socket, number>;
}

function createPlans(fence: number): Plans {
  const members = MEMBERS.map((instance) => ({ instance, incarnation: `start-${instance}` }));
  const replica = { id: 'fabric-1-7', model: 'm', weights: '1', fence, phase: 'whole', members };
  const value = domainPlanSchema.parse({ fence, replicas: [replica], spares: [] });
  return new Map([['fabric-1', { version: fence, value }]]);
}

function createReport(rank: number, change: Partial<EngineReport> = {}): EngineReport {
  const instance = MEMBERS[rank] ?? `engine-${rank}`;
  return {
    instance,
    incarnation: `start-${instance}`,
    state: 'ready',
    replica: { id: 'fabric-1-7', fence: 7, model: 'm', weights: '1', rank, size: MEMBERS.length },
    fence: 7,
    leaving: false,
    inFlight: 0,
    adapters: [],
    cacheSequence: 0,
    ...change,
  };
}

function compose(plans: Plans, reports: readonly EngineReport[], textLength = 1_500) {
  const health = new Map(
    reports.map((report) => [report.instance, recordReport(undefined, report, START)]),
  );
  const assigned = health.keys();
  const source = { plans, health, assigned, failing: [], withinMs: WITHIN_MS, textLength };
  return composeHealthDigest(source, START);
}

function receive(world: PassingWorld, digest: HealthDigest, ageMs: number): void {
  const view = { plans: world.plans, readHealth: (name: string) => world.health.get(name) };
  const failedBefore = new Set(world.former.failing);
  const news = readHealthDigest(view, { digest, failedBefore, ageMs }, world.now);
  for (const [name, known] of news.health) world.health.set(name, known);
  world.former = digest;
}

function countServing({ plans, health, now }: PassingWorld): number {
  const described = { role: 'engine', address: '127.0.0.1:1', failureDomain: 'a' };
  const instances = new Map(MEMBERS.map((name) => [name, instanceSchema.parse(described)]));
  const fleet = { revision: 1, instances, leaving: new Set<string>() };
  return listEligibleReplicas({ plans, fleet, health, load: new Map() }, now, FRESH_MS).length;
}

/** By default long after the entry's last own probes. */
function listAsked({ health, now }: PassingWorld, askedAt = 0): string[] {
  const states = new Map(MEMBERS.map((name) => [name, { askedAt, underWay: false }]));
  const assigned = new Set<string>();
  const rhythm = { probeEveryMs: PROBE_MS, probeTimeoutMs: 400, freshMs: FRESH_MS };
  return listDueProbes({ targets: MEMBERS, assigned, states, health, ...rhythm }, now);
}

const randomReport = fc.record({
  incarnation: fc.constantFrom('start', 'other'),
  state: fc.constantFrom('idle', 'loading', 'ready', 'ready', 'ready', 'draining', 'failed'),
  rank: fc.constantFrom(0, 0, 1),
  fence: fc.constantFrom(6, 7, 7, 8),
  seen: fc.constantFrom(7, 7, 8),
  isFree: fc.constantFrom(false, false, true),
  leaving: fc.constantFrom(false, false, true),
  inFlight: fc.nat(3),
  adapters: fc.constantFrom([], ['helpline']),
});

When("{int} random reports of one replica's engines are passed on", function (runs: number) {
  let arrived = 0;
  const property = fc.property(randomReport, ({ rank, seen, isFree, ...drawn }) => {
    const { leaving, inFlight, state } = drawn;
    const adapters = [...drawn.adapters];
    const change = { leaving, inFlight, state, adapters, fence: seen };
    const { replica, ...base } = createReport(0, change);
    const place = { id: 'fabric-1-7', model: 'm', weights: '1', size: MEMBERS.length };
    const report: EngineReport = {
      ...base,
      incarnation: `${drawn.incarnation}-engine-0`,
      ...(replica !== undefined && !isFree && { replica: { ...place, rank, fence: drawn.fence } }),
    };
    const digest = healthDigestSchema.parse(compose(createPlans(7), [report]));
    const view = { plans: createPlans(7), readHealth: () => undefined };
    const passed = { digest, failedBefore: new Set<string>(), ageMs: 100 };
    const known = readHealthDigest(view, passed, START + 100).health.get('engine-0');
    assert.deepEqual(known?.report, report);
    assert.ok(known.heardAt <= START, 'it looks fresher than it is');
    arrived += 1;
  });
  fc.assert(property, { numRuns: runs, seed: 23 });
  assert.equal(arrived, runs);
});

Then('each that arrives is the one that its engine gave', function () {
  // The step before compared each of them.
});

Given(
  'an entry that knows a replica of 3 from the digests of its probers alone',
  function (this: PassingWorld) {
    this.now = START + 100;
    this.plans = createPlans(7);
    this.health = new Map();
    this.digest = compose(this.plans, [createReport(0), createReport(1), createReport(2)]);
    this.former = { ...this.digest, failing: [] };
    receive(this, this.digest, 100);
    assert.equal(countServing(this), 1);
    assert.deepEqual(listAsked(this), []);
  },
);

When("a prober's digest calls one member failing", function (this: PassingWorld) {
  this.now += 300;
  const placed = this.digest.placed.filter(({ instance }) => instance !== DEAD);
  this.digest = { ...this.digest, placed, failing: [DEAD] };
  receive(this, this.digest, 50);
});

Then('the replica is out of service there at once', function (this: PassingWorld) {
  assert.equal(countServing(this), 0);
});

Then('the entry asks that member itself', function (this: PassingWorld) {
  assert.deepEqual(listAsked(this), [DEAD]);
});

Then('it does not ask again at the pace of the prober', function (this: PassingWorld) {
  const askedAt = this.now;
  this.now += PROBE_MS;
  assert.equal(listAsked(this, askedAt).includes(DEAD), false);
});

When("the entry's own probe of that member succeeds", function (this: PassingWorld) {
  this.now += 100;
  this.health.set(DEAD, recordReport(this.health.get(DEAD), createReport(1), this.now));
});

When("the prober's next digest still calls it failing", function (this: PassingWorld) {
  this.now += 100;
  receive(this, this.digest, 50);
});

Then('the replica is in service there', function (this: PassingWorld) {
  assert.equal(countServing(this), 1);
});

When('nothing more is heard of the probers', function (this: PassingWorld) {
  this.now = START;
});

Then(
  'the replica is out of service there within the freshness bound',
  function (this: PassingWorld) {
    this.now = START + FRESH_MS;
    assert.equal(countServing(this), 0);
  },
);

Then('the entry asks all members itself before that', function (this: PassingWorld) {
  this.now = START + FRESH_MS - PROBE_MS;
  assert.deepEqual(listAsked(this), MEMBERS);
});

When("the entry's plan moves on to another number", function (this: PassingWorld) {
  this.plans = createPlans(8);
});

When('the same digests arrive again', function (this: PassingWorld) {
  this.health.clear();
  receive(this, this.digest, 200);
});

Then("no member's report there is of the new number", function (this: PassingWorld) {
  for (const { report } of this.health.values()) assert.notEqual(report?.replica?.fence, 8);
});

When(
  'an entry composes its digest of {int} engines within {int} characters',
  function (this: PassingWorld, engines: number, length: number) {
    const reports = Array.from({ length: engines }, (_, at) =>
      createReport(at, { instance: `engine-${at}` }),
    );
    this.digest = compose(createPlans(7), reports, length);
  },
);

Then(
  'the digest is valid, names some engines and is no longer than that',
  function (this: PassingWorld) {
    const text = JSON.stringify(healthDigestSchema.parse(this.digest));
    assert.ok(text.length <= 1_500, `${text.length} characters`);
    assert.ok(this.digest.placed.length + this.digest.others.length > 3);
  },
);

Given(
  'the exchange of an entry that asked an engine and was then paused for {int} ms',
  function (this: PassingWorld, pauseMs: number) {
    const board = createBoard();
    this.plans = createPlans(7);
    board.plans.write(this.plans);
    const clock = createManualClock(START);
    const settings = { health: { probeEveryMs: PROBE_MS } };
    const context = { board, clock, settings } as unknown as EntryContext;
    this.kept = 0;
    const passing = createHealthPassing(context, {
      readHealth: () => undefined,
      readAssigned: () => [],
      readFailing: () => [],
      keep: (health) => {
        this.kept += health.size;
      },
    });
    clock.advance(pauseMs);
    this.passing = passing;
    this.clock = clock;
  },
);

Then('it counts that probe as unknown, and a later one as any', function (this: PassingWorld) {
  assert.equal(this.passing.hasPausedSince(START), true);
});

Then('a digest that waited meanwhile teaches it nothing', function (this: PassingWorld) {
  const text = JSON.stringify(compose(this.plans, [createReport(0)]));
  this.passing.import('entry-2', text, 0);
  assert.equal(this.kept, 0);
  this.passing.noteTick();
  assert.equal(this.passing.hasPausedSince(START), true);
  this.clock.advance(50);
  assert.equal(this.passing.hasPausedSince(this.clock.now()), false);
  this.passing.import('entry-2', text, 0);
  assert.equal(this.kept, 1);
});

async function probe(world: PassingWorld): Promise<void> {
  const address = world.engines[0]?.address ?? '';
  const { counted } = world;
  let bytes = 0;
  const count = (message: unknown): void => {
    const { socket } = (message as { request: IncomingMessage }).request;
    if (!address.endsWith(`:${socket.localPort}`)) return;
    const total = socket.bytesRead + socket.bytesWritten;
    bytes = total - (counted.get(socket) ?? 0);
    counted.set(socket, total);
  };
  subscribe('http.server.response.finish', count);
  const report = (await world.client.health(address, 1_000))._unsafeUnwrap();
  unsubscribe('http.server.response.finish', count);
  world.answers.push({ report, bytes });
}

Given(
  'an engine that is probed through a client that counts bytes',
  async function (this: PassingWorld) {
    this.engines = [(await createEngineStandIn({ instance: 'engine-0' }))._unsafeUnwrap()];
    this.client = createEngineClient();
    this.answers = [];
    this.counted = new WeakMap();
    await probe(this);
  },
);

When('it is probed again without any change', async function (this: PassingWorld) {
  await probe(this);
});

Then(
  'the second report is the same and took less than two thirds of the bytes',
  function (this: PassingWorld) {
    const [first, second] = this.answers;
    assert.deepEqual(second?.report, first?.report);
    const bytes = [first?.bytes ?? 0, second?.bytes ?? 0] as const;
    assert.ok(bytes[1] > 0 && bytes[1] < (bytes[0] * 2) / 3, `${bytes.join(', then ')} bytes`);
  },
);

When('another start of the engine takes its address', async function (this: PassingWorld) {
  const listen = this.engines[0]?.address ?? '';
  await this.engines[0]?.stop();
  const instance = 'engine-0';
  this.engines = [(await createEngineStandIn({ instance, listen }))._unsafeUnwrap()];
  // A connection to the former process may still be tried first, and fails.
  await waitFor('a probe to be answered', async () => {
    await probe(this);
    return true;
  });
});

Then("the next probe brings the other start's report", function (this: PassingWorld) {
  assert.equal(this.answers.at(-1)?.report.incarnation, this.engines[0]?.incarnation);
});

After(async function (this: Partial<PassingWorld>) {
  if (this.client === undefined) return;
  await this.client.close();
  await Promise.all((this.engines ?? []).map((engine) => engine.stop()));
});
