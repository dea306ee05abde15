/**
 * The mutable draft of a plan. Each planning step changes it and records the reason.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Replica } from '../../objects/index.js';
import type { DomainInput, PlanReason, RetireCause } from './types.js';
import { getMemberStatus } from './member-status.js';

/** Belongs to a single call of `planDomain`, whose steps change it in place. */
export interface PlanDraft {
  fence: number;
  replicas: Replica[];
  spares: string[];
  reasons: PlanReason[];
}

/**
 * Creates a draft from the current plan. An instance that moved here from another fabric domain
 * rejects fencing tokens below that domain's, so numbering continues above all reported tokens.
 */
export function createPlanDraft(input: DomainInput): PlanDraft {
  const reportedFences = [...input.members.values()].map(
    ({ health }) => health?.report?.fence ?? 0,
  );
  const replicas = [...input.plan.replicas];
  return {
    fence: Math.max(input.plan.fence, ...reportedFences),
    replicas,
    spares: [],
    reasons: [],
  };
}

/** Builds the plan; returns `previous` itself if nothing changed. */
export function buildPlan(draft: PlanDraft, previous: DomainPlan): DomainPlan {
  const isUnchanged =
    areListsEqual(draft.replicas, previous.replicas) &&
    areListsEqual(draft.spares, previous.spares);
  if (isUnchanged) return previous;
  return { ...previous, fence: draft.fence, replicas: draft.replicas, spares: draft.spares };
}

/** Replaces the replica with the same id. */
export function replaceReplica(draft: PlanDraft, replica: Replica): void {
  const index = draft.replicas.findIndex(({ id }) => id === replica.id);
  draft.replicas[index] = replica;
}

/** Issues the next fencing token. */
export function nextFence(draft: PlanDraft): number {
  draft.fence += 1;
  return draft.fence;
}

/** Whether the replica serves or is being formed. */
export function isActive({ phase }: Pick<Replica, 'phase'>): boolean {
  return phase === 'planned' || phase === 'loading' || phase === 'whole';
}

/**
 * Takes `replica` out of service. It drains if its leader can still answer requests; otherwise its
 * members are released immediately. The new fencing token invalidates late orders of the previous
 * phase.
 */
export function retireReplica(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  cause: RetireCause,
  now: Milliseconds,
): void {
  const phase = canDrain(input, replica, now) ? 'draining' : 'released';
  replaceReplica(draft, { ...replica, phase, fence: nextFence(draft) });
  draft.reasons.push({ kind: 'retired', replica: replica.id, cause });
}

function canDrain(input: DomainInput, replica: Replica, now: Milliseconds): boolean {
  if (replica.phase !== 'whole') return false;
  const status = getMemberStatus(input, replica, 0, now);
  if (status.kind === 'inPlace') return status.ready;
  return status.kind === 'leaving' && isHeldByLeader(input, replica);
}

function isHeldByLeader(input: DomainInput, replica: Replica): boolean {
  const leader = replica.members[0]?.instance ?? '';
  const report = input.members.get(leader)?.health?.report;
  return report?.replica?.id === replica.id && report.state !== 'failed';
}

function areListsEqual(a: readonly unknown[], b: readonly unknown[]): boolean {
  if (a.length !== b.length) return false;
  return a.every(
    (value, index) => value === b[index] || JSON.stringify(value) === JSON.stringify(b[index]),
  );
}
