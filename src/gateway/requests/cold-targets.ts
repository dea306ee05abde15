/**
 * Which of a model's or service's targets are cold, which of them may get a request now, and how long
 * the others take until they may.
 */
import type { Target, TargetList, TargetState } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ColdServerLimits } from '../backends/cold-servers.js';

/** What is asked about cold targets for one request. */
export interface ColdTargetQuery {
  targets: TargetList;
  /** Whether the target may get the request apart from being cold, now or after a cooldown. */
  isPossible: (target: Target) => boolean;
}

const MS_PER_SECOND = 1_000;

export function isColdTarget(cold: ColdServerLimits, { server }: Target): boolean {
  return cold.leftMs(server) > 0;
}

/** The states of the cold targets that may get a request from this gateway now. */
export function listColdStates(
  cold: ColdServerLimits,
  { near, far }: TargetList,
  evaluate: (target: Target) => TargetState | undefined,
): TargetState[] {
  return near.concat(far).flatMap((target) => {
    if (!isColdTarget(cold, target) || cold.waitMs(target.server) > 0) return [];
    return evaluate(target) ?? [];
  });
}

/**
 * Time until a request can be sent that `ahead` others precede, if all possible targets are cold;
 * undefined if one of them is warm or there are none.
 */
export function estimateColdWait(
  cold: ColdServerLimits,
  { targets: { near, far }, isPossible }: ColdTargetQuery,
  ahead: number,
): Milliseconds | undefined {
  if (!cold.isAnyCold()) return undefined;
  let soonestMs = Infinity;
  let warmInMs = Infinity;
  let perSecond = 0;
  for (const target of near.concat(far)) {
    if (!isPossible(target)) continue;
    const { server } = target;
    const leftMs = cold.leftMs(server);
    if (leftMs === 0) return undefined;
    warmInMs = Math.min(warmInMs, leftMs);
    soonestMs = Math.min(soonestMs, cold.waitMs(server));
    perSecond += cold.ownRate(server);
  }
  if (warmInMs === Infinity) return undefined;
  const aheadMs = ahead === 0 ? 0 : (ahead * MS_PER_SECOND) / perSecond;
  return Math.min(warmInMs, soonestMs + aheadMs);
}
