/**
 * The dialect of a store of versioned objects: what a call looks like and what its answer says.
 * The client keeps everything that decides: timeouts, retries, watching, lost answers.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** A call to the store, ready to send. */
export interface StoreCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: string;
}

/**
 * One object. `value` is yet to be checked by who reads it. Revisions order the states of one history of
 * the store; the client turns them into places that order those of all.
 */
export interface StoreObject {
  name: string;
  revision: number;
  value: unknown;
}

/** A part of the objects of a kind, in the order of their names. */
export interface StorePage {
  objects: readonly StoreObject[];
  /** There are more after the last name. */
  more: boolean;
  /** The store's revision that the page stands for. */
  revision: number;
}

/** Items of an answer of which not even the name could be read. They are in no list. */
export interface DroppedItems {
  dropped: number;
}

/** One change of an object. */
export interface StoreChange {
  object: StoreObject;
  deleted: boolean;
}

/** What came after a revision. */
export interface StoreChanges {
  changes: readonly StoreChange[];
  revision: number;
}

/** What the answer to a conditional write says. */
export type WriteAnswer =
  | { kind: 'written'; object: StoreObject }
  /** Another write came first; the object as it is, where the answer holds it. */
  | { kind: 'conflict'; object?: StoreObject }
  | { kind: 'missing' };

/**
 * How calls and answers of one store are written. Decoders return undefined for what they can't
 * read. An item of a list of which only the name can be read is an object without a value.
 */
export interface StoreDialect {
  list(kind: string, after?: string): StoreCall;
  read(kind: string, name: string): StoreCall;
  watch(kind: string, since: number, waitMs: Milliseconds): StoreCall;
  create(kind: string, name: string, value: unknown): StoreCall;
  /** A cheap call whose answer may be old: that one comes is all that counts. */
  check(kind: string, name: string): StoreCall;
  /** Takes effect only while the object has `revision`. */
  replace(kind: string, name: string, value: unknown, revision: number): StoreCall;
  decodePage(body: string): (StorePage & DroppedItems) | undefined;
  decodeObject(body: string): StoreObject | undefined;
  decodeChanges(body: string): (StoreChanges & DroppedItems) | undefined;
  /** Undefined when the status says neither that it was written nor that it never will be. */
  decodeWrite(status: number, body: string): WriteAnswer | undefined;
  /** How often the store has come back from an older copy; 0 where an answer doesn't say. */
  decodeEra(headers: Readonly<Record<string, string | string[] | undefined>>): number;
  /** The watch asked for changes that the store no longer has. */
  isHistoryGone(status: number): boolean;
}
