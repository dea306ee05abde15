/**
 * Decides when a caller that is refused for lack of room should return.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** What is known of the room that the caller waits for. */
export interface RoomForecast {
  /** Requests that are queued before the caller's would be. */
  queued: number;
  /** The measured rate of sends; undefined if it was not measured for long enough. */
  sentPerMs: number | undefined;
}

/** About the time that a new replica takes to open. */
export const UNKNOWN_RATE_MS: Milliseconds = 700;
/** Callers return over this multiple of the time until room is free. */
const SPREAD = 1.5;
/** Callers honour a longer time only up to this part of what they have left. */
const MAX_FRACTION_OF_LEFT = 1 / 3;
/** The resolution of `Retry-After`; rounding must not exceed what callers honour. */
const RESOLUTION_MS: Milliseconds = 10;

/** Time until room should be free. */
export function roomFreeInMs({ queued, sentPerMs }: RoomForecast): Milliseconds {
  return sentPerMs === undefined ? UNKNOWN_RATE_MS : (queued + 1) / sentPerMs;
}

/**
 * Returns a time from when room should be free, drawn by `fraction` from 0 to 1 so that callers do not
 * return together, and at most what the caller honours.
 */
export function chooseRetryAfterMs(
  freeInMs: Milliseconds,
  leftMs: Milliseconds,
  fraction: number,
): Milliseconds {
  const most = Math.max(0, leftMs) * MAX_FRACTION_OF_LEFT;
  const latest = Math.min(freeInMs * SPREAD, most);
  const soonest = Math.min(freeInMs, latest / SPREAD);
  const chosen = soonest + (latest - soonest) * fraction;
  return Math.max(1, Math.floor(chosen / RESOLUTION_MS)) * RESOLUTION_MS;
}
