/**
 * When the list of entries that divide the limits was last known to be current.
 *
 * Guards against two groups of entries that are cut from each other and both use the divided part
 * of the limits, which shows as a workspace served more than its limit: two entries that hear only
 * each other would confirm each other's list for ever, while the platform has taken both off it and
 * the others divide by fewer. Word of another entry counts therefore only when it has reached the
 * platform itself, or when every listed entry is heard and none knows a newer list: then nobody who
 * could divide by fewer is left. So the limits stay whole while the platform alone is away.
 */
import type { Peer } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

/** Watches answered in the span for which a list is acted on, so that one may be lost. */
const CONFIRMS_PER_SPAN = 3;

/** What is known of the list of entries. Instants that never came are negative infinity. */
export interface ListNews {
  /** This entry's name. */
  self: string;
  /** The names on the platform's list, as it is in force here. */
  listed: readonly string[];
  /** The configuration revision in force here; the list is part of it. */
  revision: number;
  /** When this entry itself last reached the platform. */
  platformAt: Milliseconds;
  peers: readonly Pick<Peer, 'name' | 'heardAt' | 'configurationRevision' | 'platform'>[];
  /** How old an entry's word that it reaches the platform may be at most when it is told. */
  contactMs: Milliseconds;
}

/**
 * The instant at which the list was last known to be current.
 *
 * @example confirmList({ self: 'entry-1', listed, revision, platformAt, peers, contactMs })
 */
export function confirmList(news: ListNews): Milliseconds {
  return Math.max(news.platformAt, reachedAt(news), allHeardAt(news));
}

/**
 * Whether another listed entry has this one's list in force, so that word of this entry goes on
 * from there. Guards against an entry that reaches the platform and no other entry, while none of
 * the others reaches the platform: they hear each other all right, and would divide without it.
 */
export function isListKnown({ self, listed, peers, revision }: ListNews): boolean {
  const others = new Set(listed.filter((name) => name !== self));
  if (others.size === 0) return true;
  return peers.some((peer) => others.has(peer.name) && peer.configurationRevision >= revision);
}

/** How long a watch of the platform may wait at most, so that the list is confirmed in time. */
export function listWatchMs(viewFreshMs: Milliseconds, watchMs: Milliseconds): Milliseconds {
  return Math.min(watchMs, Math.floor(viewFreshMs / CONFIRMS_PER_SPAN));
}

/** By a peer that reaches the platform and has nothing newer than this entry. */
function reachedAt({ peers, revision, contactMs }: ListNews): Milliseconds {
  let at = Number.NEGATIVE_INFINITY;
  for (const peer of peers) {
    if (peer.platform !== 'reached' || peer.configurationRevision > revision) continue;
    at = Math.max(at, peer.heardAt - contactMs);
  }
  return at;
}

/** By all entries of the list together; one alone that is not heard may know a newer one. */
function allHeardAt({ self, listed, peers, revision }: ListNews): Milliseconds {
  const others = listed.filter((name) => name !== self);
  if (others.length === 0 || peers.some((peer) => peer.configurationRevision > revision)) {
    return Number.NEGATIVE_INFINITY;
  }
  const heard = new Map(peers.map((peer) => [peer.name, peer.heardAt]));
  return Math.min(...others.map((name) => heard.get(name) ?? Number.NEGATIVE_INFINITY));
}
