/**
 * Determines when the platform's list of entries was last known to be current.
 *
 * Prevents the two sides of a network partition from both using the divided part of the limits. A
 * peer confirms the list only if it has reached the platform itself, or if all listed entries are
 * heard and none has a newer list. The second case keeps the limits in full use during an outage of
 * the platform alone.
 */
import type { Peer } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

/** Expected confirmations per freshness period, so that losing one doesn't expire the view. */
const CONFIRMATIONS_PER_FRESH_SPAN = 3;

/** What this entry knows about the list of entries. Times are negative infinity if unknown. */
export interface EntryListStatus {
  /** This entry's name. */
  self: string;
  /** The names on the list that is in force on this entry. */
  listed: readonly string[];
  /** The configuration revision in force on this entry; it covers the list. */
  revision: number;
  /** When this entry itself last reached the platform. */
  platformConfirmedAt: Milliseconds;
  peers: readonly Pick<Peer, 'name' | 'heardAt' | 'configurationRevision' | 'platform'>[];
  /** Maximum age of a peer's last contact with the platform when it reports the platform as reached. */
  maxContactAgeMs: Milliseconds;
}

/**
 * Returns when the list was last known to be current.
 *
 * @example listConfirmedAt({ self: 'entry-1', listed, revision, platformConfirmedAt, peers, maxContactAgeMs })
 */
export function listConfirmedAt(status: EntryListStatus): Milliseconds {
  return Math.max(
    status.platformConfirmedAt,
    confirmedByOnePeerAt(status),
    confirmedByAllPeersAt(status),
  );
}

/**
 * Whether another listed entry has this entry's list, or a newer one, in force. Prevents an entry
 * from taking its part while no peer knows of it: entries that have lost the platform would still
 * divide the limits without it.
 */
export function isListHeldByPeer({ self, listed, peers, revision }: EntryListStatus): boolean {
  const others = new Set(listed.filter((name) => name !== self));
  if (others.size === 0) return true;
  return peers.some((peer) => others.has(peer.name) && peer.configurationRevision >= revision);
}

/** The maximum duration of a platform watch that still confirms the list in time. */
export function maxWatchMs(viewFreshMs: Milliseconds, watchMs: Milliseconds): Milliseconds {
  return Math.min(watchMs, Math.floor(viewFreshMs / CONFIRMATIONS_PER_FRESH_SPAN));
}

/** The latest confirmation by a peer that reaches the platform and has no newer revision. */
function confirmedByOnePeerAt({ peers, revision, maxContactAgeMs }: EntryListStatus): Milliseconds {
  let at = Number.NEGATIVE_INFINITY;
  for (const peer of peers) {
    if (peer.platform !== 'reached' || peer.configurationRevision > revision) continue;
    at = Math.max(at, peer.heardAt - maxContactAgeMs);
  }
  return at;
}

/** The latest time by which all other listed entries were heard, if none has a newer revision. */
function confirmedByAllPeersAt({ self, listed, peers, revision }: EntryListStatus): Milliseconds {
  const others = listed.filter((name) => name !== self);
  if (others.length === 0 || peers.some((peer) => peer.configurationRevision > revision)) {
    return Number.NEGATIVE_INFINITY;
  }
  const heardAtByName = new Map(peers.map((peer) => [peer.name, peer.heardAt]));
  return Math.min(...others.map((name) => heardAtByName.get(name) ?? Number.NEGATIVE_INFINITY));
}
