import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  computeSpendableBytes,
  computeWatchDelay,
  planRound,
  refillBudget,
  type ByteBudget,
} from '../../src/controllers/membership/index.js';
import { createRandom } from '../../src/core/random/index.js';

const BYTES_PER_SECOND = 1_500;
const EXCHANGE_BYTES = 500;
const FAN_OUT = 3;

interface RatesWorld {
  fleetSizes: readonly number[];
  budget: ByteBudget;
  targetCount: number;
}

When(
  'plans change continuously in fleets of {int} to {int} entries',
  function (this: RatesWorld, minEntries: number, maxEntries: number) {
    this.fleetSizes = Array.from(
      { length: maxEntries - minEntries + 1 },
      (_, at) => minEntries + at,
    );
  },
);

Then(
  'no fleet makes more than {int} watch calls a second, or {int} per entry',
  function (this: RatesWorld, maxTotal: number, maxPerEntry: number) {
    for (const entries of this.fleetSizes) {
      const calls = 1_000 / computeWatchDelay(entries);
      assert.ok(calls <= maxPerEntry, `${entries} entries: ${calls} a second each`);
      assert.ok(
        calls * entries <= maxTotal * 1.001,
        `${entries} entries: ${calls * entries} a second`,
      );
    }
  },
);

Given('rounds without updates that spent all bytes available to them', function (this: RatesWorld) {
  this.budget = { left: 0, at: 0 };
  for (let now = 0; now <= 60_000; now += 500) {
    this.budget = refillBudget(this.budget, BYTES_PER_SECOND, now);
    const used = countTargets(this.budget, false) * EXCHANGE_BYTES;
    this.budget = { ...this.budget, left: this.budget.left - used };
  }
  assert.equal(countTargets(this.budget, false), 0);
});

When('there is an update', function (this: RatesWorld) {
  this.targetCount = countTargets(this.budget, true);
});

Then('a round has the full fan-out', function (this: RatesWorld) {
  assert.equal(this.targetCount, FAN_OUT);
});

function countTargets(budget: ByteBudget, hasUpdates: boolean): number {
  const targets = [1, 2, 3, 4, 5].map((port) => ({ address: `127.0.0.1:${port}` }));
  const bytesLeft = computeSpendableBytes(budget, BYTES_PER_SECOND, hasUpdates);
  const options = { failureDomain: 'a', targets, fanOut: FAN_OUT, bytesLeft };
  return planRound({ ...options, bytesPerExchange: EXCHANGE_BYTES }, createRandom(1)).length;
}
