/**
 * Which entries watch the platform. The rest learn from them.
 */
import type { Fleet } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { PeerRecord } from './gossip.js';
import { rankByRendezvous } from './rendezvous.js';

/** Entries of each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

/** Watch calls a second that changes may cause at the platform, by all entries together. */
const WATCH_CALLS_PER_SECOND = 800;
const LEAST_PAUSE_MS = 100;
const SECOND = 1_000;

/** An entry and the failure domain it runs in. */
export interface EntryPlace {
  name: string;
  failureDomain: string;
}

/** The entries of `failureDomain` that watch the platform, by rendezvous over the live ones. */
export function chooseWatchers(
  entries: readonly EntryPlace[],
  failureDomain: string,
  perDomain: number = WATCHERS_PER_DOMAIN,
): string[] {
  const names = entries.filter((e) => e.failureDomain === failureDomain).map((e) => e.name);
  return rankByRendezvous(names, `watchers/${failureDomain}`).slice(0, perDomain);
}

/** Entries in the platform's list. */
export function countEntries(fleet: Fleet): number {
  return [...fleet.instances.values()].filter(({ role }) => role === 'entry').length;
}

/**
 * How long an entry waits after a change before it watches on, when all of them watch.
 *
 * The failure guarded against: each of many entries makes as many calls as there are changes a
 * second, and the platform refuses the calls of all. With the pause, changes are gathered.
 *
 * @example const pauseMs = findWatchPause(peers.size + 1);
 */
export function findWatchPause(entries: number): Milliseconds {
  return Math.max(LEAST_PAUSE_MS, (entries / WATCH_CALLS_PER_SECOND) * SECOND);
}

/** What the decision to watch rests on. */
export interface WatchQuestion {
  self: EntryPlace;
  /** All entries heard, with the time of hearing. */
  peers: readonly PeerRecord[];
  /** A peer unheard for longer is not counted. */
  forgetMs: Milliseconds;
  perDomain?: number;
}

/**
 * Whether this entry has to watch the platform itself.
 *
 * It does when it is chosen, and whenever no live peer says that it reaches the platform. That
 * covers the entry that hears nobody and the one whose chosen watchers are all cut off from the
 * platform while it is not itself.
 */
export function shouldWatch(question: WatchQuestion, now: Milliseconds): boolean {
  const { self, forgetMs } = question;
  const live = question.peers.filter((peer) => isWatchingPeer(peer, now - forgetMs));
  if (!live.some((peer) => peer.content.platform === 'reached')) return true;
  const places = live.map((p) => ({ name: p.name, failureDomain: p.content.failureDomain }));
  const chosen = chooseWatchers([...places, self], self.failureDomain, question.perDomain);
  return chosen.includes(self.name);
}

function isWatchingPeer(peer: PeerRecord, horizon: Milliseconds): boolean {
  return peer.heardAt >= horizon && !peer.content.stopping;
}
