/**
 * Asking until somebody answers.
 */
import { err, type Result, type ResultAsync } from 'neverthrow';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { StoreFailure } from './client.js';

/** How often it is looked whether to ask again; small against every pause between two calls. */
const TICK_MS: Milliseconds = 25;

interface Question<Value> {
  /** Sends one call; ends it when `signal` aborts. */
  call: (signal: AbortSignal) => ResultAsync<Value, StoreFailure>;
  /** A further call is sent when this has passed without an answer; it may change meanwhile. */
  everyMs: () => Milliseconds;
  clock: Clock;
  /** Called before each further call. */
  onSilence: () => void;
  signal: AbortSignal;
}

/**
 * The first answer of several calls for the same thing; a failure once all under way have failed.
 *
 * Guards against a store that falls silent and comes back: a call that was sent during the silence is
 * never answered, and waiting for its timeout before the next one would hold up the news by as
 * much. A store that is only slow answers the first call, which goes on.
 */
export function findFirstAnswer<Value>(
  question: Question<Value>,
): Promise<Result<Value, StoreFailure>> {
  const answered = new AbortController();
  const signal = AbortSignal.any([question.signal, answered.signal]);
  const dropped = createFailure('platformUnavailable', { reason: 'the question was dropped' });
  if (signal.aborted) return Promise.resolve(err(dropped));
  return new Promise((resolve) => {
    let underWay = 0;
    let askedAt = 0;
    const finish = (result: Result<Value, StoreFailure>): void => {
      clearInterval(timer);
      question.signal.removeEventListener('abort', abandon);
      resolve(result);
      answered.abort();
    };
    const abandon = (): void => {
      finish(err(dropped));
    };
    const ask = async (): Promise<void> => {
      askedAt = question.clock.now();
      underWay += 1;
      const result = await question.call(signal);
      underWay -= 1;
      if (result.isOk() || underWay === 0) finish(result);
    };
    const timer = setInterval(() => {
      if (question.clock.now() - askedAt < question.everyMs()) return;
      question.onSilence();
      void ask();
    }, TICK_MS);
    question.signal.addEventListener('abort', abandon, { once: true });
    void ask();
  });
}
