/**
 * What one entry remembers to split fleet-wide limits: a plain object, changed in place and owned
 * by one shell. Shares, needs and loans are fractions of a limit, so that a changed limit changes
 * them all alike.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** How the limits are split; the same at every entry. */
export interface ShareOptions {
  /** Entries that run at once at most, in all the fleet. */
  mostEntries: number;
  /** Part of each limit that is divided by `mostEntries` and needs no news to be used. */
  guaranteedFraction: number;
  /** How long the platform's list of entries is acted on without being confirmed. */
  viewFreshMs: Milliseconds;
}

/** The entries that may be using a share, as this entry knows them. */
export interface EntryView {
  /** By name; the value says since when an entry is missing from the list. */
  missingSince: Map<string, Milliseconds | undefined>;
  /** Since when this entry has seen itself listed without a lapse. */
  listedSince?: Milliseconds;
  /** When the list was last known to be current. */
  confirmedAt: Milliseconds;
}

/** A loan that the borrower may still be using. */
export interface LentShare {
  fraction: number;
  endsAt: Milliseconds;
}

/** What one lender lends this entry. */
export interface BorrowedShares {
  incarnation: string;
  /** The lender's stamp of the digest that granted it: older ones are ignored. */
  stamp: number;
  endsAt: Milliseconds;
  fractions: Map<string, number>;
}

/** What one other entry asked for last. */
export interface PeerNeeds {
  incarnation: string;
  stamp: number;
  heardAt: Milliseconds;
  /** What it lacks, by workspace. */
  missing: Map<string, number>;
}

export interface ShareState {
  name: string;
  incarnation: string;
  options: ShareOptions;
  startedAt: Milliseconds;
  view: EntryView;
  /** What this entry's callers ask of each workspace's limits. */
  wanted: Map<string, number>;
  /** What one of the other entries is asked for in the mean: what a new entry will be asked for. */
  expected: Map<string, number>;
  /** Loans not yet ended, by workspace and borrower. */
  lent: Map<string, Map<string, LentShare[]>>;
  /** By lender. */
  borrowed: Map<string, BorrowedShares>;
  /** By entry. */
  peers: Map<string, PeerNeeds>;
  lastStamp: number;
}

/**
 * The memory of an entry that starts at `now`.
 *
 * @example createShareState('entry-1', incarnation, options, clock.now());
 */
export function createShareState(
  name: string,
  incarnation: string,
  options: ShareOptions,
  now: Milliseconds,
): ShareState {
  return {
    name,
    incarnation,
    options,
    startedAt: now,
    view: { missingSince: new Map(), confirmedAt: Number.NEGATIVE_INFINITY },
    wanted: new Map(),
    expected: new Map(),
    lent: new Map(),
    borrowed: new Map(),
    peers: new Map(),
    lastStamp: Number.NEGATIVE_INFINITY,
  };
}
