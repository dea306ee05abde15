/**
 * Draws a target at random, weighted by the capacity that it probably has free.
 *
 * In a large fleet, reports of load are about as old as a request lasts. If every gateway sent to the
 * least loaded target that it knows of, all would send to the same one until the next report: a replica
 * that has just opened would get several times the requests that it can start. A draw spreads them, and
 * the weights still keep requests away from targets that are full.
 */
import type { Random } from '../../core/random/index.js';
import { canAvoidSlow, speedWeight } from '../speed/index.js';
import type { TargetState } from './choose.js';

/** Part of a reported difference in load that still holds when a request arrives. */
const REPORT_WEIGHT = 0.35;
/** Load at which a target would get no requests, as a multiple of its slots. */
const FULL_LOAD_MULTIPLE = 1.5;
/** Least weight of a target, as a fraction of its slots, so that some target is always drawn. */
const MIN_WEIGHT_FRACTION = 0.05;
/** Weight of a target in another failure domain; traffic between failure domains is billed. */
const REMOTE_WEIGHT = 0.5;
/** How much more often a target is avoided than it has failed. */
const FAILURE_EXPONENT = 4;

/** Returns a state drawn by weight, or undefined when `states` is empty. */
export function drawTarget(
  states: readonly TargetState[],
  random: Random,
): TargetState | undefined {
  const meanUse = states.reduce((sum, state) => sum + useOf(state), 0) / Math.max(1, states.length);
  const canAvoid = canAvoidSlow(states.filter(({ speed }) => !speed).map(useOf));
  const weights = states.map((state) => weigh(state, meanUse) * speedWeight(state.speed, canAvoid));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random.fraction() * total;
  for (const [index, state] of states.entries()) {
    left -= weights[index] ?? 0;
    if (left < 0) return state;
  }
  return states.at(-1);
}

/** Requests in flight as a fraction of the slots. */
function useOf({ inFlight, slots }: TargetState): number {
  return inFlight / Math.max(1, slots);
}

function weigh(state: TargetState, meanUse: number): number {
  const { slots, isRemote, failureRate } = state;
  const expectedUse = meanUse + REPORT_WEIGHT * (useOf(state) - meanUse);
  const freeFraction = Math.max(MIN_WEIGHT_FRACTION, FULL_LOAD_MULTIPLE - expectedUse);
  const reliability = (1 - failureRate) ** FAILURE_EXPONENT;
  return slots * freeFraction * (isRemote ? REMOTE_WEIGHT : 1) * reliability;
}
