/**
 * Fetching what others know and this gateway has not heard.
 */
import { boundProofs } from '../../controllers/freshness/index.js';
import { LagTracker, type Digest, type Versions } from '../../controllers/peering/index.js';
import type { GatewayContext } from '../types.js';
import type { PeerCalls } from './link.js';
import type { CatchUp } from './messages.js';

/** What the news of others lead to. */
export interface BehindHandlers {
  listHeard(): readonly Digest[];
  own(): Versions;
  take(answer: CatchUp): void;
}

/** A check to be made in each round; it makes one call at a time. */
export function createBehindCheck(
  { clock, logger, settings }: GatewayContext,
  calls: PeerCalls,
  handlers: BehindHandlers,
): () => void {
  const lag = new LagTracker(boundProofs(settings.configuration.applyMs).readEveryMs);
  let isCatchingUp = false;

  /** The nearest of those that know more than this gateway. */
  const findSource = (own: Versions): Digest | undefined => {
    const ahead = handlers
      .listHeard()
      .filter(
        (peer) =>
          peer.configurationVersion > own.configurationVersion ||
          findRevision(peer) > own.fleetRevision,
      );
    return ahead.find(({ failureDomain }) => failureDomain === settings.failureDomain) ?? ahead[0];
  };
  const catchUp = async (source: Digest, own: Versions): Promise<void> => {
    isCatchingUp = true;
    try {
      const answer = await calls.catchUp(source.address, own);
      logger.log('caughtUpFromPeer', {
        peer: source.name,
        configuration: answer.configuration?.version,
        configurationBefore: own.configurationVersion,
        fleet: answer.fleet?.revision,
        fleetBefore: own.fleetRevision,
      });
      handlers.take(answer);
    } catch (error) {
      logger.log('peerCallFailed', { peer: source.name, reason: String(error) });
    } finally {
      isCatchingUp = false;
    }
  };
  return () => {
    const own = handlers.own();
    const heard = handlers.listHeard();
    const known = {
      configurationVersion: Math.max(0, ...heard.map((peer) => peer.configurationVersion)),
      fleetRevision: Math.max(0, ...heard.map(findRevision)),
    };
    if (!lag.isLate(own, known, clock.now()) || isCatchingUp) return;
    const source = findSource(own);
    if (source) void catchUp(source, own);
  };
}

/** What is known by one that does not reach the store may be older than it looks. */
function findRevision({ storeReachable, fleetRevision }: Digest): number {
  return storeReachable ? fleetRevision : 0;
}
