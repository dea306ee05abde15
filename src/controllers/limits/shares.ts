/**
 * Computes this entry's share of each workspace's fleet-wide limits.
 *
 * A limit has two parts. The guaranteed part is divided by the maximum number of entries and needs
 * no communication. The rest is divided by the current number of entries (see `entry-view`), and
 * loans move it to where the demand is (see `loans`). The sum of all shares never exceeds the limit,
 * even when messages are lost or late; an isolated entry falls back to its guaranteed part.
 */
import type { WorkspaceDemand, WorkspaceShare } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Workspace } from '../../objects/index.js';
import { viewExpiresAt } from './entry-view.js';
import { borrowedFraction, lentFraction, ownFraction } from './loans.js';
import type { ShareState } from './share-state.js';

/** A workspace and its limits. */
export interface LimitedWorkspace {
  name: string;
  limits: Workspace['limits'];
}

/**
 * Records the demand on this entry, including refused requests, and the mean demand on its peers.
 *
 * @example observeDemands(state, workspaces, board.attempts.read().demands, peersDemands);
 */
export function observeDemands(
  state: ShareState,
  workspaces: readonly LimitedWorkspace[],
  demands: readonly WorkspaceDemand[],
  peersDemands: readonly (readonly WorkspaceDemand[])[] = [],
): void {
  state.ownDemand.clear();
  state.expectedDemand.clear();
  const demandByWorkspace = new Map(demands.map((demand) => [demand.workspace, demand]));
  for (const { name, limits } of workspaces) {
    const demand = demandByWorkspace.get(name);
    if (demand) state.ownDemand.set(name, demandedFraction(demand, limits));
    const expected = meanDemand(name, limits, peersDemands);
    if (expected > 0) state.expectedDemand.set(name, expected);
  }
}

function meanDemand(
  workspace: string,
  limits: Workspace['limits'],
  peersDemands: readonly (readonly WorkspaceDemand[])[],
): number {
  let sum = 0;
  for (const demands of peersDemands) {
    const demand = demands.find((candidate) => candidate.workspace === workspace);
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

/** The fraction of one workspace's limits that this entry may use now, including loans. */
export function shareFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  const own = ownFraction(state, now) - lentFraction(state, workspace, now);
  return Math.max(0, own) + borrowedFraction(state, workspace, now);
}

function splitShare(
  state: ShareState,
  { name, limits }: LimitedWorkspace,
  now: Milliseconds,
): WorkspaceShare {
  const share = scaleLimits(state, limits, shareFraction(state, name, now));
  const fallback = fallbackFraction(state, name, now);
  const lapse = {
    at: shareExpiresAt(state, name, now),
    share: scaleLimits(state, limits, fallback),
  };
  return { ...share, lapse };
}

/** The fraction that remains once borrowed shares and the view of the fleet have expired. */
function fallbackFraction(state: ShareState, workspace: string, now: Milliseconds): number {
  const guaranteed = state.options.guaranteedFraction / state.options.mostEntries;
  const own = Math.min(guaranteed, ownFraction(state, now));
  return Math.max(0, own - lentFraction(state, workspace, now));
}

/** The earliest time at which a part of the share may expire. */
function shareExpiresAt(state: ShareState, workspace: string, now: Milliseconds): Milliseconds {
  const viewExpiry = viewExpiresAt(state);
  let at = viewExpiry > now ? viewExpiry : Number.POSITIVE_INFINITY;
  for (const borrowed of state.borrowed.values()) {
    if (borrowed.expiresAt > now && borrowed.fractions.has(workspace)) {
      at = Math.min(at, borrowed.expiresAt);
    }
  }
  return at;
}

/**
 * Scales the limits by `fraction`. Concurrent requests are integers: if the limit allows, each entry
 * always gets one, and the rest is scaled and rounded down, so that small fractions aren't lost.
 */
function scaleLimits(
  state: ShareState,
  limits: Workspace['limits'],
  fraction: number,
): WorkspaceShare {
  const { mostEntries } = state.options;
  const fixedSlots = limits.concurrentRequests >= mostEntries ? 1 : 0;
  const divisibleSlots = limits.concurrentRequests - fixedSlots * mostEntries;
  return {
    requestsPerSecond: limits.requestsPerSecond * fraction,
    tokensPerSecond: limits.tokensPerSecond * fraction,
    concurrentRequests: fixedSlots + Math.floor(divisibleSlots * fraction),
  };
}

function demandedFraction(demand: WorkspaceDemand, limits: Workspace['limits']): number {
  return Math.max(
    demand.requestsPerSecond / limits.requestsPerSecond,
    demand.tokensPerSecond / limits.tokensPerSecond,
    demand.concurrentRequests / limits.concurrentRequests,
  );
}
