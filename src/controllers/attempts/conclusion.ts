/**
 * What a caller is told of a request that fails, given what may have happened to it before.
 */
import { concludeFailure, createFailure, type Failure } from '../../core/errors/index.js';

/** What is known of a request's earlier attempts. */
export interface RequestHistory {
  /** An attempt may have run. */
  mayHaveRun: boolean;
  /** Tokens or bytes of the answer that the caller has. */
  delivered: number;
}

/**
 * `failure`, or the kind that holds in spite of it. The last attempt was perhaps refused while an
 * earlier one was lost on its way back: "not run" would make the caller take the first run for
 * none. And once a part of the answer is out, all that counts is that it is not whole.
 *
 * @example concludeRequest(createFailure('stopping'), { mayHaveRun: true, delivered: 0 }).kind // 'outcomeUnknown'
 */
export function concludeRequest(failure: Failure, history: RequestHistory): Failure {
  if (failure.kind === 'callerGone' || failure.kind === 'answerCut') return failure;
  if (history.delivered > 0) return createFailure('answerCut', { reason: failure.message });
  const conclusion = concludeFailure(failure);
  if (!history.mayHaveRun || conclusion === 'unknown' || conclusion === 'failed') return failure;
  if (failure.kind === 'deadlineBeforeStart') return createFailure('deadlineAfterStart');
  return createFailure('outcomeUnknown', { reason: failure.message }, failure.retryAfterMs);
}
