/**
 * Loss history of instances, with an exponentially decaying score to detect flapping.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { measureAbsence } from './member-status.js';
import type { DomainInput, DomainMember, Estimates, LossHistory, LossRecord } from './types.js';

/**
 * Updates the history from the current health of all members. A loss counts once: when the instance
 * exceeds the loss timeout, or when it reports a new incarnation before the timeout.
 */
export function updateLossHistory(
  input: Pick<DomainInput, 'members' | 'history' | 'estimates' | 'watchingSince'>,
  now: Milliseconds,
): LossHistory {
  const next = new Map<string, LossRecord>();
  for (const [name, member] of input.members) {
    next.set(name, updateRecord(input, member, input.history.get(name), now));
  }
  return next;
}

/** The loss score of `name`, decayed until `now`. */
export function getLossScore(
  history: LossHistory,
  estimates: Estimates,
  name: string,
  now: Milliseconds,
): number {
  const record = history.get(name);
  return record === undefined ? 0 : decayScore(record, estimates, now);
}

/**
 * Whether `name` is lost so often that a replica with it would hardly serve between two losses.
 * Less frequent losses only lower its preference.
 */
export function isFlapping(
  history: LossHistory,
  estimates: Estimates,
  name: string,
  now: Milliseconds,
): boolean {
  const score = getLossScore(history, estimates, name, now);
  const meanTimeBetweenLossesMs = estimates.flapHalfLifeMs / (score * Math.LN2);
  return meanTimeBetweenLossesMs < estimates.formMs * MIN_LOSS_INTERVAL_RATIO;
}

/** Minimum mean time between losses of a usable instance, as a multiple of the forming time. */
const MIN_LOSS_INTERVAL_RATIO = 2;

function updateRecord(
  input: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  member: DomainMember,
  last: LossRecord | undefined,
  now: Milliseconds,
): LossRecord {
  const isLost = measureAbsence(input, member, now) >= input.estimates.lossMs;
  const incarnation = member.health?.report?.incarnation ?? last?.incarnation;
  if (last === undefined) return createRecord(isLost, incarnation, now);
  const hasRestarted = last.incarnation !== undefined && incarnation !== last.incarnation;
  const isNewLoss = !last.lost && (isLost || hasRestarted);
  if (!isNewLoss && last.lost === isLost && last.incarnation === incarnation) return last;
  const score = decayScore(last, input.estimates, now) + (isNewLoss ? 1 : 0);
  return { ...createRecord(isLost, incarnation, now), score };
}

function createRecord(
  lost: boolean,
  incarnation: string | undefined,
  now: Milliseconds,
): LossRecord {
  const record = { score: 0, updatedAt: now, lost };
  return incarnation === undefined ? record : { ...record, incarnation };
}

function decayScore(record: LossRecord, estimates: Estimates, now: Milliseconds): number {
  return record.score * 2 ** ((record.updatedAt - now) / estimates.flapHalfLifeMs);
}
