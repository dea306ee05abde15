/**
 * The part of each workspace's fleet-wide limits that this entry may use.
 *
 * A limit is split in two. The guaranteed part is divided by the most entries that may run and can
 * be used without any news; the rest is divided by the entries that are counted now (see
 * `entry-view`) and moves with demand by loans (see `loans`). Whatever is lost or late, the sum of
 * the shares stays at or below the limit; an entry without news falls back to the guaranteed part.
 */
import type { WorkspaceDemand, WorkspaceShare } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Workspace } from '../../objects/index.js';
import { viewLapsesAt } from './entry-view.js';
import { borrowedFraction, lentFraction, ownFraction } from './loans.js';
import type { ShareState } from './share-state.js';

/** A workspace and its limits. */
export interface LimitedWorkspace {
  name: string;
  limits: Workspace['limits'];
}

/**
 * Takes in what this entry's callers ask of the limits, refused requests included, and what those
 * of each other entry ask.
 *
 * @example observeDemands(state, workspaces, board.attempts.read().demands, peersDemands);
 */
export function observeDemands(
  state: ShareState,
  workspaces: readonly LimitedWorkspace[],
  demands: readonly WorkspaceDemand[],
  peersDemands: readonly (readonly WorkspaceDemand[])[] = [],
): void {
  state.wanted.clear();
  state.expected.clear();
  const asked = new Map(demands.map((demand) => [demand.workspace, demand]));
  for (const { name, limits } of workspaces) {
    const demand = asked.get(name);
    if (demand) state.wanted.set(name, demandedFraction(demand, limits));
    const expected = meanDemand(name, limits, peersDemands);
    if (expected > 0) state.expected.set(name, expected);
  }
}

function meanDemand(
  workspace: string,
  limits: Workspace['limits'],
  peersDemands: readonly (readonly WorkspaceDemand[])[],
): number {
  let sum = 0;
  for (const demands of peersDemands) {
    const demand = demands.find((one) => one.workspace === workspace);
    if (demand) sum += demandedFraction(demand, limits);
  }
  return sum / Math.max(1, peersDemands.length);
}

/**
 * This entry's share of each workspace's limits, by workspace name.
 *
 * @example writers.limits.write(splitShares(state, workspaces, clock.now()));
 */
export function splitShares(
  state: ShareState,
  workspaces: readonly LimitedWorkspace[],
  now: Milliseconds,
): ReadonlyMap<string, WorkspaceShare> {
  return new Map(
    workspaces.map((workspace) => [workspace.name, splitShare(state, workspace, now)]),
  );
}

/** The part of one workspace's limits that this entry may use now. */
export function shareFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  const own = ownFraction(state, now) - lentFraction(state, workspace, now);
  return Math.max(0, own) + borrowedFraction(state, workspace, now);
}

function splitShare(
  state: ShareState,
  { name, limits }: LimitedWorkspace,
  now: Milliseconds,
): WorkspaceShare {
  const share = takeFraction(state, limits, shareFraction(state, name, now));
  const left = guaranteedLeft(state, name, now);
  const lapse = { at: lapsesAt(state, name, now), share: takeFraction(state, limits, left) };
  return { ...share, lapse };
}

/** What surely remains when all that depends on news has lapsed. */
function guaranteedLeft(state: ShareState, workspace: string, now: Milliseconds): number {
  const guaranteed = state.options.guaranteedFraction / state.options.mostEntries;
  const own = Math.min(guaranteed, ownFraction(state, now));
  return Math.max(0, own - lentFraction(state, workspace, now));
}

/** The first instant at which some of the share may have lapsed. */
function lapsesAt(state: ShareState, workspace: string, now: Milliseconds): Milliseconds {
  const viewEnd = viewLapsesAt(state);
  let at = viewEnd > now ? viewEnd : Number.POSITIVE_INFINITY;
  for (const borrowed of state.borrowed.values()) {
    if (borrowed.endsAt > now && borrowed.fractions.has(workspace)) {
      at = Math.min(at, borrowed.endsAt);
    }
  }
  return at;
}

/**
 * `fraction` of the limits. Concurrent requests come whole: where the limit allows, one of them is
 * each entry's for good, and the rest is split and rounded down, so that small parts are of use.
 */
function takeFraction(
  state: ShareState,
  limits: Workspace['limits'],
  fraction: number,
): WorkspaceShare {
  const { mostEntries } = state.options;
  const fixed = limits.concurrentRequests >= mostEntries ? 1 : 0;
  const divisible = limits.concurrentRequests - fixed * mostEntries;
  return {
    requestsPerSecond: limits.requestsPerSecond * fraction,
    tokensPerSecond: limits.tokensPerSecond * fraction,
    concurrentRequests: fixed + Math.floor(divisible * fraction),
  };
}

function demandedFraction(demand: WorkspaceDemand, limits: Workspace['limits']): number {
  return Math.max(
    demand.requestsPerSecond / limits.requestsPerSecond,
    demand.tokensPerSecond / limits.tokensPerSecond,
    demand.concurrentRequests / limits.concurrentRequests,
  );
}
