/**
 * Whether the store answers this gateway, from all its calls.
 */
import type { WritableSection } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, StoreContact } from '../types.js';
import type { StoreFailure } from './client.js';

/** Entries that lapsed in an outage are back within two seconds of its end; a little is added. */
const RETURN_MS: Milliseconds = 2_200;

/** Keeps the section `storeContact`. */
export interface ContactKeeper {
  record(failure: StoreFailure | undefined): void;
  /** From when on an entry that vanishes now counts as gone: now, or later after an outage. */
  absentFrom(now: Milliseconds): Milliseconds;
}

/** A keeper that believes the store away until it has answered. */
export function createContactKeeper(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  section: WritableSection<StoreContact>,
): ContactKeeper {
  let returnedAt = Number.NEGATIVE_INFINITY;
  let everReached = false;
  return {
    record: (failure) => {
      const { reachable, since } = section.read();
      const isReachable = failure === undefined;
      if (isReachable === reachable) return;
      const now = clock.now();
      section.write({ reachable: isReachable, since: now });
      if (isReachable) {
        if (everReached) returnedAt = now;
        everReached = true;
        logger.log('storeRegained', { awayMs: Math.round(now - since) });
      } else {
        logger.log('storeLost', { reason: failure.message });
      }
    },
    absentFrom: (now) => {
      const { reachable } = section.read();
      if (!reachable) return now + RETURN_MS;
      return Math.max(now, returnedAt + RETURN_MS);
    },
  };
}
