/**
 * A deadline as an abort signal.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';

export interface Deadline {
  signal: AbortSignal;
  /** Replaces the instant, unless it has passed. */
  moveTo(at: Milliseconds): void;
  clear(): void;
}

/** Aborts its signal at the instant `at` of `clock`. */
export function createDeadline(clock: Clock, at: Milliseconds): Deadline {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const moveTo = (instant: Milliseconds): void => {
    clearTimeout(timer);
    const left = Math.max(0, instant - clock.now());
    timer = setTimeout(() => {
      controller.abort();
    }, left);
  };
  moveTo(at);
  return {
    signal: controller.signal,
    moveTo,
    clear: () => {
      clearTimeout(timer);
    },
  };
}
