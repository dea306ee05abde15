/**
 * Observations of how fast a server is, weighted by their age.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { ageWeight } from './speed-reports.js';

/** Observations at the usual speed that are assumed of each server: a few slow answers prove little. */
export const PRIOR_COUNT = 2;
/** Observations that count at most, so that a server that is usual again is noticed soon. */
const MAX_EVIDENCE = 20;
/** Factor from the mean of the earlier observations by which a new one contradicts them. */
const CONTRADICTING_FACTOR = 2.5;
/** What earlier observations count together once one contradicts them. */
const CONTRADICTED_COUNT = 1.5;
/** From this slowness on, a target is avoided and reported. */
export const CLEAR_SLOWNESS = 1.6;

/** Observations, weighted as of `at`. */
export interface Evidence {
  count: number;
  logSum: number;
  at: Milliseconds;
}

export function noEvidence(now: Milliseconds): Evidence {
  return { count: 0, logSum: 0, at: now };
}

export function countAt({ count, at }: Evidence, now: Milliseconds): number {
  return count * ageWeight(now - at);
}

export function addEvidence(
  evidence: Evidence,
  count: number,
  slowness: number,
  now: Milliseconds,
): void {
  const weight = ageWeight(now - evidence.at);
  evidence.count = evidence.count * weight + count;
  evidence.logSum = evidence.logSum * weight + count * Math.log(slowness);
  evidence.at = now;
}

export function isClearlySlow({ count, logSum }: Evidence): boolean {
  return count > 0 && logSum / count >= Math.log(CLEAR_SLOWNESS);
}

/** Lets observations of another speed count little, so that a change shows after a few new ones. */
export function forgetIfContradicted(evidence: Evidence, slowness: number): void {
  if (evidence.count <= CONTRADICTED_COUNT) return;
  const difference = Math.abs(evidence.logSum / evidence.count - Math.log(slowness));
  if (difference < Math.log(CONTRADICTING_FACTOR)) return;
  evidence.logSum *= CONTRADICTED_COUNT / evidence.count;
  evidence.count = CONTRADICTED_COUNT;
}

export function mergeEvidence(into: Evidence, from: Evidence, now: Milliseconds): void {
  if (from.count > 0)
    addEvidence(into, countAt(from, now), Math.exp(from.logSum / from.count), now);
}

/** Slowness by the evidence, drawn towards 1 by the prior. */
export function estimateSlowness(...parts: readonly Evidence[]): number {
  const count = parts.reduce((sum, part) => sum + part.count, 0);
  if (count === 0) return 1;
  const meanLog = parts.reduce((sum, part) => sum + part.logSum, 0) / count;
  const bounded = Math.min(MAX_EVIDENCE, count);
  return Math.exp((meanLog * bounded) / (bounded + PRIOR_COUNT));
}
