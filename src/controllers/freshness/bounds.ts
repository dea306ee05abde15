/**
 * Maximum ages of a freshness proof, as fractions of the time within which gateways must learn of a
 * change.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Age limits of a proof, and the minimum interval between reads. */
export interface ProofBounds {
  /** Age at which a gateway that follows the store queries it again. */
  recheckAfterMs: Milliseconds;
  /**
   * Age at which a gateway that relies on another one's updates, received every `periodMs`, asks others
   * for a later proof.
   */
  askAfterMs(periodMs: Milliseconds): Milliseconds;
  /** Age at which such a gateway follows the store itself. */
  fallbackAfterMs(periodMs: Milliseconds): Milliseconds;
  /** Minimum interval between reads by a gateway that peers notify of each change. */
  minReadIntervalMs: Milliseconds;
}

/**
 * A change may occur right after the last proof. The remaining time is for the call, a retry on
 * another connection and the propagation to the other gateways, about 0.5 s in total.
 */
const RECHECK_FRACTION = 0.5;
/** Leaves time for three questions and for a fetch of what is missing. */
const ASK_FRACTION = 0.65;
/** Leaves time for one call and a retry on another connection. */
const FALLBACK_FRACTION = 0.75;
const MAX_FALLBACK_FRACTION = 0.8;
/** Limits reads during a burst of changes, since only the latest one is needed. */
const READ_INTERVAL_FRACTION = 0.25;
/** Latency of a response and an exchange; with less, gateways would follow the store needlessly. */
const LATENCY_MARGIN_MS: Milliseconds = 200;

/** Derives the bounds from the time within which a change must be known. */
export function computeProofBounds(boundMs: Milliseconds): ProofBounds {
  const recheckAfterMs = RECHECK_FRACTION * boundMs;
  return {
    recheckAfterMs,
    minReadIntervalMs: READ_INTERVAL_FRACTION * boundMs,
    askAfterMs: (periodMs) =>
      Math.min(ASK_FRACTION * boundMs, recheckAfterMs + periodMs + LATENCY_MARGIN_MS),
    fallbackAfterMs: (periodMs) =>
      Math.min(
        MAX_FALLBACK_FRACTION * boundMs,
        Math.max(FALLBACK_FRACTION * boundMs, recheckAfterMs + periodMs + LATENCY_MARGIN_MS),
      ),
  };
}
