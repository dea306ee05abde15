/**
 * Steps for a watch loop whose platform answers watches immediately.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { okAsync, ResultAsync } from 'neverthrow';
import {
  createWatchLoop,
  type ObjectList,
  type PlatformFailure,
} from '../../src/adapters/platform/index.js';
import { createRandom } from '../../src/core/random/index.js';

interface EarlyAnswersWorld {
  watchCalls: number;
}

/** Number of answered watches; later ones never resolve, so that a loop without pauses ends too. */
const MAX_ANSWERS = 1_000;

Given(
  'a platform that answers every watch at once and without news',
  function (this: EarlyAnswersWorld) {
    this.watchCalls = 0;
  },
);

When('it is watched for {int} ms', async function (this: EarlyAnswersWorld, ms: number) {
  const watch = (): ResultAsync<ObjectList, PlatformFailure> => {
    this.watchCalls += 1;
    return this.watchCalls > MAX_ANSWERS
      ? new ResultAsync(new Promise(() => undefined))
      : okAsync({ objects: [], revision: 0 });
  };
  const loop = createWatchLoop({
    platform: { watch, onReturn: () => () => undefined },
    kinds: ['model'],
    waitMs: 5_000,
    random: createRandom(3),
    logger: { log: () => undefined },
    onList: () => undefined,
  });
  loop.start();
  await sleep(ms);
  // Not awaited: a loop without pauses hangs in the watch that never resolves.
  void loop.stop();
});

Then('it was asked at most {int} times', function (this: EarlyAnswersWorld, max: number) {
  assert.ok(this.watchCalls <= max, `asked ${this.watchCalls} times`);
});
