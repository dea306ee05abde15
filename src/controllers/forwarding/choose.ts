/**
 * Selects the target with the lowest estimated wait for a request.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { canAvoidSlow, speedCost, type TargetSpeed } from '../speed/index.js';
import type { Target } from './directory.js';

/** Load and health of a target at selection time. */
export interface TargetState {
  target: Target;
  /** Known requests in flight at the target, from all gateways. */
  inFlight: number;
  /** Requests that the target processes concurrently. */
  slots: number;
  /** Whether the target is in another failure domain than this gateway. */
  isRemote: boolean;
  /** Fraction of recent responses that were failures of the target itself, 0 to 1. */
  failureRate: number;
  /** Absent while the target has the usual speed. */
  speed?: TargetSpeed;
}

/**
 * Mean time that a request occupies a slot; whole answers take 1 to 1.7 s. Only its ratio to the other
 * costs affects the selection.
 */
const SLOT_TIME_MS: Milliseconds = 1_200;
/** Slowdown of every request at a target when its slots go from empty to full. */
const LOAD_PENALTY_MS: Milliseconds = 120;
/** Penalty for billed traffic between failure domains; the latency itself is only 1 to 3 ms. */
const CROSS_DOMAIN_PENALTY_MS: Milliseconds = 40;
/** Penalty for a target whose responses all fail; scaled by the failure rate. */
const FAILURE_PENALTY_MS: Milliseconds = 2_000;

/**
 * Returns the state with the lowest estimated wait, or undefined when `states` is empty. Ties are
 * broken at random, so that gateways with the same view do not all pick the same target.
 */
export function chooseTarget(
  states: readonly TargetState[],
  random: Random,
): TargetState | undefined {
  const canAvoid = canAvoidSlow(
    states
      .filter(({ speed }) => !speed)
      .map(({ inFlight, slots }) => inFlight / Math.max(1, slots)),
  );
  let best: TargetState | undefined;
  let bestCost = Infinity;
  for (const state of states) {
    const cost = estimateCost(state, canAvoid, random) + random.fraction();
    if (cost >= bestCost) continue;
    best = state;
    bestCost = cost;
  }
  return best;
}

/** Estimated wait at a target plus its penalties, in milliseconds. */
function estimateCost(state: TargetState, canAvoid: boolean, random: Random): Milliseconds {
  const { inFlight, slots, isRemote, failureRate, speed } = state;
  const queued = Math.max(0, inFlight + 1 - slots);
  return (
    (LOAD_PENALTY_MS * Math.min(inFlight, slots)) / slots +
    (SLOT_TIME_MS * queued) / slots +
    (isRemote ? CROSS_DOMAIN_PENALTY_MS : 0) +
    FAILURE_PENALTY_MS * failureRate +
    speedCost(speed, canAvoid, () => random.fraction())
  );
}
