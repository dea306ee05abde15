/**
 * Reads the time that a `Retry-After` header asks for.
 */
import type { Milliseconds } from '../clock/index.js';

/** Whole or fractional seconds; dates are not supported. */
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
const MS_PER_SECOND = 1_000;

/** Returns undefined if `value` is not a number of seconds. */
export function parseRetryAfter(value: string): Milliseconds | undefined {
  const text = value.trim();
  if (!SECONDS_PATTERN.test(text)) return undefined;
  return Math.min(Number(text) * MS_PER_SECOND, Number.MAX_SAFE_INTEGER);
}
