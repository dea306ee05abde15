/**
 * How many bytes are held, counted where they are held.
 *
 * Whoever holds bytes names a way to measure them, which is used only when someone asks for the
 * sum: nothing is added to the path that the bytes take. The memory of the process says less. It
 * also grows by garbage that the runtime has not collected yet, more of it on a busy machine.
 */

export interface HeldBytes {
  /** Counts what `measure` says until the function returned is called. */
  hold(measure: () => number): () => void;
  /** Held at this moment, over all holders. */
  sum(): number;
}

/**
 * A count without holders.
 *
 * @example const release = createHeldBytes().hold(() => response.writableLength);
 */
export function createHeldBytes(): HeldBytes {
  const holders = new Set<() => number>();
  return {
    hold: (measure) => {
      // Two holders may share one way to measure; each is counted.
      const holder = (): number => measure();
      holders.add(holder);
      return () => {
        holders.delete(holder);
      };
    },
    sum: () => {
      let bytes = 0;
      for (const measure of holders) bytes += measure();
      return bytes;
    },
  };
}
