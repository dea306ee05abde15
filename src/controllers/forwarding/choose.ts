/**
 * Choice of the target that should answer a request soonest.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { Target } from './directory.js';

/** What is known of a target at the moment of choice. */
export interface TargetState {
  target: Target;
  /** Requests of all entries under way there, as far as known. */
  inFlight: number;
  /** Requests that it works on at once. */
  slots: number;
  /** It lies in another failure domain than this entry. */
  isRemote: boolean;
  /** Part of its last answers that were failures of its own, 0 to 1. */
  failing: number;
}

/**
 * Mean time that a request occupies a slot. The sheets of both users give 1 to 1.7 s for a whole
 * stream of their engines; only the ratio to the other costs matters.
 */
const SLOT_TIME_MS: Milliseconds = 1_200;
/** Slow-down of all requests of a target when its slots go from empty to full. */
const CROWDING_MS: Milliseconds = 120;
/** What bytes between failure domains are worth; the way itself takes 1 to 3 ms. */
const REMOTE_MS: Milliseconds = 40;
/** Cost of a target whose every answer fails. */
const FAILING_MS: Milliseconds = 2_000;

/**
 * The state with the least estimated wait; equal ones are drawn, so that entries that know the
 * same do not all send to the same target. Undefined when there is none.
 */
export function chooseTarget(
  states: readonly TargetState[],
  random: Random,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestCost = Infinity;
  for (const state of states) {
    const cost = estimateCost(state) + random.fraction();
    if (cost >= bestCost) continue;
    best = state;
    bestCost = cost;
  }
  return best;
}

/** Estimated wait at a target with its penalties, in milliseconds. */
function estimateCost(state: TargetState): Milliseconds {
  const { inFlight, slots, isRemote, failing } = state;
  const queued = Math.max(0, inFlight + 1 - slots);
  return (
    (CROWDING_MS * Math.min(inFlight, slots)) / slots +
    (SLOT_TIME_MS * queued) / slots +
    (isRemote ? REMOTE_MS : 0) +
    FAILING_MS * failing
  );
}
