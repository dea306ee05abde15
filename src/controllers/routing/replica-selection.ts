/**
 * The choice of a replica: a bounded sample of the candidates, the least estimated time to first
 * token, and among those that come close the one sent to longest ago.
 *
 * The sample has the replicas that are believed to hold the prompt's prefix, and a few at random
 * from the own failure domain, the own region and elsewhere, so that a choice costs the same at
 * eight candidates and at thousands.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { listHolders, longestKnown } from './prefix-cache.js';
import {
  AFFINITY_SAMPLE,
  LOCAL_SAMPLE,
  REGION_SAMPLE,
  REMOTE_SAMPLE,
  TIE_FRACTION,
  TIE_MS,
} from './constants.js';
import { estimateCandidate, type Estimate } from './estimates.js';
import { buildRing, listHomes } from './hash-ring.js';
import type { CandidateIndex, DispatchState } from './state.js';
import type { Candidate, DispatchView, WaitingRequest } from './types.js';

/** What came of one choice. */
export interface Choice {
  /** The replica to send to; absent when none in the sample has room. */
  chosen: Estimate | undefined;
  /** The least wait for a first token in the sample, with or without room. */
  leastWaitMs: Milliseconds | undefined;
  /** Mean span between two places coming free, over all candidates. */
  slotMs: Milliseconds;
  /** Whether any candidate is not excluded. */
  anyAllowed: boolean;
}

/** Chooses a replica for `request` among the candidates of its model. */
export function chooseReplica(
  state: DispatchState,
  index: CandidateIndex,
  request: WaitingRequest,
  view: DispatchView,
  leavesHeadroom: boolean,
  now: Milliseconds,
  random: Random,
): Choice {
  const known = longestKnown(state, request.prefixes);
  const homes = known ? listHomes(index, known.hash) : [];
  const sample = sampleCandidates(state, index, homes, request, random);
  const asked = { request, leavesHeadroom, knownTokens: known?.tokens ?? 0 };
  const estimates = sample.map((candidate) =>
    estimateCandidate(state, candidate, homes.includes(candidate), asked, view, now),
  );
  const slots = estimates.reduce((sum, estimate) => sum + estimate.slotMs, 0);
  return {
    chosen: pickAmongBest(estimates),
    leastWaitMs: leastWait(estimates),
    slotMs: estimates.length > 0 ? slots / estimates.length / index.source.length : 0,
    anyAllowed: sample.length > 0,
  };
}

/** The index of a model's candidates, built anew only when the array is another one. */
export function indexCandidates(
  state: DispatchState,
  model: string,
  view: DispatchView,
): CandidateIndex {
  const source = view.candidatesOf(model);
  const known = state.candidates.get(model);
  if (known?.source === source) return known;
  const index: CandidateIndex = {
    source,
    local: [],
    region: [],
    remote: [],
    byReplica: new Map(),
    ring: [],
  };
  for (const candidate of source) addToIndex(index, candidate, view);
  index.ring = buildRing([...index.local, ...index.region]);
  state.candidates.set(model, index);
  return index;
}

/** Indexes what peers sent by replica; only when the array is another one. */
export function indexPeers(state: DispatchState, source: readonly SentCount[]): void {
  if (state.peers.source === source) return;
  const byReplica = new Map<string, SentCount>();
  for (const count of source) byReplica.set(count.replica, addCounts(byReplica, count));
  state.peers = { source, byReplica };
}

function addCounts(byReplica: Map<string, SentCount>, count: SentCount): SentCount {
  const known = byReplica.get(count.replica);
  if (!known) return count;
  return {
    replica: count.replica,
    requests: known.requests + count.requests,
    promptTokens: known.promptTokens + count.promptTokens,
    outputTokens: known.outputTokens + count.outputTokens,
  };
}

function addToIndex(index: CandidateIndex, candidate: Candidate, view: DispatchView): void {
  index.byReplica.set(candidate.replica, candidate);
  if (candidate.location.failureDomain === view.here.failureDomain) index.local.push(candidate);
  else if (candidate.location.region === view.here.region) index.region.push(candidate);
  else index.remote.push(candidate);
}

function sampleCandidates(
  state: DispatchState,
  index: CandidateIndex,
  homes: readonly Candidate[],
  request: WaitingRequest,
  random: Random,
): Candidate[] {
  const sample = new Set<Candidate>(homes);
  for (const replica of listHolders(state, request.prefixes, AFFINITY_SAMPLE)) {
    const candidate = index.byReplica.get(replica);
    if (candidate) sample.add(candidate);
  }
  addSample(sample, index.local, LOCAL_SAMPLE, random);
  addSample(sample, index.region, REGION_SAMPLE, random);
  addSample(sample, index.remote, REMOTE_SAMPLE, random);
  if (request.excluded.length === 0) return [...sample];
  const allowed = [...sample].filter((one) => !request.excluded.includes(one.replica));
  if (allowed.length > 0) return allowed;
  return index.source.filter((one) => !request.excluded.includes(one.replica));
}

function addSample(
  sample: Set<Candidate>,
  from: readonly Candidate[],
  count: number,
  random: Random,
): void {
  if (from.length <= count) {
    for (const candidate of from) sample.add(candidate);
    return;
  }
  for (let taken = 0; taken < count; taken += 1) {
    const candidate = from[random.below(from.length)];
    if (candidate) sample.add(candidate);
  }
}

/**
 * Of the estimates close to the least, the replica that this entry sent to longest ago: what peers
 * do meanwhile is not known, and turns spread requests more evenly than chance.
 */
function pickAmongBest(estimates: readonly Estimate[]): Estimate | undefined {
  const open = estimates.filter((estimate) => estimate.hasRoom);
  const best = Math.min(...open.map((estimate) => estimate.firstTokenMs));
  const bound = best + Math.max(TIE_MS, best * TIE_FRACTION);
  let chosen: Estimate | undefined;
  for (const estimate of open) {
    if (estimate.firstTokenMs > bound) continue;
    if (!chosen || estimate.lastSentAt < chosen.lastSentAt) chosen = estimate;
  }
  return chosen;
}

function leastWait(estimates: readonly Estimate[]): Milliseconds | undefined {
  if (estimates.length === 0) return undefined;
  return Math.min(...estimates.map((estimate) => estimate.waitMs));
}
