/**
 * A watch loop over a platform that does not wait for news.
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

interface EarlyWorld {
  answeredEarly: number;
}

/** Then it falls silent, so that a loop without pauses ends as well. */
const MOST_ANSWERS = 1_000;

Given('a platform that answers every watch at once and without news', function (this: EarlyWorld) {
  this.answeredEarly = 0;
});

When('it is watched for {int} ms', async function (this: EarlyWorld, ms: number) {
  const watch = (): ResultAsync<ObjectList, PlatformFailure> => {
    this.answeredEarly += 1;
    return this.answeredEarly > MOST_ANSWERS
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
  // Not waited for: without pauses it hangs in the call that is never answered.
  void loop.stop();
});

Then('it was asked at most {int} times', function (this: EarlyWorld, most: number) {
  assert.ok(this.answeredEarly <= most, `asked ${this.answeredEarly} times`);
});
