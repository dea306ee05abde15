/**
 * Status of a replica member as seen by the planner.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import { matchesPlacement } from '../health/eligibility.js';
import type { DomainInput, DomainMember } from './types.js';

/** Status of a member relative to its assignment in the plan. */
export type MemberStatus =
  /** Holds its rank in the replica; `ready` once loaded. */
  | { kind: 'inPlace'; ready: boolean }
  /** The planned process, but it does not hold its rank and needs a form order. */
  | { kind: 'unformed' }
  | { kind: 'leaving' }
  /** Not heard from for `absentMs`; lost once this reaches the loss timeout. */
  | { kind: 'absent'; absentMs: Milliseconds }
  /** The instance restarted and lost its state. */
  | { kind: 'restarted' }
  /** Has seen a later fencing token and no longer holds its rank. */
  | { kind: 'moved' }
  /** No longer listed by the platform. */
  | { kind: 'gone' };

/** The status of the member at `rank` of `replica`. */
export function getMemberStatus(
  input: DomainInput,
  replica: Replica,
  rank: number,
  now: Milliseconds,
): MemberStatus {
  const planned = replica.members[rank];
  const member = planned === undefined ? undefined : input.members.get(planned.instance);
  if (planned === undefined || member === undefined) return { kind: 'gone' };
  const absentMs = measureAbsence(input, member, now);
  const report = member.health?.report;
  if (absentMs > 0 || report === undefined) return { kind: 'absent', absentMs };
  if (report.incarnation !== planned.incarnation) return { kind: 'restarted' };
  if (member.leaving || report.leaving) return { kind: 'leaving' };
  if (matchesPlacement(report, replica, rank)) return getAssignedStatus(report);
  if (report.fence > replica.fence) return { kind: 'moved' };
  return { kind: 'unformed' };
}

function getAssignedStatus(report: EngineReport): MemberStatus {
  if (report.state === 'failed' || report.state === 'draining') return { kind: 'unformed' };
  return { kind: 'inPlace', ready: report.state === 'ready' };
}

/**
 * How long `member` has not been heard from; 0 while its last report is fresh.
 *
 * Time before `watchingSince` does not count: after this process was suspended, all reports are old
 * and the whole domain would appear lost.
 */
export function measureAbsence(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  now: Milliseconds,
): Milliseconds {
  const heardAt = member.health?.heardAt ?? Number.NEGATIVE_INFINITY;
  const failingSince = member.health?.failingSince;
  const absentSince = Math.max(Math.min(heardAt, failingSince ?? heardAt), input.watchingSince);
  const absentMs = now - absentSince;
  if (failingSince === undefined && now - heardAt < input.estimates.lossMs) return 0;
  return Math.max(absentMs, 1);
}

/** Whether the report of `member` allows assigning it to a new replica. */
export function isAssignable(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  now: Milliseconds,
): boolean {
  const report = member.health?.report;
  if (report === undefined || member.leaving || report.leaving) return false;
  if (measureAbsence(input, member, now) > 0) return false;
  return report.replica === undefined && report.state === 'idle';
}
