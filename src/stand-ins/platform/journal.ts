/**
 * What an observer outside the system is told of the writes that took effect.
 */
import type { StoredObject } from '../../objects/index.js';

/** One write that took effect. */
export interface JournalEntry {
  object: StoredObject;
  /** Wall clock, milliseconds since 1970. */
  at: number;
}

export interface Journal {
  record(object: StoredObject): void;
  /** Entries in the order of their effect; the oldest beyond the bound are gone. */
  entries(): readonly JournalEntry[];
}

/** A journal of the last `length` writes or some more. */
export function createJournal(length: number): Journal {
  let kept: JournalEntry[] = [];
  return {
    record: (object) => {
      kept.push({ object, at: Date.now() });
      if (kept.length > 2 * length) kept = kept.slice(-length);
    },
    entries: () => kept,
  };
}
