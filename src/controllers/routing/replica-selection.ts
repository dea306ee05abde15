/**
 * Selects a replica for a request: the lowest estimated time to first token in a bounded sample of
 * the candidates, with ties going to the least recently used replica.
 *
 * The sample consists of the replicas that probably have the prompt's prefix cached and of random
 * candidates from the same failure domain, the same region and other regions. Its size is bounded,
 * so the cost of a choice doesn't grow with the number of candidates.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { listReplicasWithPrefix, findLongestCachedPrefix } from './prefix-cache.js';
import {
  PREFIX_AFFINITY_SAMPLE_SIZE,
  SAME_DOMAIN_SAMPLE_SIZE,
  SAME_REGION_SAMPLE_SIZE,
  OTHER_REGION_SAMPLE_SIZE,
  TIE_TOLERANCE_FRACTION,
  TIE_TOLERANCE_MS,
} from './constants.js';
import { estimateReplica, type ReplicaEstimate } from './estimates.js';
import { buildHashRing, listPreferredReplicas } from './hash-ring.js';
import type { CandidateIndex, DispatchState } from './state.js';
import type { Candidate, DispatchView, WaitingRequest } from './types.js';

/** Result of one choice. */
export interface ReplicaChoice {
  /** The replica to send to; undefined when none in the sample has capacity. */
  chosen: ReplicaEstimate | undefined;
  /** Shortest wait in the sample, including replicas without capacity. */
  minWaitMs: Milliseconds | undefined;
  /** Mean interval at which a batch slot becomes free at any of the candidates. */
  slotIntervalMs: Milliseconds;
  /** Whether any candidate is left after exclusions. */
  hasCandidates: boolean;
}

/** Chooses a replica for `request` among the candidates of its model. */
export function chooseReplica(
  state: DispatchState,
  index: CandidateIndex,
  request: WaitingRequest,
  view: DispatchView,
  isNoisyNeighbor: boolean,
  now: Milliseconds,
  random: Random,
): ReplicaChoice {
  const longestCached = findLongestCachedPrefix(state, request.prefixes);
  const preferred = longestCached ? listPreferredReplicas(index, longestCached.hash) : [];
  const sample = sampleCandidates(state, index, preferred, request, random);
  const estimated = {
    request,
    isNoisyNeighbor,
    longestCachedTokens: longestCached?.tokens ?? 0,
  };
  const estimates = sample.map((candidate) =>
    estimateReplica(state, candidate, preferred.includes(candidate), estimated, view, now),
  );
  const totalSlotIntervalMs = estimates.reduce((sum, estimate) => sum + estimate.slotIntervalMs, 0);
  return {
    chosen: pickLeastRecentlyUsedOfBest(estimates),
    minWaitMs: findMinWait(estimates),
    slotIntervalMs:
      estimates.length > 0 ? totalSlotIntervalMs / estimates.length / index.source.length : 0,
    hasCandidates: sample.length > 0,
  };
}

/** Returns the index of a model's candidates. Rebuilt only when the array changes. */
export function indexCandidates(
  state: DispatchState,
  model: string,
  view: DispatchView,
): CandidateIndex {
  const source = view.candidatesOf(model);
  const existing = state.candidateIndexes.get(model);
  if (existing?.source === source) return existing;
  const index: CandidateIndex = {
    source,
    sameDomain: [],
    sameRegion: [],
    otherRegions: [],
    byReplica: new Map(),
    hashRing: [],
  };
  for (const candidate of source) addToIndex(index, candidate, view);
  index.hashRing = buildHashRing([...index.sameDomain, ...index.sameRegion]);
  state.candidateIndexes.set(model, index);
  return index;
}

/** Indexes the sends of peers by replica. Rebuilt only when the array changes. */
export function indexPeerSends(state: DispatchState, source: readonly SentCount[]): void {
  if (state.peerSends.source === source) return;
  const byReplica = new Map<string, SentCount>();
  for (const count of source) byReplica.set(count.replica, mergeSentCounts(byReplica, count));
  state.peerSends = { source, byReplica };
}

function mergeSentCounts(byReplica: Map<string, SentCount>, count: SentCount): SentCount {
  const previous = byReplica.get(count.replica);
  if (!previous) return count;
  return {
    replica: count.replica,
    requests: previous.requests + count.requests,
    promptTokens: previous.promptTokens + count.promptTokens,
    outputTokens: previous.outputTokens + count.outputTokens,
  };
}

function addToIndex(index: CandidateIndex, candidate: Candidate, view: DispatchView): void {
  index.byReplica.set(candidate.replica, candidate);
  if (candidate.location.failureDomain === view.entryLocation.failureDomain)
    index.sameDomain.push(candidate);
  else if (candidate.location.region === view.entryLocation.region)
    index.sameRegion.push(candidate);
  else index.otherRegions.push(candidate);
}

function sampleCandidates(
  state: DispatchState,
  index: CandidateIndex,
  preferred: readonly Candidate[],
  request: WaitingRequest,
  random: Random,
): Candidate[] {
  const sample = new Set<Candidate>(preferred);
  for (const replica of listReplicasWithPrefix(
    state,
    request.prefixes,
    PREFIX_AFFINITY_SAMPLE_SIZE,
  )) {
    const candidate = index.byReplica.get(replica);
    if (candidate) sample.add(candidate);
  }
  addRandomSample(sample, index.sameDomain, SAME_DOMAIN_SAMPLE_SIZE, random);
  addRandomSample(sample, index.sameRegion, SAME_REGION_SAMPLE_SIZE, random);
  addRandomSample(sample, index.otherRegions, OTHER_REGION_SAMPLE_SIZE, random);
  if (request.excluded.length === 0) return [...sample];
  const allowed = [...sample].filter((candidate) => !request.excluded.includes(candidate.replica));
  if (allowed.length > 0) return allowed;
  return index.source.filter((candidate) => !request.excluded.includes(candidate.replica));
}

function addRandomSample(
  sample: Set<Candidate>,
  candidates: readonly Candidate[],
  count: number,
  random: Random,
): void {
  if (candidates.length <= count) {
    for (const candidate of candidates) sample.add(candidate);
    return;
  }
  for (let taken = 0; taken < count; taken += 1) {
    const candidate = candidates[random.below(candidates.length)];
    if (candidate) sample.add(candidate);
  }
}

/**
 * Picks the least recently used replica among those whose estimate is close to the best. This
 * spreads requests more evenly than a random pick while the sends of peers are not yet known.
 */
function pickLeastRecentlyUsedOfBest(
  estimates: readonly ReplicaEstimate[],
): ReplicaEstimate | undefined {
  const eligible = estimates.filter((estimate) => estimate.hasCapacity);
  const minFirstTokenMs = Math.min(...eligible.map((estimate) => estimate.firstTokenMs));
  const tieBoundMs =
    minFirstTokenMs + Math.max(TIE_TOLERANCE_MS, minFirstTokenMs * TIE_TOLERANCE_FRACTION);
  let chosen: ReplicaEstimate | undefined;
  for (const estimate of eligible) {
    if (estimate.firstTokenMs > tieBoundMs) continue;
    if (!chosen || estimate.lastSentAt < chosen.lastSentAt) chosen = estimate;
  }
  return chosen;
}

function findMinWait(estimates: readonly ReplicaEstimate[]): Milliseconds | undefined {
  if (estimates.length === 0) return undefined;
  return Math.min(...estimates.map((estimate) => estimate.waitMs));
}
