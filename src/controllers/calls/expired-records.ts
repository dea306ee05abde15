/**
 * Which call records are past the retention, and who removes them.
 *
 * There are too many records to list. Each entry writes down the names of those that it settled,
 * in lists, by the hour in which they are to go: `<series>.0`, `<series>.1`, … A series belongs to
 * one start of one entry and one hour, and the object of the hour names its series. So a record
 * costs a small part of a list, and what is due is found by reading objects with known names.
 *
 * An entry that dies leaves the records that it had not listed yet in the platform. That costs
 * space and nothing else.
 */
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallIndex } from '../../objects/index.js';
import { findByRendezvous } from '../membership/index.js';
import { CLOCK_SKEW_MS, HOUR_MS, LOOK_BACK_HOURS, MAX_UNLISTED_RECORDS } from './constants.js';
import type { KeyAge } from './keys.js';

/** A record as a list names it. */
export type ListedRecord = Extract<CallIndex, { kind: 'list' }>['records'][number];

/** Records that are settled and not listed yet, by the hour in which they are to go. */
export interface UnlistedRecords {
  byHour: Map<number, ListedRecord[]>;
  count: number;
}

/** Nothing is to be listed. */
export function createUnlisted(): UnlistedRecords {
  return { byHour: new Map(), count: 0 };
}

/**
 * Notes that a record was settled. Beyond {@link MAX_UNLISTED_RECORDS}, in a long outage, it is
 * not noted: it will stay in the platform.
 *
 * @param wallNow milliseconds since 1970.
 */
export function noteSettled(
  unlisted: UnlistedRecords,
  record: { name: string; version: number },
  age: KeyAge,
  wallNow: Milliseconds,
  retentionMs: Milliseconds,
): void {
  if (unlisted.count >= MAX_UNLISTED_RECORDS) return;
  const expiresAt = age.kind === 'timed' ? age.expiresAt : wallNow + retentionMs;
  // An entry whose wall clock is behind may still take the key for a while: the record outlives it.
  const hour = Math.ceil((expiresAt + CLOCK_SKEW_MS) / HOUR_MS);
  const { name, version } = record;
  const records = unlisted.byHour.get(hour) ?? [];
  records.push({ name, version, timed: age.kind === 'timed' });
  unlisted.byHour.set(hour, records);
  unlisted.count += 1;
}

/** Takes the records of one hour, to list them. */
export function takeUnlisted(
  unlisted: UnlistedRecords,
  hour: number,
  most: number,
): ListedRecord[] {
  const records = unlisted.byHour.get(hour) ?? [];
  const taken = records.splice(0, most);
  unlisted.count -= taken.length;
  if (records.length === 0) unlisted.byHour.delete(hour);
  return taken;
}

/**
 * The hours whose records `self` is to remove now.
 *
 * @param live names of the live entries, `self` included.
 * @param done hours that need not be looked at again.
 */
export function listDueHours(
  wallNow: Milliseconds,
  self: string,
  live: readonly string[],
  done: ReadonlySet<number>,
): number[] {
  const last = Math.floor(wallNow / HOUR_MS);
  const hours = Array.from({ length: LOOK_BACK_HOURS }, (_, index) => last - index);
  const isOwn = (hour: number): boolean => findByRendezvous(live, nameHour(hour)) === self;
  return hours.filter((hour) => !done.has(hour) && isOwn(hour)).reverse();
}

/** The object that names the series of an hour. */
export function nameHour(hour: number): string {
  return `hour-${hour}`;
}

/**
 * The write that removes a listed record. It is conditional on the version that was listed: a
 * record that changed since was settled anew, and stands in a later list.
 */
export function planRemoval(record: ListedRecord, nonce: string): PlatformWrite {
  const { name, version: expected } = record;
  const write = { kind: 'call-record', name, expected, nonce } as const;
  if (record.timed) return { ...write, deleted: true, value: null };
  // Without a time in it the key would look new once its record is gone.
  return { ...write, value: { state: { kind: 'expired' } } };
}
