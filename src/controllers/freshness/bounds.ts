/**
 * How old a proof may grow, as parts of the time within which a change must be in force.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Ages of a proof at which something is done. */
export interface ProofBounds {
  /** Who follows the store asks it again. */
  askAfterMs: Milliseconds;
  /** Who relies on another's news follows the store itself. */
  distrustAfterMs: Milliseconds;
}

/**
 * A change may have come at the moment of the last proof; what is left of the time is for the call, a
 * second one on another connection and the way to the other gateways, some 0.5 s together.
 */
const ASK_PART = 0.6;
/**
 * Above the age of a hub's proof while the store answers, with one exchange on top, so that nobody
 * follows for nothing; what is left is for one call.
 */
const DISTRUST_PART = 0.9;

/** The bounds where a change must be in force after `applyMs`. */
export function boundProofs(applyMs: Milliseconds): ProofBounds {
  return { askAfterMs: ASK_PART * applyMs, distrustAfterMs: DISTRUST_PART * applyMs };
}
