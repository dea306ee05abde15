import assert from 'node:assert/strict';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createEngineClient, type EngineReport } from '../../src/adapters/engines/index.js';
import { createBoard, type InstanceHealth, type Plans } from '../../src/board/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import {
  createHealthExchange,
  type HealthExchange,
} from '../../src/entry/health/health-exchange.js';
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
const START_MS = 100_000;
const MEMBERS = ['engine-0', 'engine-1', 'engine-2'];
const FAILED_MEMBER = 'engine-1';

interface HealthDigestWorld {
  now: number;
  plans: Plans;
  health: Map<string, InstanceHealth>;
  digest: HealthDigest;
  previousDigest: HealthDigest;
  engines: EngineStandIn[];
  client: ReturnType<typeof createEngineClient>;
  extension: HealthExchange;
  clock: ReturnType<typeof createManualClock>;
  appliedReports: number;
  answers: { report: EngineReport; bytes: number }[];
  countedBytes: WeakMap<Socket, number>;
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
    reports.map((report) => [report.instance, recordReport(undefined, report, START_MS)]),
  );
  const assigned = health.keys();
  const source = { plans, health, assigned, failing: [], withinMs: WITHIN_MS, textLength };
  return composeHealthDigest(source, START_MS);
}

function receive(world: HealthDigestWorld, digest: HealthDigest, ageMs: number): void {
  const view = { plans: world.plans, readHealth: (name: string) => world.health.get(name) };
  const failedBefore = new Set(world.previousDigest.failing);
  const update = readHealthDigest(view, { digest, failedBefore, ageMs }, world.now);
  for (const [name, known] of update.health) world.health.set(name, known);
  world.previousDigest = digest;
}

function countServing({ plans, health, now }: HealthDigestWorld): number {
  const engine = { role: 'engine', address: '127.0.0.1:1', failureDomain: 'a' };
  const instances = new Map(MEMBERS.map((name) => [name, instanceSchema.parse(engine)]));
  const fleet = { revision: 1, instances, leaving: new Set<string>() };
  return listEligibleReplicas({ plans, fleet, health, load: new Map() }, now, FRESH_MS).length;
}

/** Lists the members due for a probe; by default, the last probes are long past. */
function listDueMembers({ health, now }: HealthDigestWorld, askedAt = 0): string[] {
  const states = new Map(MEMBERS.map((name) => [name, { askedAt, underWay: false }]));
  const assigned = new Set<string>();
  const schedule = { probeEveryMs: PROBE_MS, probeTimeoutMs: 400, freshMs: FRESH_MS };
  return listDueProbes({ targets: MEMBERS, assigned, states, health, ...schedule }, now);
}

const randomReport = fc.record({
  incarnation: fc.constantFrom('start', 'other'),
  state: fc.constantFrom('idle', 'loading', 'ready', 'ready', 'ready', 'draining', 'failed'),
  rank: fc.constantFrom(0, 0, 1),
  fence: fc.constantFrom(6, 7, 7, 8),
  reportedFence: fc.constantFrom(7, 7, 8),
  isUnassigned: fc.constantFrom(false, false, true),
  leaving: fc.constantFrom(false, false, true),
  inFlight: fc.nat(3),
  adapters: fc.constantFrom([], ['helpline']),
});

When("{int} random reports of one replica's engines are relayed", function (runs: number) {
  let decodedCount = 0;
  const property = fc.property(randomReport, ({ rank, reportedFence, isUnassigned, ...drawn }) => {
    const { leaving, inFlight, state } = drawn;
    const adapters = [...drawn.adapters];
    const change = { leaving, inFlight, state, adapters, fence: reportedFence };
    const { replica, ...base } = createReport(0, change);
    const place = { id: 'fabric-1-7', model: 'm', weights: '1', size: MEMBERS.length };
    const report: EngineReport = {
      ...base,
      incarnation: `${drawn.incarnation}-engine-0`,
      ...(replica !== undefined &&
        !isUnassigned && { replica: { ...place, rank, fence: drawn.fence } }),
    };
    const digest = healthDigestSchema.parse(compose(createPlans(7), [report]));
    const view = { plans: createPlans(7), readHealth: () => undefined };
    const received = { digest, failedBefore: new Set<string>(), ageMs: 100 };
    const known = readHealthDigest(view, received, START_MS + 100).health.get('engine-0');
    assert.deepEqual(known?.report, report);
    assert.ok(known.heardAt <= START_MS, 'the report appears fresher than it is');
    decodedCount += 1;
  });
  fc.assert(property, { numRuns: runs, seed: 23 });
  assert.equal(decodedCount, runs);
});

Then('each restored report equals the original', function () {
  // The previous step compares each report.
});

Given(
  'an entry that knows a replica of 3 only from the digests of its probers',
  function (this: HealthDigestWorld) {
    this.now = START_MS + 100;
    this.plans = createPlans(7);
    this.health = new Map();
    this.digest = compose(this.plans, [createReport(0), createReport(1), createReport(2)]);
    this.previousDigest = { ...this.digest, failing: [] };
    receive(this, this.digest, 100);
    assert.equal(countServing(this), 1);
    assert.deepEqual(listDueMembers(this), []);
  },
);

When("a prober's digest lists one member as failing", function (this: HealthDigestWorld) {
  this.now += 300;
  const placed = this.digest.placed.filter(({ instance }) => instance !== FAILED_MEMBER);
  this.digest = { ...this.digest, placed, failing: [FAILED_MEMBER] };
  receive(this, this.digest, 50);
});

Then('the replica is out of service there at once', function (this: HealthDigestWorld) {
  assert.equal(countServing(this), 0);
});

Then('the entry probes that member itself', function (this: HealthDigestWorld) {
  assert.deepEqual(listDueMembers(this), [FAILED_MEMBER]);
});

Then("it does not probe again at the prober's rate", function (this: HealthDigestWorld) {
  const askedAt = this.now;
  this.now += PROBE_MS;
  assert.equal(listDueMembers(this, askedAt).includes(FAILED_MEMBER), false);
});

When("the entry's own probe of that member succeeds", function (this: HealthDigestWorld) {
  this.now += 100;
  this.health.set(
    FAILED_MEMBER,
    recordReport(this.health.get(FAILED_MEMBER), createReport(1), this.now),
  );
});

When("the prober's next digest still lists it as failing", function (this: HealthDigestWorld) {
  this.now += 100;
  receive(this, this.digest, 50);
});

Then('the replica is in service there', function (this: HealthDigestWorld) {
  assert.equal(countServing(this), 1);
});

When('the probers send no further digests', function (this: HealthDigestWorld) {
  this.now = START_MS;
});

Then(
  'the replica is out of service there within the freshness bound',
  function (this: HealthDigestWorld) {
    this.now = START_MS + FRESH_MS;
    assert.equal(countServing(this), 0);
  },
);

Then('the entry probes all members itself before that', function (this: HealthDigestWorld) {
  this.now = START_MS + FRESH_MS - PROBE_MS;
  assert.deepEqual(listDueMembers(this), MEMBERS);
});

When("the entry's plan changes to another fencing token", function (this: HealthDigestWorld) {
  this.plans = createPlans(8);
});

When('the same digests arrive again', function (this: HealthDigestWorld) {
  this.health.clear();
  receive(this, this.digest, 200);
});

Then("no member's report there has the new fencing token", function (this: HealthDigestWorld) {
  for (const { report } of this.health.values()) assert.notEqual(report?.replica?.fence, 8);
});

When(
  'an entry composes its digest of {int} engines within {int} characters',
  function (this: HealthDigestWorld, engines: number, length: number) {
    const reports = Array.from({ length: engines }, (_, at) =>
      createReport(at, { instance: `engine-${at}` }),
    );
    this.digest = compose(createPlans(7), reports, length);
  },
);

Then(
  'the digest is valid, lists some engines and is within that length',
  function (this: HealthDigestWorld) {
    const text = JSON.stringify(healthDigestSchema.parse(this.digest));
    assert.ok(text.length <= 1_500, `${text.length} characters`);
    assert.ok(this.digest.placed.length + this.digest.others.length > 3);
  },
);

Given(
  'the health extension of an entry that probed an engine and was then paused for {int} ms',
  function (this: HealthDigestWorld, pauseMs: number) {
    const board = createBoard();
    this.plans = createPlans(7);
    board.plans.write(this.plans);
    const clock = createManualClock(START_MS);
    const settings = { health: { probeEveryMs: PROBE_MS } };
    const context = { board, clock, settings } as unknown as EntryContext;
    this.appliedReports = 0;
    const extension = createHealthExchange(context, {
      readHealth: () => undefined,
      readAssigned: () => [],
      readFailing: () => [],
      storeReports: (health) => {
        this.appliedReports += health.size;
      },
    });
    clock.advance(pauseMs);
    this.extension = extension;
    this.clock = clock;
  },
);

Then('it treats the result of that probe as unknown', function (this: HealthDigestWorld) {
  assert.equal(this.extension.hasPausedSince(START_MS), true);
});

Then(
  'it ignores digests until its next tick and then accepts probes and digests',
  function (this: HealthDigestWorld) {
    const text = JSON.stringify(compose(this.plans, [createReport(0)]));
    this.extension.import('entry-2', text, 0);
    assert.equal(this.appliedReports, 0);
    this.extension.noteTick();
    assert.equal(this.extension.hasPausedSince(START_MS), true);
    this.clock.advance(50);
    assert.equal(this.extension.hasPausedSince(this.clock.now()), false);
    this.extension.import('entry-2', text, 0);
    assert.equal(this.appliedReports, 1);
  },
);

async function probe(world: HealthDigestWorld): Promise<void> {
  const address = world.engines[0]?.address ?? '';
  const { countedBytes } = world;
  let bytes = 0;
  const count = (message: unknown): void => {
    const { socket } = (message as { request: IncomingMessage }).request;
    if (!address.endsWith(`:${socket.localPort}`)) return;
    const total = socket.bytesRead + socket.bytesWritten;
    bytes = total - (countedBytes.get(socket) ?? 0);
    countedBytes.set(socket, total);
  };
  subscribe('http.server.response.finish', count);
  const report = (await world.client.health(address, 1_000))._unsafeUnwrap();
  unsubscribe('http.server.response.finish', count);
  world.answers.push({ report, bytes });
}

Given(
  'an engine that is probed through a client that counts bytes',
  async function (this: HealthDigestWorld) {
    this.engines = [(await createEngineStandIn({ instance: 'engine-0' }))._unsafeUnwrap()];
    this.client = createEngineClient();
    this.answers = [];
    this.countedBytes = new WeakMap();
    await probe(this);
  },
);

When('it is probed again without any change', async function (this: HealthDigestWorld) {
  await probe(this);
});

Then(
  'the second report is the same and took less than two thirds of the bytes',
  function (this: HealthDigestWorld) {
    const [first, second] = this.answers;
    assert.deepEqual(second?.report, first?.report);
    const bytes = [first?.bytes ?? 0, second?.bytes ?? 0] as const;
    assert.ok(bytes[1] > 0 && bytes[1] < (bytes[0] * 2) / 3, `${bytes.join(', then ')} bytes`);
  },
);

When('the engine is restarted at the same address', async function (this: HealthDigestWorld) {
  const listen = this.engines[0]?.address ?? '';
  await this.engines[0]?.stop();
  const instance = 'engine-0';
  this.engines = [(await createEngineStandIn({ instance, listen }))._unsafeUnwrap()];
  // The client may first try a connection to the previous process, which fails.
  await waitFor('a probe to succeed', async () => {
    await probe(this);
    return true;
  });
});

Then(
  'the next probe returns the report of the new incarnation',
  function (this: HealthDigestWorld) {
    assert.equal(this.answers.at(-1)?.report.incarnation, this.engines[0]?.incarnation);
  },
);

After(async function (this: Partial<HealthDigestWorld>) {
  if (this.client === undefined) return;
  await this.client.close();
  await Promise.all((this.engines ?? []).map((engine) => engine.stop()));
});
