/**
 * Following one kind of objects: a list, then each change, through failures and lost history.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { nextBackoff, type Backoff } from '../../core/backoff/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { StoreChanges, StorePage } from '../../ports/index.js';
import type { ObjectStore, StoreFailure } from './client.js';

interface FollowOptions {
  store: ObjectStore;
  kind: string;
  clock: Clock;
  random: Random;
  /** How long one watch waits for a change. */
  watchMs: Milliseconds;
  /** Pause after a change, so that changes in quick succession make one call. */
  pauseMs: Milliseconds;
  onList: (page: StorePage) => void;
  onChanges: (changes: StoreChanges) => void;
  /** Called with each answer and each failure of a call. */
  onContact: (failure: StoreFailure | undefined) => void;
  /** Called after an answer was taken, with the time at which its call was sent. */
  onProof: (at: Milliseconds) => void;
}

/** A loop that follows until it is stopped. */
export interface Follower {
  start(): void;
  /**
   * Ends a watch that waits and lists at once. For a connection that went silent without an end:
   * only others that hear more show it.
   */
  restart(): void;
  stop(): Promise<void>;
}

/** Short, because a store that turns one gateway away may take it again at any moment. */
const BACKOFF: Backoff = { baseMs: 100, maxMs: 800 };

/** Starts nothing by itself. */
export function createFollower(options: FollowOptions): Follower {
  const stop = new AbortController();
  let watch = new AbortController();
  let running: Promise<void> | undefined;
  const isStopped = (): boolean => stop.signal.aborted;

  const run = async (): Promise<void> => {
    let failures = 0;
    let revision: number | undefined;
    while (!isStopped()) {
      watch = new AbortController();
      const sentAt = options.clock.now();
      const next = await step(options, revision, AbortSignal.any([stop.signal, watch.signal]));
      if (isStopped()) return;
      if (watch.signal.aborted) {
        revision = undefined;
        continue;
      }
      options.onContact(next.failure);
      if (!next.failure && next.revision !== undefined) options.onProof(sentAt);
      failures = next.failure ? failures + 1 : 0;
      revision = next.revision;
      const pauseMs = next.failure
        ? nextBackoff(failures, BACKOFF, options.random)
        : next.changed
          ? options.pauseMs
          : 0;
      if (pauseMs > 0) await sleep(pauseMs, undefined, { signal: stop.signal }).catch(ignoreStop);
    }
  };

  return {
    start: () => {
      running ??= run();
    },
    restart: () => {
      watch.abort();
    },
    stop: async () => {
      stop.abort();
      await running;
    },
  };
}

interface Step {
  /** Where to watch from; undefined to list. */
  revision: number | undefined;
  changed: boolean;
  failure?: StoreFailure;
}

async function step(
  { store, kind, watchMs, onList, onChanges }: FollowOptions,
  revision: number | undefined,
  signal: AbortSignal,
): Promise<Step> {
  if (revision === undefined) {
    const page = await store.list(kind);
    if (page.isErr()) return { revision, changed: false, failure: page.error };
    if (!signal.aborted) onList(page.value);
    return { revision: page.value.revision, changed: false };
  }
  const answer = await store.watch(kind, revision, watchMs, signal);
  if (answer.isErr()) return { revision, changed: false, failure: answer.error };
  if (answer.value.kind === 'historyGone') return { revision: undefined, changed: false };
  const { changes } = answer.value;
  if (signal.aborted) return { revision, changed: false };
  if (changes.changes.length > 0) onChanges(changes);
  return {
    revision: Math.max(revision, changes.revision),
    changed: changes.changes.length > 0,
  };
}

/** The only rejection of the pause is that of the stop, after which the loop ends. */
function ignoreStop(): void {
  return undefined;
}
