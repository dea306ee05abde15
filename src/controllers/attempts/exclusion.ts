/**
 * Selects the replicas that a retried request avoids.
 */
import type { Candidate } from '../routing/types.js';

/**
 * Returns the replicas to exclude after a failed attempt: the failed replica, unless no other is in
 * service. A stream that broke on the only replica of a model is resumed there once the replica
 * is healthy again, instead of being abandoned.
 *
 * @example listExcluded('replica-1', candidates)
 */
export function listExcluded(
  failedReplica: string,
  candidates: readonly Candidate[],
): readonly string[] {
  return candidates.some(({ replica }) => replica !== failedReplica) ? [failedReplica] : [];
}
