/**
 * Notices that the process stood still, and has what it knows read again before it goes on.
 *
 * The failure guarded against: an entry is frozen while a backend server is taken out of service.
 * It wakes with the list of before, and the requests that waited at its door go to a server that is
 * leaving, or gone. It shows as requests at that server seconds after the mark. Nothing probes plain
 * services, so no lapsed report keeps the entry from them. The check is made when a request is about
 * to be sent: after a pause, requests that waited are handled before any timer.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EntryContext, Part } from '../types.js';

/** Lets requests wait after a pause. */
export interface PauseWatch extends Part {
  /** Resolves at once but for a pause: then when everything was read again, or could not be. */
  whenCurrent(): Promise<void>;
}

const TICK_MS = 200;
/** Silence of the ticks that means a pause; a busy process may be late by less. */
const PAUSE_MS: Milliseconds = 1_000;

/** A watch that calls `refresh` after each pause; `refresh` never rejects and ends by itself. */
export function createPauseWatch(
  { clock }: Pick<EntryContext, 'clock'>,
  refresh: () => Promise<void>,
): PauseWatch {
  let timer: NodeJS.Timeout | undefined;
  let lastTickAt = clock.now();
  let refreshed = Promise.resolve();

  const notice = (): void => {
    const now = clock.now();
    const gapMs = now - lastTickAt;
    lastTickAt = now;
    if (gapMs > PAUSE_MS) refreshed = refresh();
  };

  return {
    whenCurrent: () => {
      notice();
      return refreshed;
    },
    start: () => {
      lastTickAt = clock.now();
      timer = setInterval(notice, TICK_MS);
    },
    stop: async () => {
      clearInterval(timer);
      await refreshed;
    },
  };
}
