/**
 * Detects that the process was paused and reloads the configuration before requests are sent.
 *
 * Prevents an entry that resumes with a stale instance list from sending requests to a backend
 * server that was removed meanwhile. Plain services are not probed, so health reports don't cover
 * this. Each request runs the check too, since pending requests may run before the timer.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EntryContext, Part } from '../types.js';

/** Delays requests after a pause until the data is reloaded. */
export interface PauseDetector extends Part {
  /** Resolves immediately, or after a pause once the reload has succeeded or failed. */
  whenRefreshed(): Promise<void>;
}

const CHECK_INTERVAL_MS = 200;
/** A longer gap between checks counts as a pause; a busy event loop causes shorter delays. */
const PAUSE_THRESHOLD_MS: Milliseconds = 1_000;

/** Creates a detector that calls `refresh` after each pause; `refresh` must not hang or reject. */
export function createPauseDetector(
  { clock }: Pick<EntryContext, 'clock'>,
  refresh: () => Promise<void>,
): PauseDetector {
  let timer: NodeJS.Timeout | undefined;
  let lastCheckAt = clock.now();
  let lastRefresh = Promise.resolve();

  const detectPause = (): void => {
    const now = clock.now();
    const elapsedMs = now - lastCheckAt;
    lastCheckAt = now;
    if (elapsedMs > PAUSE_THRESHOLD_MS) lastRefresh = refresh();
  };

  return {
    whenRefreshed: () => {
      detectPause();
      return lastRefresh;
    },
    start: () => {
      lastCheckAt = clock.now();
      timer = setInterval(detectPause, CHECK_INTERVAL_MS);
    },
    stop: async () => {
      clearInterval(timer);
      await lastRefresh;
    },
  };
}
