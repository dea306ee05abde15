/**
 * The objects that every entry holds in memory: configuration and the platform's list of instances.
 */
import type { ConfigurationKind, StoredObject } from '../../objects/index.js';

/** The kinds of objects that every entry holds; a single watch covers all of them. */
export const WATCHED_KINDS = ['model', 'service', 'workspace', 'policy', 'instance'] as const;
export type WatchedKind = ConfigurationKind | 'instance';

/** The relevant versions of one object. */
export interface ObjectRecord {
  /** The highest version seen, valid or not; may be a tombstone. */
  newest: StoredObject;
  /** The highest valid version seen, which is in force. Tombstones are valid. */
  valid?: StoredObject;
  /** Why the newest version was rejected; absent if it is in force. */
  rejection?: string;
}

/** All objects held by one entry. Immutable. */
export interface ObjectState {
  /** All changes up to this revision of the platform have been merged. Never decreases. */
  revision: number;
  /** By {@link objectKey}. */
  records: ReadonlyMap<string, ObjectRecord>;
}

/** All changes after `since` up to `revision`, from the platform or a peer. */
export interface ObjectChanges {
  since: number;
  revision: number;
  objects: readonly StoredObject[];
}

/** One page of changes for a peer. */
export interface ChangePage extends ObjectChanges {
  /** Whether there are changes after `revision`, to be requested as the next page. */
  more: boolean;
}
