/**
 * Peer discovery and digest exchange, on a simulated fleet without network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  addLoad,
  LagTracker,
  PEERING_TICK_MS,
  PeerTable,
  type Digest,
  type DomainSummary,
} from '../../src/controllers/peering/index.js';
import { PeeringModel, type ModelGateway } from './peering-model.js';

interface PeeringWorld {
  model: PeeringModel;
  table: PeerTable;
  now: number;
  lateAfterMs: number | undefined;
  /** How often each gateway was told of the stalled server, and over how many relays at first. */
  told: Map<string, { times: number; relays: number }>;
}

const SEED = 2_212;
const RUNS = 25;
const FLEET_UPDATE_INTERVAL_MS = 100;
const MAX_LAG_MS = 10_000;
/** Time for a fleet to converge after the last change: both peer timeouts plus a few exchanges. */
const SETTLE_MS = 9_000;

Given(
  '{int} failure domains of {int} gateways each that exchange digests',
  function (this: PeeringWorld, domains: number, size: number) {
    this.model = new PeeringModel(domains, size);
  },
);

When('{int} ms pass among them', function (this: PeeringWorld, ms: number) {
  this.model.run(ms);
});

When('all hubs crash', function (this: PeeringWorld) {
  for (const gateway of listHubs(this.model)) gateway.isAlive = false;
});

When('all hubs lose their connection to the store', function (this: PeeringWorld) {
  for (const gateway of listHubs(this.model)) gateway.storeReachable = false;
});

Then('each gateway considers all others alive', function (this: PeeringWorld) {
  assertAllAliveKnown(this.model);
});

Then('each gateway knows the load of all others', function (this: PeeringWorld) {
  const { alive } = this.model;
  for (const gateway of alive) {
    const expected = new Map<string, number>();
    for (const other of alive) if (other !== gateway) addLoad(expected, other.load);
    assert.deepEqual(sortByServer(gateway.table.sumLoad()), sortByServer(expected), gateway.name);
  }
});

Then('each failure domain has one hub', function (this: PeeringWorld) {
  const { alive } = this.model;
  for (const domain of new Set(alive.map(({ failureDomain }) => failureDomain))) {
    assert.equal(this.model.hubsOf(domain).length, 1, domain);
  }
});

Then(
  'over {int} ms no gateway has more than {int} exchanges per second, and the average is at most {int}',
  function (this: PeeringWorld, ms: number, maxRate: number, maxAverage: number) {
    const { alive } = this.model;
    for (const gateway of alive) gateway.exchanges = 0;
    this.model.run(ms);
    const rates = alive.map(({ exchanges }) => (exchanges * 1_000) / ms);
    assert.ok(
      Math.max(...rates) <= maxRate,
      `${Math.max(...rates)} exchanges per second at one gateway`,
    );
    const average = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
    assert.ok(average <= maxAverage, `${average} exchanges per second on average`);
  },
);

Then('no gateway relies on a crashed hub', function (this: PeeringWorld) {
  assertNoHubTrusted(this.model);
});

Then(
  'no gateway relies on a hub that is disconnected from the store',
  function (this: PeeringWorld) {
    assertNoHubTrusted(this.model);
  },
);

Given(
  'a gateway that receives fleet updates every {int} ms and has an outdated configuration',
  function (this: PeeringWorld, updateIntervalMs: number) {
    this.lateAfterMs = measureLateAfterMs(updateIntervalMs, 0);
  },
);

Given(
  'a gateway that has an outdated configuration and reads it every {int} ms',
  function (this: PeeringWorld, readIntervalMs: number) {
    this.lateAfterMs = measureLateAfterMs(FLEET_UPDATE_INTERVAL_MS, readIntervalMs);
  },
);

Then(
  'it does not fetch the configuration from another gateway before {int} ms',
  function (this: PeeringWorld, ms: number) {
    assert.ok(this.lateAfterMs !== undefined && this.lateAfterMs >= ms, `${this.lateAfterMs} ms`);
  },
);

/** Time until a gateway with an outdated configuration but current fleet updates counts as late. */
function measureLateAfterMs(updateIntervalMs: number, readIntervalMs: number): number | undefined {
  const lag = new LagTracker(readIntervalMs);
  for (let now = 0; now < MAX_LAG_MS; now += updateIntervalMs) {
    const own = { configurationVersion: 1, fleetRevision: now + 1 };
    const newest = { configurationVersion: 2, fleetRevision: now + 2 };
    if (lag.isLate(own, newest, now)) return now;
  }
  return undefined;
}

Then(
  'it fetches the configuration from another gateway within {int} ms',
  function (this: PeeringWorld, ms: number) {
    assert.ok(this.lateAfterMs !== undefined && this.lateAfterMs <= ms, `${this.lateAfterMs} ms`);
  },
);

Then('after random crashes and restarts all running gateways know each other again', () => {
  const event = fc.record({
    at: fc.nat({ max: 23 }),
    kind: fc.constantFrom('crash', 'restart', 'wait'),
    ms: fc.integer({ min: 100, max: 3_000 }),
  });
  const property = fc.property(fc.array(event, { maxLength: 12 }), (events) => {
    const model = new PeeringModel(3, 8);
    model.run(3_000);
    for (const { at, kind, ms } of events) {
      const gateway = model.gateways[at];
      if (kind === 'crash' && gateway && model.alive.length > 1) gateway.isAlive = false;
      // The store lists every gateway that ever registered.
      if (kind === 'restart') gateway?.restart(model.gateways, model.now);
      model.run(ms);
    }
    model.run(SETTLE_MS);
    assertAllAliveKnown(model);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

function listHubs({ alive }: PeeringModel): ModelGateway[] {
  return alive.filter(({ table }) => table.isHub());
}

function assertAllAliveKnown(model: PeeringModel): void {
  const names = model.alive.map(({ name }) => name).sort();
  for (const gateway of model.alive) {
    const others = names.filter((name) => name !== gateway.name);
    assert.deepEqual(model.listAlivePeers(gateway), others, gateway.name);
  }
}

/** Checks that no member trusts its hub. A hub relies on no other gateway. */
function assertNoHubTrusted(model: PeeringModel): void {
  for (const { name, table } of model.alive) {
    if (table.isHub()) continue;
    assert.notEqual(table.hubStatus(model.now), 'trusted', name);
  }
}

function sortByServer(load: ReadonlyMap<string, number>): [string, number][] {
  return [...load].sort(([a], [b]) => (a < b ? -1 : 1));
}

When('a hub learns of a stalled server', function (this: PeeringWorld) {
  const [first] = listHubs(this.model);
  assert.ok(first);
  this.told = new Map([[first.name, { times: 0, relays: 0 }]]);
  const queue = [first];
  for (let gateway = queue.shift(); gateway !== undefined; gateway = queue.shift()) {
    const relays = (this.told.get(gateway.name)?.relays ?? 0) + 1;
    for (const { name } of gateway.table.listRelayPeers()) {
      const known = this.told.get(name);
      if (known) known.times += 1;
      else {
        this.told.set(name, { times: 1, relays });
        const next = this.model.gateways.find((each) => each.name === name);
        if (next) queue.push(next);
      }
    }
  }
});

Then(
  'each gateway hears of it over at most {int} relays, and once from each hub at most',
  function (this: PeeringWorld, mostRelays: number) {
    const { alive } = this.model;
    assert.deepEqual([...this.told.keys()].sort(), alive.map(({ name }) => name).sort());
    const hubs = listHubs(this.model).length;
    for (const [name, { times, relays }] of this.told)
      assert.ok(relays <= mostRelays && times <= hubs, `${name}: ${times} times, ${relays} relays`);
  },
);

/** The digest of a hub with a summary of the first `members` gateways of its failure domain. */
function createHubDigest(hub: string, members: number): Digest {
  const location = (name: string) => ({ name, address: `at-${name}`, failureDomain: 'north' });
  const status = { storeReachable: true, ageMs: 0 };
  const summary: DomainSummary = {
    failureDomain: 'north',
    ageMs: 0,
    hasServed: true,
    members: Array.from({ length: members }, (_, index) => ({
      ...location(`member-${index}`),
      ...status,
    })),
    load: [],
    suspicions: [],
  };
  return {
    ...location(hub),
    incarnation: '1',
    storeReachable: true,
    stopping: false,
    hasServed: true,
    configurationVersion: 1,
    fleetRevision: 1,
    load: [],
    suspicions: [],
    summaries: [summary],
  };
}

Given(
  'a gateway that a hub has told of {int} members',
  function (this: PeeringWorld, members: number) {
    this.now = 1_000;
    this.table = new PeerTable({ name: 'self', address: 'at-self', failureDomain: 'north' });
    this.table.applyDigest(createHubDigest('member-0', members), this.now);
    this.table.removeTimedOut(this.now);
  },
);

When(
  'another hub tells it of {int} members {int} ms later',
  function (this: PeeringWorld, members: number, ms: number) {
    this.now += ms;
    this.table.applyDigest(createHubDigest('member-1', members), this.now);
    this.table.removeTimedOut(this.now);
  },
);

Then('it considers {int} members alive', function (this: PeeringWorld, members: number) {
  assert.equal(this.table.listAlive(this.now).size, members);
});

When('no news comes for {int} ms', function (this: PeeringWorld, ms: number) {
  for (const endsAt = this.now + ms; this.now < endsAt; this.now += PEERING_TICK_MS)
    this.table.removeTimedOut(this.now);
  assert.equal(this.table.listAlive(this.now).size, 0);
});

When('another hub tells it that {string} is gone', function (this: PeeringWorld, name: string) {
  const digest = createHubDigest('member-1', 2);
  const [summary] = digest.summaries ?? [];
  assert.ok(summary);
  this.table.applyDigest({ ...digest, summaries: [{ ...summary, gone: [name] }] }, this.now);
});

Then('it leaves duties to {int} others', function (this: PeeringWorld, others: number) {
  assert.equal(this.table.listCandidates().size, others);
});
