/**
 * The mutable state with which one entry computes its shares of fleet-wide limits. Shares, needs and
 * loans are fractions, so that they scale with a limit when it is changed.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Settings of the division of limits; must be the same on every entry. */
export interface ShareOptions {
  /** Maximum number of entries that run at the same time in the whole fleet. */
  mostEntries: number;
  /** Fraction of each limit that is divided by `mostEntries` and usable without communication. */
  guaranteedFraction: number;
  /** How long the platform's list of entries stays valid without a confirmation. */
  viewFreshMs: Milliseconds;
}

/** The entries that may be using a share, as far as this entry knows. */
export interface EntryView {
  /** By name; the value is the time since which the entry is missing from the list, if it is. */
  countedEntries: Map<string, Milliseconds | undefined>;
  /** Start of the current uninterrupted period in which this entry is listed and its view is fresh. */
  listedSince?: Milliseconds;
  /** When the list was last confirmed to be current. */
  confirmedAt: Milliseconds;
}

/** A loan that the borrower may still be using. */
export interface LentShare {
  fraction: number;
  expiresAt: Milliseconds;
}

/** The shares that one lender lends this entry. */
export interface BorrowedShares {
  incarnation: string;
  /** Stamp of the lender's digest that contained the grant; older digests are ignored. */
  stamp: number;
  expiresAt: Milliseconds;
  fractions: Map<string, number>;
}

/** The latest needs that a peer has sent. */
export interface PeerNeeds {
  incarnation: string;
  stamp: number;
  receivedAt: Milliseconds;
  /** Missing fraction, by workspace. */
  missing: Map<string, number>;
}

export interface ShareState {
  name: string;
  incarnation: string;
  options: ShareOptions;
  startedAt: Milliseconds;
  view: EntryView;
  /** Demand on this entry as a fraction of each workspace's limits. */
  ownDemand: Map<string, number>;
  /** Mean demand on the other entries: an estimate of the demand on a new entry. */
  expectedDemand: Map<string, number>;
  /** Outstanding loans, by workspace and borrower. */
  lent: Map<string, Map<string, LentShare[]>>;
  /** Borrowed shares, by lender. */
  borrowed: Map<string, BorrowedShares>;
  /** Needs of the other entries, by name. */
  peerNeeds: Map<string, PeerNeeds>;
  /** Stamp of the last digest that this entry sent. */
  lastStamp: number;
}

/**
 * Creates the state of an entry that starts at `now`.
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
    view: { countedEntries: new Map(), confirmedAt: Number.NEGATIVE_INFINITY },
    ownDemand: new Map(),
    expectedDemand: new Map(),
    lent: new Map(),
    borrowed: new Map(),
    peerNeeds: new Map(),
    lastStamp: Number.NEGATIVE_INFINITY,
  };
}
