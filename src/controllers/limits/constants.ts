/**
 * Spans and fractions of the split of fleet-wide limits.
 */

/** How long a loan lasts, on the borrower's clock, from when the borrower asked. */
export const LOAN_MS = 3_000;
/** How much longer the lender counts it: more than two clocks can differ over such a span. */
export const LOAN_GUARD_MS = 150;
/** How late the platform's list of entries is taken to be at most. */
export const LIST_LAG_MS = 5_000;
/** Room for clocks that differ over the span in which a view of the fleet is fresh. */
export const VIEW_GUARD_MS = 500;
/** Part of the guaranteed share that may be lent. The rest can be used from the start. */
export const LENDABLE_FRACTION = 0.75;
/** What an entry keeps for itself before it lends, and asks for, relative to its demand. */
export const DEMAND_HEADROOM = 1.25;
/** The least part of a limit that is asked for or lent. */
export const LEAST_LOAN = 0.001;
/** Needs and borrowers named in one digest at most; the largest go first. */
export const MAX_NEEDS = 6;
export const MAX_BORROWERS = 4;
