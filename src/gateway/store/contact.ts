/**
 * Whether the store answers this gateway, from all its calls.
 */
import type { WritableSection } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, StoreContact } from '../types.js';
import type { CallOutcome } from './client.js';

/** Entries that lapsed in an outage are back within two seconds of its end; a little is added. */
export const RETURN_MS: Milliseconds = 2_200;

/** Keeps the section `storeContact`. */
export interface ContactKeeper {
  record(outcome: CallOutcome): void;
  /** When the last call was sent that the store answered. */
  answeredAt(): Milliseconds;
  /** The store has come back from a copy: entries that were written since are on their way again. */
  recordReturn(): void;
  /** Entries that were lost so may not all be back; what they say is older than what is known. */
  isSettling(): boolean;
  /** From when on an entry that vanishes now counts as gone: now, or later after an outage. */
  absentFrom(now: Milliseconds): Milliseconds;
  /**
   * Calls `listener` when the store is lost and when it is back: calls that were sent before `at`
   * may wait in vain.
   */
  onDoubt(listener: (at: Milliseconds) => void): void;
}

/**
 * A keeper that believes the store away until it has answered.
 *
 * Guards against calls that wait for an answer that will never come: a store that was silent when
 * they were sent forgets them. What one call learns, that the store is lost or back, is told to all
 * that wait.
 */
export function createContactKeeper(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  section: WritableSection<StoreContact>,
): ContactKeeper {
  const listeners: ((at: Milliseconds) => void)[] = [];
  let returnedAt = Number.NEGATIVE_INFINITY;
  let returnedFromCopyAt = Number.NEGATIVE_INFINITY;
  let answeredAt = Number.NEGATIVE_INFINITY;
  let everReached = false;

  const regain = (now: Milliseconds, awayMs: Milliseconds): void => {
    if (everReached) returnedAt = now;
    everReached = true;
    logger.log('storeRegained', { awayMs: Math.round(awayMs) });
  };
  return {
    answeredAt: () => answeredAt,
    record: ({ kind, sentAt, failure }) => {
      const { reachable, since } = section.read();
      const isReachable = failure === undefined;
      // What is wrong with a write may be wrong with writes alone: reads tell whether the store is there.
      if (!isReachable && kind === 'write') return;
      // A later call was answered: this one says nothing of the store as it is now.
      if (!isReachable && sentAt < answeredAt) return;
      if (isReachable) answeredAt = Math.max(answeredAt, sentAt);
      if (isReachable === reachable) return;
      const now = clock.now();
      section.write({ reachable: isReachable, since: now });
      if (isReachable) regain(now, now - since);
      else logger.log('storeLost', { reason: failure.message });
      for (const listener of listeners) listener(isReachable ? sentAt : now);
    },
    isSettling: () => clock.now() - returnedFromCopyAt < RETURN_MS,
    recordReturn: () => {
      returnedAt = clock.now();
      returnedFromCopyAt = returnedAt;
      for (const listener of listeners) listener(returnedAt);
    },
    absentFrom: (now) => {
      const { reachable } = section.read();
      if (!reachable) return now + RETURN_MS;
      return Math.max(now, returnedAt + RETURN_MS);
    },
    onDoubt: (listener) => {
      listeners.push(listener);
    },
  };
}
