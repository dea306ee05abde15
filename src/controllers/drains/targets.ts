/**
 * What is draining, as this entry knows it.
 */
import type { Attempts, Fleet, InFlightCount, Plans } from '../../board/index.js';
import type { DrainEntry } from './types.js';
import type { Peer } from '../../board/index.js';

/**
 * Targets that this entry sends nothing more to, with what it has in flight there: instances that
 * are leaving and replicas that are draining.
 */
export function listDraining(fleet: Fleet, plans: Plans, attempts: Attempts): InFlightCount[] {
  const targets = [...listLeaving(fleet), ...listDrainingReplicas(plans)];
  return targets.map((target) => ({ target, count: attempts.inFlight.get(target) ?? 0 }));
}

function listLeaving(fleet: Fleet): string[] {
  return [...fleet.leaving].filter((name) => fleet.instances.get(name)?.role !== 'entry').sort();
}

function listDrainingReplicas(plans: Plans): string[] {
  return [...plans.values()].flatMap(({ value }) =>
    value.replicas.filter((replica) => replica.phase === 'draining').map((replica) => replica.id),
  );
}

/**
 * Every entry that may still send a request: all in the platform's list, also those that are
 * leaving but may not have stopped, and those heard that the list does not have yet.
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
