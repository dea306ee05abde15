/**
 * What entries tell each other about their shares of fleet-wide limits.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { DEMAND_HEADROOM, LEAST_LOAN, MAX_NEEDS } from './constants.js';
import { dividedFraction } from './entry-view.js';
import { acceptGrant, decideLoans, dropEndedLoans, ownFraction } from './loans.js';
import type { ShareState } from './share-state.js';
import type { LimitDigest, ShareNeed } from './types.js';

/** Digits of a missing fraction that go over the wire. */
const FRACTION_SCALE = 10_000;
/** Keeps two digests of the same instant in order. */
const LEAST_STAMP_STEP = 0.001;

/**
 * What to tell the other entries; `undefined` when this entry neither lacks nor lends anything, so
 * that a quiet fleet sends nothing. Each call may lend, so call it once for each round of digests.
 *
 * @example const digest = exportLimitDigest(state, clock.now());
 */
export function exportLimitDigest(state: ShareState, now: Milliseconds): LimitDigest | undefined {
  dropEndedLoans(state, now);
  const needs = listNeeds(state, now);
  const grants = decideLoans(state, now);
  if (needs.length === 0 && grants.length === 0) return undefined;
  const stamp = Math.max(now, state.lastStamp + LEAST_STAMP_STEP);
  state.lastStamp = stamp;
  return { incarnation: state.incarnation, stamp, needs, grants };
}

/**
 * Takes in the digest of the entry `from`, first-hand or passed on; old and doubled ones are
 * ignored.
 *
 * @example importLimitDigest(state, 'entry-2', digest, clock.now());
 */
export function importLimitDigest(
  state: ShareState,
  from: string,
  digest: LimitDigest,
  now: Milliseconds,
): void {
  if (from === state.name) return;
  for (const grant of digest.grants) {
    acceptGrant(state, from, digest.incarnation, digest.stamp, grant, now);
  }
  const known = state.peers.get(from);
  if (known?.incarnation === digest.incarnation && known.stamp >= digest.stamp) return;
  const missing = new Map(digest.needs.map((need) => [need.workspace, need.missing]));
  const { incarnation, stamp } = digest;
  state.peers.set(from, { incarnation, stamp, heardAt: now, missing });
}

function listNeeds(state: ShareState, now: Milliseconds): ShareNeed[] {
  const own = ownFraction(state, now);
  const needs: ShareNeed[] = [];
  for (const [workspace, wanted] of listWanted(state, now)) {
    const missing = Math.min(1, wanted * DEMAND_HEADROOM) - own;
    if (missing < LEAST_LOAN) continue;
    needs.push({ workspace, missing: Math.ceil(missing * FRACTION_SCALE) / FRACTION_SCALE });
  }
  return needs.sort((one, other) => other.missing - one.missing).slice(0, MAX_NEEDS);
}

/**
 * What this entry's callers ask for. An entry without its part of the divided limit asks for what
 * the others are asked for, before its own callers come: otherwise it would refuse them, far below
 * their limits, until its first loans arrive.
 */
function listWanted(state: ShareState, now: Milliseconds): ReadonlyMap<string, number> {
  if (dividedFraction(state, now) > 0) return state.wanted;
  const wanted = new Map(state.expected);
  for (const [workspace, own] of state.wanted) {
    wanted.set(workspace, Math.max(own, wanted.get(workspace) ?? 0));
  }
  return wanted;
}
