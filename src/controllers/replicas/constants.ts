/**
 * Defaults of the planner.
 */
import type { Estimates } from './types.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** The loss classes are pauses, restarts and hardware failures, in this order. */
export const DEFAULT_ESTIMATES: Estimates = {
  formMs: MINUTE_MS,
  releaseMs: 2_000,
  lossMs: 3_000,
  lossClasses: [
    { share: 0.25, meanMs: 10_000, keepsState: true },
    { share: 0.72, meanMs: 1.5 * MINUTE_MS, keepsState: false },
    { share: 0.03, meanMs: 4 * HOUR_MS, keepsState: false },
  ],
  meanTimeBetweenLossesMs: 2.5 * DAY_MS,
  flapHalfLifeMs: HOUR_MS,
};

/** Upper bound on the relative rate difference between two clocks. */
export const CLOCK_DRIFT = 0.01;
