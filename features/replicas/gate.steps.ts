import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { EngineReport } from '../../src/adapters/engines/index.js';
import type { InstanceHealth } from '../../src/board/index.js';
import {
  chooseProbers,
  listEligibleReplicas,
  recordFailure,
  recordRelayedReport,
  recordReport,
  type EligibilityView,
} from '../../src/controllers/health/index.js';
import { domainPlanSchema, instanceSchema, type Instance } from '../../src/objects/index.js';

const FRESH_MS = 2_000;
const REPLICA_SIZE = 3;

interface MemberState {
  known: boolean;
  leaving: boolean;
  reportsLeaving: boolean;
  ageMs: number;
  failing: boolean;
  sameIncarnation: boolean;
  sameReplica: boolean;
  sameFence: boolean;
  sameRank: boolean;
  state: EngineReport['state'];
}

const HEALTHY: MemberState = {
  known: true,
  leaving: false,
  reportsLeaving: false,
  ageMs: 100,
  failing: false,
  sameIncarnation: true,
  sameReplica: true,
  sameFence: true,
  sameRank: true,
  state: 'ready',
};

interface GateWorld {
  view: EligibilityView;
  health: Map<string, InstanceHealth>;
  probers: { before: string[][]; after: string[][]; lost: string };
}

function createReport(rank: number, member: MemberState): EngineReport {
  const id = member.sameReplica ? 'fabric-1-7' : 'fabric-1-8';
  const fence = member.sameFence ? 7 : 6;
  return {
    instance: `engine-${rank}`,
    incarnation: member.sameIncarnation ? `start-${rank}` : 'other',
    state: member.state,
    replica: {
      id,
      fence,
      model: 'm',
      weights: '1',
      rank: member.sameRank ? rank : 9,
      size: REPLICA_SIZE,
    },
    fence: 7,
    leaving: member.reportsLeaving,
    inFlight: 0,
    adapters: [],
    cacheSequence: 0,
  };
}

function createView(members: readonly MemberState[], now: number): EligibilityView {
  const instances = new Map<string, Instance>();
  const leaving = new Set<string>();
  const health = new Map<string, InstanceHealth>();
  members.forEach((member, rank) => {
    const name = `engine-${rank}`;
    const described = { role: 'engine', address: '127.0.0.1:1', failureDomain: 'a' };
    if (member.known) instances.set(name, instanceSchema.parse(described));
    if (member.leaving) leaving.add(name);
    const reported = recordReport(undefined, createReport(rank, member), now - member.ageMs);
    health.set(name, member.failing ? recordFailure(reported, now) : reported);
  });
  const plan = domainPlanSchema.parse({
    fence: 7,
    replicas: [
      {
        id: 'fabric-1-7',
        model: 'm',
        weights: '1',
        fence: 7,
        phase: 'whole',
        members: members.map((_, rank) => {
          return { instance: `engine-${rank}`, incarnation: `start-${rank}` };
        }),
      },
    ],
    spares: [],
  });
  const plans = new Map([['fabric-1', { version: 1, value: plan }]]);
  return { plans, fleet: { revision: 1, instances, leaving }, health, load: new Map() };
}

const mostly = (usual: boolean): fc.Arbitrary<boolean> =>
  fc.integer({ min: 0, max: 19 }).map((draw) => (draw === 0 ? !usual : usual));

const memberState: fc.Arbitrary<MemberState> = fc.record({
  known: mostly(true),
  leaving: mostly(false),
  reportsLeaving: mostly(false),
  ageMs: fc.oneof({ weight: 9, arbitrary: fc.nat(FRESH_MS - 1) }, fc.nat(3 * FRESH_MS)),
  failing: mostly(false),
  sameIncarnation: mostly(true),
  sameReplica: mostly(true),
  sameFence: mostly(true),
  sameRank: mostly(true),
  state: fc.oneof(
    { weight: 19, arbitrary: fc.constant('ready' as const) },
    fc.constantFrom('idle' as const, 'loading' as const, 'draining' as const, 'failed' as const),
  ),
});

function isHealthy(member: MemberState): boolean {
  const { known, sameIncarnation, sameReplica, sameFence, sameRank, state, ageMs } = member;
  if (member.leaving || member.reportsLeaving || member.failing) return false;
  if (!known || !sameIncarnation || !sameReplica || !sameFence || !sameRank) return false;
  return state === 'ready' && ageMs < FRESH_MS;
}

When(
  'replicas are checked for serving against {int} random states of their members',
  function (runs: number) {
    let eligible = 0;
    const states = fc.array(memberState, { minLength: REPLICA_SIZE, maxLength: REPLICA_SIZE });
    const property = fc.property(states, (members) => {
      const listed = listEligibleReplicas(createView(members, 10_000), 10_000, FRESH_MS).length;
      const expected = members.every(isHealthy) ? 1 : 0;
      eligible += expected;
      assert.equal(listed, expected);
    });
    fc.assert(property, { numRuns: runs, seed: 11 });
    assert.ok(eligible > runs / 100, `only ${eligible} of the states were eligible`);
  },
);

Then('each was listed exactly when all its members were healthy', function () {
  // Asserted for each state by the previous step.
});

Given('a replica in service', function (this: GateWorld) {
  this.view = createView([HEALTHY, HEALTHY, HEALTHY], 10_000);
  this.health = new Map(this.view.health);
  assert.equal(listEligibleReplicas(this.view, 10_000, FRESH_MS).length, 1);
});

function countServing(world: GateWorld, now: number): number {
  return listEligibleReplicas({ ...world.view, health: world.health }, now, FRESH_MS).length;
}

When(
  'a request to one of its members fails while a probe is under way',
  function (this: GateWorld) {
    this.health.set('engine-1', recordFailure(this.health.get('engine-1'), 10_200));
  },
);

Then(
  "the replica is out of service, even after that probe's healthy report",
  function (this: GateWorld) {
    assert.equal(countServing(this, 10_200), 0);
    const report = createReport(1, HEALTHY);
    this.health.set('engine-1', recordReport(this.health.get('engine-1'), report, 10_150));
    assert.equal(countServing(this, 10_300), 0);
  },
);

Then('a report that is requested later restores it', function (this: GateWorld) {
  const report = createReport(1, HEALTHY);
  this.health.set('engine-1', recordReport(this.health.get('engine-1'), report, 10_250));
  assert.equal(countServing(this, 10_300), 1);
});

When(
  'a peer forwards a report of one member that is {int} ms old and took {int} ms to arrive',
  function (this: GateWorld, ageMs: number, transitMs: number) {
    const report = createReport(1, HEALTHY);
    this.health.set('engine-1', recordRelayedReport(undefined, report, ageMs, transitMs, 10_000));
  },
);

Then(
  'that report does not keep the replica in service beyond the freshness bound',
  function (this: GateWorld) {
    assert.equal(countServing(this, 10_000), 0);
  },
);

When(
  'probers are assigned for {int} engines to {int} entries and one entry is lost',
  function (this: GateWorld, engines: number, entries: number) {
    const domains = ['a', 'b', 'c'];
    const probers = Array.from({ length: entries }, (_, at) => {
      return { name: `entry-${at}`, failureDomain: domains[at % 3] ?? '' };
    });
    const targets = Array.from({ length: engines }, (_, at) => {
      return { name: `engine-${at}`, failureDomain: domains[at % 3] ?? '' };
    });
    const lost = 'entry-4';
    const remaining = probers.filter(({ name }) => name !== lost);
    this.probers = {
      lost,
      before: targets.map((target) => chooseProbers(probers, target, 2)),
      after: targets.map((target) => chooseProbers(remaining, target, 2)),
    };
  },
);

Then(
  'every engine had {int} probers before and after, near ones first, and no others changed',
  function (this: GateWorld, redundancy: number) {
    const { before, after, lost } = this.probers;
    before.forEach((names, at) => {
      assert.equal(new Set(names).size, redundancy);
      assert.equal(new Set(after[at]).size, redundancy);
      for (const name of names) assert.equal(Number(name.split('-')[1]) % 3, at % 3);
      const kept = names.filter((name) => name !== lost);
      for (const name of kept) assert.ok(after[at]?.includes(name));
    });
  },
);
