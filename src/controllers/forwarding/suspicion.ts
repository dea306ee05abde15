/**
 * Tracks backend servers that get no new requests because they are suspected of being stalled.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A suspicion that a backend server is stalled. */
export interface Suspicion {
  server: string;
  /** When the stall was detected, by this process's clock. */
  since: Milliseconds;
  /** When the suspicion expires. */
  until: Milliseconds;
  /** Number of consecutive detections. */
  count: number;
  /**
   * Detected here and not explained by a lost link. Only these are gossiped; those reported by a peer
   * would never expire.
   */
  isConfirmed: boolean;
}

/** Duration of the first suspicion; doubles with each consecutive detection. */
const INITIAL_SUSPICION_MS: Milliseconds = 1_500;
/** Maximum duration; the head of a stalled replica gives it up within a few seconds itself. */
const MAX_SUSPICION_MS: Milliseconds = 6_000;
/** Time after the last suspicion's expiry at which the count restarts. */
const COUNT_RESET_MS: Milliseconds = 10_000;

/** Suspicions detected here and those reported by peers. Mutable; has a single owner. */
export class SuspicionTable {
  private readonly entries = new Map<string, Suspicion>();

  /** Records a detection; returns true when the server was not suspected before. */
  suspect(server: string, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    if (known && now < known.until) return false;
    const isRecent = known !== undefined && now - known.until < COUNT_RESET_MS;
    const count = isRecent ? known.count + 1 : 1;
    const durationMs = Math.min(MAX_SUSPICION_MS, INITIAL_SUSPICION_MS * 2 ** (count - 1));
    this.entries.set(server, {
      server,
      since: now,
      until: now + durationMs,
      count,
      isConfirmed: false,
    });
    return true;
  }

  /**
   * Records a suspicion reported by a peer, detected `ageMs` ago and in force for `leftMs` more;
   * returns true when the server was not suspected before.
   */
  recordFromPeer(
    server: string,
    ageMs: Milliseconds,
    leftMs: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const known = this.entries.get(server);
    const until = now + Math.min(leftMs, MAX_SUSPICION_MS);
    if (known && known.until >= until) return false;
    const isNew = known === undefined || now >= known.until;
    this.entries.set(server, {
      server,
      since: now - ageMs,
      until,
      count: known?.count ?? 1,
      isConfirmed: false,
    });
    return isNew;
  }

  /** Clears the server after a response; returns true when a suspicion was in force. */
  clear(server: string, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    if (known === undefined) return false;
    this.entries.delete(server);
    return now < known.until;
  }

  isSuspect(server: string, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    return known !== undefined && now < known.until;
  }

  /** Suspicions in force. */
  listAll(now: Milliseconds): Suspicion[] {
    return [...this.entries.values()].filter(({ until }) => now < until);
  }

  /** Confirms a suspicion in force that was detected here; returns false if there is nothing to confirm. */
  confirm(server: string, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    if (known === undefined || known.isConfirmed || now >= known.until) return false;
    known.isConfirmed = true;
    return true;
  }

  /** Suspicions in force that were detected and confirmed here. */
  listConfirmed(now: Milliseconds): Suspicion[] {
    return this.listAll(now).filter(({ isConfirmed }) => isConfirmed);
  }
}
