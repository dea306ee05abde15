/**
 * Determines the failure that a caller receives, given the earlier attempts of its request.
 */
import { getConclusion, createFailure, type Failure } from '../../core/errors/index.js';

/** Outcome of a request's earlier attempts. */
export interface RequestHistory {
  /** An attempt may have run. */
  mayHaveRun: boolean;
  /** Tokens or bytes of the response already delivered to the caller. */
  delivered: number;
}

/**
 * Returns `failure`, or the kind that also covers earlier attempts. When the last attempt was refused
 * but an earlier one may have run, "not run" would be false. Once part of the response is delivered,
 * every failure except a disconnected caller becomes a cut response.
 *
 * @example concludeRequest(createFailure('stopping'), { mayHaveRun: true, delivered: 0 }).kind // 'outcomeUnknown'
 */
export function concludeRequest(failure: Failure, history: RequestHistory): Failure {
  if (failure.kind === 'callerGone' || failure.kind === 'answerCut') return failure;
  if (history.delivered > 0) return createFailure('answerCut', { reason: failure.message });
  const conclusion = getConclusion(failure);
  if (!history.mayHaveRun || conclusion === 'unknown' || conclusion === 'failed') return failure;
  if (failure.kind === 'deadlineBeforeStart') return createFailure('deadlineAfterStart');
  return createFailure('outcomeUnknown', { reason: failure.message }, failure.retryAfterMs);
}

/** Failure of a request that is not answered when the grace of the entry's stop is over. */
export function createStoppingFailure(mayHaveRun: boolean): Failure {
  if (!mayHaveRun) return createFailure('stopping');
  return createFailure('outcomeUnknown', { reason: 'the entry stopped before it was answered' });
}
