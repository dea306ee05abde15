/**
 * The memory of losses: an instance that comes and goes is charged for it.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { measureAbsence } from './member-status.js';
import type { DomainInput, DomainMember, Estimates, LossHistory, LossRecord } from './types.js';

/**
 * The history after a look at all members. A loss is counted once: when the instance has been
 * unheard for too long, or when it reports another start before that was noticed.
 */
export function updateHistory(
  input: Pick<DomainInput, 'members' | 'history' | 'estimates' | 'watchingSince'>,
  now: Milliseconds,
): LossHistory {
  const next = new Map<string, LossRecord>();
  for (const [name, member] of input.members) {
    next.set(name, updateRecord(input, member, input.history.get(name), now));
  }
  return next;
}

/** The losses of `name`, decayed until `now`. */
export function scoreLosses(
  history: LossHistory,
  estimates: Estimates,
  name: string,
  now: Milliseconds,
): number {
  const record = history.get(name);
  return record === undefined ? 0 : decayScore(record, estimates, now);
}

/**
 * Whether `name` comes and goes so fast that a replica with it would hardly serve between two
 * losses. One that lasts longer is taken, after all steady ones: some service is better than none.
 */
export function isFlapping(
  history: LossHistory,
  estimates: Estimates,
  name: string,
  now: Milliseconds,
): boolean {
  const score = scoreLosses(history, estimates, name, now);
  const lossEveryMs = estimates.flapHalfLifeMs / (score * Math.LN2);
  return lossEveryMs < estimates.formMs * MIN_SERVICE_RATIO;
}

/** Time between two losses, in times to form a replica, from which an instance is worth using. */
const MIN_SERVICE_RATIO = 2;

function updateRecord(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  before: LossRecord | undefined,
  now: Milliseconds,
): LossRecord {
  const isLost = measureAbsence(input, member, now) >= input.estimates.lossMs;
  const incarnation = member.health?.report?.incarnation ?? before?.incarnation;
  if (before === undefined) return createRecord(isLost, incarnation, now);
  const isNewStart = before.incarnation !== undefined && incarnation !== before.incarnation;
  const isNewLoss = !before.lost && (isLost || isNewStart);
  if (!isNewLoss && before.lost === isLost && before.incarnation === incarnation) return before;
  const score = decayScore(before, input.estimates, now) + (isNewLoss ? 1 : 0);
  return { ...createRecord(isLost, incarnation, now), score };
}

function createRecord(
  lost: boolean,
  incarnation: string | undefined,
  now: Milliseconds,
): LossRecord {
  const record = { score: 0, at: now, lost };
  return incarnation === undefined ? record : { ...record, incarnation };
}

function decayScore(record: LossRecord, estimates: Estimates, now: Milliseconds): number {
  return record.score * 2 ** ((record.at - now) / estimates.flapHalfLifeMs);
}
