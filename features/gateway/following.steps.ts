/**
 * The loop that follows the store, and the contact that all calls make, without sockets.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { okAsync, ResultAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type { ObjectStore, StoreFailure } from '../../src/gateway/store/client.js';
import { createReachabilityTracker, type ContactKeeper } from '../../src/gateway/store/contact.js';
import { createFollower, type Follower } from '../../src/gateway/store/follower.js';
import type { StoreReachability } from '../../src/gateway/types.js';
import { waitFor } from '../support/waiting.js';

interface FollowingWorld {
  follower: Follower;
  /** Calls that the store was sent. */
  asked: number;
  /** Lists that were taken to the end. */
  taken: number;
  throwsLeft: number;
  askAgainMs: number;
  contact: ContactKeeper;
  section: ReturnType<typeof createSection<StoreReachability>>;
}

const clock = createSystemClock();

After(async function (this: Partial<FollowingWorld>) {
  await this.follower?.stop();
});

function follow(world: FollowingWorld, isSilent: boolean): void {
  world.asked = 0;
  world.taken = 0;
  world.throwsLeft = 0;
  const count = (): void => {
    world.asked += 1;
  };
  const never = <Value>(): ResultAsync<Value, StoreFailure> =>
    new ResultAsync(new Promise(() => undefined));
  const store: ObjectStore = {
    list: () => {
      count();
      return isSilent ? never() : okAsync({ objects: [], more: false, revision: 1 });
    },
    watch: () => {
      count();
      return okAsync({ kind: 'changes', changes: { changes: [], revision: 1 } });
    },
    read: never,
    write: never,
    check: never,
    replaceConnections: () => undefined,
    era: () => 0,
    observeEra: () => undefined,
    close: () => Promise.resolve(),
  };
  world.follower = createFollower({
    store,
    kind: 'things',
    clock,
    random: createRandom(1),
    watchMs: 8_000,
    coalesceMs: 0,
    proofDueInMs: () => 1_000,
    retryAfterMs: () => world.askAgainMs,
    onList: () => {
      if (world.throwsLeft > 0) {
        world.throwsLeft -= 1;
        throw new Error('an object that no code expected');
      }
      world.taken += 1;
    },
    onChanges: () => undefined,
    onProof: () => undefined,
    onSilentWatch: () => undefined,
    onError: () => undefined,
  });
  world.follower.start();
}

Given('a follower of a store that answers at once', function (this: FollowingWorld) {
  this.askAgainMs = 100;
  follow(this, false);
});

Given('taking the first list throws', function (this: FollowingWorld) {
  this.throwsLeft = 1;
});

Then('it has taken a list within {int} ms', async function (this: FollowingWorld, ms: number) {
  await waitFor('a list', () => this.taken > 0, ms);
});

Given(
  'a follower of a store that is silent, which asks again every {int} ms',
  function (this: FollowingWorld, everyMs: number) {
    this.askAgainMs = everyMs;
    follow(this, true);
  },
);

When('it is to ask again every {int} ms', function (this: FollowingWorld, everyMs: number) {
  this.askAgainMs = everyMs;
});

Then(
  'the store is asked {int} times within {int} ms',
  async function (this: FollowingWorld, times: number, ms: number) {
    await waitFor('the questions', () => this.asked >= times, ms);
  },
);

When('it has followed for {int} ms', async function (this: FollowingWorld, ms: number) {
  await sleep(ms);
});

Then('the store was asked at most {int} times', function (this: FollowingWorld, most: number) {
  assert.ok(this.asked <= most, `asked ${this.asked} times`);
});

Given('a gateway that reaches the store', function (this: FollowingWorld) {
  this.section = createSection<StoreReachability>({ reachable: false, since: 0 });
  const logger = { log: () => undefined };
  this.contact = createReachabilityTracker({ clock, logger }, this.section);
  this.contact.record({ kind: 'read', sentAt: clock.now(), failure: undefined });
});

When('{int} of its writes are turned away', function (this: FollowingWorld, writes: number) {
  const failure = createFailure('platformUnavailable', { reason: 'status 429' });
  for (let index = 0; index < writes; index += 1) {
    this.contact.record({ kind: 'write', sentAt: clock.now(), failure });
  }
});

Then(
  'it still reaches the store, and what vanishes counts as gone at once',
  function (this: FollowingWorld) {
    assert.ok(this.section.read().reachable);
    const now = clock.now();
    assert.equal(this.contact.absenceEffectiveFrom(now), now);
  },
);
