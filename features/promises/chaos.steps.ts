import assert from 'node:assert/strict';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { runChaos, type ChaosReport } from '../../bench/chaos/run.js';
import { startDeployment } from './deployment.js';
import type { PromiseWorld } from './world.js';

interface ChaosWorld extends World, PromiseWorld {
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

Given('a deployment with 1 entry', async function (this: ChaosWorld) {
  this.deployment = await startDeployment({ engines: {}, services: 0, entries: 1 });
});

When('{int} more entries start at the same time', async function (this: ChaosWorld, count: number) {
  await Promise.all(Array.from({ length: count }, () => this.deployment.startEntry()));
});

Then('{int} entries run under names of their own', function (this: ChaosWorld, count: number) {
  assert.equal(this.deployment.entries.size, count);
});
