/**
 * How often a message to another gateway is sent until it is confirmed.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Time without a confirmation after which a message is sent again. */
export const REPEAT_AFTER_MS: Milliseconds = 250;
/** Covers two losses in a row; a gateway that misses all of them learns of the change from digests. */
export const MAX_SENDINGS = 3;
