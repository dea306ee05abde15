/**
 * What the planner expects until measurements of an installation say otherwise.
 */
import type { Estimates } from './types.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** At 1,700 instances, 19 fail and 480 are restarted on an ordinary day: one loss in 3.4 days each. */
export const DEFAULT_ESTIMATES: Estimates = {
  formMs: MINUTE_MS,
  releaseMs: 2_000,
  lossMs: 3_000,
  pauseShare: 0.3,
  pauseMs: 10_000,
  returnMs: 10 * MINUTE_MS,
  lossEveryMs: 3.4 * DAY_MS,
  flapLimit: 3,
  flapHalfLifeMs: HOUR_MS,
};

/** Bound on the difference in rate between two clocks: one part in a hundred. */
export const CLOCK_DRIFT = 0.01;
