/**
 * Chooses between warm targets and cold ones that may get a request.
 */
import type { Random } from '../../core/random/index.js';
import { chooseTarget, type TargetState } from './choose.js';

/**
 * Use of the best warm target, as a fraction of its slots, from which a cold one is preferred. Below it a
 * warm target answers sooner; above it the cold ones are to relieve the warm ones.
 */
const RELIEF_USE = 0.3;

/**
 * Returns the warm target while it has little load, else the best of the `cold` ones that is less loaded.
 * All of `cold` may get a request now.
 */
export function chooseWithCold(
  warm: TargetState | undefined,
  cold: readonly TargetState[],
  random: Random,
): TargetState | undefined {
  if (warm === undefined) return chooseTarget(cold, random);
  const warmUse = useOf(warm);
  if (warmUse < RELIEF_USE) return warm;
  const relief = cold.filter((state) => useOf(state) < warmUse);
  return chooseTarget(relief, random) ?? warm;
}

/** Requests in flight as a fraction of the slots. */
function useOf({ inFlight, slots }: TargetState): number {
  return inFlight / Math.max(1, slots);
}
