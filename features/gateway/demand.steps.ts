/**
 * How the instances of a service are shared between its models, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DemandShares, splitDomains, type ModelLoad } from '../../src/controllers/groups/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import type { GroupModel } from '../../src/ports/index.js';
import { LARGE, SMALL } from './planning-model.js';

interface DemandWorld {
  large: GroupModel;
  small: GroupModel;
  instances: number;
  slots: number;
  isLoadNegative: boolean;
  /** Existing replicas of the large model. */
  largeExisting: number;
  smallExisting: number;
  now: number;
  shares: DemandShares;
  models: readonly GroupModel[];
  changes: number;
  largeGroups: number[];
}

const STEP_MS = 100;
const DOMAIN_SIZE = 37;
/** The steps of the surge: requests that are in flight once there is room for them. */
const SURGE_IN_FLIGHT = 900;

Given(
  /^(\d+) instances, (\d+) slots, and models of 16 and of 4 with (.+)$/,
  function (this: DemandWorld, instances: string, slots: string, input: string) {
    const share = input === 'shares of 0' ? 0 : input === 'shares that add up to 3' ? 1.5 : 0.5;
    this.large = { ...LARGE, size: input === 'a large model of 500' ? 500 : 16, share };
    this.small = { ...SMALL, size: 4, share };
    this.instances = Number(instances);
    this.slots = input === 'no slots' ? 0 : Number(slots);
    this.isLoadNegative = input === 'a negative load reported';
    this.largeExisting = 7;
    this.smallExisting = 27;
    this.now = 0;
    this.shares = new DemandShares();
    this.models = [this.large, this.small];
    this.changes = 0;
  },
);

Given('{int} replicas of the large model are left', function (this: DemandWorld, left: number) {
  this.largeExisting = left;
});

Given(
  '{int} replicas of the large model and {int} of the small one are left',
  function (this: DemandWorld, large: number, small: number) {
    this.largeExisting = large;
    this.smallExisting = small;
  },
);

/** Replicas of the large and the small model under the shares in use. */
function countGroups({ instances, models }: DemandWorld): [large: number, small: number] {
  const domains = Array.from({ length: Math.ceil(instances / DOMAIN_SIZE) }, (_, index) => ({
    domain: `fabric-${index}`,
    failureDomain: `zone-${index % 3}`,
    instances: DOMAIN_SIZE,
    groups: new Map<string, number>(),
  }));
  const targets = [...splitDomains(domains, models).values()].flat();
  const countOf = (name: string | undefined): number =>
    targets.filter(({ model }) => model.name === name).reduce((sum, { groups }) => sum + groups, 0);
  return [countOf(models[0]?.name), countOf(models[1]?.name)];
}

function observe(world: DemandWorld, shares: DemandShares, large: number, small: number): void {
  const sign = world.isLoadNegative ? -1 : 1;
  const models: ModelLoad[] = [
    { model: world.large, inFlight: sign * large, groups: world.largeExisting },
    { model: world.small, inFlight: sign * small, groups: world.smallExisting },
  ];
  const { slots, instances } = world;
  const next = shares.update('models', { slots, instances, models }, world.now);
  if (world.now > 0 && next !== world.models) world.changes += 1;
  world.models = next;
}

When(
  'for {int} s {int} requests are in flight at the large model and {int} at the small one',
  function (this: DemandWorld, seconds: number, large: number, small: number) {
    const endsAt = this.now + seconds * 1_000;
    for (; this.now < endsAt; this.now += STEP_MS) observe(this, this.shares, large, small);
  },
);

/** A sum of uniform values with the mean and the variance of a Poisson distribution. */
function fluctuate(mean: number, random: Random): number {
  const unit = Array.from({ length: 12 }, () => random.fraction()).reduce((a, b) => a + b, -6);
  return Math.max(0, mean + Math.sqrt(mean) * unit);
}

When(
  'for {int} s the load fluctuates around {int} and {int}, seed {int}',
  function (this: DemandWorld, seconds: number, large: number, small: number, seed: number) {
    const random = createRandom(seed);
    const endsAt = this.now + seconds * 1_000;
    let load = [large, small];
    for (; this.now < endsAt; this.now += STEP_MS) {
      // Requests last about a second, so the load is drawn anew once a second.
      if (this.now % 1_000 === 0) load = [fluctuate(large, random), fluctuate(small, random)];
      observe(this, this.shares, load[0] ?? 0, load[1] ?? 0);
    }
  },
);

When(
  '{int} gateways hear of the load up to {int} ms late, seed {int}',
  function (this: DemandWorld, gateways: number, lateMs: number, seed: number) {
    const random = createRandom(seed);
    const loads = Array.from({ length: 300 }, () => [
      fluctuate(36, random),
      fluctuate(376, random),
    ]);
    this.largeGroups = Array.from({ length: gateways }, () => {
      const delay = random.below(lateMs / STEP_MS);
      const shares = new DemandShares();
      for (this.now = 0; this.now < 10_000; this.now += STEP_MS) {
        const load = loads[Math.max(0, Math.floor((this.now / STEP_MS - delay) / 10))];
        observe(this, shares, load?.[0] ?? 0, load?.[1] ?? 0);
      }
      return countGroups(this)[0];
    });
  },
);

Then(
  'the small model gets at least {int} of 1000 slots that its demand of {int} would take',
  function (this: DemandWorld, perThousand: number, demand: number) {
    assert.equal(demand, SURGE_IN_FLIGHT);
    const slots = countGroups(this)[1] * this.slots;
    assert.ok(slots >= (demand * perThousand) / 1_000, `${slots} slots`);
  },
);

Then(
  'the large model keeps at least {int} replica(s)',
  function (this: DemandWorld, least: number) {
    const [large] = countGroups(this);
    assert.ok(large >= least, `${large} replicas`);
  },
);

Then('the shares have changed at most {int} time(s)', function (this: DemandWorld, most: number) {
  assert.ok(this.changes <= most, `${this.changes} changes`);
});

Then(
  'their numbers of large replicas differ by at most {int} after 10 s',
  function (this: DemandWorld, most: number) {
    const difference = Math.max(...this.largeGroups) - Math.min(...this.largeGroups);
    assert.ok(difference <= most, this.largeGroups.join(', '));
  },
);

Then('each share is between 0 and 1 and they add up to 1', function (this: DemandWorld) {
  const total = this.models.reduce((sum, { share }) => sum + share, 0);
  assert.ok(this.models.every(({ share }) => share >= 0 && share <= 1));
  assert.ok(Math.abs(total - 1) < 1e-9, `${total}`);
});

Then('the small model has at least {int} slots', function (this: DemandWorld, least: number) {
  const slots = countGroups(this)[1] * this.slots;
  assert.ok(slots >= least, `${slots} slots`);
});
