/**
 * Finds call records whose retention has ended and assigns their removal to entries.
 *
 * There are too many records to enumerate. Each entry writes the names of the records it settled
 * to lists, grouped by the hour in which they become due: `<series>.0`, `<series>.1`, …
 * A series belongs to one incarnation of an entry and one hour. The object of the hour names its
 * series, so expired records are found by reading objects with known names.
 *
 * Records that an entry had not listed before it failed stay in the platform and only take space.
 */
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallIndex } from '../../objects/index.js';
import { findByRendezvous } from '../membership/index.js';
import {
  CLEANUP_LOOKBACK_HOURS,
  HOUR_MS,
  MAX_CLOCK_SKEW_MS,
  MAX_UNLISTED_RECORDS,
} from './constants.js';
import type { KeyAge } from './keys.js';

/** Item of a record list. */
export type ListedRecord = Extract<CallIndex, { kind: 'list' }>['records'][number];

/** Settled records not yet written to a list, by the hour in which they become due for removal. */
export interface UnlistedRecords {
  byHour: Map<number, ListedRecord[]>;
  count: number;
}

export function createUnlisted(): UnlistedRecords {
  return { byHour: new Map(), count: 0 };
}

/**
 * Adds a settled record to `unlisted`. Once {@link MAX_UNLISTED_RECORDS} is reached, as in a long
 * outage, the record is skipped and stays in the platform.
 *
 * @param wallNow wall clock, in ms since the Unix epoch.
 */
export function addSettledRecord(
  unlisted: UnlistedRecords,
  record: { name: string; version: number },
  age: KeyAge,
  wallNow: Milliseconds,
  retentionMs: Milliseconds,
): void {
  if (unlisted.count >= MAX_UNLISTED_RECORDS) return;
  const expiresAt = age.kind === 'timed' ? age.expiresAt : wallNow + retentionMs;
  // The record outlives its key, as an entry with a slower wall clock may still accept the key.
  const hour = Math.ceil((expiresAt + MAX_CLOCK_SKEW_MS) / HOUR_MS);
  const { name, version } = record;
  const records = unlisted.byHour.get(hour) ?? [];
  records.push({ name, version, timed: age.kind === 'timed' });
  unlisted.byHour.set(hour, records);
  unlisted.count += 1;
}

/** Removes and returns up to `limit` unlisted records of one hour. */
export function takeUnlisted(
  unlisted: UnlistedRecords,
  hour: number,
  limit: number,
): ListedRecord[] {
  const records = unlisted.byHour.get(hour) ?? [];
  const taken = records.splice(0, limit);
  unlisted.count -= taken.length;
  if (records.length === 0) unlisted.byHour.delete(hour);
  return taken;
}

/**
 * Returns the due hours, oldest first, whose records `self` has to remove.
 *
 * @param liveEntries names of the live entries, including `self`.
 * @param completedHours hours that need no further check.
 */
export function listDueHours(
  wallNow: Milliseconds,
  self: string,
  liveEntries: readonly string[],
  completedHours: ReadonlySet<number>,
): number[] {
  const currentHour = Math.floor(wallNow / HOUR_MS);
  const hours = Array.from({ length: CLEANUP_LOOKBACK_HOURS }, (_, index) => currentHour - index);
  const isAssignedToSelf = (hour: number): boolean =>
    findByRendezvous(liveEntries, nameHour(hour)) === self;
  return hours.filter((hour) => !completedHours.has(hour) && isAssignedToSelf(hour)).reverse();
}

/** Returns the name of the object that lists the series of an hour. */
export function nameHour(hour: number): string {
  return `hour-${hour}`;
}

/**
 * Creates the write that removes a listed record. It is conditional on the listed version: a record
 * that has changed since was settled again and is part of a later list.
 */
export function planRemoval(record: ListedRecord, nonce: string): PlatformWrite {
  const { name, version: expected } = record;
  const write = { kind: 'call-record', name, expected, nonce } as const;
  if (record.timed) return { ...write, deleted: true, value: null };
  // A key without a timestamp would be accepted as new if its record were deleted.
  return { ...write, value: { state: { kind: 'expired' } } };
}
