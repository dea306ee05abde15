/**
 * Plan invariants, checked before every write independently of the planner.
 */
import type { DomainPlan, Replica } from '../../objects/index.js';

/** A violated invariant. */
export type PlanFault =
  | { kind: 'sharedInstance'; instance: string; replicas: readonly string[] }
  | { kind: 'spareInReplica'; instance: string; replica: string }
  | { kind: 'duplicateReplica'; replica: string }
  | { kind: 'emptyReplica'; replica: string }
  | { kind: 'fenceAhead'; replica: string }
  | { kind: 'fenceBack' }
  /** Members or model of a replica changed without a new fencing token. */
  | { kind: 'fenceReused'; replica: string }
  | { kind: 'termBack' };

/**
 * Returns the invariants that `plan` violates on its own: no instance may be in two replicas
 * (released ones included) or both spare and member, and no fencing token may exceed the last one
 * issued.
 *
 * @example if (checkPlan(plan).length > 0) return;
 */
export function checkPlan(plan: DomainPlan): PlanFault[] {
  const faults: PlanFault[] = [];
  const replicaByInstance = new Map<string, string>();
  const ids = new Set<string>();
  for (const replica of plan.replicas) {
    if (ids.has(replica.id)) faults.push({ kind: 'duplicateReplica', replica: replica.id });
    ids.add(replica.id);
    if (replica.members.length === 0) faults.push({ kind: 'emptyReplica', replica: replica.id });
    if (replica.fence > plan.fence) faults.push({ kind: 'fenceAhead', replica: replica.id });
    for (const { instance } of replica.members) {
      const other = replicaByInstance.get(instance);
      if (other !== undefined) {
        faults.push({ kind: 'sharedInstance', instance, replicas: [other, replica.id] });
      }
      replicaByInstance.set(instance, replica.id);
    }
  }
  for (const instance of plan.spares) {
    const replica = replicaByInstance.get(instance);
    if (replica !== undefined) faults.push({ kind: 'spareInReplica', instance, replica });
  }
  return faults;
}

/** Also checks the transition from `previous`: tokens and terms never decrease, tokens are not reused. */
export function checkPlanTransition(previous: DomainPlan, next: DomainPlan): PlanFault[] {
  const faults = checkPlan(next);
  if (next.fence < previous.fence) faults.push({ kind: 'fenceBack' });
  const previousTerm = previous.owner?.term ?? 0;
  if (next.owner !== undefined && next.owner.term < previousTerm) faults.push({ kind: 'termBack' });
  const previousReplicas = new Map(previous.replicas.map((replica) => [replica.id, replica]));
  for (const replica of next.replicas) {
    const previousReplica = previousReplicas.get(replica.id);
    if (previousReplica === undefined) {
      if (replica.fence <= previous.fence) {
        faults.push({ kind: 'fenceReused', replica: replica.id });
      }
      continue;
    }
    if (replica.fence < previousReplica.fence) faults.push({ kind: 'fenceBack' });
    if (replica.fence === previousReplica.fence && !keepsMembers(previousReplica, replica)) {
      faults.push({ kind: 'fenceReused', replica: replica.id });
    }
  }
  return faults;
}

/** Members are fixed under one fencing token, except that a released replica drops confirmed ones. */
function keepsMembers(previous: Replica, replica: Replica): boolean {
  if (previous.model !== replica.model) return false;
  const known = previous.members.map((member) => JSON.stringify(member));
  const members = replica.members.map((member) => JSON.stringify(member));
  if (replica.phase === 'released') return members.every((member) => known.includes(member));
  return members.join() === known.join();
}
