/**
 * Monotonic time in milliseconds.
 *
 * Decision functions receive `now` as an argument; only the code that performs I/O reads a
 * {@link Clock}. The origin is arbitrary, so timestamps of different processes are not comparable.
 */

/** A duration, or a timestamp of one process's monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** A source of monotonic timestamps. */
export interface Clock {
  now(): Milliseconds;
}

/** A clock that moves only when it is advanced explicitly. */
export interface ManualClock extends Clock {
  advance(span: Milliseconds): void;
}

/**
 * Returns the monotonic clock of the process. It keeps running while the process is suspended.
 *
 * @example const clock = createSystemClock(); const startedAt = clock.now();
 */
export function createSystemClock(): Clock {
  return { now: () => performance.now() };
}

/**
 * Returns a manual clock for tests and embedders.
 *
 * @example const clock = createManualClock(); clock.advance(250);
 */
export function createManualClock(start: Milliseconds = 0): ManualClock {
  let instant = start;
  return {
    now: () => instant,
    advance: (span) => {
      instant += span;
    },
  };
}
