import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  findSpendable,
  findWatchPause,
  planRound,
  refillBudget,
  type ByteBudget,
} from '../../src/controllers/membership/index.js';
import { createRandom } from '../../src/core/random/index.js';

const BYTES_PER_SECOND = 1_500;
const EXCHANGE_BYTES = 500;
const FAN_OUT = 3;

interface PauseWorld {
  sizes: readonly number[];
  budget: ByteBudget;
  reached: number;
}

When(
  'plans change all the time before fleets of {int} to {int} entries',
  function (this: PauseWorld, least: number, most: number) {
    this.sizes = Array.from({ length: most - least + 1 }, (_, at) => least + at);
  },
);

Then(
  'the watch calls of none pass {int} a second, or {int} of each entry',
  function (this: PauseWorld, ofAll: number, ofEach: number) {
    for (const entries of this.sizes) {
      const calls = 1_000 / findWatchPause(entries);
      assert.ok(calls <= ofEach, `${entries} entries: ${calls} a second each`);
      assert.ok(
        calls * entries <= ofAll * 1.001,
        `${entries} entries: ${calls * entries} a second`,
      );
    }
  },
);

Given('rounds without news that took all the bytes they may', function (this: PauseWorld) {
  this.budget = { left: 0, at: 0 };
  for (let now = 0; now <= 60_000; now += 500) {
    this.budget = refillBudget(this.budget, BYTES_PER_SECOND, now);
    const used = countTargets(this.budget, false) * EXCHANGE_BYTES;
    this.budget = { ...this.budget, left: this.budget.left - used };
  }
  assert.equal(countTargets(this.budget, false), 0);
});

When('there is news', function (this: PauseWorld) {
  this.reached = countTargets(this.budget, true);
});

Then('a round goes to as many entries as ever', function (this: PauseWorld) {
  assert.equal(this.reached, FAN_OUT);
});

function countTargets(budget: ByteBudget, hasNews: boolean): number {
  const targets = [1, 2, 3, 4, 5].map((port) => ({ address: `127.0.0.1:${port}` }));
  const bytesLeft = findSpendable(budget, BYTES_PER_SECOND, hasNews);
  const question = { failureDomain: 'a', targets, fanOut: FAN_OUT, bytesLeft };
  return planRound({ ...question, bytesPerExchange: EXCHANGE_BYTES }, createRandom(1)).length;
}
