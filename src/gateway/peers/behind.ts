/**
 * Noticing that others know more than this gateway, and fetching it from one of them.
 */
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext } from '../types.js';
import type { PeerCalls } from './link.js';
import type { CatchUp, Versions } from './messages.js';

/** A gateway that said what it has in force. */
export interface VersionedPeer extends Pick<
  GatewayPeer,
  'name' | 'address' | 'failureDomain' | 'storeReachable'
> {
  versions: Versions;
}

/** What the news of others lead to. */
export interface BehindHandlers {
  listPeers(): readonly VersionedPeer[];
  own(): Versions;
  take(answer: CatchUp): void;
}

/** A peer is this long ahead before its news is fetched: usually they are on their way already. */
const BEHIND_MS: Milliseconds = 350;

/** A check to be made in each round; it makes one call at a time. */
export function createBehindCheck(
  { clock, logger, settings }: GatewayContext,
  calls: PeerCalls,
  handlers: BehindHandlers,
): () => void {
  let behindSince: Milliseconds | undefined;
  let behindAt = '';
  let isCatchingUp = false;

  /** The nearest peer that knows more than this gateway. */
  const findSource = (own: Versions): VersionedPeer | undefined => {
    const ahead = handlers
      .listPeers()
      .filter(
        ({ versions, storeReachable }) =>
          versions.configurationVersion > own.configurationVersion ||
          (storeReachable && versions.fleetRevision > own.fleetRevision),
      );
    return ahead.find(({ failureDomain }) => failureDomain === settings.failureDomain) ?? ahead[0];
  };
  const catchUp = async (source: VersionedPeer, own: Versions, since: number): Promise<void> => {
    isCatchingUp = true;
    try {
      const answer = await calls.catchUp(source.address, own);
      logger.log('caughtUpFromPeer', {
        peer: source.name,
        behindMs: Math.round(clock.now() - since),
        configuration: answer.configuration?.version,
        fleet: answer.fleet?.revision,
      });
      handlers.take(answer);
    } catch (error) {
      logger.log('peerCallFailed', { peer: source.name, reason: String(error) });
    } finally {
      isCatchingUp = false;
      behindSince = undefined;
    }
  };
  return () => {
    const own = handlers.own();
    const source = findSource(own);
    if (source === undefined) {
      behindSince = undefined;
      return;
    }
    const now = clock.now();
    // Still hearing news of its own, this gateway is only a moment behind.
    const knows = `${own.configurationVersion} ${own.fleetRevision}`;
    if (knows !== behindAt) behindSince = undefined;
    behindAt = knows;
    behindSince ??= now;
    if (now - behindSince >= BEHIND_MS && !isCatchingUp) void catchUp(source, own, behindSince);
  };
}
