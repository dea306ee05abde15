/**
 * Estimates the time to first token of a request at a replica: network latency, wait for a batch
 * slot, prefill of the requests ahead, and prefill of the uncached part of the prompt.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { countCachedTokens } from './prefix-cache.js';
import {
  MAX_QUEUED_BATCH_FRACTION,
  NOISY_NEIGHBOR_MAX_BACKLOG_MS,
  DEFAULT_BATCH_SIZE,
  DEFAULT_DECODE_MS_PER_TOKEN,
  DEFAULT_PREFILL_MS_PER_TOKEN,
  HEADROOM_FRACTION,
  PREFERRED_REPLICA_CACHED_FRACTION,
  MAX_PREFILL_BACKLOG_MS,
  OTHER_REGION_LATENCY_MS,
  SAME_DOMAIN_LATENCY_MS,
  SAME_REGION_LATENCY_MS,
} from './constants.js';
import type { DispatchState, ReplicaStats } from './state.js';
import {
  remainingBacklogMs,
  currentSlowdown,
  firstTokenOverdueMs,
  applyLoadReport,
} from './replica-stats.js';
import type { Candidate, DispatchView, Location, WaitingRequest } from './types.js';

/** Estimates for one request at one candidate. */
export interface ReplicaEstimate {
  candidate: Candidate;
  firstTokenMs: Milliseconds;
  /** The same without the replica's slowdown. */
  unadjustedFirstTokenMs: Milliseconds;
  /** The time to first token without the prefill of the prompt itself. */
  waitMs: Milliseconds;
  /** Prompt tokens assumed not to be cached. */
  uncachedPromptTokens: number;
  prefillMs: Milliseconds;
  /** Whether it is not cooling down, and batch occupancy and prefill backlog are below the limits. */
  hasCapacity: boolean;
  /** Mean interval at which the engine completes requests. */
  slotIntervalMs: Milliseconds;
  lastSentAt: Milliseconds;
}

/** Current workload of a replica: its last load report and the requests sent since. */
interface ReplicaWorkload {
  requests: number;
  outputTokens: number;
  prefillBacklogMs: Milliseconds;
  batchSize: number;
  prefillMsPerToken: Milliseconds;
  decodeMsPerToken: Milliseconds;
}

/** The request to estimate. */
export interface EstimatedRequest {
  request: WaitingRequest;
  /** Whether the stricter limits for noisy neighbors apply. */
  isNoisyNeighbor: boolean;
  /** Tokens of the longest prefix that any replica has probably cached. */
  longestCachedTokens: number;
}

/** Estimates a request at `candidate`. */
export function estimateReplica(
  state: DispatchState,
  candidate: Candidate,
  isPreferred: boolean,
  estimated: EstimatedRequest,
  view: DispatchView,
  now: Milliseconds,
): ReplicaEstimate {
  const { request, isNoisyNeighbor } = estimated;
  const stats = state.replicas.get(candidate.replica);
  const networkMs = networkLatencyMs(view.entryLocation, candidate.location);
  const workload = estimateWorkload(state, candidate, stats, networkMs, now);
  const indexedTokens = countCachedTokens(state, candidate.replica, request.prefixes);
  const cachedTokens = Math.max(
    indexedTokens,
    isPreferred ? estimated.longestCachedTokens * PREFERRED_REPLICA_CACHED_FRACTION : 0,
  );
  const slotIntervalMs =
    (meanOutputTokens(workload) * workload.decodeMsPerToken) / workload.batchSize;
  const queueMs =
    workload.prefillBacklogMs +
    slotIntervalMs * Math.max(0, workload.requests + 1 - workload.batchSize);
  const slowdown = stats ? currentSlowdown(stats, now) : 1;
  const overdueMs = stats ? firstTokenOverdueMs(stats, now) : 0;
  const uncachedPromptTokens = Math.max(1, request.promptTokens - cachedTokens);
  const cooldownMs = state.cooldowns.leftMs(candidate.replica, now);
  const prefillMs = uncachedPromptTokens * workload.prefillMsPerToken;
  return {
    candidate,
    firstTokenMs: 2 * networkMs + slowdown * (queueMs + prefillMs) + overdueMs,
    unadjustedFirstTokenMs: 2 * networkMs + queueMs + prefillMs,
    waitMs: Math.max(cooldownMs, 2 * networkMs + slowdown * queueMs + overdueMs),
    uncachedPromptTokens,
    prefillMs,
    hasCapacity: cooldownMs === 0 && hasCapacity(workload, isNoisyNeighbor),
    slotIntervalMs,
    lastSentAt: stats?.lastSentAt ?? Number.NEGATIVE_INFINITY,
  };
}

/** Assumed one-way network latency. */
export function networkLatencyMs(from: Location, to: Location): Milliseconds {
  if (from.failureDomain === to.failureDomain) return SAME_DOMAIN_LATENCY_MS;
  return from.region === to.region ? SAME_REGION_LATENCY_MS : OTHER_REGION_LATENCY_MS;
}

function hasCapacity(workload: ReplicaWorkload, isNoisyNeighbor: boolean): boolean {
  if (isNoisyNeighbor) {
    const slots = Math.max(1, workload.batchSize * (1 - HEADROOM_FRACTION));
    return workload.requests < slots && workload.prefillBacklogMs <= NOISY_NEIGHBOR_MAX_BACKLOG_MS;
  }
  const slots = workload.batchSize * (1 + MAX_QUEUED_BATCH_FRACTION);
  return workload.requests < slots && workload.prefillBacklogMs <= MAX_PREFILL_BACKLOG_MS;
}

/**
 * Adds the sends of this entry since the last load report to that report. The sends of peers are
 * assumed to balance the requests that ended since: their counts arrive later than the reports and
 * would be outdated.
 */
function estimateWorkload(
  state: DispatchState,
  candidate: Candidate,
  stats: ReplicaStats | undefined,
  networkMs: Milliseconds,
  now: Milliseconds,
): ReplicaWorkload {
  const report = candidate.load;
  if (!report)
    return estimateWorkloadWithoutReport(
      stats,
      state.peerSends.byReplica.get(candidate.replica),
      now,
    );
  const { load } = report;
  const ageMs = Math.max(0, now - report.measuredAt);
  const reportedBacklogMs =
    load.pendingPromptTokens * load.prefillMsPerToken * state.uncachedFraction;
  const workload: ReplicaWorkload = {
    requests: load.running + load.waiting,
    outputTokens: load.pendingOutputTokens,
    prefillBacklogMs: Math.max(0, reportedBacklogMs - ageMs),
    batchSize: load.batchSize,
    prefillMsPerToken: load.prefillMsPerToken,
    decodeMsPerToken: load.decodeMsPerToken,
  };
  if (stats) {
    applyLoadReport(stats, report.measuredAt - networkMs, reportedBacklogMs);
    workload.requests += stats.unreportedSends.length;
    workload.outputTokens += stats.unreportedOutputTokens;
    workload.prefillBacklogMs = remainingBacklogMs(stats, now);
  }
  return workload;
}

/** Estimates the workload from the sends of this entry and of its peers. */
function estimateWorkloadWithoutReport(
  stats: ReplicaStats | undefined,
  peers: SentCount | undefined,
  now: Milliseconds,
): ReplicaWorkload {
  let outputTokens = peers?.outputTokens ?? 0;
  for (const sent of stats?.outstanding.values() ?? []) outputTokens += sent.outputTokens;
  return {
    requests: (stats?.outstanding.size ?? 0) + (peers?.requests ?? 0),
    outputTokens,
    prefillBacklogMs: stats ? remainingBacklogMs(stats, now) : 0,
    batchSize: DEFAULT_BATCH_SIZE,
    prefillMsPerToken: DEFAULT_PREFILL_MS_PER_TOKEN,
    decodeMsPerToken: DEFAULT_DECODE_MS_PER_TOKEN,
  };
}

function meanOutputTokens(workload: ReplicaWorkload): number {
  return workload.requests > 0 ? workload.outputTokens / workload.requests : 0;
}
