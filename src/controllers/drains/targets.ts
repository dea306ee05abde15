/**
 * Lists draining targets and the entries that may still send requests to them.
 */
import type { Attempts, Fleet, InFlightCount, Plans } from '../../board/index.js';
import type { DrainEntry } from './types.js';
import type { Peer } from '../../board/index.js';

/**
 * Lists the targets to which this entry sends no more requests, with the number of its requests still
 * in flight there: leaving instances and draining replicas.
 */
export function listDraining(fleet: Fleet, plans: Plans, attempts: Attempts): InFlightCount[] {
  const targets = [...listLeavingInstances(fleet), ...listDrainingReplicas(plans)];
  return targets.map((target) => ({ target, count: attempts.inFlight.get(target) ?? 0 }));
}

function listLeavingInstances(fleet: Fleet): string[] {
  return [...fleet.leaving].filter((name) => fleet.instances.get(name)?.role !== 'entry').sort();
}

function listDrainingReplicas(plans: Plans): string[] {
  return [...plans.values()].flatMap(({ value }) =>
    value.replicas.filter((replica) => replica.phase === 'draining').map((replica) => replica.id),
  );
}

/**
 * Lists all entries that may still send requests: those on the platform's list, including leaving ones
 * that may not have stopped, and those heard that are not listed yet.
 */
export function listSendingEntries(fleet: Fleet, peers: ReadonlyMap<string, Peer>): DrainEntry[] {
  const entries = new Map<string, DrainEntry>();
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'entry') continue;
    entries.set(name, { name, failureDomain: instance.failureDomain });
  }
  for (const { name, failureDomain } of peers.values()) entries.set(name, { name, failureDomain });
  return [...entries.values()];
}
