/**
 * What the planner believes of one member of a replica.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import { reportsPlace } from '../health/gate.js';
import type { DomainInput, DomainMember } from './types.js';

/** A member against its place in the plan. */
export type Standing =
  /** In its place; `ready` when it has loaded. */
  | { kind: 'inPlace'; ready: boolean }
  /** The planned process, not in its place: it still needs the order to form. */
  | { kind: 'unformed' }
  | { kind: 'leaving' }
  /** Unheard for `forMs`; too short to count as lost when below the bound. */
  | { kind: 'absent'; forMs: Milliseconds }
  /** Another start of the instance: what it held is gone. */
  | { kind: 'restarted' }
  /** It obeys a later number or another replica of a later number. */
  | { kind: 'moved' }
  /** No longer in the platform's list. */
  | { kind: 'gone' };

/** The standing of rank `rank` of `replica`. */
export function judgeStanding(
  input: DomainInput,
  replica: Replica,
  rank: number,
  now: Milliseconds,
): Standing {
  const planned = replica.members[rank];
  const member = planned === undefined ? undefined : input.members.get(planned.instance);
  if (planned === undefined || member === undefined) return { kind: 'gone' };
  const forMs = measureAbsence(input, member, now);
  const report = member.health?.report;
  if (forMs > 0 || report === undefined) return { kind: 'absent', forMs };
  if (report.incarnation !== planned.incarnation) return { kind: 'restarted' };
  if (member.leaving || report.leaving) return { kind: 'leaving' };
  if (reportsPlace(report, replica, rank)) return judgePlace(report);
  if (report.fence > replica.fence) return { kind: 'moved' };
  return { kind: 'unformed' };
}

function judgePlace(report: EngineReport): Standing {
  if (report.state === 'failed' || report.state === 'draining') return { kind: 'unformed' };
  return { kind: 'inPlace', ready: report.state === 'ready' };
}

/**
 * For how long `member` has been unheard; 0 while its last report is fresh enough.
 *
 * A process that was paused wakes with old reports of everybody. Time before `watchingSince` counts
 * for nothing, so it does not take the whole domain for lost.
 */
export function measureAbsence(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  now: Milliseconds,
): Milliseconds {
  const heardAt = member.health?.heardAt ?? Number.NEGATIVE_INFINITY;
  const failingSince = member.health?.failingSince;
  const since = Math.max(Math.min(heardAt, failingSince ?? heardAt), input.watchingSince);
  const forMs = now - since;
  if (failingSince === undefined && now - heardAt < input.estimates.lossMs) return 0;
  return Math.max(forMs, 1);
}

/** Whether `member` can be put into a new replica as far as its own report goes. */
export function isUsable(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  now: Milliseconds,
): boolean {
  const report = member.health?.report;
  if (report === undefined || member.leaving || report.leaving) return false;
  if (measureAbsence(input, member, now) > 0) return false;
  return report.replica === undefined && report.state === 'idle';
}
