/**
 * An abort signal that fires at a deadline.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';

export interface Deadline {
  signal: AbortSignal;
  /** Moves the deadline; has no effect once the signal is aborted. */
  reschedule(at: Milliseconds): void;
  clear(): void;
}

/** Creates a deadline whose signal is aborted at `at`. */
export function createDeadline(clock: Clock, at: Milliseconds): Deadline {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const reschedule = (instant: Milliseconds): void => {
    clearTimeout(timer);
    const delayMs = Math.max(0, instant - clock.now());
    timer = setTimeout(() => {
      controller.abort();
    }, delayMs);
  };
  reschedule(at);
  return {
    signal: controller.signal,
    reschedule,
    clear: () => {
      clearTimeout(timer);
    },
  };
}
