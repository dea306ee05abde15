/**
 * How long to wait before a failed call is made again.
 */
import type { Milliseconds } from '../clock/index.js';
import type { Random } from '../random/index.js';

/** Bounds of the waits between attempts. */
export interface Backoff {
  /** Upper bound of the first wait; it doubles with each further attempt. */
  baseMs: Milliseconds;
  /** Upper bound of every wait. */
  maxMs: Milliseconds;
}

// Beyond this exponent every base is past every sensible maximum, and 2 ** n stays finite.
const MAX_EXPONENT = 30;

/**
 * The wait before attempt `attempt + 1`, when `attempt` (1 and up) attempts have failed in a row.
 *
 * Full jitter: the wait is uniform between 0 and the doubled bound. Callers that failed at the
 * same moment, as all do in an outage, would otherwise come back at the same moment as well.
 *
 * @example const waitMs = nextBackoff(failures, { baseMs: 100, maxMs: 5_000 }, random);
 */
export function nextBackoff(attempt: number, backoff: Backoff, random: Random): Milliseconds {
  const exponent = Math.min(Math.max(attempt - 1, 0), MAX_EXPONENT);
  const bound = Math.min(backoff.baseMs * 2 ** exponent, backoff.maxMs);
  return bound * random.fraction();
}
