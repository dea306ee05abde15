/**
 * Keeps watching some kinds of object, through failures and without ever going back.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import { nextBackoff, type Backoff } from '../../core/backoff/index.js';
import { createSystemClock, type Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Random } from '../../core/random/index.js';
import type { ObjectKind } from '../../objects/index.js';
import type { ObjectList } from './protocol.js';
import type { Platform, PlatformFailure } from './types.js';

interface WatchLoopOptions {
  platform: Pick<Platform, 'watch' | 'onReturn'>;
  kinds: readonly ObjectKind[];
  /** How long one watch waits for a change. */
  waitMs: Milliseconds;
  /** Pause after each change, so that many changes a second don't make as many calls. */
  pauseMs?: Milliseconds | (() => Milliseconds);
  random: Random;
  logger: Logger;
  /** Everything up to this revision is known already; 0 by default, which brings all objects. */
  since?: number;
  /**
   * Called with each answer, empty ones included: they confirm that what is known is current. No
   * answer is older than one before. Objects are the newest states of what changed, tombstones
   * included, in the order of their versions.
   */
  onList(list: ObjectList): void;
  onFailure?(failure: PlatformFailure): void;
}

/** A loop that can be started once. */
export interface WatchLoop {
  start(): void;
  /** Resolves when no call is under way; ends a waiting watch at once. */
  stop(): Promise<void>;
}

const DEFAULT_PAUSE_MS = 100;
/**
 * Watches that bring nothing are at least this far apart. One that is answered early would otherwise
 * be made again as fast as it is answered, and an entry that does nothing else serves nobody.
 */
const LEAST_ROUND_MS: Milliseconds = 100;
const clock = createSystemClock();
const BACKOFF: Backoff = { baseMs: 200, maxMs: 5_000 };

/**
 * A loop that answers its first list at once and then each change.
 *
 * @example
 * const loop = createWatchLoop({ platform, kinds: ['instance'], waitMs, random, logger, onList });
 * loop.start();
 */
export function createWatchLoop(options: WatchLoopOptions): WatchLoop {
  const abort = new AbortController();
  let running: Promise<void> | undefined;
  return {
    start: () => {
      running ??= runLoop(options, abort.signal);
    },
    stop: async () => {
      abort.abort();
      await running;
    },
  };
}

async function runLoop(options: WatchLoopOptions, signal: AbortSignal): Promise<void> {
  const { platform, kinds, logger } = options;
  const isStopped = (): boolean => signal.aborted;
  // What another call learns of the platform's return ends the turn under way, be it a watch that
  // may wait in vain or a pause after failures.
  let turn = new AbortController();
  const unsubscribe = platform.onReturn(() => {
    turn.abort();
  });
  let revision = options.since ?? 0;
  let failures = 0;
  // The first call does not wait, so that the state is known, or confirmed, at once.
  let waitMs = 0;
  while (!isStopped()) {
    turn = new AbortController();
    const turnSignal = AbortSignal.any([signal, turn.signal]);
    const startedAt = clock.now();
    const watched = await platform.watch(kinds, revision, waitMs, turnSignal);
    if (isStopped()) break;
    const answer = watched
      .andThen((list) => rejectOldCopy(list, revision))
      .andThen((list) => deliver(list, options));
    if (answer.isErr()) {
      waitMs = 0;
      if (turn.signal.aborted) continue;
      failures += 1;
      if (failures === 1) logger.log('platformWatchFailed', { reason: answer.error.message });
      options.onFailure?.(answer.error);
      // How long to stay away at least is the platform's word, which its return doesn't change.
      await pause(answer.error.retryAfterMs ?? 0, signal);
      await pause(nextBackoff(failures, BACKOFF, options.random), turnSignal);
      continue;
    }
    if (failures > 0) logger.log('platformWatchRecovered', { failures });
    failures = 0;
    revision = answer.value.revision;
    waitMs = options.waitMs;
    if (answer.value.objects.length > 0) {
      await pause(findPause(options.pauseMs), signal);
    } else {
      await pause(LEAST_ROUND_MS - (clock.now() - startedAt), turnSignal);
    }
  }
  unsubscribe();
}

/**
 * The failure guarded against: after a failover the platform answers from a copy that lacks the
 * last changes. It shows as a revision below one already seen. Taking such an answer would undo
 * changes that are in force here, so it counts as no answer at all.
 */
function rejectOldCopy(list: ObjectList, seen: number): Result<ObjectList, PlatformFailure> {
  if (list.revision >= seen) return ok(list);
  const reason = `it answered from an old copy: revision ${list.revision}, ${seen} was seen`;
  return err(createFailure('platformUnavailable', { reason }));
}

/** An exception while a list is processed counts as a failed watch: the loop must go on. */
function deliver(list: ObjectList, options: WatchLoopOptions): Result<ObjectList, PlatformFailure> {
  try {
    options.onList(list);
    return ok(list);
  } catch (error) {
    return err(createFailure('platformUnavailable', { reason: `not processed: ${String(error)}` }));
  }
}

function findPause(pauseMs: WatchLoopOptions['pauseMs']): Milliseconds {
  return typeof pauseMs === 'function' ? pauseMs() : (pauseMs ?? DEFAULT_PAUSE_MS);
}

async function pause(waitMs: Milliseconds, signal: AbortSignal): Promise<void> {
  if (waitMs <= 0) return;
  // The only rejection is that of the signal, after which the loop ends.
  await sleep(waitMs, undefined, { signal }).catch(() => undefined);
}
