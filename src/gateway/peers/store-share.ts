/**
 * Which gateways follow the backend servers in the store themselves, and passing on what they hear.
 *
 * Every call to the store is paid for, and each change of a backend server would make one call a
 * gateway. One gateway of each failure domain follows, and tells the others as it hears.
 *
 * Guards against gateways that go on sending to servers that are leaving because the one who
 * follows has died, stands still or is cut off: the others follow by themselves as soon as it has
 * missed a few exchanges, says that it does not reach the store, or is behind others.
 */
import type { PeerTable } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { FleetNews, FleetPart } from '../store/fleet-part.js';
import type { GatewayContext } from '../types.js';
import type { PeerCalls } from './link.js';

/** Keeps the share of this gateway in the calls to the store. */
export interface StoreShare {
  /** To be called in each round: begins or ends following. */
  review(now: Milliseconds): void;
  /** Others knew more: this gateway follows by itself for a while. */
  distrust(): void;
}

interface StoreShareOptions {
  context: GatewayContext;
  table: PeerTable;
  fleet: FleetPart;
  calls: PeerCalls;
}

/** A gateway that began to follow by itself goes on for this long, so that a flapping hub costs little. */
const KEEP_FOLLOWING_MS: Milliseconds = 4_000;

export function createStoreShare(options: StoreShareOptions): StoreShare {
  const { context, table, fleet, calls } = options;
  const { clock, logger } = context;
  let followsUntil = Number.NEGATIVE_INFINITY;

  /** Why this gateway has to follow now; undefined when another one does. */
  const explain = (now: Milliseconds): string | undefined => {
    if (table.isHub()) return 'it is the hub';
    const trust = table.judgeHub(now);
    if (trust !== 'trusted') followsUntil = now + KEEP_FOLLOWING_MS;
    return now < followsUntil ? `the hub is or was ${trust}` : undefined;
  };
  const pass = (news: FleetNews): void => {
    if (!table.isHub()) return;
    for (const peer of table.listNear()) {
      // Whoever misses it hears from the next digest that it is behind.
      calls.news(peer.address, news).catch((error: unknown) => {
        logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
      });
    }
  };
  fleet.onNews(pass);
  return {
    review: (now) => {
      const reason = explain(now);
      const shouldFollow = reason !== undefined;
      if (shouldFollow === fleet.isFollowing()) return;
      fleet.setFollowing(shouldFollow);
      logger.log(shouldFollow ? 'followingBegan' : 'followingEnded', { reason });
    },
    distrust: () => {
      followsUntil = clock.now() + KEEP_FOLLOWING_MS;
      if (fleet.isFollowing()) fleet.restart();
    },
  };
}
