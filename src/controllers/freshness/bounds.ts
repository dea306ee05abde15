/**
 * How old a proof may grow, as parts of the time within which gateways must know of a change.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Ages of a proof at which something is done. */
export interface ProofBounds {
  /** Who follows the store asks it again. */
  askAfterMs: Milliseconds;
  /** Who relies on another's news, heard every `periodMs`, follows the store itself. */
  distrustAfterMs(periodMs: Milliseconds): Milliseconds;
  /** Between two readings of one that others tell of each change. */
  readEveryMs: Milliseconds;
}

/**
 * A change may have come at the moment of the last proof; what is left of the time is for the call, a
 * second one on another connection and the way to the other gateways, some 0.5 s together.
 */
const ASK_PART = 0.5;
/** What is left is for one call, and a second one on another connection. */
const DISTRUST_PART = 0.75;
/** Where changes follow each other faster, each gateway would read each, though the next replaces it. */
const READ_EVERY_PART = 0.25;
/** The way of an answer and of an exchange; with less all would follow for nothing. */
const WAY_MS: Milliseconds = 200;

/** The bounds where a change must be known after `boundMs`. */
export function boundProofs(boundMs: Milliseconds): ProofBounds {
  const askAfterMs = ASK_PART * boundMs;
  return {
    askAfterMs,
    readEveryMs: READ_EVERY_PART * boundMs,
    distrustAfterMs: (periodMs) =>
      Math.max(DISTRUST_PART * boundMs, askAfterMs + periodMs + WAY_MS),
  };
}
