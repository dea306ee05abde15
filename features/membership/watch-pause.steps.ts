import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { findWatchPause } from '../../src/controllers/membership/index.js';

interface PauseWorld {
  sizes: readonly number[];
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
