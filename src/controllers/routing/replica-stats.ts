/**
 * Statistics of replicas beyond their load reports: sends since the last report and the ratio of
 * measured to estimated time to first token.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  REPLICA_STATS_TTL_MS,
  SLOWDOWN_EWMA_WEIGHT,
  MIN_SLOWDOWN,
  MAX_SLOWDOWN,
  SLOWDOWN_THRESHOLD,
  SLOWDOWN_HALF_LIFE_MS,
} from './constants.js';
import { clearReplicaCache } from './prefix-cache.js';
import type { DispatchState, ReplicaStats, SentRequest } from './state.js';

export function getOrCreateReplicaStats(
  state: DispatchState,
  replica: string,
  now: Milliseconds,
): ReplicaStats {
  const existing = state.replicas.get(replica);
  if (existing) return existing;
  const stats: ReplicaStats = {
    unreportedSends: [],
    unreportedOutputTokens: 0,
    prefillBacklogMs: 0,
    backlogUpdatedAt: now,
    reportedAt: Number.NEGATIVE_INFINITY,
    lastSentAt: Number.NEGATIVE_INFINITY,
    outstanding: new Map(),
    awaitingFirstToken: new Map(),
    slowdown: 1,
    slowdownMeasuredAt: now,
    lastActivityAt: now,
  };
  state.replicas.set(replica, stats);
  return stats;
}

export function recordReplicaSend(stats: ReplicaStats, sent: SentRequest): void {
  stats.unreportedSends.push(sent);
  stats.prefillBacklogMs = remainingBacklogMs(stats, sent.sentAt) + sent.prefillMs;
  stats.backlogUpdatedAt = sent.sentAt;
  stats.lastSentAt = sent.sentAt;
  stats.unreportedOutputTokens += sent.outputTokens;
  stats.outstanding.set(sent.ticket, sent);
  stats.awaitingFirstToken.set(sent.ticket, sent);
  stats.lastActivityAt = sent.sentAt;
}

export function recordReplicaEnd(stats: ReplicaStats, sent: SentRequest, now: Milliseconds): void {
  sent.endedAt = now;
  stats.outstanding.delete(sent.ticket);
  stats.awaitingFirstToken.delete(sent.ticket);
  stats.lastActivityAt = now;
  const index = stats.unreportedSends.indexOf(sent);
  if (index < 0) return;
  stats.unreportedSends.splice(index, 1);
  stats.unreportedOutputTokens -= sent.outputTokens;
}

/** Remaining prefill time at `now`, assuming that the engine prefills continuously. */
export function remainingBacklogMs(stats: ReplicaStats, now: Milliseconds): Milliseconds {
  return Math.max(0, stats.prefillBacklogMs - Math.max(0, now - stats.backlogUpdatedAt));
}

/**
 * Applies a load report measured at `reportedAt`. Drops the sends that it includes and replays the
 * later ones on top of the reported backlog, so that no work is deducted for the time before a
 * request was sent.
 */
export function applyLoadReport(
  stats: ReplicaStats,
  reportedAt: Milliseconds,
  reportedBacklogMs: Milliseconds,
): void {
  if (stats.reportedAt === reportedAt) return;
  stats.reportedAt = reportedAt;
  dropReportedSends(stats, reportedAt);
  stats.prefillBacklogMs = reportedBacklogMs;
  stats.backlogUpdatedAt = reportedAt;
  for (const sent of stats.unreportedSends) {
    stats.prefillBacklogMs = remainingBacklogMs(stats, sent.sentAt) + sent.prefillMs;
    stats.backlogUpdatedAt = Math.max(stats.backlogUpdatedAt, sent.sentAt);
  }
}

function dropReportedSends(stats: ReplicaStats, reportedAt: Milliseconds): void {
  let reportedCount = 0;
  for (const sent of stats.unreportedSends) {
    if (sent.sentAt > reportedAt) break;
    stats.unreportedOutputTokens -= sent.outputTokens;
    reportedCount += 1;
  }
  if (reportedCount > 0) stats.unreportedSends.splice(0, reportedCount);
}

/** Updates the slowdown from a measured time to first token. */
export function updateSlowdown(
  stats: ReplicaStats,
  measuredMs: Milliseconds,
  estimatedMs: Milliseconds,
  now: Milliseconds,
): void {
  const previous = decayedSlowdown(stats, now);
  const ratio = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, measuredMs / estimatedMs));
  stats.slowdown = previous + SLOWDOWN_EWMA_WEIGHT * (ratio - previous);
  stats.slowdownMeasuredAt = now;
}

/**
 * Returns the slowdown, decayed towards 1. Without decay, a replica that was slow once would never
 * be selected and therefore never measured again.
 */
export function currentSlowdown(stats: ReplicaStats, now: Milliseconds): number {
  const slowdown = decayedSlowdown(stats, now);
  return slowdown < SLOWDOWN_THRESHOLD ? 1 : slowdown;
}

function decayedSlowdown(stats: ReplicaStats, now: Milliseconds): number {
  const ageMs = Math.max(0, now - stats.slowdownMeasuredAt);
  return 1 + (stats.slowdown - 1) * 0.5 ** (ageMs / SLOWDOWN_HALF_LIFE_MS);
}

/**
 * Returns how long the first token of the oldest request is overdue. Keeps requests away from a
 * paused engine, whose last load report may show it as idle.
 */
export function firstTokenOverdueMs(stats: ReplicaStats, now: Milliseconds): Milliseconds {
  for (const sent of stats.awaitingFirstToken.values()) {
    return Math.max(0, now - sent.sentAt - sent.estimatedFirstTokenMs);
  }
  return 0;
}

/** Drops the statistics of inactive replicas. Runs at most once per TTL. */
export function pruneReplicaStats(state: DispatchState, now: Milliseconds): void {
  if (now - state.lastPrunedAt < REPLICA_STATS_TTL_MS) return;
  state.lastPrunedAt = now;
  for (const [replica, stats] of state.replicas) {
    if (stats.outstanding.size > 0 || now - stats.lastActivityAt < REPLICA_STATS_TTL_MS) continue;
    state.replicas.delete(replica);
    clearReplicaCache(state, replica);
    state.replicaCaches.delete(replica);
  }
}
