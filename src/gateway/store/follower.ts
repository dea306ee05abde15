/**
 * Follows the objects of one kind: lists them, then watches for changes; relists when the store no
 * longer has the changes.
 *
 * While the store answers, a long watch waits for the next change. After a failed call or a change of
 * reachability the follower sends short watches until one is answered, since a long one could wait on
 * a dead connection.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Ok, Result, ResultAsync } from 'neverthrow';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { StoreChanges, StorePage } from '../../ports/index.js';
import type { CallOptions, ObjectStore, StoreFailure, WatchAnswer } from './client.js';
import { callHedged } from './hedged-call.js';

export interface FollowOptions {
  store: ObjectStore;
  kind: string;
  clock: Clock;
  random: Random;
  /** How long one watch waits for a change. */
  watchMs: Milliseconds;
  /** Time until the last proof of freshness, from store or peer, is old enough to poll the store. */
  proofDueInMs: () => Milliseconds;
  /** Pause after a change, so that changes in quick succession share one call. */
  coalesceMs: () => Milliseconds;
  /** Time without an answer after which a call is repeated; read before each repetition. */
  retryAfterMs: () => Milliseconds;
  onList: (page: StorePage) => void;
  onChanges: (changes: StoreChanges) => void;
  /** Called when a poll found a change that the long watch had not delivered after `waitedMs`. */
  onSilentWatch: (waitedMs: Milliseconds) => void;
  /** Called when `onList` or `onChanges` has thrown. */
  onError: (error: unknown) => void;
  /** Called after an answer was processed, with the time at which its call was sent. */
  onProof: (at: Milliseconds) => void;
}

/** A loop that runs until it is stopped. */
export interface Follower {
  start(): void;
  /**
   * Aborts the call in flight if it was sent before `at` and nothing of its answer has come since, and
   * sends a short one instead.
   */
  abortCallsBefore(at: Milliseconds): void;
  /** Lists all objects again. */
  relist(): void;
  stop(): Promise<void>;
}

/** Wait of a short watch, which returns the changes made so far. */
const PEEK_WAIT_MS: Milliseconds = 1;
/** Fixed part of the pause after a failure; the rest is random. */
const MIN_RETRY_FRACTION = 0.5;
/** Shortest sleep before a poll; timers may fire slightly early. */
const MIN_PROOF_DELAY_MS: Milliseconds = 5;
/**
 * Shortest time between calls that return no change. Prevents a busy loop with a store that answers
 * watches at once or keeps discarding its history.
 */
const MIN_CALL_INTERVAL_MS: Milliseconds = 100;

/** Creates a follower that is not yet started. */
export function createFollower(options: FollowOptions): Follower {
  const stop = new AbortController();
  let call = new AbortController();
  let activeAt: Milliseconds = Number.NEGATIVE_INFINITY;
  let running: Promise<void> | undefined;
  let mustRelist = false;
  const isStopped = (): boolean => stop.signal.aborted;
  const isCallAborted = (): boolean => call.signal.aborted;
  const { clock, random } = options;

  const recordActivity = (): Milliseconds => {
    activeAt = clock.now();
    return activeAt;
  };
  const run = async (): Promise<void> => {
    let state: FollowState = { revision: undefined, isConnected: false };
    while (!isStopped()) {
      call = new AbortController();
      if (mustRelist) state = { revision: undefined, isConnected: false };
      mustRelist = false;
      const signal = AbortSignal.any([stop.signal, call.signal]);
      const startedAt = clock.now();
      const result = await runStep({ options, state, signal, recordActivity }).catch(recover);
      if (isStopped()) return;
      if (isCallAborted()) {
        state = { ...state, isConnected: false };
        continue;
      }
      state = result;
      await pause(pauseAfter(result, clock.now() - startedAt));
      if (isCallAborted()) state = { ...state, isConnected: false };
    }
  };
  /** Keeps the loop running when processing an answer throws. */
  const recover = (error: unknown): StepResult => {
    options.onError(error);
    return { revision: undefined, isConnected: false, changed: false };
  };
  const pauseAfter = (
    { isConnected, changed, wasCutOff }: StepResult,
    tookMs: Milliseconds,
  ): Milliseconds => {
    if (wasCutOff) return MIN_CALL_INTERVAL_MS - tookMs;
    if (!isConnected) return addJitter(options.retryAfterMs(), random);
    return changed ? options.coalesceMs() : MIN_CALL_INTERVAL_MS - tookMs;
  };
  const pause = async (ms: Milliseconds): Promise<void> => {
    if (ms <= 0) return;
    const signal = AbortSignal.any([stop.signal, call.signal]);
    await sleep(ms, undefined, { signal }).catch(ignoreAbort);
  };

  return {
    start: () => {
      running ??= run();
    },
    abortCallsBefore: (at) => {
      if (activeAt < at) call.abort();
    },
    relist: () => {
      mustRelist = true;
      call.abort();
    },
    stop: async () => {
      stop.abort();
      await running;
    },
  };
}

/** Progress of a follower. */
interface FollowState {
  /** Revision to watch from; undefined to list. */
  revision: number | undefined;
  /** The last call was answered, so the next one may be a long watch. */
  isConnected: boolean;
}

interface StepResult extends FollowState {
  changed: boolean;
  /** A watch that waited was cut off, which says nothing of the store. */
  wasCutOff?: boolean;
}

interface StepContext {
  options: FollowOptions;
  state: FollowState;
  signal: AbortSignal;
  /** Called for each call that is sent and each part of its answer; returns the time. */
  recordActivity: () => Milliseconds;
}

/** An answer with the time at which its call was sent. */
interface TimedAnswer<Value> {
  value: Value;
  sentAt: Milliseconds;
}

async function runStep(context: StepContext): Promise<StepResult> {
  const { state, options, signal } = context;
  const { revision } = state;
  const disconnected = { revision, isConnected: false, changed: false };
  if (revision === undefined) {
    const page = await callUntilAnswered(context, (call) => options.store.list(options.kind, call));
    if (page.isErr() || signal.aborted) return disconnected;
    options.onList(page.value.value);
    options.onProof(page.value.sentAt);
    return { revision: page.value.value.revision, isConnected: true, changed: false };
  }
  const { answer, wasCutOff } = await (state.isConnected
    ? watch(context, revision)
    : peek(context, revision).then((result) => ({ answer: result, wasCutOff: false })));
  if (answer.isErr() || signal.aborted) return { ...disconnected, wasCutOff };
  const { value, sentAt } = answer.value;
  if (value.kind === 'historyGone')
    return { revision: undefined, isConnected: true, changed: false };
  const { changes } = value;
  const changed = changes.changes.length > 0;
  if (changed) options.onChanges(changes);
  if (changes.revision >= revision) options.onProof(sentAt);
  return { revision: Math.max(revision, changes.revision), isConnected: true, changed };
}

type WatchResult = Result<TimedAnswer<WatchAnswer>, StoreFailure>;

/**
 * Waits for the next change with a long watch, and polls the store on another connection whenever the
 * last proof of freshness is too old. Resolves with the first of both to return.
 *
 * A watch on a dead connection looks like one without changes; the poll tells the two apart long
 * before the watch times out.
 */
async function watch(
  context: StepContext,
  revision: number,
): Promise<{ answer: WatchResult; wasCutOff: boolean }> {
  const finished = new AbortController();
  const watchContext = { ...context, signal: AbortSignal.any([context.signal, finished.signal]) };
  const { clock, onSilentWatch } = context.options;
  const startedAt = clock.now();
  const polled = pollUntilNews(watchContext, revision).then((answer) => {
    if (answer.isOk()) onSilentWatch(clock.now() - startedAt);
    return { answer, wasCutOff: false };
  });
  const waited = waitForChange(watchContext, revision).then((answer) => ({
    answer,
    wasCutOff: answer.isErr(),
  }));
  try {
    return await Promise.race([waited, polled]);
  } finally {
    finished.abort();
  }
}

async function waitForChange(context: StepContext, revision: number): Promise<WatchResult> {
  const { options, signal, recordActivity } = context;
  const sentAt = recordActivity();
  const call = { signal, onProgress: recordActivity };
  const answer = await options.store.watch(options.kind, revision, options.watchMs, call);
  return answer.map((value) => ({ value, sentAt }));
}

/** Polls whenever a proof of freshness is due; resolves with the first failure or change. */
async function pollUntilNews(context: StepContext, revision: number): Promise<WatchResult> {
  const { options, signal } = context;
  const recordActivity = (): Milliseconds => options.clock.now();
  for (;;) {
    const dueInMs = Math.max(MIN_PROOF_DELAY_MS, options.proofDueInMs());
    await sleep(dueInMs, undefined, { signal }).catch(ignoreAbort);
    if (options.proofDueInMs() > 0 && !signal.aborted) continue;
    const answer = await peek({ ...context, recordActivity }, revision);
    if (!isUnchanged(answer, revision)) return answer;
    options.onProof(answer.value.sentAt);
  }
}

/** Whether the store has reached `revision` and reports no later change. */
function isUnchanged(
  answer: WatchResult,
  revision: number,
): answer is Ok<TimedAnswer<WatchAnswer>, StoreFailure> {
  if (answer.isErr()) return false;
  const { value } = answer.value;
  if (value.kind !== 'changes') return false;
  return value.changes.changes.length === 0 && value.changes.revision >= revision;
}

/** Returns the changes made so far, without waiting for more. */
function peek(context: StepContext, revision: number): Promise<WatchResult> {
  const { store, kind } = context.options;
  return callUntilAnswered(context, (call) => store.watch(kind, revision, PEEK_WAIT_MS, call));
}

/** Repeats a call until the store answers; each repetition uses a new connection. */
function callUntilAnswered<Value>(
  { options, signal, recordActivity }: StepContext,
  call: (options: CallOptions) => ResultAsync<Value, StoreFailure>,
): Promise<Result<TimedAnswer<Value>, StoreFailure>> {
  return callHedged({
    call: ({ signal: callSignal, onProgress }) => {
      const sentAt = recordActivity();
      const onPart = (): void => {
        recordActivity();
        onProgress();
      };
      return call({ signal: callSignal, onProgress: onPart }).map((value) => ({ value, sentAt }));
    },
    hedgeDelayMs: options.retryAfterMs,
    clock: options.clock,
    onHedge: () => {
      options.store.replaceConnections();
    },
    signal,
  });
}

/** Adds jitter, so that gateways that failed together do not retry together. */
function addJitter(ms: Milliseconds, random: Random): Milliseconds {
  return ms * (MIN_RETRY_FRACTION + (1 - MIN_RETRY_FRACTION) * random.fraction());
}

/** An aborted sleep rejects; the caller checks the signals afterwards. */
function ignoreAbort(): void {
  return undefined;
}
