/**
 * How load returns to the backend servers of a failure domain whose evacuation has ended.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Evacuations } from './types.js';

/**
 * Time until a returning server gets its usual load. Servers that have become cold during the evacuation
 * are warm again 3 s after the first requests.
 */
export const RETURN_MS: Milliseconds = 5_000;
/** Share of the usual load right after the return: enough to warm the servers up. */
const FIRST_SHARE = 0.1;

/** The share of its usual load that a server of `failureDomain` gets; grows linearly up to 1. */
export function returnShare(
  { endedAt }: Evacuations,
  failureDomain: string,
  now: Milliseconds,
): number {
  const at = endedAt.get(failureDomain);
  if (at === undefined) return 1;
  const elapsed = Math.max(0, now - at) / RETURN_MS;
  return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * elapsed);
}

/** The slots of a server that may be used at this share; never none, since it could not warm up. */
export function returnSlots(slots: number, share: number): number {
  return share >= 1 ? slots : Math.max(1, Math.floor(slots * share));
}
