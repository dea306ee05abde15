/**
 * The objects that every entry keeps in memory: configuration and the platform's list of instances.
 */
import type { ConfigurationKind, StoredObject } from '../../objects/index.js';

/** The kinds that every entry keeps; one watch brings them all. */
export const KEPT_KINDS = ['model', 'service', 'workspace', 'policy', 'instance'] as const;
export type KeptKind = ConfigurationKind | 'instance';

/** What is kept of one object. */
export interface ObjectRecord {
  /** The highest version seen, valid or not; may be a tombstone. */
  newest: StoredObject;
  /** The highest version seen that is valid; this one is in force. A tombstone is valid. */
  valid?: StoredObject;
  /** Why the newest version is not in force; absent when it is. */
  rejection?: string;
}

/** All kept objects of one entry. Replaced as a whole, never changed in place. */
export interface ObjectState {
  /** Every change up to this revision of the platform has been merged. Never falls. */
  revision: number;
  /** By {@link keyObject}. */
  records: ReadonlyMap<string, ObjectRecord>;
}

/** Changes as the platform or a peer offers them: all that came after `since`, up to `revision`. */
export interface ObjectChanges {
  since: number;
  revision: number;
  objects: readonly StoredObject[];
}

/** One page of changes for a peer. */
export interface ChangePage extends ObjectChanges {
  /** There are changes after `revision`: ask again from there. */
  more: boolean;
}
