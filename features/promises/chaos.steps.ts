import assert from 'node:assert/strict';
import { Then, When, type World } from '@cucumber/cucumber';
import { runChaos, type ChaosReport } from '../../bench/chaos/run.js';

interface ChaosWorld extends World {
  chaos: ChaosReport;
}

When(
  'the faults of seed {int} come over {int} seconds',
  async function (this: ChaosWorld, seed: number, seconds: number) {
    this.chaos = await runChaos(seed, seconds);
  },
);

Then('no invariant of the random faults was broken', function (this: ChaosWorld) {
  const { violations, schedule, tally } = this.chaos;
  assert.deepEqual(violations, [], JSON.stringify(schedule));
  assert.ok(tally.wholeStreams > 0 && tally.answeredCalls > 0, JSON.stringify(tally));
});
