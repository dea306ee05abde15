/**
 * Qualified revisions: a number that combines the store's era and a revision, ordered by era first.
 *
 * After a restore from an older copy the store assigns the same revisions again. The era, which each
 * answer carries, counts the restores. Without it, changes after a restore would look old, and a
 * conditional write could match a revision of another history.
 */
import type { StoreChanges, StoreObject, StorePage, WriteResult } from '../../ports/index.js';

/** Keeps qualified revisions of more than 100,000 eras within the safe integers. */
const REVISIONS_PER_ERA = 2 ** 36;

/**
 * Combines `era` and `revision`.
 *
 * @example qualifyRevision(1, 7) > qualifyRevision(0, 9_000) // true
 */
function qualifyRevision(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1);
}

export function eraOf(qualified: number): number {
  return Math.floor(qualified / REVISIONS_PER_ERA);
}

export function revisionOf(qualified: number): number {
  return qualified % REVISIONS_PER_ERA;
}

/** Returns the object with its revision qualified. */
export function qualifyObject(object: StoreObject, era: number): StoreObject {
  return { ...object, revision: qualifyRevision(era, object.revision) };
}

export function qualifyPage(page: StorePage, era: number): StorePage {
  const objects = page.objects.map((object) => qualifyObject(object, era));
  return { ...page, objects, revision: qualifyRevision(era, page.revision) };
}

export function qualifyChanges({ changes, revision }: StoreChanges, era: number): StoreChanges {
  const qualified = changes.map(({ object, deleted }) => ({
    object: qualifyObject(object, era),
    deleted,
  }));
  return { changes: qualified, revision: qualifyRevision(era, revision) };
}

export function qualifyWrite(answer: WriteResult, era: number): WriteResult {
  switch (answer.kind) {
    case 'written':
      return { kind: 'written', object: qualifyObject(answer.object, era) };
    case 'conflict':
      return {
        kind: 'conflict',
        ...(answer.object && { object: qualifyObject(answer.object, era) }),
      };
    case 'missing':
      return answer;
  }
}
