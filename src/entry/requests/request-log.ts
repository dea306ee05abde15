/**
 * What the log says of single requests: those that got no whole answer and those that were sent
 * again. Requests that go well are left to the metrics.
 */
import type { RequestHead } from '../../adapters/callers/index.js';
import type { AttemptEnd, RetryDecision } from '../../controllers/retries/types.js';
import { concludeFailure, type Failure } from '../../core/errors/index.js';
import type { LogEventName, Logger, LogValues } from '../../core/logger/index.js';

/** Logs a request that ended without a whole answer. */
export function logFailedRequest(logger: Logger, request: RequestHead, failure: Failure): void {
  const { kind, message } = failure;
  logger.log(nameEnd(failure), { ...describeRequest(request), kind, reason: message });
}

/** Logs a request that the entry itself cut off at the end of its stop. */
export function logCutRequest(logger: Logger, request: RequestHead): void {
  logger.log('requestCutByStop', describeRequest(request));
}

/** Logs that a request is sent again, and how the attempt before had ended. */
export function logRetry(
  logger: Logger,
  request: RequestHead,
  decision: Exclude<RetryDecision, { kind: 'answer' }>,
  { kind, reason }: AttemptEnd,
): void {
  const values = { ...describeRequest(request), excluded: decision.exclude, end: kind, reason };
  if (decision.kind === 'resume') {
    logger.log('requestResumed', { ...values, resumeFrom: decision.from });
  } else {
    logger.log('requestRetried', values);
  }
}

function nameEnd(failure: Failure): LogEventName {
  if (failure.kind === 'callerGone') return 'requestAbandoned';
  switch (concludeFailure(failure)) {
    case 'notRun':
    case 'refused':
      return 'requestRefused';
    case 'unknown':
    case 'failed':
      return 'requestFailed';
  }
}

function describeRequest({ id, caller }: RequestHead): LogValues {
  return { requestId: id, workspace: caller.workspace };
}
