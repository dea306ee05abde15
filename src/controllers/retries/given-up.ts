/**
 * Determines the failure of a request that is given up after earlier attempts.
 */
import { getConclusion, createFailure, type Failure } from '../../core/errors/index.js';

/**
 * Returns `failure`, or a counterpart without "not run" when an earlier attempt may have run.
 * Prevents a false "not run" when only the last attempt was never sent.
 *
 * @example concludeGivenUp(createFailure('noCapacity', { name: 'chat' }), true).kind // 'outcomeUnknown'
 */
export function concludeGivenUp(failure: Failure, mayHaveRun: boolean): Failure {
  if (!mayHaveRun || getConclusion(failure) !== 'notRun') return failure;
  if (failure.kind === 'deadlineBeforeStart') return createFailure('deadlineAfterStart');
  return createFailure('outcomeUnknown', {
    reason: 'an earlier attempt was lost and no other could be made',
  });
}
