/**
 * Codec interface for a store of versioned objects. It only encodes requests and decodes responses;
 * timeouts, retries, watch loops and lost responses are handled by the client.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** An encoded HTTP request to the store. */
export interface StoreCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: string;
}

/**
 * One object; `value` has not been validated. Revisions are only comparable within one history of
 * the store, that is until it is restored from an older copy. The client converts them to positions
 * that are comparable across histories.
 */
export interface StoreObject {
  name: string;
  revision: number;
  value: unknown;
}

/** One page of the objects of a kind, sorted by name. */
export interface StorePage {
  objects: readonly StoreObject[];
  /** Whether more objects follow after the last name. */
  more: boolean;
  /** The store's revision that the page reflects. */
  revision: number;
}

/** Number of items that were left out of a response because their metadata was invalid. */
export interface DroppedItemCount {
  dropped: number;
}

/** One change of an object. */
export interface StoreChange {
  object: StoreObject;
  deleted: boolean;
}

/** The changes after a given revision, up to `revision`. */
export interface StoreChanges {
  changes: readonly StoreChange[];
  revision: number;
}

/** Result of a conditional write. */
export type WriteResult =
  | { kind: 'written'; object: StoreObject }
  /** The revision didn't match; `object` is the current state, if the response includes it. */
  | { kind: 'conflict'; object?: StoreObject }
  | { kind: 'missing' };

/**
 * Encodes requests to a store and decodes its responses. Decoders return undefined for invalid
 * input. An invalid list item with valid metadata is decoded to an object without a value.
 */
export interface StoreCodec {
  list(kind: string, after?: string): StoreCall;
  read(kind: string, name: string): StoreCall;
  watch(kind: string, since: number, waitMs: Milliseconds): StoreCall;
  create(kind: string, name: string, value: unknown): StoreCall;
  /** An inexpensive request that checks whether the store responds; the response may be stale. */
  check(kind: string, name: string): StoreCall;
  /** Takes effect only if the object's current revision is `revision`. */
  replace(kind: string, name: string, value: unknown, revision: number): StoreCall;
  /** Takes effect only if the object's current revision is `revision`. */
  remove(kind: string, name: string, revision: number): StoreCall;
  decodePage(body: string): (StorePage & DroppedItemCount) | undefined;
  decodeObject(body: string): StoreObject | undefined;
  decodeChanges(body: string): (StoreChanges & DroppedItemCount) | undefined;
  /** Undefined if the status leaves open whether the write has taken or will take effect. */
  decodeWrite(status: number, body: string): WriteResult | undefined;
  /** How often the store has been restored from an older copy; 0 if the header is missing or invalid. */
  decodeEra(headers: Readonly<Record<string, string | string[] | undefined>>): number;
  /** Whether the status means that the store no longer has the changes that a watch requested. */
  isHistoryGone(status: number): boolean;
}
