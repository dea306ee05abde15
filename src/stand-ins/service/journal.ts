/**
 * What a service stand-in ran, for an observer outside the system. Instants are of the wall clock.
 */

/** A call that took effect. */
export interface JournaledRun {
  at: number;
  instance: string;
  method: string;
  path: string;
  /** The caller's `x-request-id` and `Idempotency-Key`, when there are any. */
  requestId: string | undefined;
  idempotencyKey: string | undefined;
  /** The first kilobyte. */
  body: string;
}

/** The newest runs, and how many there were. */
export interface ServiceJournal {
  instance: string;
  incarnation: string;
  runCount: number;
  runs: readonly JournaledRun[];
}
