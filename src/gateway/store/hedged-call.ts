/**
 * Hedged calls: repeats a call on a timer until one of the copies is answered.
 */
import { err, type Result, type ResultAsync } from 'neverthrow';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { CallOptions, StoreFailure } from './client.js';

/** Interval of the check for whether the next copy is due; short against any delay between copies. */
const CHECK_INTERVAL_MS: Milliseconds = 25;

interface HedgedCallOptions<Value> {
  /** Sends one call that ends when its signal aborts and reports the parts of its answer. */
  call: (options: Required<CallOptions>) => ResultAsync<Value, StoreFailure>;
  /** Time without any part of an answer after which another copy is sent; read again at each check. */
  hedgeDelayMs: () => Milliseconds;
  clock: Clock;
  /** Called before each copy after the first. */
  onHedge: () => void;
  signal: AbortSignal;
}

/**
 * Resolves with the first answer, or with a failure once all copies in flight have failed. Rejects when a
 * call throws, as while its answer is read.
 *
 * A store that becomes unresponsive and recovers never answers calls sent meanwhile; waiting for their
 * timeout would delay updates by as much. A store that is only slow still answers the first copy.
 */
export function callHedged<Value>(
  options: HedgedCallOptions<Value>,
): Promise<Result<Value, StoreFailure>> {
  const settled = new AbortController();
  const signal = AbortSignal.any([options.signal, settled.signal]);
  const cancelled = createFailure('platformUnavailable', { reason: 'the call was cancelled' });
  if (signal.aborted) return Promise.resolve(err(cancelled));
  return new Promise((resolve, reject) => {
    let inFlight = 0;
    let lastActivityAt = 0;
    const end = (): void => {
      clearInterval(timer);
      options.signal.removeEventListener('abort', cancel);
      settled.abort();
    };
    const finish = (result: Result<Value, StoreFailure>): void => {
      resolve(result);
      end();
    };
    /** What threw once would throw for each further copy. */
    const fail = (error: unknown): void => {
      reject(error instanceof Error ? error : new Error(String(error)));
      end();
    };
    const cancel = (): void => {
      finish(err(cancelled));
    };
    // A copy of a call whose large answer is arriving would only slow that answer down.
    const recordActivity = (): void => {
      lastActivityAt = options.clock.now();
    };
    const sendCall = async (): Promise<void> => {
      recordActivity();
      inFlight += 1;
      const result = await options.call({ signal, onProgress: recordActivity });
      inFlight -= 1;
      if (result.isOk() || inFlight === 0) finish(result);
    };
    const timer = setInterval(() => {
      if (options.clock.now() - lastActivityAt < options.hedgeDelayMs()) return;
      options.onHedge();
      sendCall().catch(fail);
    }, CHECK_INTERVAL_MS);
    options.signal.addEventListener('abort', cancel, { once: true });
    sendCall().catch(fail);
  });
}
