/**
 * Loans between entries: who has more of a limit than its callers ask for lends a part to who has
 * less, for a few seconds at a time.
 *
 * A lender counts a loan as gone before it tells the borrower and until after the borrower must
 * have dropped it. The borrower's lease runs from when it asked, on its own clock, and the lender
 * echoes that instant: however long the grant was on its way, it ends before the lender counts on
 * it again. Guards against a part used twice, which would show as a workspace above its limit.
 * Lost, late, doubled and reordered messages only make loans smaller. Nothing borrowed is lent on.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  DEMAND_HEADROOM,
  LEAST_LOAN,
  LENDABLE_FRACTION,
  LOAN_GUARD_MS,
  LOAN_MS,
  MAX_BORROWERS,
} from './constants.js';
import { dividedFraction } from './entry-view.js';
import type { LentShare, PeerNeeds, ShareState } from './share-state.js';
import type { LoanGrant, ShareLoan } from './types.js';

/** Digits of a fraction that go over the wire. */
const FRACTION_SCALE = 10_000;

/** A peer that asked lately, with its name. */
interface Borrower {
  name: string;
  needs: PeerNeeds;
}

/**
 * Decides what to lend to whom, and counts it as lent from now on. Each lender offers its part of
 * what is missing, as if all entries that lack nothing had as much to spare.
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
 * Takes in what `lender` lends, if it is meant for this start of this entry and newer than what is
 * held.
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
  const endsAt = grant.askedAt + LOAN_MS;
  const held = state.borrowed.get(lender);
  if (endsAt <= now) return;
  if (held?.incarnation === incarnation && held.stamp >= stamp) return;
  const fractions = new Map(grant.loans.map((loan) => [loan.workspace, loan.fraction]));
  state.borrowed.set(lender, { incarnation, stamp, endsAt, fractions });
}

/** What this entry may use of a limit by itself, before loans either way. */
export function ownFraction(state: ShareState, now: Milliseconds): number {
  return guaranteedFraction(state, now) + dividedFraction(state, now);
}

/** What others may be using of this entry's own part. */
export function lentFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  let sum = 0;
  for (const shares of state.lent.get(workspace)?.values() ?? []) sum += mostOf(shares, now);
  return sum;
}

/** What this entry may use of others' parts. */
export function borrowedFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  let sum = 0;
  for (const borrowed of state.borrowed.values()) {
    if (now < borrowed.endsAt) sum += borrowed.fractions.get(workspace) ?? 0;
  }
  return sum;
}

/** Forgets loans that have ended and needs too old to lend for. */
export function dropEndedLoans(state: ShareState, now: Milliseconds): void {
  for (const [name, needs] of state.peers) {
    if (now - needs.heardAt > LOAN_MS) state.peers.delete(name);
  }
  for (const [lender, borrowed] of state.borrowed) {
    if (borrowed.endsAt <= now) state.borrowed.delete(lender);
  }
  for (const [workspace, borrowers] of state.lent) {
    for (const [borrower, shares] of borrowers) {
      const open = shares.filter((share) => share.endsAt > now);
      if (open.length > 0) borrowers.set(borrower, open);
      else borrowers.delete(borrower);
    }
    if (borrowers.size === 0) state.lent.delete(workspace);
  }
}

/**
 * The part that needs no news. Right after its start an entry uses only what is never lent: an
 * earlier start under the same name may have lent the rest and can't be asked.
 */
function guaranteedFraction(state: ShareState, now: Milliseconds): number {
  const whole = state.options.guaranteedFraction / state.options.mostEntries;
  const settled = now - state.startedAt >= LOAN_MS + LOAN_GUARD_MS;
  return settled ? whole : whole * (1 - LENDABLE_FRACTION);
}

function listBorrowers(state: ShareState, now: Milliseconds): Borrower[] {
  const asking = [...state.peers].filter(
    ([, needs]) => needs.missing.size > 0 && now - needs.heardAt < LOAN_MS / 2,
  );
  return asking
    .sort(([, one], [, other]) => sumMissing(other) - sumMissing(one))
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
  const asking = borrowers.filter((one) => one.needs.missing.has(workspace));
  const asked = asking.reduce((sum, one) => sum + (one.needs.missing.get(workspace) ?? 0), 0);
  const lenders = Math.max(1, state.view.missingSince.size - asking.length);
  const offer = (missing * spare) / Math.max(spare * lenders, asked);
  const shares = sharesOf(state, workspace, borrower.name);
  const room = lendableFraction(state, now) - lentFraction(state, workspace, now);
  const most = mostOf(shares, now) + Math.max(0, room);
  const fraction = Math.floor(Math.min(offer, most) * FRACTION_SCALE) / FRACTION_SCALE;
  if (!(fraction >= LEAST_LOAN)) return [];
  shares.push({ fraction, endsAt: now + LOAN_MS + LOAN_GUARD_MS });
  return [{ workspace, fraction }];
}

function lendableFraction(state: ShareState, now: Milliseconds): number {
  const guaranteed = state.options.guaranteedFraction / state.options.mostEntries;
  const settled = now - state.startedAt >= LOAN_MS + LOAN_GUARD_MS;
  return (settled ? guaranteed * LENDABLE_FRACTION : 0) + dividedFraction(state, now);
}

/** What this entry's own callers leave over. */
function spareFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  const kept = (state.wanted.get(workspace) ?? 0) * DEMAND_HEADROOM;
  return Math.min(lendableFraction(state, now), Math.max(0, ownFraction(state, now) - kept));
}

function sharesOf(state: ShareState, workspace: string, borrower: string): LentShare[] {
  const borrowers = state.lent.get(workspace) ?? new Map<string, LentShare[]>();
  state.lent.set(workspace, borrowers);
  const shares = borrowers.get(borrower) ?? [];
  borrowers.set(borrower, shares);
  return shares;
}

/** The borrower uses one grant at a time; which one is not known, so the largest counts. */
function mostOf(shares: readonly LentShare[], now: Milliseconds): number {
  let most = 0;
  for (const share of shares) {
    if (share.endsAt > now) most = Math.max(most, share.fraction);
  }
  return most;
}

function sumMissing(needs: PeerNeeds): number {
  let sum = 0;
  for (const missing of needs.missing.values()) sum += missing;
  return sum;
}
