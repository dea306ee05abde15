/**
 * One section of the board: a value with a version, read by all controllers, written by one.
 *
 * A value is never changed in place: the writer replaces it, so that a reader may keep what it
 * read. Listeners are called after each write, in the order in which they subscribed.
 */

/** What readers see of a section. */
export interface Section<Value> {
  read(): Value;
  /** Grows by one with each write. */
  version(): number;
  /** Calls `listener` after each write until the returned function is called. */
  subscribe(listener: () => void): () => void;
}

/** A section with the right to replace its value; held by one controller. */
export interface WritableSection<Value> extends Section<Value> {
  write(value: Value): void;
}

/**
 * A section that starts with `initial` at version 0.
 *
 * @example const section = createSection({ revision: 0 }); section.write({ revision: 1 });
 */
export function createSection<Value>(initial: Value): WritableSection<Value> {
  let current = initial;
  let version = 0;
  const listeners = new Set<() => void>();
  return {
    read: () => current,
    version: () => version,
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    write: (value) => {
      current = value;
      version += 1;
      for (const listener of [...listeners]) listener();
    },
  };
}
