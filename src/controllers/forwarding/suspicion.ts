/**
 * Which backend servers get no new requests because nothing moves there.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Evidence that a backend server does not answer. */
export interface Suspicion {
  server: string;
  /** When it was found; of this process's clock. */
  since: Milliseconds;
  /** When it lapses unless it is found again. */
  until: Milliseconds;
  /** Times in a row that it was found. */
  count: number;
  /** Found here, and not told by a peer: only these are told on, or they would never lapse. */
  own: boolean;
}

/** First stay out of service; it doubles with each finding in a row. */
const FIRST_STAY_MS: Milliseconds = 1_500;
/** A stalled replica is given up by its own head after a few seconds; longer stays serve nobody. */
const LONGEST_STAY_MS: Milliseconds = 6_000;
/** A finding this long after the last stay counts as the first again. */
const FORGET_AFTER_MS: Milliseconds = 10_000;

/** The suspicions of one entry, its own and those that peers told. Changed in place, owned by one shell. */
export class SuspicionTable {
  private readonly entries = new Map<string, Suspicion>();

  /** Records a finding; true when the server was not under suspicion before. */
  suspect(server: string, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    if (known && now < known.until) return false;
    const isRecent = known !== undefined && now - known.until < FORGET_AFTER_MS;
    const count = isRecent ? known.count + 1 : 1;
    const stay = Math.min(LONGEST_STAY_MS, FIRST_STAY_MS * 2 ** (count - 1));
    this.entries.set(server, { server, since: now, until: now + stay, count, own: true });
    return true;
  }

  /** A peer found it `ageMs` ago and keeps it out of service for `leftMs` more. */
  learn(server: string, ageMs: Milliseconds, leftMs: Milliseconds, now: Milliseconds): boolean {
    const known = this.entries.get(server);
    const until = now + Math.min(leftMs, LONGEST_STAY_MS);
    if (known && known.until >= until) return false;
    const isNew = known === undefined || now >= known.until;
    this.entries.set(server, {
      server,
      since: now - ageMs,
      until,
      count: known?.count ?? 1,
      own: false,
    });
    return isNew;
  }

  /** The server answered: true when that ends a suspicion. */
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

  /** Suspicions in force that were found here. */
  listOwn(now: Milliseconds): Suspicion[] {
    return this.listAll(now).filter(({ own }) => own);
  }
}
