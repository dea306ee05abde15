/**
 * Which workspace crowds out others, and what it may use of the replicas while it does.
 *
 * Guards against a flood that takes every place in every batch: the others would wait for one of
 * its requests to end, however short their own queue. What counts is a workspace's part of all that
 * is asked for, by weight: of what is in flight and waits, and of what arrived in the last moments.
 * The second shows a flood within a few tenths of a second, when the first is still the others'.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  ACTIVE_MS,
  ARRIVALS_HALF_LIFE_MS,
  BUSY_FRACTION,
  BUSY_UNANSWERED,
  CROWD_FAIR_PARTS,
  CROWD_LENGTH,
  CROWD_PART,
  CROWD_UNANSWERED,
  DEFAULT_BATCH_SIZE,
  HEADROOM_FRACTION,
} from './constants.js';
import type { CandidateIndex, DispatchState, WorkspaceTrack } from './state.js';
import type { DispatchView, WaitingRequest } from './types.js';

/** Notes that `request` asks for a place. */
export function noteArrival(state: DispatchState, request: WaitingRequest, weight: number): void {
  const { arrivedAt } = request;
  const known = state.workspaces.get(request.workspace);
  state.workspaces.set(request.workspace, {
    weight,
    inFlight: known?.inFlight ?? 0,
    unanswered: known?.unanswered ?? 0,
    activeAt: Math.max(known?.activeAt ?? arrivedAt, arrivedAt),
    arrivals: (known ? recentArrivals(known, arrivedAt) : 0) + 1,
  });
}

/**
 * Whether the entry is short of places and a workspace asks for far more than its fair part, by
 * weight, while others are active.
 */
export function crowdsOut(
  state: DispatchState,
  index: CandidateIndex,
  workspace: string,
  view: DispatchView,
  now: Milliseconds,
): boolean {
  const own = state.workspaces.get(workspace);
  const isShort = (state.waitingOf.get(workspace) ?? 0) >= CROWD_LENGTH;
  if (!own || !(isShort || isBusy(state, index, view))) return false;
  let active = 0;
  let used = 0;
  let asked = 0;
  let arrivals = 0;
  for (const [name, track] of state.workspaces) {
    if (name !== workspace && now - track.activeAt > ACTIVE_MS) continue;
    active += 1;
    used += track.inFlight / track.weight;
    asked += askedByWeight(state, name, track);
    arrivals += recentArrivals(track, now) / track.weight;
  }
  // One that uses less than its fair part takes nothing from the others, however much it asks for.
  if (active < 2 || (own.inFlight / own.weight) * active <= used) return false;
  const part = Math.max(CROWD_PART, CROWD_FAIR_PARTS / active);
  const hasMostAsked = askedByWeight(state, workspace, own) > asked * part;
  const hasMostArrivals = recentArrivals(own, now) / own.weight > arrivals * part;
  return hasMostAsked || hasMostArrivals;
}

/**
 * Whether a crowding workspace has used up this entry's part of the replicas: one request for every
 * second of them that waits for its first token, and the places of their batches but for some
 * headroom. Guards against all entries sending a flood on before the first report shows it: each
 * would find every replica idle, and the engines' own queues, which know no workspaces, would fill.
 */
export function isAtCrowdLimit(
  state: DispatchState,
  index: CandidateIndex,
  workspace: string,
  view: DispatchView,
): boolean {
  const unanswered = state.workspaces.get(workspace)?.unanswered ?? 0;
  if (unanswered >= Math.ceil(replicasOf(index, view) * CROWD_UNANSWERED)) return true;
  return state.sent.size >= placesOf(index, view) * (1 - HEADROOM_FRACTION);
}

/** Most places are taken, or more prompts wait for their first token than the replicas can hide. */
function isBusy(state: DispatchState, index: CandidateIndex, view: DispatchView): boolean {
  if (state.sent.size >= placesOf(index, view) * BUSY_FRACTION) return true;
  let unanswered = 0;
  for (const track of state.workspaces.values()) unanswered += track.unanswered;
  return unanswered >= replicasOf(index, view) * BUSY_UNANSWERED;
}

function askedByWeight(state: DispatchState, workspace: string, track: WorkspaceTrack): number {
  return (track.inFlight + (state.waitingOf.get(workspace) ?? 0)) / track.weight;
}

/** Requests of late, each counting half as much after {@link ARRIVALS_HALF_LIFE_MS}. */
function recentArrivals({ arrivals, activeAt }: WorkspaceTrack, now: Milliseconds): number {
  return arrivals * 0.5 ** (Math.max(0, now - activeAt) / ARRIVALS_HALF_LIFE_MS);
}

/** This entry's part of the replicas. */
function replicasOf(index: CandidateIndex, view: DispatchView): number {
  return Math.max(1, index.source.length / (view.entries ?? 1));
}

/** This entry's part of all places in the replicas' batches. */
function placesOf(index: CandidateIndex, view: DispatchView): number {
  const batchSize = index.source[0]?.load?.load.batchSize ?? DEFAULT_BATCH_SIZE;
  return replicasOf(index, view) * batchSize;
}
