/**
 * The choice of an instance of a plain service: least outstanding, own failure domain first, and
 * failing instances left alone for a while.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { distanceMs } from './estimates.js';
import type { DispatchState } from './state.js';
import type { InstanceCandidate, Location } from './types.js';

/** Failures in a row after which an instance is avoided. */
const FAILURES_TO_AVOID = 2;
/** First span of avoidance; it doubles with each further failure. */
const AVOID_MS = 500;
const MOST_AVOID_MS = 30_000;
/** Outstanding calls that one millisecond of network distance is worth. */
const CALLS_PER_MS = 2;

/**
 * Chooses an instance that is not in `excluded`; `undefined` when there is none. Instances that
 * failed lately are chosen only when nothing else is left: all failing at once rather means that
 * the fault is elsewhere.
 *
 * @example chooseInstance(state, candidates, inFlight, here, [], clock.now(), random)?.address
 */
export function chooseInstance(
  state: DispatchState,
  candidates: readonly InstanceCandidate[],
  outstanding: ReadonlyMap<string, number>,
  here: Location,
  excluded: readonly string[],
  now: Milliseconds,
  random: Random,
): InstanceCandidate | undefined {
  const allowed = candidates.filter((one) => !excluded.includes(one.instance));
  const healthy = allowed.filter((one) => !isAvoided(state, one.instance, now));
  const pool = healthy.length > 0 ? healthy : allowed;
  const costs = pool.map((candidate) => ({
    candidate,
    cost:
      (outstanding.get(candidate.instance) ?? 0) +
      CALLS_PER_MS * distanceMs(here, candidate.location),
  }));
  const least = Math.min(...costs.map((one) => one.cost));
  const best = costs.filter((one) => one.cost === least);
  return best.length > 0 ? best[random.below(best.length)]?.candidate : undefined;
}

/**
 * Learns from a call that ended: `failed` when the instance could not be reached, lost the call or
 * refused it as overloaded.
 *
 * @example reportInstanceEnd(state, 'pass-app-2', 'failed', clock.now());
 */
export function reportInstanceEnd(
  state: DispatchState,
  instance: string,
  outcome: 'served' | 'failed',
  now: Milliseconds,
): void {
  if (outcome === 'served') {
    state.instances.delete(instance);
    return;
  }
  const failures = (state.instances.get(instance)?.failures ?? 0) + 1;
  const doublings = Math.max(0, failures - FAILURES_TO_AVOID);
  const span = Math.min(MOST_AVOID_MS, AVOID_MS * 2 ** doublings);
  const avoidUntil = failures >= FAILURES_TO_AVOID ? now + span : now;
  state.instances.set(instance, { failures, avoidUntil });
}

function isAvoided(state: DispatchState, instance: string, now: Milliseconds): boolean {
  return (state.instances.get(instance)?.avoidUntil ?? now) > now;
}
