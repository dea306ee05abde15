/**
 * Merging of object versions from the platform and from peers.
 *
 * The state is a join: for each object the highest version seen and the highest valid version
 * seen. Merging is commutative and idempotent and never goes back, whoever offers the objects: the
 * platform's current copy, an old copy of it after a failover, or a peer that lags.
 */
import { OBJECT_SCHEMAS, type StoredObject } from '../../objects/index.js';
import {
  KEPT_KINDS,
  type ChangePage,
  type KeptKind,
  type ObjectChanges,
  type ObjectRecord,
  type ObjectState,
} from './types.js';

/** Objects in one page for a peer; a page may be longer by the objects of one version. */
const PAGE_OBJECTS = 400;

/** The only name that a policy object may have. */
export const POLICY_NAME = 'default';

/** A state that has seen nothing. */
export function createObjectState(): ObjectState {
  return { revision: 0, records: new Map() };
}

/** The key of an object in {@link ObjectState.records}. */
export function keyObject(kind: string, name: string): string {
  return `${kind}/${name}`;
}

/**
 * The state after `changes`; the same state when they bring nothing new.
 *
 * The revision moves only when the changes start at or before it. A gap between the two would mean
 * that changes in between were never seen: an entry would report a revision in force whose change
 * it lacks, and the operator would be told "accepted" too early.
 *
 * @example const next = mergeObjects(state, { since: 0, revision: 7, objects });
 */
export function mergeObjects(state: ObjectState, changes: ObjectChanges): ObjectState {
  const records = mergeRecords(state.records, changes.objects);
  const connected = changes.since <= state.revision;
  const revision = connected ? Math.max(state.revision, changes.revision) : state.revision;
  if (records === state.records && revision === state.revision) return state;
  return { revision, records };
}

function mergeRecords(
  records: ReadonlyMap<string, ObjectRecord>,
  objects: readonly StoredObject[],
): ReadonlyMap<string, ObjectRecord> {
  let next: Map<string, ObjectRecord> | undefined;
  for (const object of objects) {
    if (!isKept(object.kind)) continue;
    const key = keyObject(object.kind, object.name);
    const before = (next ?? records).get(key);
    const after = mergeRecord(before, object);
    if (after === before) continue;
    next ??= new Map(records);
    next.set(key, after);
  }
  return next ?? records;
}

function isKept(kind: string): kind is KeptKind {
  return (KEPT_KINDS as readonly string[]).includes(kind);
}

function mergeRecord(before: ObjectRecord | undefined, object: StoredObject): ObjectRecord {
  const rejection = explainRejection(object);
  if (before === undefined) return createRecord(object, rejection);
  // A version below the valid one that is in force is of no use to anybody.
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

/** Why `object` must not be put in force, or undefined when it is valid. */
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
 * What a peer that has everything up to `since` still needs, oldest first.
 *
 * For an object whose newest version was rejected both versions are given, so that an entry that
 * starts later puts the same valid version in force as the others.
 */
export function exportChanges(
  state: ObjectState,
  since: number,
  limit: number = PAGE_OBJECTS,
): ChangePage {
  const changed = [...state.records.values()]
    .filter((record) => record.newest.version > since)
    .sort((a, b) => a.newest.version - b.newest.version);
  const cut = findPageEnd(changed, limit);
  const page = changed.slice(0, cut);
  const more = cut < changed.length;
  const last = page.at(-1)?.newest.version ?? state.revision;
  return {
    since,
    revision: more ? last : Math.max(state.revision, since),
    objects: page.flatMap(listVersions),
    more,
  };
}

/**
 * From which revision to ask a peer. Objects of which no valid version was ever seen here are asked
 * for again: the platform keeps only their newest, invalid version, and a peer that has been up for
 * longer may still have the valid one before it in force.
 */
export function findPullStart(state: ObjectState): number {
  const gaps = [...state.records.values()].filter((record) => record.valid === undefined);
  return Math.min(state.revision, ...gaps.map((record) => record.newest.version - 1));
}

/**
 * The newest object version seen. It is beyond the revision after a write of this entry's own
 * operator until the platform's watch has brought what was written before. The failure guarded
 * against: the platform answers from an old copy just then, and the change, which an operator was
 * told has been taken, would be in force at this one entry alone for as long as that lasts. Peers
 * that see the version in a digest fetch the object.
 */
export function findNewest({ records }: ObjectState): number {
  let newest = 0;
  for (const record of records.values()) newest = Math.max(newest, record.newest.version);
  return newest;
}

/** Objects of one version stay on one page: the next page starts after that version. */
function findPageEnd(changed: readonly ObjectRecord[], limit: number): number {
  let end = Math.min(limit, changed.length);
  while (end < changed.length && versionAt(changed, end) === versionAt(changed, end - 1)) end += 1;
  return end;
}

function versionAt(changed: readonly ObjectRecord[], index: number): number | undefined {
  return changed[index]?.newest.version;
}

function listVersions(record: ObjectRecord): StoredObject[] {
  if (record.valid === undefined || record.valid === record.newest) return [record.newest];
  return [record.valid, record.newest];
}
