/**
 * Short-lived loans between entries: an entry with spare capacity of a limit lends a part of it to
 * entries whose demand exceeds their share.
 *
 * No capacity may be used twice. A lender deducts a loan before it sends the grant and until after
 * the borrower's lease has expired. The lease starts at the borrower's request, on the borrower's
 * clock, so a delayed grant can't extend it. Lost, late, duplicated and reordered messages can only
 * reduce loans. Borrowed capacity isn't lent again.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  DEMAND_HEADROOM,
  MIN_LOAN_FRACTION,
  LENDABLE_FRACTION,
  LOAN_MARGIN_MS,
  LOAN_DURATION_MS,
  MAX_BORROWERS,
} from './constants.js';
import { dividedFraction } from './entry-view.js';
import type { LentShare, PeerNeeds, ShareState } from './share-state.js';
import type { LoanGrant, ShareLoan } from './types.js';

/** Loans are rounded down to multiples of 1 / FRACTION_SCALE. */
const FRACTION_SCALE = 10_000;

/** A peer that has requested a loan recently. */
interface Borrower {
  name: string;
  needs: PeerNeeds;
}

/**
 * Decides which loans to grant and records them as lent. Each lender offers its portion of the
 * missing fraction, assuming that all entries without needs have the same spare capacity.
 *
 * @example const grants = decideLoans(state, clock.now());
 */
export function decideLoans(state: ShareState, now: Milliseconds): LoanGrant[] {
  const borrowers = listBorrowers(state, now);
  return borrowers.flatMap((borrower) => {
    const loans = [...borrower.needs.missing.keys()].flatMap((workspace) =>
      lend(state, workspace, borrower, borrowers, now),
    );
    const { incarnation, stamp } = borrower.needs;
    if (loans.length === 0) return [];
    return [{ borrower: borrower.name, incarnation, askedAt: stamp, loans }];
  });
}

/**
 * Stores a grant from `lender` if it is addressed to this incarnation of this entry, has not expired
 * and is newer than the stored grant.
 *
 * @example acceptGrant(state, 'entry-2', lenderIncarnation, digest.stamp, grant, clock.now());
 */
export function acceptGrant(
  state: ShareState,
  lender: string,
  incarnation: string,
  stamp: number,
  grant: LoanGrant,
  now: Milliseconds,
): void {
  if (grant.borrower !== state.name || grant.incarnation !== state.incarnation) return;
  if (grant.askedAt > state.lastStamp) return;
  const expiresAt = grant.askedAt + LOAN_DURATION_MS;
  const current = state.borrowed.get(lender);
  if (expiresAt <= now) return;
  if (current?.incarnation === incarnation && current.stamp >= stamp) return;
  const fractions = new Map(grant.loans.map((loan) => [loan.workspace, loan.fraction]));
  state.borrowed.set(lender, { incarnation, stamp, expiresAt, fractions });
}

/** The fraction of a limit that belongs to this entry, not counting loans. */
export function ownFraction(state: ShareState, now: Milliseconds): number {
  return guaranteedFraction(state, now) + dividedFraction(state, now);
}

/** The fraction of this entry's own part that borrowers may be using. */
export function lentFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  let sum = 0;
  for (const shares of state.lent.get(workspace)?.values() ?? [])
    sum += largestFraction(shares, now);
  return sum;
}

/** The fraction that this entry has borrowed from others. */
export function borrowedFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  let sum = 0;
  for (const borrowed of state.borrowed.values()) {
    if (now < borrowed.expiresAt) sum += borrowed.fractions.get(workspace) ?? 0;
  }
  return sum;
}

/** Removes expired loans and outdated needs. */
export function dropEndedLoans(state: ShareState, now: Milliseconds): void {
  for (const [name, needs] of state.peerNeeds) {
    if (now - needs.receivedAt > LOAN_DURATION_MS) state.peerNeeds.delete(name);
  }
  for (const [lender, borrowed] of state.borrowed) {
    if (borrowed.expiresAt <= now) state.borrowed.delete(lender);
  }
  for (const [workspace, borrowers] of state.lent) {
    for (const [borrower, shares] of borrowers) {
      const unexpired = shares.filter((share) => share.expiresAt > now);
      if (unexpired.length > 0) borrowers.set(borrower, unexpired);
      else borrowers.delete(borrower);
    }
    if (borrowers.size === 0) state.lent.delete(workspace);
  }
}

/**
 * The fraction that is usable without communication. After a restart, loans of the previous process
 * may still be in use, so the lendable part becomes usable only once they have expired.
 */
function guaranteedFraction(state: ShareState, now: Milliseconds): number {
  const guaranteed = state.options.guaranteedFraction / state.options.mostEntries;
  const settled = now - state.startedAt >= LOAN_DURATION_MS + LOAN_MARGIN_MS;
  return settled ? guaranteed : guaranteed * (1 - LENDABLE_FRACTION);
}

function listBorrowers(state: ShareState, now: Milliseconds): Borrower[] {
  const requesters = [...state.peerNeeds].filter(
    ([, needs]) => needs.missing.size > 0 && now - needs.receivedAt < LOAN_DURATION_MS / 2,
  );
  return requesters
    .sort(([, a], [, b]) => sumMissing(b) - sumMissing(a))
    .slice(0, MAX_BORROWERS)
    .map(([name, needs]) => ({ name, needs }));
}

function lend(
  state: ShareState,
  workspace: string,
  borrower: Borrower,
  borrowers: readonly Borrower[],
  now: Milliseconds,
): ShareLoan[] {
  const missing = borrower.needs.missing.get(workspace) ?? 0;
  const spare = spareFraction(state, workspace, now);
  const requesters = borrowers.filter((candidate) => candidate.needs.missing.has(workspace));
  const totalMissing = requesters.reduce(
    (sum, requester) => sum + (requester.needs.missing.get(workspace) ?? 0),
    0,
  );
  const lenderCount = Math.max(1, state.view.countedEntries.size - requesters.length);
  const offer = (missing * spare) / Math.max(spare * lenderCount, totalMissing);
  const shares = getOrCreateLoans(state, workspace, borrower.name);
  const unlent = lendableFraction(state, now) - lentFraction(state, workspace, now);
  const max = largestFraction(shares, now) + Math.max(0, unlent);
  const fraction = Math.floor(Math.min(offer, max) * FRACTION_SCALE) / FRACTION_SCALE;
  if (!(fraction >= MIN_LOAN_FRACTION)) return [];
  shares.push({ fraction, expiresAt: now + LOAN_DURATION_MS + LOAN_MARGIN_MS });
  return [{ workspace, fraction }];
}

function lendableFraction(state: ShareState, now: Milliseconds): number {
  const guaranteed = state.options.guaranteedFraction / state.options.mostEntries;
  const settled = now - state.startedAt >= LOAN_DURATION_MS + LOAN_MARGIN_MS;
  return (settled ? guaranteed * LENDABLE_FRACTION : 0) + dividedFraction(state, now);
}

/** The lendable fraction that this entry's own demand doesn't need. */
function spareFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  const reserved = (state.ownDemand.get(workspace) ?? 0) * DEMAND_HEADROOM;
  return Math.min(lendableFraction(state, now), Math.max(0, ownFraction(state, now) - reserved));
}

function getOrCreateLoans(state: ShareState, workspace: string, borrower: string): LentShare[] {
  const borrowers = state.lent.get(workspace) ?? new Map<string, LentShare[]>();
  state.lent.set(workspace, borrowers);
  const shares = borrowers.get(borrower) ?? [];
  borrowers.set(borrower, shares);
  return shares;
}

/** The borrower uses one grant at a time. The lender can't know which, so it assumes the largest. */
function largestFraction(shares: readonly LentShare[], now: Milliseconds): number {
  let max = 0;
  for (const share of shares) {
    if (share.expiresAt > now) max = Math.max(max, share.fraction);
  }
  return max;
}

function sumMissing(needs: PeerNeeds): number {
  let sum = 0;
  for (const missing of needs.missing.values()) sum += missing;
  return sum;
}
