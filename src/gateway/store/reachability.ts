/**
 * Tracks whether the store is reachable, from the outcomes of all calls of this gateway.
 */
import type { WritableSection } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayContext, StoreReachability } from '../types.js';
import type { CallOutcome } from './client.js';

/** Time after an outage within which backend servers have rewritten entries that lapsed; they take 2 s. */
export const ENTRY_RECOVERY_MS: Milliseconds = 2_200;
/** Heartbeats without which the store removes an entry. */
const ENTRY_EXPIRY_HEARTBEATS = 3;
/** Allows for the store's delay in removing an expired entry. */
const ENTRY_EXPIRY_SLACK_MS: Milliseconds = 1_000;
/**
 * Heartbeats that an outage lasts at least if an entry lapses for it: entries lapse after three, and the last
 * one may have been written a heartbeat before the outage.
 */
const MIN_LAPSE_HEARTBEATS = 2;

/** Time after a restore by which entries that nobody has rewritten have expired. */
export function computeEntryExpiry(heartbeatMs: Milliseconds): Milliseconds {
  return ENTRY_EXPIRY_HEARTBEATS * heartbeatMs + ENTRY_EXPIRY_SLACK_MS;
}

/** Writes the board section of the store's reachability. */
export interface ReachabilityTracker {
  record(outcome: CallOutcome): void;
  /** Send time of the latest call that was answered. */
  lastAnsweredSentAt(): Milliseconds;
  /** Records that another gateway had an answer of the store at `at`. */
  recordPeerContact(at: Milliseconds): void;
  /** Records that the store was restored from an older copy; lost entries are about to be rewritten. */
  recordRestore(): void;
  /** Records that the store was restored at some time before this gateway has heard of it. */
  recordPossibleRestore(): void;
  /**
   * Whether entries that were last confirmed at `confirmedAt` may be missing or older than what is known,
   * because the store was restored shortly before.
   */
  isSettling(confirmedAt: Milliseconds): boolean;
  /**
   * When an entry that disappears now counts as gone: at once, or later around an outage in which entries of
   * servers that still run may have lapsed.
   */
  absenceEffectiveFrom(now: Milliseconds): Milliseconds;
  /**
   * Calls `listener` when the store becomes unreachable, reachable again or is restored. Calls sent
   * before `at` may never be answered.
   */
  onDisruption(listener: (at: Milliseconds) => void): void;
}

type ReachabilityContext = Pick<GatewayContext, 'clock' | 'logger'> & {
  settings: { servers: Pick<GatewaySettings['servers'], 'heartbeatMs'> };
};

/**
 * Creates a tracker that reports the store unreachable until its first answer.
 *
 * A store that was unresponsive never answers the calls it received meanwhile. When one call shows a
 * change of reachability, the listeners can abandon such calls instead of waiting for their timeouts.
 */
export function createReachabilityTracker(
  { clock, logger, settings }: ReachabilityContext,
  section: WritableSection<StoreReachability>,
): ReachabilityTracker {
  const listeners: ((at: Milliseconds) => void)[] = [];
  let recoveredAt = Number.NEGATIVE_INFINITY;
  let restoredAt = Number.NEGATIVE_INFINITY;
  let lastAnsweredSentAt = Number.NEGATIVE_INFINITY;
  let peerContactAt = Number.NEGATIVE_INFINITY;
  let wasEverReachable = false;

  const mayHaveLapsed = (now: Milliseconds, lastContactAt: Milliseconds): boolean =>
    now - lastContactAt >= MIN_LAPSE_HEARTBEATS * settings.servers.heartbeatMs;
  const recordRecovery = (
    now: Milliseconds,
    lastContactAt: Milliseconds,
    outageMs: Milliseconds,
  ): void => {
    if (wasEverReachable && mayHaveLapsed(now, lastContactAt)) recoveredAt = now;
    wasEverReachable = true;
    logger.log('storeRegained', { awayMs: Math.round(outageMs) });
  };
  const contactAt = (): Milliseconds => Math.max(lastAnsweredSentAt, peerContactAt);
  return {
    lastAnsweredSentAt: () => lastAnsweredSentAt,
    record: ({ kind, sentAt, failure }) => {
      const { reachable, since } = section.read();
      const isReachable = failure === undefined;
      // A failed write may concern writes only, such as a rate limit, and the store may cut off a watch that
      // waits; reads decide reachability.
      if (!isReachable && kind !== 'read') return;
      // A call sent later was answered, so this failure is out of date.
      if (!isReachable && sentAt < lastAnsweredSentAt) return;
      const lastContactAt = contactAt();
      if (isReachable) lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sentAt);
      if (isReachable === reachable) return;
      const now = clock.now();
      section.write({ reachable: isReachable, since: now });
      if (isReachable) recordRecovery(now, lastContactAt, now - since);
      else logger.log('storeLost', { reason: failure.message });
      for (const listener of listeners) listener(isReachable ? sentAt : now);
    },
    recordPeerContact: (at) => {
      peerContactAt = Math.max(peerContactAt, at);
    },
    isSettling: (confirmedAt) => confirmedAt < restoredAt + ENTRY_RECOVERY_MS,
    recordPossibleRestore: () => {
      restoredAt = clock.now();
    },
    recordRestore: () => {
      recoveredAt = clock.now();
      restoredAt = recoveredAt;
      for (const listener of listeners) listener(recoveredAt);
    },
    absenceEffectiveFrom: (now) => {
      const { reachable } = section.read();
      if (!reachable && mayHaveLapsed(now, contactAt())) return now + ENTRY_RECOVERY_MS;
      return Math.max(now, recoveredAt + ENTRY_RECOVERY_MS);
    },
    onDisruption: (listener) => {
      listeners.push(listener);
    },
  };
}
