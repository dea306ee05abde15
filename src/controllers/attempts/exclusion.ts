/**
 * Which replicas a request that is tried again stays away from.
 */
import type { Candidate } from '../routing/types.js';

/**
 * The replicas to exclude after an attempt at `failed`: that one, unless nothing else is in
 * service. A stream that broke on the only replica of a model is then resumed there, once the
 * replica has proved itself, instead of being given up for want of another.
 *
 * @example listExcluded('replica-1', candidates)
 */
export function listExcluded(failed: string, candidates: readonly Candidate[]): readonly string[] {
  return candidates.some(({ replica }) => replica !== failed) ? [failed] : [];
}
