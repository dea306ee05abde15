/**
 * Tracks the number of buffered bytes across all buffers of the process.
 *
 * Each buffer registers a callback that returns its size, which runs only when the total is read,
 * so the data path has no overhead. Process memory is no substitute, since it includes garbage that
 * has not been collected yet.
 */

export interface BufferedBytesTracker {
  /** Includes the result of `measure` in the total until the returned function is called. */
  track(measure: () => number): () => void;
  /** Returns the current total over all registered buffers. */
  total(): number;
}

/**
 * Creates a tracker without registered buffers.
 *
 * @example const release = createBufferedBytesTracker().track(() => response.writableLength);
 */
export function createBufferedBytesTracker(): BufferedBytesTracker {
  const sources = new Set<() => number>();
  return {
    track: (measure) => {
      // The wrapper makes each registration distinct, even if callers share one `measure` function.
      const source = (): number => measure();
      sources.add(source);
      return () => {
        sources.delete(source);
      };
    },
    total: () => {
      let bytes = 0;
      for (const measure of sources) bytes += measure();
      return bytes;
    },
  };
}
