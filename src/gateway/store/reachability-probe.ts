/**
 * Probes the store when a gateway has no other calls that would show that it is unreachable.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { TickerTask } from '../../core/ticker/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import type { ReachabilityTracker } from './reachability.js';

/**
 * Time without an answer after which the store is probed. With the timeout of the probe a gateway knows
 * after 5.5 s that it is cut off; a watch of its own would show it some 3 s later.
 */
const PROBE_AFTER_MS: Milliseconds = 4_000;
/** Longest interval between probes while the store is unreachable; the rest of it is random. */
const RETRY_INTERVAL_MS: Milliseconds = 2_000;
const CHECK_INTERVAL_MS: Milliseconds = 500;

interface ReachabilityProbeOptions {
  context: GatewayContext;
  store: ObjectStore;
  reachability: ReachabilityTracker;
  /** Kind of the object to request; the object need not exist. */
  kind: string;
  /** Whether other calls go on that show when the store is reachable again. */
  isFollowing: () => boolean;
}

/**
 * Guards against a gateway that plans replicas without reaching the store. While another gateway
 * follows the store for it, no other call would fail, and no gateway would take over its domains; nor
 * would any other call show that the store is reachable again.
 */
export function createReachabilityProbe({
  context,
  store,
  reachability,
  kind,
  isFollowing,
}: ReachabilityProbeOptions): GatewayPart {
  const { board, clock, random, settings } = context;
  let ticking: TickerTask | undefined;
  let isProbing = false;
  let retryAt = 0;

  const isDue = (now: Milliseconds): boolean => {
    if (!board.storeReachability.read().reachable) return !isFollowing() && now >= retryAt;
    return now - reachability.lastAnsweredSentAt() > PROBE_AFTER_MS;
  };
  const probeIfDue = async (): Promise<void> => {
    const now = clock.now();
    if (isProbing || !isDue(now)) return;
    isProbing = true;
    retryAt = now + (RETRY_INTERVAL_MS * (1 + random.fraction())) / 2;
    // The client reports the outcome to the reachability tracker.
    await store.check(kind, settings.name);
    isProbing = false;
  };
  return {
    start: () => {
      ticking = context.ticker.every(CHECK_INTERVAL_MS, () => void probeIfDue());
    },
    stop: () => {
      ticking?.stop();
    },
  };
}
