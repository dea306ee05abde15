/**
 * The lifetime of a command that serves until it is told to stop.
 */

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Resolves at the first SIGTERM or SIGINT. Later ones change nothing, so that an impatient second
 * signal can't cut off requests in flight.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS)
      process.on(signal, () => {
        resolve();
      });
  });
}
