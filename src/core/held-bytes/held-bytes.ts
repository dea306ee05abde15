/**
 * Tracks the number of buffered bytes across all buffers of the process.
 *
 * Each buffer registers a callback that returns its size, which runs only when the total is read,
 * so the data path has no overhead. Process memory is no substitute, since it includes garbage that
 * has not been collected yet.
 */

export interface HeldBytes {
  /** Includes the result of `measure` in the total until the returned function is called. */
  hold(measure: () => number): () => void;
  /** Returns the current total over all registered buffers. */
  sum(): number;
}

/**
 * Creates a tracker without registered buffers.
 *
 * @example const release = createHeldBytes().hold(() => response.writableLength);
 */
export function createHeldBytes(): HeldBytes {
  const sources = new Set<() => number>();
  return {
    hold: (measure) => {
      // The wrapper makes each registration distinct, even if callers share one `measure` function.
      const source = (): number => measure();
      sources.add(source);
      return () => {
        sources.delete(source);
      };
    },
    sum: () => {
      let bytes = 0;
      for (const measure of sources) bytes += measure();
      return bytes;
    },
  };
}
