/**
 * Phase transitions of replicas, driven by the reports of their members.
 *
 * `planned` → `loading` once all members have accepted the form order, → `whole` once all are ready.
 * `draining` → `released` once no request is in flight or the leader is lost. A released replica
 * stays in the plan until every member has confirmed its release; unconfirmed members are not free.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import { nextFence, replaceReplica, type PlanDraft } from './plan-draft.js';
import { getMemberStatus, measureAbsence, type MemberStatus } from './member-status.js';
import type { DomainInput } from './types.js';

/** Applies the phase transitions that are due to every replica of the draft. */
export function advanceReplicas(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  for (const replica of [...draft.replicas]) {
    switch (replica.phase) {
      case 'planned':
      case 'loading':
        advanceFormingReplica(input, draft, replica, now);
        break;
      case 'draining':
        advanceDrainingReplica(input, draft, replica, now);
        break;
      case 'released':
        removeConfirmedMembers(input, draft, replica, now);
        break;
      case 'whole':
        break;
    }
  }
}

function advanceFormingReplica(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  now: Milliseconds,
): void {
  const statuses = replica.members.map((_, rank) => getMemberStatus(input, replica, rank, now));
  if (!statuses.every((status) => status.kind === 'inPlace')) return;
  const phase = statuses.every(isReady) ? 'whole' : 'loading';
  if (phase === replica.phase) return;
  replaceReplica(draft, { ...replica, phase });
  draft.reasons.push({ kind: 'advanced', replica: replica.id, phase });
}

function isReady(status: MemberStatus): boolean {
  return status.kind === 'inPlace' && status.ready;
}

function advanceDrainingReplica(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  now: Milliseconds,
): void {
  if (!input.drained.has(replica.id) && !isLeaderLost(input, replica, now)) return;
  replaceReplica(draft, { ...replica, phase: 'released', fence: nextFence(draft) });
  draft.reasons.push({ kind: 'advanced', replica: replica.id, phase: 'released' });
}

/** Requests in flight cannot complete once the leader is lost, has restarted or has failed. */
function isLeaderLost(input: DomainInput, replica: Replica, now: Milliseconds): boolean {
  const planned = replica.members[0];
  const member = planned === undefined ? undefined : input.members.get(planned.instance);
  if (planned === undefined || member === undefined) return true;
  const report = member.health?.report;
  if (measureAbsence(input, member, now) >= input.estimates.lossMs) return true;
  if (report === undefined) return false;
  if (report.incarnation !== planned.incarnation || report.state === 'failed') return true;
  return report.replica?.id !== replica.id && report.fence >= replica.fence;
}

function removeConfirmedMembers(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  now: Milliseconds,
): void {
  const unconfirmed = replica.members.filter(
    ({ instance, incarnation }) => !hasConfirmedRelease(input, replica, instance, incarnation, now),
  );
  if (unconfirmed.length === replica.members.length) return;
  const unconfirmedNames = new Set(unconfirmed.map(({ instance }) => instance));
  const confirmed = replica.members
    .map(({ instance }) => instance)
    .filter((instance) => !unconfirmedNames.has(instance));
  draft.reasons.push({ kind: 'freed', replica: replica.id, members: confirmed });
  if (unconfirmed.length > 0) replaceReplica(draft, { ...replica, members: unconfirmed });
  else draft.replicas = draft.replicas.filter(({ id }) => id !== replica.id);
}

/**
 * Whether the instance has confirmed that it left `replica`.
 *
 * An idle report alone is not sufficient, since it may predate a form order that is still in
 * transit. The process must have seen the fencing token of the release. A restarted process never
 * held the replica and rejects orders that name the previous incarnation.
 */
function hasConfirmedRelease(
  input: DomainInput,
  replica: Replica,
  instance: string,
  incarnation: string,
  now: Milliseconds,
): boolean {
  const member = input.members.get(instance);
  if (member === undefined) return true;
  const report = member.health?.report;
  if (report === undefined || measureAbsence(input, member, now) > 0) return false;
  if (report.incarnation !== incarnation) return report.replica === undefined;
  if (report.fence < replica.fence) return false;
  return report.replica === undefined || report.replica.fence > replica.fence;
}
