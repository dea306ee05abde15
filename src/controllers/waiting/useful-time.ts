/**
 * Decides how much time must be left for an attempt to be of use.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Part of the expected time without which an answer is hardly possible; times vary around their mean. */
const MIN_USEFUL_FRACTION = 0.5;
/** For the way to the server and back. */
const MIN_ATTEMPT_MS: Milliseconds = 20;

/**
 * The least time that an attempt needs for its answer, or the first event of it.
 *
 * At most half of the target time counts: mean times above the target time come from overload, and
 * requests with early deadlines must not be shut out for good by them.
 */
export function minUsefulMs(targetMs: Milliseconds, expectedMs: Milliseconds): Milliseconds {
  return Math.max(MIN_ATTEMPT_MS, MIN_USEFUL_FRACTION * Math.min(targetMs, expectedMs));
}
