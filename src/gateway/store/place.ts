/**
 * Places in the store's history, in one number that orders them.
 *
 * A store may come back from a copy some seconds old. It then gives revisions out again, for another
 * history, and says in each answer how often that has happened, its era. Compared by revision alone, news
 * of the new history would count as old, and a write on condition of a revision of the former history
 * would take effect on another state. A place is the era and the revision, compared in that order.
 */
import type { StoreChanges, StoreObject, StorePage, WriteAnswer } from '../../ports/index.js';

/** Revisions of one era; with it, places of 100,000 eras are whole numbers that compare exactly. */
const REVISIONS_PER_ERA = 2 ** 36;

/**
 * The place of `revision` in the history of `era`.
 *
 * @example placeOf(1, 7) > placeOf(0, 9_000) // true
 */
function placeOf(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + Math.min(revision, REVISIONS_PER_ERA - 1);
}

export function eraOf(place: number): number {
  return Math.floor(place / REVISIONS_PER_ERA);
}

export function revisionOf(place: number): number {
  return place % REVISIONS_PER_ERA;
}

/** The object with its place for its revision. */
export function placeObject(object: StoreObject, era: number): StoreObject {
  return { ...object, revision: placeOf(era, object.revision) };
}

export function placePage(page: StorePage, era: number): StorePage {
  const objects = page.objects.map((object) => placeObject(object, era));
  return { ...page, objects, revision: placeOf(era, page.revision) };
}

export function placeChanges({ changes, revision }: StoreChanges, era: number): StoreChanges {
  const placed = changes.map(({ object, deleted }) => ({
    object: placeObject(object, era),
    deleted,
  }));
  return { changes: placed, revision: placeOf(era, revision) };
}

export function placeWrite(answer: WriteAnswer, era: number): WriteAnswer {
  switch (answer.kind) {
    case 'written':
      return { kind: 'written', object: placeObject(answer.object, era) };
    case 'conflict':
      return {
        kind: 'conflict',
        ...(answer.object && { object: placeObject(answer.object, era) }),
      };
    case 'missing':
      return answer;
  }
}
