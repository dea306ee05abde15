/**
 * How the speed of a target affects its selection.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Speed of a target that differs from the usual one of its service and model. */
export interface TargetSpeed {
  /** Actual over usual time, above 1. */
  slowness: number;
  /** It can serve nothing on time. */
  isTooSlow: boolean;
}

/** Part of its usual requests that a server gets that is too slow, to notice when it no longer is. */
const PROBE_SHARE = 0.04;
/** Mean use of the other targets from which a slow one is needed as well. */
const NEARLY_FULL_USE = 0.8;
/** How much more strongly than by its lower throughput a slow target is avoided. */
const AVOIDANCE_EXPONENT = 2;
/** Added cost of a target per multiple of the usual time that it needs. */
const SLOWNESS_PENALTY_MS: Milliseconds = 120;
/** Added cost of a target that can serve nothing on time. */
const TOO_SLOW_PENALTY_MS: Milliseconds = 1_500;

/** Whether the others have room, so that a slow target may be avoided beyond its lower throughput. */
export function canAvoidSlow(otherUses: readonly number[]): boolean {
  if (otherUses.length === 0) return false;
  const sum = otherUses.reduce((total, use) => total + use, 0);
  return sum / otherUses.length < NEARLY_FULL_USE;
}

/** Factor by which a target is drawn less often. */
export function speedWeight(speed: TargetSpeed | undefined, canAvoid: boolean): number {
  if (speed === undefined) return 1;
  if (!canAvoid) return 1 / speed.slowness;
  return speed.isTooSlow ? PROBE_SHARE : 1 / speed.slowness ** AVOIDANCE_EXPONENT;
}

/** Added cost of a target; `fraction` is random in [0, 1) and lets a few probes through. */
export function speedCost(
  speed: TargetSpeed | undefined,
  canAvoid: boolean,
  fraction: () => number,
): Milliseconds {
  if (speed === undefined) return 0;
  const avoids = speed.isTooSlow && canAvoid;
  // A fixed cost alone would keep a server that has just started from any request of an idle fleet.
  if (fraction() < (avoids ? PROBE_SHARE : 1 / speed.slowness)) return 0;
  if (avoids) return TOO_SLOW_PENALTY_MS;
  return SLOWNESS_PENALTY_MS * (speed.slowness - 1);
}
