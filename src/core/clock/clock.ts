/**
 * Time as the system sees it: a monotonic count of milliseconds that no decision reads by itself.
 *
 * Every decision is given `now` as an argument. Shells read it from a {@link Clock}; tests and
 * embedders use a manual one. The origin is arbitrary: instants of two processes never compare.
 */

/** A span of time, or an instant of one process's monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** A source of monotonic instants. */
export interface Clock {
  now(): Milliseconds;
}

/** A clock that stands still until it is moved. */
export interface ManualClock extends Clock {
  advance(span: Milliseconds): void;
}

/**
 * The process's own monotonic clock. It counts on while the process is suspended.
 *
 * @example const clock = createSystemClock(); const startedAt = clock.now();
 */
export function createSystemClock(): Clock {
  return { now: () => performance.now() };
}

/**
 * A clock for tests and embedders.
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
