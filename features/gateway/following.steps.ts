/**
 * The follower and the reachability tracker, without sockets.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { err, ok, okAsync, ResultAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import {
  createManualClock,
  createSystemClock,
  type ManualClock,
} from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type { CallKind, ObjectStore, StoreFailure } from '../../src/gateway/store/client.js';
import {
  createReachabilityTracker,
  type ReachabilityTracker,
} from '../../src/gateway/store/reachability.js';
import { createFollower, type Follower } from '../../src/gateway/store/follower.js';
import type { StoreReachability } from '../../src/gateway/types.js';
import { waitFor } from '../support/waiting.js';

interface FollowingWorld {
  follower: Follower;
  /** Calls sent to the store. */
  calls: number;
  /** Lists processed without an exception. */
  listsProcessed: number;
  remainingThrows: number;
  errors: number;
  /** Whether reading the answer to a watch that waits throws, while polls are due at all times. */
  watchesThrow?: boolean;
  retryAfterMs: number;
  /** Cuts off the watches that wait; those that return what there is are answered. */
  cutWatches: (() => void) | undefined;
  manualClock: ManualClock;
  reachability: ReachabilityTracker;
  section: ReturnType<typeof createSection<StoreReachability>>;
}

const clock = createSystemClock();
const WATCH_MS = 8_000;
const HEARTBEAT_MS = 1_200;
const settings = { servers: { heartbeatMs: HEARTBEAT_MS } };

After(async function (this: Partial<FollowingWorld>) {
  await this.follower?.stop();
});

function waitUntilCut(world: FollowingWorld): ReturnType<ObjectStore['watch']> {
  return new ResultAsync(
    new Promise((resolve) => {
      world.cutWatches = () => {
        resolve(err(createFailure('platformUnavailable', { reason: 'cut off' })));
      };
    }),
  );
}

type ListBehavior = Pick<ObjectStore, 'list'>['list'];

function startFollower(world: FollowingWorld, isSilent: boolean, list?: ListBehavior): void {
  world.calls = 0;
  world.listsProcessed = 0;
  world.errors = 0;
  world.remainingThrows = 0;
  const countCall = (): void => {
    world.calls += 1;
  };
  const neverAnswered = <Value>(): ResultAsync<Value, StoreFailure> =>
    new ResultAsync(new Promise(() => undefined));
  const store: ObjectStore = {
    list: (kind, call) => {
      countCall();
      if (list) return list(kind, call);
      return isSilent ? neverAnswered() : okAsync({ objects: [], more: false, revision: 1 });
    },
    watch: (_kind, _revision, waitMs) => {
      countCall();
      if (waitMs === WATCH_MS && world.watchesThrow) return throwWhileRead();
      if (waitMs === WATCH_MS && world.cutWatches) return waitUntilCut(world);
      return okAsync({ kind: 'changes', changes: { changes: [], revision: 1 } });
    },
    read: neverAnswered,
    write: neverAnswered,
    remove: neverAnswered,
    check: neverAnswered,
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
    watchMs: WATCH_MS,
    coalesceMs: () => 0,
    proofDueInMs: () => (world.watchesThrow ? 0 : 1_000),
    retryAfterMs: () => world.retryAfterMs,
    onList: () => {
      if (world.remainingThrows > 0) {
        world.remainingThrows -= 1;
        throw new Error('unexpected object');
      }
      world.listsProcessed += 1;
    },
    onChanges: () => undefined,
    onProof: () => undefined,
    onSilentWatch: () => undefined,
    onError: () => {
      world.errors += 1;
    },
  });
  world.follower.start();
}

Given('a follower of a store that answers at once', function (this: FollowingWorld) {
  this.retryAfterMs = 100;
  startFollower(this, false);
});

function throwWhileRead<Value>(): ResultAsync<Value, StoreFailure> {
  return new ResultAsync(Promise.reject(new Error('unreadable body')));
}

Given(
  'a follower of a store the reading of whose first {int} answers throws, retrying every {int} ms',
  function (this: FollowingWorld, answers: number, everyMs: number) {
    this.retryAfterMs = everyMs;
    startFollower(this, false, () =>
      this.calls <= answers ? throwWhileRead() : okAsync({ objects: [], more: false, revision: 1 }),
    );
  },
);

Given(
  'a follower of a store the reading of whose watches throws, retrying every {int} ms',
  function (this: FollowingWorld, everyMs: number) {
    this.retryAfterMs = everyMs;
    this.watchesThrow = true;
    startFollower(this, false);
  },
);

Then('it has reported {int} errors', function (this: FollowingWorld, errors: number) {
  assert.equal(this.errors, errors);
});

Given('processing the first list throws', function (this: FollowingWorld) {
  this.remainingThrows = 1;
});

Then('it has processed a list within {int} ms', async function (this: FollowingWorld, ms: number) {
  await waitFor('a list', () => this.listsProcessed > 0, ms);
});

Given(
  'a follower of a silent store that retries every {int} ms',
  function (this: FollowingWorld, everyMs: number) {
    this.retryAfterMs = everyMs;
    startFollower(this, true);
  },
);

When('its retry interval becomes {int} ms', function (this: FollowingWorld, everyMs: number) {
  this.retryAfterMs = everyMs;
});

Then(
  'the store is called {int} times within {int} ms',
  async function (this: FollowingWorld, times: number, ms: number) {
    await waitFor('the questions', () => this.calls >= times, ms);
  },
);

When('it has followed for {int} ms', async function (this: FollowingWorld, ms: number) {
  await sleep(ms);
});

Then('the store was called at most {int} times', function (this: FollowingWorld, most: number) {
  assert.ok(this.calls <= most, `asked ${this.calls} times`);
});

Given('a gateway that reaches the store', function (this: FollowingWorld) {
  this.section = createSection<StoreReachability>({ reachable: false, since: 0 });
  const logger = { log: () => undefined };
  this.reachability = createReachabilityTracker({ clock, logger, settings }, this.section);
  this.reachability.record({ kind: 'read', sentAt: clock.now(), failure: undefined });
});

When('{int} of its writes are rejected', function (this: FollowingWorld, writes: number) {
  const failure = createFailure('platformUnavailable', { reason: 'status 429' });
  for (let index = 0; index < writes; index += 1) {
    this.reachability.record({ kind: 'write', sentAt: clock.now(), failure });
  }
});

Then(
  'it still reaches the store, and missing entries count as gone at once',
  function (this: FollowingWorld) {
    assert.ok(this.section.read().reachable);
    const now = clock.now();
    assert.equal(this.reachability.absenceEffectiveFrom(now), now);
  },
);

const PART_INTERVAL_MS = 100;

/** Answers after `forMs`, of which parts arrive until then; or never, once its first parts have. */
function listInParts(forMs: number, isWhole: boolean): ListBehavior {
  return (_kind, { onProgress, signal } = {}) => {
    const parts = setInterval(() => onProgress?.(), PART_INTERVAL_MS);
    signal?.addEventListener('abort', () => {
      clearInterval(parts);
    });
    const page = { objects: [], more: false, revision: 1 };
    return new ResultAsync(
      sleep(forMs).then(() => {
        clearInterval(parts);
        return isWhole ? ok(page) : new Promise<never>(() => undefined);
      }),
    );
  };
}

Given(
  'a follower of a store whose answers arrive in parts for {int} ms, retrying every {int} ms',
  function (this: FollowingWorld, forMs: number, everyMs: number) {
    this.retryAfterMs = everyMs;
    startFollower(this, false, listInParts(forMs, true));
  },
);

Given(
  'a follower of a store whose answers stop arriving, retrying every {int} ms',
  function (this: FollowingWorld, everyMs: number) {
    this.retryAfterMs = everyMs;
    startFollower(this, false, listInParts(2 * PART_INTERVAL_MS, false));
  },
);

When(
  'its calls from before now are aborted after {int} ms',
  async function (this: FollowingWorld, ms: number) {
    await sleep(ms);
    this.follower.abortCallsBefore(clock.now() - 2 * PART_INTERVAL_MS);
  },
);

Given(
  'a follower whose watch waits, retrying after {int} ms',
  async function (this: FollowingWorld, retryMs: number) {
    this.retryAfterMs = retryMs;
    this.cutWatches = () => undefined;
    startFollower(this, false);
    await waitFor('the watch', () => this.calls >= 2);
  },
);

When('its watch is cut off', function (this: FollowingWorld) {
  this.cutWatches?.();
});

const LOST = createFailure('platformUnavailable', { reason: 'cut off' });

function record(world: FollowingWorld, kind: CallKind, failure?: StoreFailure): void {
  world.reachability.record({ kind, sentAt: world.manualClock.now(), failure });
}

Given('a gateway whose store has just answered', function (this: FollowingWorld) {
  this.manualClock = createManualClock(100_000);
  this.section = createSection<StoreReachability>({ reachable: false, since: 0 });
  const logger = { log: () => undefined };
  const context = { clock: this.manualClock, logger, settings };
  this.reachability = createReachabilityTracker(context, this.section);
  record(this, 'read');
});

When(
  /^a (read|watch) of it fails and the store answers again (\d+) ms later$/,
  function (this: FollowingWorld, kind: CallKind, ms: string) {
    record(this, kind, LOST);
    this.manualClock.advance(Number(ms));
    record(this, 'read');
  },
);

When(
  'a read of it fails, and {int} ms later another gateway has an answer',
  function (this: FollowingWorld, ms: number) {
    record(this, 'read', LOST);
    this.manualClock.advance(ms);
    this.reachability.recordPeerContact(this.manualClock.now());
  },
);

Then(
  'entries that are missing then count as gone after {int} ms',
  function (this: FollowingWorld, ms: number) {
    const now = this.manualClock.now();
    assert.equal(this.reachability.absenceEffectiveFrom(now) - now, ms);
  },
);

Then('the gateway has not counted the store as lost', function (this: FollowingWorld) {
  assert.deepEqual(this.section.read(), { reachable: true, since: 100_000 });
});
