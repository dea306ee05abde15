/**
 * The objects of the platform stand-in: one revision for all kinds, conditional writes, and what
 * changed since a revision.
 *
 * A change of a lagging kind gets its final version when it becomes visible, not when it is
 * written. With the version of the writing, a watcher that had meanwhile been answered with a
 * later revision would never be told of it.
 */
import type { ObjectList, ObjectWrite } from '../../adapters/platform/index.js';
import type { ObjectKind, StoredObject } from '../../objects/index.js';

/** A conditional write to one object. */
export interface StoreWrite extends ObjectWrite {
  kind: ObjectKind;
  name: string;
}

export type StoreOutcome =
  | { outcome: 'written'; object: StoredObject }
  | { outcome: 'conflict'; current: StoredObject | undefined };

/** The objects as readers see them: the live ones, or a copy frozen earlier. */
export interface StoreView {
  revision(): number;
  read(kind: ObjectKind, name: string): StoredObject | undefined;
  /** Every object of the kind that is not deleted. */
  list(kind: ObjectKind): ObjectList;
  /** The newest state of each object of `kinds` that changed after `since`, tombstones included. */
  changesAfter(kinds: readonly ObjectKind[], since: number): ObjectList;
}

export interface Store extends StoreView {
  write(write: StoreWrite): StoreOutcome;
  /** The newest state, also when readers don't see it yet. */
  readNewest(kind: ObjectKind, name: string): StoredObject | undefined;
  /** A copy that later writes don't change. */
  freeze(): StoreView;
  /** Calls `listener` after each change that readers see. */
  subscribe(listener: () => void): () => void;
}

/** How long a change of `kind` stays unseen by readers, in milliseconds. */
type VisibilityLag = (kind: ObjectKind) => number;

interface Entry {
  /** The version that the writer was answered with; a lagging object gets a later one. */
  acceptedVersion: number;
  object: StoredObject;
}

type Objects = Map<string, Entry>;

/** Changes kept for watchers; older ones are found by going through all objects. */
const HISTORY_LENGTH = 10_000;

function keyOf(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/**
 * An empty store.
 *
 * @example const store = createStore((kind) => (kind === 'instance' ? 2_000 : 0));
 */
export function createStore(lagOf: VisibilityLag): Store {
  const newest: Objects = new Map<string, Entry>();
  const visible: Objects = new Map<string, Entry>();
  const listeners = new Set<() => void>();
  let history: StoredObject[] = [];
  let revision = 0;

  const publish = (key: string, entry: Entry): void => {
    visible.set(key, entry);
    history.push(entry.object);
    if (history.length > 2 * HISTORY_LENGTH) history = history.slice(-HISTORY_LENGTH);
    for (const listener of [...listeners]) listener();
  };

  const publishLate = (key: string, accepted: Entry): void => {
    // A lag that was shortened meanwhile may have let a later change through before this one.
    const shown = visible.get(key)?.acceptedVersion ?? 0;
    if (shown > accepted.acceptedVersion) return;
    revision += 1;
    const entry = { ...accepted, object: { ...accepted.object, version: revision } };
    if (newest.get(key) === accepted) newest.set(key, entry);
    publish(key, entry);
  };

  const write = (request: StoreWrite): StoreOutcome => {
    const key = keyOf(request.kind, request.name);
    const current = newest.get(key);
    if (!isExpected(current, request.expected)) {
      return { outcome: 'conflict', current: current?.object };
    }
    revision += 1;
    const entry = { acceptedVersion: revision, object: toObject(request, revision) };
    newest.set(key, entry);
    const lagMs = lagOf(request.kind);
    if (lagMs <= 0) publish(key, entry);
    else setTimeout(publishLate, lagMs, key, entry).unref();
    return { outcome: 'written', object: entry.object };
  };

  const live = createView(
    visible,
    () => revision,
    () => history,
  );
  return {
    ...live,
    write,
    readNewest: (kind, name) => newest.get(keyOf(kind, name))?.object,
    freeze: () => {
      const frozenRevision = revision;
      return createView(
        new Map(visible),
        () => frozenRevision,
        () => [],
      );
    },
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

function isExpected(current: Entry | undefined, expected: number): boolean {
  if (current === undefined) return expected === 0;
  return current.acceptedVersion === expected || current.object.version === expected;
}

function toObject(write: StoreWrite, version: number): StoredObject {
  const { kind, name, nonce, deleted } = write;
  return { kind, name, version, nonce, deleted, value: deleted ? null : write.value };
}

function createView(
  objects: Objects,
  revision: () => number,
  history: () => readonly StoredObject[],
): StoreView {
  const isNewest = (object: StoredObject): boolean =>
    objects.get(keyOf(object.kind, object.name))?.object === object;

  const recentChanges = (since: number): StoredObject[] | undefined => {
    const kept = history();
    const oldest = kept[0]?.version;
    if (oldest === undefined || oldest > since + 1) return undefined;
    const changes: StoredObject[] = [];
    for (let index = kept.length - 1; index >= 0; index -= 1) {
      const object = kept[index];
      if (object === undefined || object.version <= since) break;
      if (isNewest(object)) changes.push(object);
    }
    return changes;
  };

  const everyObject = (): StoredObject[] => [...objects.values()].map((entry) => entry.object);

  return {
    revision,
    read: (kind, name) => objects.get(keyOf(kind, name))?.object,
    list: (kind) => ({
      objects: everyObject().filter((object) => object.kind === kind && !object.deleted),
      revision: revision(),
    }),
    changesAfter: (kinds, since) => {
      const changed = recentChanges(since) ?? everyObject();
      const wanted = changed.filter(
        (object) => object.version > since && kinds.includes(object.kind),
      );
      return {
        objects: wanted.sort((left, right) => left.version - right.version),
        revision: revision(),
      };
    },
  };
}
