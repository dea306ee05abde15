/**
 * Probes the store when a gateway has no other calls that would show that it is unreachable.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import type { ReachabilityTracker } from './reachability.js';

/** Time without an answer after which the store is probed. */
const PROBE_AFTER_MS: Milliseconds = 4_000;
const CHECK_INTERVAL_MS: Milliseconds = 500;

interface ReachabilityProbeOptions {
  context: GatewayContext;
  store: ObjectStore;
  reachability: ReachabilityTracker;
  /** Kind of the object to request; the object need not exist. */
  kind: string;
}

/**
 * Guards against a gateway that plans replicas without reaching the store. While another gateway
 * follows the store for it, no other call would fail, and no gateway would take over its domains.
 */
export function createReachabilityProbe({
  context,
  store,
  reachability,
  kind,
}: ReachabilityProbeOptions): GatewayPart {
  const { board, clock, settings } = context;
  let timer: NodeJS.Timeout | undefined;
  let isProbing = false;

  const probeIfQuiet = async (): Promise<void> => {
    const isQuiet = clock.now() - reachability.lastAnsweredSentAt() > PROBE_AFTER_MS;
    if (!isQuiet || isProbing || !board.storeReachability.read().reachable) return;
    isProbing = true;
    // The client reports the outcome to the reachability tracker.
    await store.check(kind, settings.name);
    isProbing = false;
  };
  return {
    start: () => {
      timer = setInterval(() => void probeIfQuiet(), CHECK_INTERVAL_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
