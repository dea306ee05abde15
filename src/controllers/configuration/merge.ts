/**
 * Merges object versions from the platform and from peers.
 *
 * The state is a join: the highest version and the highest valid version seen of each object.
 * Merging is commutative, idempotent and monotonic, so an outdated copy of the platform or a lagging
 * peer can't revert a change.
 */
import { OBJECT_SCHEMAS, type StoredObject } from '../../objects/index.js';
import {
  WATCHED_KINDS,
  type ChangePage,
  type WatchedKind,
  type ObjectChanges,
  type ObjectRecord,
  type ObjectState,
} from './types.js';

/** Number of objects per page. A page may exceed it, as it never splits objects of one version. */
const PAGE_SIZE = 400;

/** The only name that a policy object may have. */
export const POLICY_NAME = 'default';

/** Creates an empty state. */
export function createObjectState(): ObjectState {
  return { revision: 0, records: new Map() };
}

/** Returns the key of an object in {@link ObjectState.records}. */
export function objectKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}

/**
 * Returns the state after `changes`, or the same state if they contain nothing new.
 *
 * The revision advances only if the changes start at or before it. Otherwise the changes in between
 * are missing, and a change could be reported as accepted before it is in force.
 *
 * @example const next = mergeObjects(state, { since: 0, revision: 7, objects });
 */
export function mergeObjects(state: ObjectState, changes: ObjectChanges): ObjectState {
  const records = mergeRecords(state.records, changes.objects);
  const isContiguous = changes.since <= state.revision;
  const revision = isContiguous ? Math.max(state.revision, changes.revision) : state.revision;
  if (records === state.records && revision === state.revision) return state;
  return { revision, records };
}

function mergeRecords(
  records: ReadonlyMap<string, ObjectRecord>,
  objects: readonly StoredObject[],
): ReadonlyMap<string, ObjectRecord> {
  let next: Map<string, ObjectRecord> | undefined;
  for (const object of objects) {
    if (!isWatchedKind(object.kind)) continue;
    const key = objectKey(object.kind, object.name);
    const before = (next ?? records).get(key);
    const after = mergeRecord(before, object);
    if (after === before) continue;
    next ??= new Map(records);
    next.set(key, after);
  }
  return next ?? records;
}

function isWatchedKind(kind: string): kind is WatchedKind {
  return (WATCHED_KINDS as readonly string[]).includes(kind);
}

function mergeRecord(before: ObjectRecord | undefined, object: StoredObject): ObjectRecord {
  const rejection = explainRejection(object);
  if (before === undefined) return createRecord(object, rejection);
  // Versions up to the valid one in force are obsolete.
  if (before.valid !== undefined && object.version <= before.valid.version) return before;
  if (object.version === before.newest.version) return before;
  const isNewest = object.version > before.newest.version;
  if (rejection === undefined) {
    return isNewest ? createRecord(object, undefined) : { ...before, valid: object };
  }
  return isNewest ? { ...before, newest: object, rejection } : before;
}

function createRecord(object: StoredObject, rejection: string | undefined): ObjectRecord {
  return rejection === undefined
    ? { newest: object, valid: object }
    : { newest: object, rejection };
}

/** Returns why `object` must not be put in force, or undefined if it is valid. */
function explainRejection(object: StoredObject): string | undefined {
  if (object.deleted) return undefined;
  if (object.kind === 'policy' && object.name !== POLICY_NAME) {
    return `a policy must be named "${POLICY_NAME}"`;
  }
  const parsed = OBJECT_SCHEMAS[object.kind].safeParse(object.value);
  if (parsed.success) return undefined;
  const issue = parsed.error.issues[0];
  return issue === undefined ? 'not valid' : `${issue.path.join('.')}: ${issue.message}`;
}

/**
 * Returns a page of the changes after `since`, oldest first.
 *
 * For an object whose newest version was rejected, the page contains the valid version too, so that
 * an entry that starts later puts the same version in force as the others.
 */
export function exportChanges(
  state: ObjectState,
  since: number,
  limit: number = PAGE_SIZE,
): ChangePage {
  const changedRecords = [...state.records.values()]
    .filter((record) => record.newest.version > since)
    .sort((a, b) => a.newest.version - b.newest.version);
  const pageEnd = findPageEnd(changedRecords, limit);
  const page = changedRecords.slice(0, pageEnd);
  const more = pageEnd < changedRecords.length;
  const lastVersion = page.at(-1)?.newest.version ?? state.revision;
  return {
    since,
    revision: more ? lastVersion : Math.max(state.revision, since),
    objects: page.flatMap(listVersions),
    more,
  };
}

/**
 * Returns the revision from which to request changes from a peer. Objects without a known valid
 * version are requested again: the platform keeps only their newest, invalid version, but a peer that
 * has run for longer may still have an earlier valid one in force.
 */
export function findPullStart(state: ObjectState): number {
  const recordsWithoutValid = [...state.records.values()].filter(
    (record) => record.valid === undefined,
  );
  return Math.min(
    state.revision,
    ...recordsWithoutValid.map((record) => record.newest.version - 1),
  );
}

/**
 * Returns the newest object version seen. It exceeds the revision after a write through this entry
 * until the platform's watch catches up. Digests announce it so that peers fetch the object even while
 * the platform answers from an outdated copy.
 */
export function findNewestVersion({ records }: ObjectState): number {
  let newest = 0;
  for (const record of records.values()) newest = Math.max(newest, record.newest.version);
  return newest;
}

/** Keeps objects of one version on one page, because the next page starts after that version. */
function findPageEnd(records: readonly ObjectRecord[], limit: number): number {
  let end = Math.min(limit, records.length);
  while (end < records.length && versionAt(records, end) === versionAt(records, end - 1)) end += 1;
  return end;
}

function versionAt(records: readonly ObjectRecord[], index: number): number | undefined {
  return records[index]?.newest.version;
}

function listVersions(record: ObjectRecord): StoredObject[] {
  if (record.valid === undefined || record.valid === record.newest) return [record.newest];
  return [record.valid, record.newest];
}
