/**
 * Which requests a gateway that is told to stop still begins.
 *
 * Guards against answers that are cut in the middle: a request that arrives after the signal may
 * take longer than what is left of the grace. Refused at once, with a promise that it did not run,
 * its caller loses one way and goes on elsewhere; begun and cut, it loses seconds, and it can't know
 * what has run.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** One stop, from the signal on. */
export interface StopPlan {
  startedAt: Milliseconds;
  /** Every answer has ended by then; what is left of the grace goes into closing. */
  lastAnswerAt: Milliseconds;
}

/** What is known of the time of a request. */
export interface RequestTime {
  /** Its final answer is due then, whatever becomes of it. */
  answerBy: Milliseconds;
  /** What it will take once it is sent. */
  expectedMs: Milliseconds;
  isRepeatable: boolean;
}

/** Left of the grace for sending the last answers, closing connections and writing the last lines. */
const CLOSING_MS: Milliseconds = 700;
/**
 * The balancer asks once a second and takes an instance out after two misses, so that it sends
 * nobody any more after this time.
 */
const BALANCER_OUT_MS: Milliseconds = 2_500;
/**
 * Multiples of the expected time that must be left. That already follows the slowest of the last
 * requests; a quarter more is for one that is slower than all of them.
 */
const REPEATABLE_MARGIN = 1.25;
/** More where a cut can't be made good by asking again. */
const ONCE_MARGIN = 2;

/** A stop that begins now and has `graceMs` from the signal to the end of the process. */
export function planStop(now: Milliseconds, graceMs: Milliseconds): StopPlan {
  return { startedAt: now, lastAnswerAt: now + Math.max(0, graceMs - CLOSING_MS) };
}

/**
 * The last moment at which the request may be begun.
 *
 * One whose answer is due before the last answers end is always finished in time. Any other is begun
 * by its expected time alone, and only while the balancer sends callers here: a caller that is
 * refused then may come back here, and one that is refused later certainly reaches another gateway.
 */
export function latestBeginning(
  { startedAt, lastAnswerAt }: StopPlan,
  { answerBy, expectedMs, isRepeatable }: RequestTime,
): Milliseconds {
  if (answerBy <= lastAnswerAt) return lastAnswerAt;
  const margin = isRepeatable ? REPEATABLE_MARGIN : ONCE_MARGIN;
  return Math.min(startedAt + BALANCER_OUT_MS, lastAnswerAt - margin * expectedMs);
}
