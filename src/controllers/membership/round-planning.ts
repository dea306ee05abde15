/**
 * Chooses the targets of each gossip round within a budget of bytes per second.
 *
 * The traffic of an entry does not grow with the fleet: the fan-out is fixed, the message size is
 * limited, and rounds are skipped while the budget is exhausted.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { PeerRecord } from './gossip.js';

/** With more other entries than this, digests are relayed only within a failure domain. */
const MAX_FULL_GOSSIP_ENTRIES = 32;
/** In a large fleet, the fraction of targets chosen from the entry's own failure domain. */
const OWN_DOMAIN_FRACTION = 0.75;
/** Capacity of the byte budget, in seconds of its rate. */
export const BURST_SECONDS = 2;
/** Part of the budget reserved for rounds with updates, in seconds of its rate. */
const UPDATE_RESERVE_SECONDS = 1;
const MS_PER_SECOND = 1_000;

/** Whether entries of other failure domains are known only through summaries. */
export function isLargeFleet(otherEntries: number): boolean {
  return otherEntries > MAX_FULL_GOSSIP_ENTRIES;
}

/** An address to which digests may be sent. */
export interface RoundTarget {
  address: string;
  /** Absent for an address from the settings whose entry is not known yet. */
  name?: string;
  failureDomain?: string;
}

/** A token bucket of bytes. It may be overdrawn; rounds then wait until it is refilled. */
export interface ByteBudget {
  left: number;
  at: Milliseconds;
}

/** Refills `budget` for the time since its last refill, up to its capacity. */
export function refillBudget(
  budget: ByteBudget,
  bytesPerSecond: number,
  now: Milliseconds,
): ByteBudget {
  const refilled = ((now - budget.at) / MS_PER_SECOND) * bytesPerSecond;
  return { left: Math.min(budget.left + refilled, bytesPerSecond * BURST_SECONDS), at: now };
}

/**
 * Returns the bytes that a round may spend. A round without updates leaves a reserve, so that a
 * failure, a leaving instance or a configuration change need not wait for the budget to be
 * refilled.
 *
 * @example const bytesLeft = computeSpendableBytes(budget, bytesPerSecond, hasUpdates);
 */
export function computeSpendableBytes(
  budget: ByteBudget,
  bytesPerSecond: number,
  hasUpdates: boolean,
): number {
  return hasUpdates ? budget.left : budget.left - bytesPerSecond * UPDATE_RESERVE_SECONDS;
}

/** Options of {@link planRound}. */
export interface RoundOptions {
  failureDomain: string;
  targets: readonly RoundTarget[];
  fanOut: number;
  bytesLeft: number;
  /** Expected size of one exchange. */
  bytesPerExchange: number;
}

/** Chooses the targets of a round; none while the budget is exhausted. */
export function planRound(options: RoundOptions, random: Random): RoundTarget[] {
  const affordable = Math.floor(options.bytesLeft / options.bytesPerExchange);
  const wanted = Math.min(options.fanOut, affordable, options.targets.length);
  const pool = [...options.targets];
  const chosen: RoundTarget[] = [];
  while (chosen.length < wanted) {
    const index = pickTargetIndex(pool, options, random);
    chosen.push(...pool.splice(index, 1));
  }
  return chosen;
}

function pickTargetIndex(
  pool: readonly RoundTarget[],
  options: RoundOptions,
  random: Random,
): number {
  if (!isLargeFleet(options.targets.length)) return random.below(pool.length);
  const wantsOwn = random.fraction() < OWN_DOMAIN_FRACTION;
  const indices = pool.flatMap((target, index) => {
    const isOwn = target.failureDomain === options.failureDomain;
    return isOwn === wantsOwn ? [index] : [];
  });
  return indices[random.below(Math.max(indices.length, 1))] ?? random.below(pool.length);
}

/** Options of the selection of digests to relay. */
export interface RelayOptions {
  peers: readonly PeerRecord[];
  isLarge: boolean;
  failureDomain: string;
  /** Failure domain of the target; undefined if not known. */
  targetDomain: string | undefined;
}

/**
 * Lists the digests that may be relayed to an entry of `targetDomain`: all of them in a small
 * fleet; in a large one, only those of a shared domain, since summaries cover the others.
 */
export function selectRelayedPeers(options: RelayOptions): readonly PeerRecord[] {
  const { peers, isLarge, failureDomain, targetDomain } = options;
  if (!isLarge) return peers;
  if (targetDomain !== failureDomain) return [];
  return peers.filter((peer) => peer.content.failureDomain === failureDomain);
}
