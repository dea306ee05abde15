/**
 * Tracks whether the store is reachable, from the outcomes of all calls of this gateway.
 */
import type { WritableSection } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, StoreReachability } from '../types.js';
import type { CallOutcome } from './client.js';

/** Time after an outage within which backend servers have rewritten entries that lapsed; they take 2 s. */
export const ENTRY_RECOVERY_MS: Milliseconds = 2_200;

/** Writes the board section of the store's reachability. */
export interface ReachabilityTracker {
  record(outcome: CallOutcome): void;
  /** Send time of the latest call that was answered. */
  lastAnsweredSentAt(): Milliseconds;
  /** Records that the store was restored from an older copy; lost entries are about to be rewritten. */
  recordRestore(): void;
  /** Whether a restore is so recent that entries may be missing or older than what is known. */
  isSettling(): boolean;
  /** When an entry that disappears now counts as gone: at once, or later around an outage. */
  absenceEffectiveFrom(now: Milliseconds): Milliseconds;
  /**
   * Calls `listener` when the store becomes unreachable, reachable again or is restored. Calls sent
   * before `at` may never be answered.
   */
  onDisruption(listener: (at: Milliseconds) => void): void;
}

/**
 * Creates a tracker that reports the store unreachable until its first answer.
 *
 * A store that was unresponsive never answers the calls it received meanwhile. When one call shows a
 * change of reachability, the listeners can abandon such calls instead of waiting for their timeouts.
 */
export function createReachabilityTracker(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  section: WritableSection<StoreReachability>,
): ReachabilityTracker {
  const listeners: ((at: Milliseconds) => void)[] = [];
  let recoveredAt = Number.NEGATIVE_INFINITY;
  let restoredAt = Number.NEGATIVE_INFINITY;
  let lastAnsweredSentAt = Number.NEGATIVE_INFINITY;
  let wasEverReachable = false;

  const recordRecovery = (now: Milliseconds, outageMs: Milliseconds): void => {
    if (wasEverReachable) recoveredAt = now;
    wasEverReachable = true;
    logger.log('storeRegained', { awayMs: Math.round(outageMs) });
  };
  return {
    lastAnsweredSentAt: () => lastAnsweredSentAt,
    record: ({ kind, sentAt, failure }) => {
      const { reachable, since } = section.read();
      const isReachable = failure === undefined;
      // A failed write may concern writes only, such as a rate limit; reads decide reachability.
      if (!isReachable && kind === 'write') return;
      // A call sent later was answered, so this failure is out of date.
      if (!isReachable && sentAt < lastAnsweredSentAt) return;
      if (isReachable) lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sentAt);
      if (isReachable === reachable) return;
      const now = clock.now();
      section.write({ reachable: isReachable, since: now });
      if (isReachable) recordRecovery(now, now - since);
      else logger.log('storeLost', { reason: failure.message });
      for (const listener of listeners) listener(isReachable ? sentAt : now);
    },
    isSettling: () => clock.now() - restoredAt < ENTRY_RECOVERY_MS,
    recordRestore: () => {
      recoveredAt = clock.now();
      restoredAt = recoveredAt;
      for (const listener of listeners) listener(recoveredAt);
    },
    absenceEffectiveFrom: (now) => {
      const { reachable } = section.read();
      if (!reachable) return now + ENTRY_RECOVERY_MS;
      return Math.max(now, recoveredAt + ENTRY_RECOVERY_MS);
    },
    onDisruption: (listener) => {
      listeners.push(listener);
    },
  };
}
