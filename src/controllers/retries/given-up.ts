/**
 * What a caller is told of a request that is given up after an earlier attempt.
 */
import { concludeFailure, createFailure, type Failure } from '../../core/errors/index.js';

/**
 * `failure`, or its counterpart that does not say "not run" when an earlier attempt may have run.
 * Guards against a false "not run": the last attempt of a request may well not have been sent, and
 * its own end says so, while an earlier one was lost on the way back and did run.
 *
 * @example concludeGivenUp(createFailure('noCapacity', { name: 'chat' }), true).kind // 'outcomeUnknown'
 */
export function concludeGivenUp(failure: Failure, mayHaveRun: boolean): Failure {
  if (!mayHaveRun || concludeFailure(failure) !== 'notRun') return failure;
  if (failure.kind === 'deadlineBeforeStart') return createFailure('deadlineAfterStart');
  return createFailure('outcomeUnknown', {
    reason: 'an earlier attempt was lost and no other could be made',
  });
}
