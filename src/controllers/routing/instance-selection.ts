/**
 * Selects an instance of a service without replicas: fewest outstanding calls, weighted against
 * network latency, with temporary ejection of failing instances.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { networkLatencyMs } from './estimates.js';
import type { DispatchState } from './state.js';
import type { InstanceCandidate, Location } from './types.js';

/** Consecutive failures after which an instance is ejected. */
const EJECTION_FAILURE_THRESHOLD = 2;
/** First ejection time; doubles with each further failure. */
const BASE_EJECTION_MS = 500;
const MAX_EJECTION_MS = 30_000;
/** Outstanding calls that weigh as much as one millisecond of network latency. */
const CALLS_PER_LATENCY_MS = 2;

/**
 * Chooses an instance that is not in `excluded` and not cooling down, or returns `undefined` if there is
 * none. Ejected instances are used only when all are ejected, since the cause is then probably elsewhere.
 *
 * @example chooseInstance(state, candidates, inFlight, location, [], clock.now(), random)?.address
 */
export function chooseInstance(
  state: DispatchState,
  candidates: readonly InstanceCandidate[],
  outstanding: ReadonlyMap<string, number>,
  entryLocation: Location,
  excluded: readonly string[],
  now: Milliseconds,
  random: Random,
): InstanceCandidate | undefined {
  const allowed = candidates.filter(
    ({ instance }) => !excluded.includes(instance) && state.cooldowns.leftMs(instance, now) === 0,
  );
  const healthy = allowed.filter((candidate) => !isEjected(state, candidate.instance, now));
  const pool = healthy.length > 0 ? healthy : allowed;
  const options = pool.map((candidate) => ({
    candidate,
    cost:
      (outstanding.get(candidate.instance) ?? 0) +
      CALLS_PER_LATENCY_MS * networkLatencyMs(entryLocation, candidate.location),
  }));
  const minCost = Math.min(...options.map((option) => option.cost));
  const best = options.filter((option) => option.cost === minCost);
  return best.length > 0 ? best[random.below(best.length)]?.candidate : undefined;
}

/**
 * Records the outcome of a call. `failed` means that the instance could not be reached, lost the
 * call or refused it as overloaded.
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
    state.instanceFailures.delete(instance);
    return;
  }
  const consecutiveFailures = (state.instanceFailures.get(instance)?.consecutiveFailures ?? 0) + 1;
  const doublings = Math.max(0, consecutiveFailures - EJECTION_FAILURE_THRESHOLD);
  const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** doublings);
  const ejectedUntil = consecutiveFailures >= EJECTION_FAILURE_THRESHOLD ? now + ejectionMs : now;
  state.instanceFailures.set(instance, { consecutiveFailures, ejectedUntil });
}

/**
 * Time until the first cooldown ends, or `undefined` if an instance has none or there are no instances.
 *
 * @example findCooldownLeft(state, candidates, clock.now())
 */
export function findCooldownLeft(
  state: DispatchState,
  candidates: readonly InstanceCandidate[],
  now: Milliseconds,
): Milliseconds | undefined {
  const cooldownsMs = candidates.map(({ instance }) => state.cooldowns.leftMs(instance, now));
  const soonestMs = Math.min(...cooldownsMs);
  return cooldownsMs.length > 0 && soonestMs > 0 ? soonestMs : undefined;
}

function isEjected(state: DispatchState, instance: string, now: Milliseconds): boolean {
  return (state.instanceFailures.get(instance)?.ejectedUntil ?? now) > now;
}
