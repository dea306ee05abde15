/**
 * What the planner expects until measurements of an installation say otherwise.
 */
import type { Estimates } from './types.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * Of 1,700 instances, 19 fail and 480 are restarted on an ordinary day, which gives the shares of
 * the last two classes of loss; that pauses are a quarter of all losses is assumed.
 */
export const DEFAULT_ESTIMATES: Estimates = {
  formMs: MINUTE_MS,
  releaseMs: 2_000,
  lossMs: 3_000,
  lossClasses: [
    { share: 0.25, meanMs: 10_000, keepsState: true },
    { share: 0.72, meanMs: 1.5 * MINUTE_MS, keepsState: false },
    { share: 0.03, meanMs: 4 * HOUR_MS, keepsState: false },
  ],
  lossEveryMs: 2.5 * DAY_MS,
  flapHalfLifeMs: HOUR_MS,
};

/** Bound on the difference in rate between two clocks: one part in a hundred. */
export const CLOCK_DRIFT = 0.01;
