/**
 * A section of the board: an observable, versioned value with one writer and many readers.
 *
 * Values are immutable: the writer replaces them, so readers may keep a reference. Listeners are
 * called synchronously after each write, in the order of their subscription.
 */

/** Read-only view of a section. */
export interface Section<Value> {
  read(): Value;
  /** Increases by one with each write. */
  version(): number;
  /** Calls `listener` after each write. Returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void;
}

/** A section with write access; owned by a single controller. */
export interface WritableSection<Value> extends Section<Value> {
  write(value: Value): void;
}

/**
 * Creates a section with the value `initial` and version 0.
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
