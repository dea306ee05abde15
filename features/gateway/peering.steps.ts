/**
 * How gateways know each other, on a model without sockets.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { addLoad, LagTracker } from '../../src/controllers/peering/index.js';
import { PeeringModel, type ModelGateway } from './peering-model.js';

interface PeeringWorld {
  model: PeeringModel;
  lateAfterMs: number | undefined;
}

const SEED = 2_212;
const RUNS = 25;
const HEARS_EVERY_MS = 100;
const LONGEST_LAG_MS = 10_000;
/** Time in which a fleet settles after the last change: both silences, and the rounds after them. */
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

When('the gateways that answer for their failure domains die', function (this: PeeringWorld) {
  for (const gateway of listHubs(this.model)) gateway.isAlive = false;
});

When(
  'the gateways that answer for their failure domains are cut off from the store',
  function (this: PeeringWorld) {
    for (const gateway of listHubs(this.model)) gateway.storeReachable = false;
  },
);

Then('each of them knows that all others live', function (this: PeeringWorld) {
  checkAlive(this.model);
});

Then('each of them knows the load of all others', function (this: PeeringWorld) {
  const { living } = this.model;
  for (const gateway of living) {
    const expected = new Map<string, number>();
    for (const other of living) if (other !== gateway) addLoad(expected, other.load);
    assert.deepEqual(sorted(gateway.table.sumLoad()), sorted(expected), gateway.name);
  }
});

Then('one of them answers for each failure domain', function (this: PeeringWorld) {
  const { living } = this.model;
  for (const domain of new Set(living.map(({ failureDomain }) => failureDomain))) {
    assert.equal(this.model.hubsOf(domain).length, 1, domain);
  }
});

Then(
  'over {int} ms none has more than {int} exchanges a second, and on average they have at most {int}',
  function (this: PeeringWorld, ms: number, most: number, mean: number) {
    const { living } = this.model;
    for (const gateway of living) gateway.exchanges = 0;
    this.model.run(ms);
    const rates = living.map(({ exchanges }) => (exchanges * 1_000) / ms);
    assert.ok(Math.max(...rates) <= most, `${Math.max(...rates)} a second at one`);
    const average = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
    assert.ok(average <= mean, `${average} a second on average`);
  },
);

Then('none of them relies on a gateway that is dead', function (this: PeeringWorld) {
  checkReliance(this.model);
});

Then(
  'none of them relies on a gateway that is cut off from the store',
  function (this: PeeringWorld) {
    checkReliance(this.model);
  },
);

Given(
  'a gateway that hears of the servers every {int} ms and is behind in the configuration',
  function (this: PeeringWorld, everyMs: number) {
    this.lateAfterMs = findLateAfter(everyMs, 0);
  },
);

Given(
  'a gateway that is behind in the configuration and reads it every {int} ms',
  function (this: PeeringWorld, readEveryMs: number) {
    this.lateAfterMs = findLateAfter(HEARS_EVERY_MS, readEveryMs);
  },
);

Then(
  'it does not fetch the configuration from another gateway before {int} ms',
  function (this: PeeringWorld, ms: number) {
    assert.ok(this.lateAfterMs !== undefined && this.lateAfterMs >= ms, `${this.lateAfterMs} ms`);
  },
);

/** When one that hears of the servers all the while, and of a newer configuration, counts as late. */
function findLateAfter(everyMs: number, readEveryMs: number): number | undefined {
  const lag = new LagTracker(readEveryMs);
  for (let now = 0; now < LONGEST_LAG_MS; now += everyMs) {
    const own = { configurationVersion: 1, fleetRevision: now + 1 };
    const known = { configurationVersion: 2, fleetRevision: now + 2 };
    if (lag.isLate(own, known, now)) return now;
  }
  return undefined;
}

Then(
  'it fetches the configuration from another gateway within {int} ms',
  function (this: PeeringWorld, ms: number) {
    assert.ok(this.lateAfterMs !== undefined && this.lateAfterMs <= ms, `${this.lateAfterMs} ms`);
  },
);

Then('after any deaths and returns all that live know each other again', () => {
  const event = fc.record({
    at: fc.nat({ max: 23 }),
    kind: fc.constantFrom('dies', 'returns', 'passes'),
    ms: fc.integer({ min: 100, max: 3_000 }),
  });
  const property = fc.property(fc.array(event, { maxLength: 12 }), (events) => {
    const model = new PeeringModel(3, 8);
    model.run(3_000);
    for (const { at, kind, ms } of events) {
      const gateway = model.gateways[at];
      if (kind === 'dies' && gateway && model.living.length > 1) gateway.isAlive = false;
      // Its seeds are the first three; the store lists all that ever announced themselves.
      if (kind === 'returns') gateway?.restart(model.gateways, model.now);
      model.run(ms);
    }
    model.run(SETTLE_MS);
    checkAlive(model);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

function listHubs({ living }: PeeringModel): ModelGateway[] {
  return living.filter(({ table }) => table.isHub());
}

function checkAlive(model: PeeringModel): void {
  const names = model.living.map(({ name }) => name).sort();
  for (const gateway of model.living) {
    const others = names.filter((name) => name !== gateway.name);
    assert.deepEqual(model.aliveAt(gateway), others, gateway.name);
  }
}

/** Whoever trusts its hub has one that lives and reaches the store; a hub relies on nobody. */
function checkReliance(model: PeeringModel): void {
  for (const { name, table } of model.living) {
    if (table.isHub()) continue;
    assert.notEqual(table.judgeHub(model.now), 'trusted', name);
  }
}

function sorted(load: ReadonlyMap<string, number>): [string, number][] {
  return [...load].sort(([a], [b]) => (a < b ? -1 : 1));
}
