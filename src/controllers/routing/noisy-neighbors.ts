/**
 * Detects noisy neighbors, which are workspaces that use far more than their fair share while the
 * entry is short of capacity, and limits what they may use.
 *
 * Without a limit, a burst of one workspace could fill every batch slot, and requests of other
 * workspaces would wait for one of its requests to finish. Detection compares the weighted demand
 * (in flight and queued) and the weighted recent arrivals of workspaces. The latter reveal a burst
 * before it dominates the demand.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  ACTIVE_WORKSPACE_WINDOW_MS,
  ARRIVALS_HALF_LIFE_MS,
  BUSY_SLOT_FRACTION,
  BUSY_AWAITING_PER_REPLICA,
  NOISY_NEIGHBOR_FAIR_SHARE_MULTIPLE,
  NOISY_NEIGHBOR_QUEUE_LENGTH,
  NOISY_NEIGHBOR_DEMAND_SHARE,
  NOISY_NEIGHBOR_MAX_AWAITING_PER_REPLICA,
  DEFAULT_BATCH_SIZE,
  HEADROOM_FRACTION,
} from './constants.js';
import type { CandidateIndex, DispatchState, WorkspaceStats } from './state.js';
import type { DispatchView, WaitingRequest } from './types.js';

/** Records the arrival of `request` for its workspace. */
export function recordArrival(state: DispatchState, request: WaitingRequest, weight: number): void {
  const { arrivedAt } = request;
  const previous = state.workspaces.get(request.workspace);
  state.workspaces.set(request.workspace, {
    weight,
    inFlight: previous?.inFlight ?? 0,
    awaitingFirstToken: previous?.awaitingFirstToken ?? 0,
    lastArrivalAt: Math.max(previous?.lastArrivalAt ?? arrivedAt, arrivedAt),
    decayedArrivals: (previous ? decayArrivals(previous, arrivedAt) : 0) + 1,
  });
}

/**
 * Whether `workspace` demands far more than its weighted fair share while other workspaces are
 * active and the entry is short of batch slots.
 */
export function detectNoisyNeighbor(
  state: DispatchState,
  index: CandidateIndex,
  workspace: string,
  view: DispatchView,
  now: Milliseconds,
): boolean {
  const own = state.workspaces.get(workspace);
  const hasLongQueue =
    (state.waitingByWorkspace.get(workspace) ?? 0) >= NOISY_NEIGHBOR_QUEUE_LENGTH;
  if (!own || !(hasLongQueue || isEntryBusy(state, index, view))) return false;
  let activeWorkspaces = 0;
  let totalInFlight = 0;
  let totalDemand = 0;
  let totalArrivals = 0;
  for (const [name, stats] of state.workspaces) {
    if (name !== workspace && now - stats.lastArrivalAt > ACTIVE_WORKSPACE_WINDOW_MS) continue;
    activeWorkspaces += 1;
    totalInFlight += stats.inFlight / stats.weight;
    totalDemand += weightedDemand(state, name, stats);
    totalArrivals += decayArrivals(stats, now) / stats.weight;
  }
  // A workspace below its fair share of requests in flight takes no capacity from the others.
  if (activeWorkspaces < 2 || (own.inFlight / own.weight) * activeWorkspaces <= totalInFlight)
    return false;
  const dominantShare = Math.max(
    NOISY_NEIGHBOR_DEMAND_SHARE,
    NOISY_NEIGHBOR_FAIR_SHARE_MULTIPLE / activeWorkspaces,
  );
  const dominatesDemand = weightedDemand(state, workspace, own) > totalDemand * dominantShare;
  const dominatesArrivals = decayArrivals(own, now) / own.weight > totalArrivals * dominantShare;
  return dominatesDemand || dominatesArrivals;
}

/**
 * Whether a noisy neighbor has reached its limit of requests that await their first token, or the
 * entry its share of batch slots less the headroom. Keeps several entries from sending a burst to
 * replicas that still look idle in the load reports, which would fill the queues of the engines,
 * where requests are not queued by workspace.
 */
export function isAtNoisyNeighborLimit(
  state: DispatchState,
  index: CandidateIndex,
  workspace: string,
  view: DispatchView,
): boolean {
  const awaitingFirstToken = state.workspaces.get(workspace)?.awaitingFirstToken ?? 0;
  if (
    awaitingFirstToken >=
    Math.ceil(replicaShare(index, view) * NOISY_NEIGHBOR_MAX_AWAITING_PER_REPLICA)
  )
    return true;
  return state.sent.size >= slotShare(index, view) * (1 - HEADROOM_FRACTION);
}

/** Whether most batch slots are in use or too many requests await their first token. */
function isEntryBusy(state: DispatchState, index: CandidateIndex, view: DispatchView): boolean {
  if (state.sent.size >= slotShare(index, view) * BUSY_SLOT_FRACTION) return true;
  let awaitingFirstToken = 0;
  for (const stats of state.workspaces.values()) awaitingFirstToken += stats.awaitingFirstToken;
  return awaitingFirstToken >= replicaShare(index, view) * BUSY_AWAITING_PER_REPLICA;
}

function weightedDemand(state: DispatchState, workspace: string, stats: WorkspaceStats): number {
  return (stats.inFlight + (state.waitingByWorkspace.get(workspace) ?? 0)) / stats.weight;
}

/** Number of recent arrivals at `now`, decayed with {@link ARRIVALS_HALF_LIFE_MS}. */
function decayArrivals(
  { decayedArrivals, lastArrivalAt }: WorkspaceStats,
  now: Milliseconds,
): number {
  return decayedArrivals * 0.5 ** (Math.max(0, now - lastArrivalAt) / ARRIVALS_HALF_LIFE_MS);
}

/** This entry's share of the replicas. */
function replicaShare(index: CandidateIndex, view: DispatchView): number {
  return Math.max(1, index.source.length / (view.entryCount ?? 1));
}

/** This entry's share of the batch slots of all replicas. */
function slotShare(index: CandidateIndex, view: DispatchView): number {
  const batchSize = index.source[0]?.load?.load.batchSize ?? DEFAULT_BATCH_SIZE;
  return replicaShare(index, view) * batchSize;
}
