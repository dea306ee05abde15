/**
 * Durations and fractions that govern how fleet-wide limits are divided between entries.
 */

/** Duration of a loan on the borrower's clock, counted from its request. */
export const LOAN_DURATION_MS = 3_000;
/** Extra time for which the lender counts a loan as used, to tolerate clock drift. */
export const LOAN_MARGIN_MS = 150;
/** Assumed upper bound on the delay of the platform's list of entries. */
export const MAX_LIST_LAG_MS = 5_000;
/** Tolerance for clock drift while a view of the fleet is fresh. */
export const VIEW_MARGIN_MS = 500;
/** Fraction of the guaranteed share that may be lent. The rest is usable right after a start. */
export const LENDABLE_FRACTION = 0.75;
/** Factor applied to an entry's demand when it decides how much to keep and how much to request. */
export const DEMAND_HEADROOM = 1.25;
/** Smallest fraction of a limit that is requested or lent. */
export const MIN_LOAN_FRACTION = 0.001;
/** Maximum number of needs and borrowers in one digest; the largest take precedence. */
export const MAX_NEEDS = 6;
export const MAX_BORROWERS = 4;
