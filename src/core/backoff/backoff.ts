/**
 * Exponential backoff with full jitter for retries.
 */
import type { Milliseconds } from '../clock/index.js';
import type { Random } from '../random/index.js';

/** Limits of the delay between attempts. */
export interface Backoff {
  /** Upper bound of the first delay; doubles with each failed attempt. */
  baseMs: Milliseconds;
  /** Upper bound of every delay. */
  maxMs: Milliseconds;
}

// Keeps 2 ** exponent finite; any base exceeds its maximum delay well before this.
const MAX_EXPONENT = 30;

/**
 * Returns the delay before the next attempt after `attempt` (1 or more) consecutive failures.
 *
 * The delay is drawn uniformly between 0 and the exponential bound, so that callers that failed
 * together in an outage do not retry together.
 *
 * @example const waitMs = nextBackoff(failures, { baseMs: 100, maxMs: 5_000 }, random);
 */
export function nextBackoff(attempt: number, backoff: Backoff, random: Random): Milliseconds {
  const exponent = Math.min(Math.max(attempt - 1, 0), MAX_EXPONENT);
  const bound = Math.min(backoff.baseMs * 2 ** exponent, backoff.maxMs);
  return bound * random.fraction();
}
