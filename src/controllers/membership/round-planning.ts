/**
 * Which peers a round of digests goes to, within a budget of bytes per second.
 *
 * Every entry sends the same number of bytes a second however many entries there are: the fan-out
 * is fixed, a message has a bound, and a round is skipped while the budget is used up.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { PeerRecord } from './gossip.js';

/** Up to this many other entries each one hears of all exactly; beyond, of its own domain. */
const EXACT_ENTRIES = 32;
/** Of the targets of a large fleet, the fraction in the own failure domain. */
const OWN_DOMAIN_FRACTION = 0.75;
/** Bytes that may be saved up for a round that has news. */
export const BURST_SECONDS = 2;
/** Of these, what is kept for news. */
const NEWS_SECONDS = 1;
const SECOND = 1_000;

/** Whether entries of other failure domains are known by summaries only. */
export function isLargeFleet(otherEntries: number): boolean {
  return otherEntries > EXACT_ENTRIES;
}

/** An address that a digest may go to. */
export interface RoundTarget {
  address: string;
  /** Absent for an address from the settings whose entry is not known yet. */
  name?: string;
  failureDomain?: string;
}

/** Bytes that may still be sent. Sent bytes may take it below zero; rounds wait then. */
export interface ByteBudget {
  left: number;
  at: Milliseconds;
}

/** `budget` after the time since it was looked at last. */
export function refillBudget(
  budget: ByteBudget,
  bytesPerSecond: number,
  now: Milliseconds,
): ByteBudget {
  const gained = ((now - budget.at) / SECOND) * bytesPerSecond;
  return { left: Math.min(budget.left + gained, bytesPerSecond * BURST_SECONDS), at: now };
}

/**
 * Bytes that a round may take. Without news it leaves those of one second: a failure, a leaving
 * instance or a change of configuration would otherwise wait for the bytes that heartbeats used up.
 *
 * @example const bytesLeft = findSpendable(budget, bytesPerSecond, hasNews);
 */
export function findSpendable(
  budget: ByteBudget,
  bytesPerSecond: number,
  hasNews: boolean,
): number {
  return hasNews ? budget.left : budget.left - bytesPerSecond * NEWS_SECONDS;
}

/** What a round is planned from. */
export interface RoundQuestion {
  failureDomain: string;
  targets: readonly RoundTarget[];
  fanOut: number;
  /** Bytes that may be sent now, and that one exchange is expected to take. */
  bytesLeft: number;
  bytesPerExchange: number;
}

/** Targets of this round; none while the budget is used up. */
export function planRound(question: RoundQuestion, random: Random): RoundTarget[] {
  const affordable = Math.floor(question.bytesLeft / question.bytesPerExchange);
  const wanted = Math.min(question.fanOut, affordable, question.targets.length);
  const pool = [...question.targets];
  const chosen: RoundTarget[] = [];
  while (chosen.length < wanted) {
    const index = pickIndex(pool, question, random);
    chosen.push(...pool.splice(index, 1));
  }
  return chosen;
}

function pickIndex(pool: readonly RoundTarget[], question: RoundQuestion, random: Random): number {
  if (!isLargeFleet(question.targets.length)) return random.below(pool.length);
  const wantsOwn = random.fraction() < OWN_DOMAIN_FRACTION;
  const indices = pool.flatMap((target, index) => {
    const isOwn = target.failureDomain === question.failureDomain;
    return isOwn === wantsOwn ? [index] : [];
  });
  return indices[random.below(Math.max(indices.length, 1))] ?? random.below(pool.length);
}

/** Who passes digests on to whom, in a fleet of which size. */
export interface RelayQuestion {
  peers: readonly PeerRecord[];
  isLarge: boolean;
  failureDomain: string;
  /** Undefined when it is not known. */
  targetDomain: string | undefined;
}

/**
 * The digests that may be passed on to an entry of `targetDomain`: all in a small fleet, those of
 * the common domain in a large one, where summaries stand for the others.
 */
export function listRelayed(question: RelayQuestion): readonly PeerRecord[] {
  const { peers, isLarge, failureDomain, targetDomain } = question;
  if (!isLarge) return peers;
  if (targetDomain !== failureDomain) return [];
  return peers.filter((peer) => peer.content.failureDomain === failureDomain);
}
