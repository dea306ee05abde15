/**
 * Fetches newer configuration and fleet state from a peer when this gateway lags behind.
 */
import { computeProofBounds } from '../../controllers/freshness/index.js';
import { LagTracker, type Digest, type Versions } from '../../controllers/peering/index.js';
import type { GatewayContext } from '../types.js';
import type { PeerClient } from './rpc.js';
import type { CatchUpResponse } from './messages.js';

/** Gives the catch-up check access to local and peer state. */
export interface CatchUpHandlers {
  listDigests(): readonly Digest[];
  ownVersions(): Versions;
  apply(response: CatchUpResponse): void;
}

/** Returns a check to run on every tick. At most one catch-up call is in flight at a time. */
export function createCatchUpCheck(
  { clock, logger, settings }: GatewayContext,
  client: PeerClient,
  handlers: CatchUpHandlers,
): () => void {
  const lagTracker = new LagTracker(
    computeProofBounds(settings.configuration.applyMs).minReadIntervalMs,
  );
  let isCatchingUp = false;

  /** Picks a peer with newer state, preferably in this failure domain. */
  const selectSource = (own: Versions): Digest | undefined => {
    const ahead = handlers
      .listDigests()
      .filter(
        (peer) =>
          peer.configurationVersion > own.configurationVersion ||
          confirmedFleetRevision(peer) > own.fleetRevision,
      );
    return ahead.find(({ failureDomain }) => failureDomain === settings.failureDomain) ?? ahead[0];
  };
  const catchUp = async (source: Digest, own: Versions): Promise<void> => {
    isCatchingUp = true;
    try {
      const response = await client.catchUp(source.address, own);
      logger.log('caughtUpFromPeer', {
        peer: source.name,
        configuration: response.configurationVersion,
        configurationBefore: own.configurationVersion,
        fleet: response.fleet?.revision,
        fleetBefore: own.fleetRevision,
      });
      handlers.apply(response);
    } catch (error) {
      logger.log('peerCallFailed', { peer: source.name, reason: String(error) });
    } finally {
      isCatchingUp = false;
    }
  };
  return () => {
    const own = handlers.ownVersions();
    const digests = handlers.listDigests();
    const newest = {
      configurationVersion: Math.max(0, ...digests.map((peer) => peer.configurationVersion)),
      fleetRevision: Math.max(0, ...digests.map(confirmedFleetRevision)),
    };
    if (!lagTracker.isLate(own, newest, clock.now()) || isCatchingUp) return;
    const source = selectSource(own);
    if (source) void catchUp(source, own);
  };
}

/** The peer's fleet revision, or 0 if it can't reach the store and its state may be outdated. */
function confirmedFleetRevision({ storeReachable, fleetRevision }: Digest): number {
  return storeReachable ? fleetRevision : 0;
}
