/**
 * Chooses the entries that watch the platform; the others receive changes from them.
 */
import type { Fleet } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { PeerRecord } from './gossip.js';
import { rankByRendezvous } from './rendezvous.js';

/** Number of entries in each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

/** Maximum rate of watch calls at the platform caused by changes, for all entries together. */
const MAX_WATCH_CALLS_PER_SECOND = 800;
const MIN_WATCH_DELAY_MS = 100;
const MS_PER_SECOND = 1_000;

/** An entry and its failure domain. */
export interface EntryLocation {
  name: string;
  failureDomain: string;
}

/** Chooses the entries of `failureDomain` that watch the platform, by rendezvous hashing. */
export function chooseWatchers(
  entries: readonly EntryLocation[],
  failureDomain: string,
  perDomain: number = WATCHERS_PER_DOMAIN,
): string[] {
  const names = entries.filter((e) => e.failureDomain === failureDomain).map((e) => e.name);
  return rankByRendezvous(names, `watchers/${failureDomain}`).slice(0, perDomain);
}

/** Counts the entries in the platform's instance list. */
export function countEntries(fleet: Fleet): number {
  return [...fleet.instances.values()].filter(({ role }) => role === 'entry').length;
}

/**
 * Returns the delay between a change and an entry's next watch call when all entries watch.
 *
 * Without it, each entry makes one call per change, and a large fleet exceeds the platform's rate
 * limit. Changes during the delay are delivered together.
 *
 * @example const delayMs = computeWatchDelay(peers.size + 1);
 */
export function computeWatchDelay(entries: number): Milliseconds {
  return Math.max(MIN_WATCH_DELAY_MS, (entries / MAX_WATCH_CALLS_PER_SECOND) * MS_PER_SECOND);
}

/** Options of {@link shouldWatch}. */
export interface WatchOptions {
  self: EntryLocation;
  /** All known peers, including silent ones. */
  peers: readonly PeerRecord[];
  /** Peers that have been silent for longer are ignored. */
  forgetMs: Milliseconds;
  perDomain?: number;
}

/**
 * Whether this entry has to watch the platform itself.
 *
 * It does if it is one of the chosen watchers, or if no live peer reports that it reaches the
 * platform. The latter covers an isolated entry and one whose watchers have all lost the platform.
 */
export function shouldWatch(options: WatchOptions, now: Milliseconds): boolean {
  const { self, forgetMs } = options;
  const live = options.peers.filter((peer) => isActivePeer(peer, now - forgetMs));
  if (!live.some((peer) => peer.content.platform === 'reached')) return true;
  const locations = live.map((p) => ({ name: p.name, failureDomain: p.content.failureDomain }));
  const watchers = chooseWatchers([...locations, self], self.failureDomain, options.perDomain);
  return watchers.includes(self.name);
}

function isActivePeer(peer: PeerRecord, cutoff: Milliseconds): boolean {
  return peer.heardAt >= cutoff && !peer.content.stopping;
}
