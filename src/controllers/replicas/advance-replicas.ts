/**
 * The phases of a replica, moved on by what its members report.
 *
 * `planned` → `loading` once all members took the order, → `whole` once all are ready. `draining` →
 * `released` once nothing is in flight or the leader is lost. A released replica stays in the plan,
 * with the members that have not confirmed, until none is left: until then none of them is free.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import { nextFence, replaceReplica, type Draft } from './plan-draft.js';
import { judgeStanding, measureAbsence, type Standing } from './member-status.js';
import type { DomainInput } from './types.js';

/** Moves every replica of the draft on by one look at the reports. */
export function advanceReplicas(input: DomainInput, draft: Draft, now: Milliseconds): void {
  for (const replica of [...draft.replicas]) {
    switch (replica.phase) {
      case 'planned':
      case 'loading':
        advanceForming(input, draft, replica, now);
        break;
      case 'draining':
        advanceDraining(input, draft, replica, now);
        break;
      case 'released':
        freeMembers(input, draft, replica, now);
        break;
      case 'whole':
        break;
    }
  }
}

function advanceForming(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  now: Milliseconds,
): void {
  const standings = replica.members.map((_, rank) => judgeStanding(input, replica, rank, now));
  if (!standings.every((standing) => standing.kind === 'inPlace')) return;
  const phase = standings.every(isReady) ? 'whole' : 'loading';
  if (phase === replica.phase) return;
  replaceReplica(draft, { ...replica, phase });
  draft.reasons.push({ kind: 'advanced', replica: replica.id, phase });
}

function isReady(standing: Standing): boolean {
  return standing.kind === 'inPlace' && standing.ready;
}

function advanceDraining(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  now: Milliseconds,
): void {
  if (!input.drained.has(replica.id) && !isLeaderLost(input, replica, now)) return;
  replaceReplica(draft, { ...replica, phase: 'released', fence: nextFence(draft) });
  draft.reasons.push({ kind: 'advanced', replica: replica.id, phase: 'released' });
}

/** A leader that is lost, restarted or failed has nothing in flight that could still end well. */
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

function freeMembers(input: DomainInput, draft: Draft, replica: Replica, now: Milliseconds): void {
  const left = replica.members.filter(
    ({ instance, incarnation }) => !hasConfirmed(input, replica, instance, incarnation, now),
  );
  if (left.length === replica.members.length) return;
  const kept = new Set(left.map(({ instance }) => instance));
  const members = replica.members
    .map(({ instance }) => instance)
    .filter((instance) => !kept.has(instance));
  draft.reasons.push({ kind: 'freed', replica: replica.id, members });
  if (left.length > 0) replaceReplica(draft, { ...replica, members: left });
  else draft.replicas = draft.replicas.filter(({ id }) => id !== replica.id);
}

/**
 * Whether the instance itself says that it has left `replica`.
 *
 * An idle report alone does not do: it may be older than an order to form that is still under way.
 * The same process must have seen the release's own number; another process never held the replica
 * and refuses orders for the former one by their incarnation.
 */
function hasConfirmed(
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
