/**
 * Creates and processes the digests in which entries exchange needs and loans.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { DEMAND_HEADROOM, MIN_LOAN_FRACTION, MAX_NEEDS } from './constants.js';
import { dividedFraction } from './entry-view.js';
import { acceptGrant, decideLoans, dropEndedLoans, ownFraction } from './loans.js';
import type { ShareState } from './share-state.js';
import type { LimitDigest, ShareNeed } from './types.js';

/** Needs are rounded up to multiples of 1 / FRACTION_SCALE. */
const FRACTION_SCALE = 10_000;
/** Makes the stamps of two digests created at the same time distinct. */
const MIN_STAMP_STEP = 0.001;

/**
 * Creates the digest for the other entries, or returns `undefined` if there are no needs or grants.
 * May record new loans in `state`, so call it once per round of digests.
 *
 * @example const digest = exportLimitDigest(state, clock.now());
 */
export function exportLimitDigest(state: ShareState, now: Milliseconds): LimitDigest | undefined {
  dropEndedLoans(state, now);
  const needs = listNeeds(state, now);
  const grants = decideLoans(state, now);
  if (needs.length === 0 && grants.length === 0) return undefined;
  const stamp = Math.max(now, state.lastStamp + MIN_STAMP_STEP);
  state.lastStamp = stamp;
  return { incarnation: state.incarnation, stamp, needs, grants };
}

/**
 * Processes a digest that the entry `from` created, received directly or relayed. Outdated and
 * duplicate digests are ignored.
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
  const known = state.peerNeeds.get(from);
  if (known?.incarnation === digest.incarnation && known.stamp >= digest.stamp) return;
  const missing = new Map(digest.needs.map((need) => [need.workspace, need.missing]));
  const { incarnation, stamp } = digest;
  state.peerNeeds.set(from, { incarnation, stamp, receivedAt: now, missing });
}

function listNeeds(state: ShareState, now: Milliseconds): ShareNeed[] {
  const own = ownFraction(state, now);
  const needs: ShareNeed[] = [];
  for (const [workspace, demand] of listDemand(state, now)) {
    const missing = Math.min(1, demand * DEMAND_HEADROOM) - own;
    if (missing < MIN_LOAN_FRACTION) continue;
    needs.push({ workspace, missing: Math.ceil(missing * FRACTION_SCALE) / FRACTION_SCALE });
  }
  return needs.sort((a, b) => b.missing - a.missing).slice(0, MAX_NEEDS);
}

/**
 * The demand for which this entry requests loans. While it has no part of the divided limit, it
 * assumes at least the mean demand of its peers: otherwise it would refuse its first callers until
 * loans arrive.
 */
function listDemand(state: ShareState, now: Milliseconds): ReadonlyMap<string, number> {
  if (dividedFraction(state, now) > 0) return state.ownDemand;
  const demand = new Map(state.expectedDemand);
  for (const [workspace, own] of state.ownDemand) {
    demand.set(workspace, Math.max(own, demand.get(workspace) ?? 0));
  }
  return demand;
}
