/**
 * How long a gateway that has just started waits for the first answer about evacuations.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/**
 * A wait of twice the bound covers a store that answers slowly or has to be asked again. Only a store
 * that answers for configuration and servers alone, and no peer that knows the evacuations, exceed it.
 */
const MAX_WAIT_BOUNDS = 2;

/**
 * Whether a gateway that could serve otherwise since `readySince` has to assume that nothing is
 * evacuated. Out of service for good, it would turn a failure of one kind of objects into a failure of
 * all requests.
 */
export function isStartupWaitOver(
  readySince: Milliseconds | undefined,
  evacuateMs: Milliseconds,
  now: Milliseconds,
): boolean {
  return readySince !== undefined && now - readySince >= MAX_WAIT_BOUNDS * evacuateMs;
}
