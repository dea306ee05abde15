/**
 * Which entries watch the platform. The rest learn from them.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { PeerRecord } from './gossip.js';
import { rankByRendezvous } from './rendezvous.js';

/** Entries of each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

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
