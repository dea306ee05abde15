/**
 * Estimates the duration of a request from its size and from recent request durations.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel, Route } from '../../ports/index.js';

/** Half-life of the recorded slowness, which decays towards 1. */
const SLOWNESS_HALF_LIFE_MS: Milliseconds = 10_000;

/**
 * Estimates the duration of a complete stream on a replica with all slots in use: the route's target
 * time to the first event, prompt prefill, and decoding of the maximum number of output tokens.
 * Infinite when the caller sets no maximum.
 *
 * The target time is included because otherwise the queueing of short streams would count as
 * slowness of the replica, and long streams would be rejected for it.
 */
export function estimateStreamMs(
  { targetMs }: Pick<Route, 'targetMs'>,
  profile: EngineProfile,
  model: GroupModel,
  promptTokens: number,
  outputTokens: number,
): Milliseconds {
  if (outputTokens <= 0) return Infinity;
  const prefillMs = promptTokens / profile.promptTokensPerMs;
  const decodeStepMs = profile.stepMs + profile.stepPerRequestMs * profile.slots;
  return targetMs + model.pace * (prefillMs + outputTokens * decodeStepMs);
}

interface PeakRatio {
  ratio: number;
  at: Milliseconds;
}

/**
 * Tracks the highest recent ratio of actual to estimated duration for each kind of request. Mutable;
 * has a single owner.
 *
 * Corrects estimates for queueing and degraded replicas. Requests that ended early count too: their
 * duration is a lower bound.
 */
export class SlownessTable {
  private readonly peaks = new Map<string, PeakRatio>();

  /** Records that a request of `kind`, estimated at `estimateMs`, took `tookMs`. */
  record(kind: string, estimateMs: Milliseconds, tookMs: Milliseconds, now: Milliseconds): void {
    if (!Number.isFinite(estimateMs) || estimateMs <= 0) return;
    const ratio = tookMs / estimateMs;
    if (ratio > this.slownessOf(kind, now)) this.peaks.set(kind, { ratio, at: now });
  }

  /** Returns the decayed peak ratio for `kind`; at least 1. */
  slownessOf(kind: string, now: Milliseconds): number {
    const peak = this.peaks.get(kind);
    if (peak === undefined) return 1;
    const decay = 0.5 ** ((now - peak.at) / SLOWNESS_HALF_LIFE_MS);
    return 1 + (peak.ratio - 1) * decay;
  }
}
