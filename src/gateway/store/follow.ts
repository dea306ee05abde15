/**
 * Following one kind of objects: a list, then each change, through failures and lost history.
 *
 * While the store answers, a watch waits for the next change. Once a call of anyone has failed, or
 * the store is known to answer again, no wait is trusted: the store is asked for what is there now,
 * again and again until it answers.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Ok, Result, ResultAsync } from 'neverthrow';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { StoreChanges, StorePage } from '../../ports/index.js';
import type { ObjectStore, StoreFailure, WatchAnswer } from './client.js';
import { findFirstAnswer } from './first-answer.js';

export interface FollowOptions {
  store: ObjectStore;
  kind: string;
  clock: Clock;
  random: Random;
  /** How long one watch waits for a change. */
  watchMs: Milliseconds;
  /** In how long the last proof, of whatever source, will be so old that the store is asked. */
  proofDueInMs: () => Milliseconds;
  /** Pause after a change, so that changes in quick succession make one call. */
  pauseMs: Milliseconds;
  /** How long to wait for an answer before asking again, when asked. */
  askAgainMs: () => Milliseconds;
  onList: (page: StorePage) => void;
  onChanges: (changes: StoreChanges) => void;
  /** Called when a watch that waited for `waitedMs` has not brought what a short call found. */
  onSilentWatch: (waitedMs: Milliseconds) => void;
  /** Called when taking what the store brought has thrown. */
  onError: (error: unknown) => void;
  /** Called after an answer was taken, with the time at which its call was sent. */
  onProof: (at: Milliseconds) => void;
}

/** A loop that follows until it is stopped. */
export interface Follower {
  start(): void;
  /** Asks for what is there now, unless the call under way was sent at `at` or later. */
  doubtCallsBefore(at: Milliseconds): void;
  /** Lists once more, whatever has been heard since the last list. */
  listAnew(): void;
  stop(): Promise<void>;
}

/** A watch that waits no longer than this tells what is there now. */
const ASK_MS: Milliseconds = 1;
/** Of the pause after a failure, the least part; the rest is chance, so that callers spread. */
const LEAST_PAUSE_PART = 0.5;
/** Of the sleep until a proof is due, the least; timers may fire a little early. */
const LEAST_PROOF_MS: Milliseconds = 5;
/**
 * Calls that bring no change are at least this far apart: a store that answers watches at once, or has
 * always just dropped its history, would be asked as fast as it answers.
 */
const LEAST_ROUND_MS: Milliseconds = 100;

/** Starts nothing by itself. */
export function createFollower(options: FollowOptions): Follower {
  const stop = new AbortController();
  let call = new AbortController();
  let sentAt: Milliseconds = Number.NEGATIVE_INFINITY;
  let running: Promise<void> | undefined;
  let mustList = false;
  const isStopped = (): boolean => stop.signal.aborted;
  const isDoubted = (): boolean => call.signal.aborted;
  const { clock, random } = options;

  const onSent = (): Milliseconds => {
    sentAt = clock.now();
    return sentAt;
  };
  const run = async (): Promise<void> => {
    let position: Position = { revision: undefined, isInTouch: false };
    while (!isStopped()) {
      call = new AbortController();
      if (mustList) position = { revision: undefined, isInTouch: false };
      mustList = false;
      const signal = AbortSignal.any([stop.signal, call.signal]);
      const startedAt = clock.now();
      const next = await step({ options, position, signal, onSent }).catch(recover);
      if (isStopped()) return;
      if (isDoubted()) {
        position = { ...position, isInTouch: false };
        continue;
      }
      position = next;
      await pause(pauseAfter(next, clock.now() - startedAt));
      if (isDoubted()) position = { ...position, isInTouch: false };
    }
  };
  /** Guards against an object that throws when it is taken: nobody would follow any more. */
  const recover = (error: unknown): StepResult => {
    options.onError(error);
    return { revision: undefined, isInTouch: false, changed: false };
  };
  const pauseAfter = ({ isInTouch, changed }: StepResult, tookMs: Milliseconds): Milliseconds => {
    if (!isInTouch) return spread(options.askAgainMs(), random);
    return changed ? options.pauseMs : LEAST_ROUND_MS - tookMs;
  };
  const pause = async (ms: Milliseconds): Promise<void> => {
    if (ms <= 0) return;
    const signal = AbortSignal.any([stop.signal, call.signal]);
    await sleep(ms, undefined, { signal }).catch(ignoreEnd);
  };

  return {
    start: () => {
      running ??= run();
    },
    doubtCallsBefore: (at) => {
      if (sentAt < at) call.abort();
    },
    listAnew: () => {
      mustList = true;
      call.abort();
    },
    stop: async () => {
      stop.abort();
      await running;
    },
  };
}

/** How far a follower is. */
interface Position {
  /** Where to watch from; undefined to list. */
  revision: number | undefined;
  /** The last call was answered: the next may wait for a change. */
  isInTouch: boolean;
}

/** Where a call has led. */
interface StepResult extends Position {
  changed: boolean;
}

interface Step {
  options: FollowOptions;
  position: Position;
  signal: AbortSignal;
  /** To be called with each call that is sent; returns the time. */
  onSent: () => Milliseconds;
}

/** An answer with the time at which its call was sent. */
interface Timed<Value> {
  value: Value;
  sentAt: Milliseconds;
}

async function step(current: Step): Promise<StepResult> {
  const { position, options, signal } = current;
  const { revision } = position;
  const lost = { revision, isInTouch: false, changed: false };
  if (revision === undefined) {
    const page = await ask(current, (ended) => options.store.list(options.kind, ended));
    if (page.isErr() || signal.aborted) return lost;
    options.onList(page.value.value);
    options.onProof(page.value.sentAt);
    return { revision: page.value.value.revision, isInTouch: true, changed: false };
  }
  const answer = await (position.isInTouch ? watch(current, revision) : peek(current, revision));
  if (answer.isErr() || signal.aborted) return lost;
  const { value, sentAt } = answer.value;
  if (value.kind === 'historyGone') return { revision: undefined, isInTouch: true, changed: false };
  const { changes } = value;
  const changed = changes.changes.length > 0;
  if (changed) options.onChanges(changes);
  if (changes.revision >= revision) options.onProof(sentAt);
  return { revision: Math.max(revision, changes.revision), isInTouch: true, changed };
}

type WatchResult = Result<Timed<WatchAnswer>, StoreFailure>;

/**
 * Waits for the next change, and asks beside that whether there is one whenever the last proof has
 * grown old. Resolves with whichever has news, or with an answer that ends the wait.
 *
 * Guards against a watch whose connection brings nothing any more without an end: it looks like one
 * for which there is no change. A short call on another connection tells the two apart long before
 * the watch's own wait is over, and a quiet watch costs one such call where it would otherwise have
 * to be short itself.
 */
async function watch(current: Step, revision: number): Promise<WatchResult> {
  const ended = new AbortController();
  const inner = { ...current, signal: AbortSignal.any([current.signal, ended.signal]) };
  const { clock, onSilentWatch } = current.options;
  const startedAt = clock.now();
  const proved = prove(inner, revision).then((answer) => {
    if (answer.isOk()) onSilentWatch(clock.now() - startedAt);
    return answer;
  });
  const first = await Promise.race([waitForChange(inner, revision), proved]);
  ended.abort();
  return first;
}

async function waitForChange(current: Step, revision: number): Promise<WatchResult> {
  const { options, signal, onSent } = current;
  const sentAt = onSent();
  const answer = await options.store.watch(options.kind, revision, options.watchMs, signal);
  return answer.map((value) => ({ value, sentAt }));
}

/** Asks each time that a proof is due; resolves once an answer is more than that. */
async function prove(current: Step, revision: number): Promise<WatchResult> {
  const { options, signal } = current;
  const onSent = (): Milliseconds => options.clock.now();
  for (;;) {
    const dueInMs = Math.max(LEAST_PROOF_MS, options.proofDueInMs());
    await sleep(dueInMs, undefined, { signal }).catch(ignoreEnd);
    if (options.proofDueInMs() > 0 && !signal.aborted) continue;
    const answer = await peek({ ...current, onSent }, revision);
    if (!isQuiet(answer, revision)) return answer;
    options.onProof(answer.value.sentAt);
  }
}

/** There is no change since `revision`, from a store that is that far at least. */
function isQuiet(
  answer: WatchResult,
  revision: number,
): answer is Ok<Timed<WatchAnswer>, StoreFailure> {
  if (answer.isErr()) return false;
  const { value } = answer.value;
  if (value.kind !== 'changes') return false;
  return value.changes.changes.length === 0 && value.changes.revision >= revision;
}

/** Asks for the changes that are there. */
function peek(current: Step, revision: number): Promise<WatchResult> {
  const { store, kind } = current.options;
  return ask(current, (ended) => store.watch(kind, revision, ASK_MS, ended));
}

/** Asks until the store answers; each further call goes out on a new connection. */
function ask<Value>(
  { options, signal, onSent }: Step,
  call: (ended: AbortSignal) => ResultAsync<Value, StoreFailure>,
): Promise<Result<Timed<Value>, StoreFailure>> {
  return findFirstAnswer({
    call: (ended) => {
      const sentAt = onSent();
      return call(ended).map((value) => ({ value, sentAt }));
    },
    everyMs: options.askAgainMs,
    clock: options.clock,
    onSilence: () => {
      options.store.renew();
    },
    signal,
  });
}

/** Gateways that were turned away at the same moment must not all come back at the same moment. */
function spread(ms: Milliseconds, random: Random): Milliseconds {
  return ms * (LEAST_PAUSE_PART + (1 - LEAST_PAUSE_PART) * random.fraction());
}

/** The only rejection of a pause is its end, after which the loop looks what it was. */
function ignoreEnd(): void {
  return undefined;
}
