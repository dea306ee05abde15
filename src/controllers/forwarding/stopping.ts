/**
 * Decides which requests a gateway still starts during a graceful shutdown.
 *
 * A request that arrives after the stop signal may outlast the grace period and have its response
 * cut. Rejecting it as not run lets the caller retry on another gateway at once, instead of losing
 * seconds without knowing whether the request ran.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** The schedule of a graceful shutdown. */
export interface StopPlan {
  startedAt: Milliseconds;
  /** When all responses have to be complete; the rest of the grace period is for closing. */
  lastAnswerAt: Milliseconds;
}

/** Timing of a request. */
export interface RequestTime {
  /** Deadline of the final response, successful or not. */
  answerBy: Milliseconds;
  /** Expected duration once the request is sent. */
  expectedMs: Milliseconds;
  isRepeatable: boolean;
}

/** Part of the grace period reserved for flushing responses, closing connections and final logs. */
const CLOSE_RESERVE_MS: Milliseconds = 700;
/**
 * Time after which the load balancer sends no more requests: it probes once a second and removes an
 * instance after two failed probes.
 */
const BALANCER_REMOVAL_MS: Milliseconds = 2_500;
/**
 * Multiple of the expected duration that must remain. The expected duration already reflects the
 * slowest recent requests; the margin covers even slower ones.
 */
const REPEATABLE_MARGIN = 1.25;
/** Larger margin for requests that can't be retried after a cut. */
const NON_REPEATABLE_MARGIN = 2;

/** Plans a shutdown that starts now; the process exits within `graceMs`. */
export function planStop(now: Milliseconds, graceMs: Milliseconds): StopPlan {
  return { startedAt: now, lastAnswerAt: now + Math.max(0, graceMs - CLOSE_RESERVE_MS) };
}

/**
 * Returns the latest time at which the request may start.
 *
 * A request that is due before `lastAnswerAt` always completes in time. Any other starts only if its
 * expected duration fits, and only while the load balancer still sends requests here: until then, a
 * rejected caller may be sent back here; later it always reaches another gateway.
 */
export function latestStart(
  { startedAt, lastAnswerAt }: StopPlan,
  { answerBy, expectedMs, isRepeatable }: RequestTime,
): Milliseconds {
  if (answerBy <= lastAnswerAt) return lastAnswerAt;
  const margin = isRepeatable ? REPEATABLE_MARGIN : NON_REPEATABLE_MARGIN;
  return Math.min(startedAt + BALANCER_REMOVAL_MS, lastAnswerAt - margin * expectedMs);
}
