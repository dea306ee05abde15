/**
 * Which gateways follow the store themselves, and passing on what they hear.
 *
 * Every call to the store is paid for, and each change would make one call a gateway. One gateway of
 * each failure domain, the hub, follows, and tells the others as it hears: changes of backend servers
 * whole, of the configuration that there is a new version.
 *
 * Guards against gateways that go on with what is no longer so, a configuration that was replaced or
 * servers that are leaving, because the one who follows has died, stands still or is cut off: the
 * others follow by themselves as soon as it has missed a few exchanges, says that it does not reach
 * the store, or is behind others, and, whatever it says, as soon as the last proof that what they
 * believe is the newest has grown old.
 */
import { ageOf, boundProofs, type Proof } from '../../controllers/freshness/index.js';
import type { PeerTable } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ConfigurationPart } from '../store/configuration-part.js';
import type { FleetNews, FleetPart } from '../store/fleet-part.js';
import type { FollowMode } from '../store/follower-switch.js';
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
  configuration: ConfigurationPart;
  fleet: FleetPart;
  calls: PeerCalls;
}

/** A gateway that began to follow by itself goes on for this long, so that a flapping hub costs little. */
const KEEP_FOLLOWING_MS: Milliseconds = 4_000;

/**
 * For as long after a start, a hub that was not heard yet is no flapping one. Where all start together
 * each takes itself for the hub first; with the longer time 63 gateways made 1,162 calls in their first
 * four seconds, most of which one gateway of each failure domain could have made.
 */
const STARTING_MS: Milliseconds = 2_000;
/** A gateway that has just started and begins to follow by itself goes on for this long. */
const KEEP_FOLLOWING_AT_START_MS: Milliseconds = 400;

export function createStoreShare(options: StoreShareOptions): StoreShare {
  const { context, table, configuration, fleet, calls } = options;
  const { board, clock, logger, settings } = context;
  const startedAt = clock.now();
  let followsUntil = Number.NEGATIVE_INFINITY;
  let mode: FollowMode = 'off';

  const isOld = (proof: Proof | undefined, boundMs: Milliseconds, now: Milliseconds): boolean =>
    (ageOf(proof, now) ?? Infinity) > boundProofs(boundMs).distrustAfterMs(table.hubPeriod());
  const isAnyOld = (now: Milliseconds): boolean =>
    isOld(board.configurationProof.read(), settings.configuration.applyMs, now) ||
    isOld(board.fleetProof.read(), settings.servers.drainMs, now);
  /** Why the hub can't be relied on; undefined when it can. */
  const findDoubt = (now: Milliseconds): string | undefined => {
    const trust = table.judgeHub(now);
    if (trust !== 'trusted') return `the hub is ${trust}`;
    if (!board.storeContact.read().reachable) return 'a call to the store has failed';
    return isAnyOld(now) ? 'no recent proof has come over the hub' : undefined;
  };
  const findMode = (doubt: string | undefined, now: Milliseconds): FollowMode => {
    if (table.isHub()) return 'forDomain';
    const isStarting = now - startedAt < STARTING_MS;
    const keepMs = isStarting ? KEEP_FOLLOWING_AT_START_MS : KEEP_FOLLOWING_MS;
    if (doubt !== undefined) followsUntil = now + keepMs;
    return now < followsUntil ? 'forItself' : 'off';
  };
  const setMode = (next: FollowMode, reason: string): void => {
    const before = mode;
    mode = next;
    configuration.follower.turn(next);
    fleet.follower.turn(next);
    if ((before === 'off') !== (next === 'off')) {
      logger.log(next === 'off' ? 'followingEnded' : 'followingBegan', { reason });
    }
  };
  /** Whoever misses it hears from the next digest that it is behind. */
  const tellNear = (tell: (address: string) => Promise<void>): void => {
    if (!table.isHub()) return;
    for (const peer of table.listNear()) {
      tell(peer.address).catch((error: unknown) => {
        logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
      });
    }
  };
  fleet.onNews((news: FleetNews) => {
    tellNear((address) => calls.news(address, news));
  });
  configuration.onNews(() => {
    const version = board.serving.read()?.configuration.version ?? 0;
    tellNear((address) => calls.notice(address, version));
  });
  return {
    review: (now) => {
      const doubt = findDoubt(now);
      const next = findMode(doubt, now);
      if (next === mode) return;
      const reason = next === 'forDomain' ? 'it is the hub' : (doubt ?? 'the hub is trusted again');
      setMode(next, reason);
    },
    distrust: () => {
      const now = clock.now();
      followsUntil = now + KEEP_FOLLOWING_MS;
      configuration.follower.doubtCallsBefore(now);
      fleet.follower.doubtCallsBefore(now);
    },
  };
}
