/**
 * The rules that every plan must keep, checked before each write whoever made the plan.
 */
import type { DomainPlan, Replica } from '../../objects/index.js';

/** A broken rule. */
export type PlanFault =
  | { kind: 'sharedInstance'; instance: string; replicas: readonly string[] }
  | { kind: 'spareInReplica'; instance: string; replica: string }
  | { kind: 'duplicateReplica'; replica: string }
  | { kind: 'emptyReplica'; replica: string }
  | { kind: 'fenceAhead'; replica: string }
  | { kind: 'fenceBack' }
  /** Members or model of a replica changed under the same number. */
  | { kind: 'fenceReused'; replica: string }
  | { kind: 'termBack' };

/**
 * The rules that `plan` breaks by itself: no instance in two replicas, released ones included, none
 * both spare and member, no number that was not given out.
 *
 * @example if (checkPlan(plan).length > 0) return;
 */
export function checkPlan(plan: DomainPlan): PlanFault[] {
  const faults: PlanFault[] = [];
  const places = new Map<string, string>();
  const ids = new Set<string>();
  for (const replica of plan.replicas) {
    if (ids.has(replica.id)) faults.push({ kind: 'duplicateReplica', replica: replica.id });
    ids.add(replica.id);
    if (replica.members.length === 0) faults.push({ kind: 'emptyReplica', replica: replica.id });
    if (replica.fence > plan.fence) faults.push({ kind: 'fenceAhead', replica: replica.id });
    for (const { instance } of replica.members) {
      const other = places.get(instance);
      if (other !== undefined) {
        faults.push({ kind: 'sharedInstance', instance, replicas: [other, replica.id] });
      }
      places.set(instance, replica.id);
    }
  }
  for (const instance of plan.spares) {
    const replica = places.get(instance);
    if (replica !== undefined) faults.push({ kind: 'spareInReplica', instance, replica });
  }
  return faults;
}

/** The same, and the rules for a step from `previous`: numbers never go back or serve twice. */
export function checkPlanStep(previous: DomainPlan, next: DomainPlan): PlanFault[] {
  const faults = checkPlan(next);
  if (next.fence < previous.fence) faults.push({ kind: 'fenceBack' });
  const previousTerm = previous.owner?.term ?? 0;
  if (next.owner !== undefined && next.owner.term < previousTerm) faults.push({ kind: 'termBack' });
  const before = new Map(previous.replicas.map((replica) => [replica.id, replica]));
  for (const replica of next.replicas) {
    const former = before.get(replica.id);
    if (former === undefined) {
      if (replica.fence <= previous.fence) {
        faults.push({ kind: 'fenceReused', replica: replica.id });
      }
      continue;
    }
    if (replica.fence < former.fence) faults.push({ kind: 'fenceBack' });
    if (replica.fence === former.fence && !keepsMembers(former, replica)) {
      faults.push({ kind: 'fenceReused', replica: replica.id });
    }
  }
  return faults;
}

/** Under one number the members stay the same; only a released replica loses confirmed ones. */
function keepsMembers(former: Replica, replica: Replica): boolean {
  if (former.model !== replica.model) return false;
  const known = former.members.map((member) => JSON.stringify(member));
  const members = replica.members.map((member) => JSON.stringify(member));
  if (replica.phase === 'released') return members.every((member) => known.includes(member));
  return members.join() === known.join();
}
