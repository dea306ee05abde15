/**
 * Divides the concurrent loads of weights of a service among its fabric domains.
 */
import type { BackendServer } from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import { findLackingModels, holdsOneModelTwice } from './reserve.js';
import { hasWeights } from './view.js';

/** Loads that one fabric domain would like to run at the same time. */
export interface LoadDemand {
  domain: string;
  loads: number;
}

/**
 * Returns the slots of each domain. Their sum never exceeds `total`, however many domains there are.
 * Slots go only to domains that need them, so that a few domains with new instances can use them all.
 *
 * @example
 * divideLoadSlots(3, [{ domain: 'a', loads: 5 }, { domain: 'b', loads: 1 }]); // a: 2, b: 1
 */
export function divideLoadSlots(
  total: number,
  demands: readonly LoadDemand[],
): ReadonlyMap<string, number> {
  const slots = new Map<string, number>();
  // All gateways must compute the same division from the same fleet.
  let unmet = demands
    .filter(({ loads }) => loads > 0)
    .sort((a, b) => (a.domain < b.domain ? -1 : 1));
  let remaining = Math.floor(total);
  while (remaining > 0 && unmet.length > 0) {
    const round = unmet.slice(0, remaining);
    for (const { domain } of round) slots.set(domain, (slots.get(domain) ?? 0) + 1);
    remaining -= round.length;
    unmet = unmet.filter(({ domain, loads }) => loads > (slots.get(domain) ?? 0));
  }
  return slots;
}

/**
 * Counts the instances of a domain that need weights, including those that are loading: instances
 * without any, members that should hold a second model and, while a model has fewer groups than its
 * target, free ones with other weights.
 */
export function countLoadDemand(
  servers: readonly BackendServer[],
  targets: readonly GroupTarget[],
  groups: ReadonlyMap<string, number>,
): number {
  const present = servers.filter(({ leaving }) => !leaving);
  const unstaged = present.filter(({ engine }) => engine?.staged.length === 0);
  const reserve = countReserveLoads(present, targets);
  const target = targets.find(({ model, groups: count }) => (groups.get(model.name) ?? 0) < count);
  if (target === undefined) return unstaged.length + reserve;
  const { model } = target;
  const restageable = present.filter(
    (server) =>
      server.engine?.membership === undefined &&
      server.engine?.staged.length !== 0 &&
      !hasWeights(server, model),
  );
  return unstaged.length + reserve + Math.min(model.size, restageable.length);
}

function countReserveLoads(
  present: readonly BackendServer[],
  targets: readonly GroupTarget[],
): number {
  const lacking = findLackingModels(present, targets);
  const missing = lacking.reduce((sum, model) => sum + model.missing, 0);
  const available = present.filter(
    (server) => server.engine?.membership !== undefined && holdsOneModelTwice(server),
  );
  return Math.min(missing, available.length);
}
