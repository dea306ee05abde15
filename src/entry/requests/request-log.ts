/**
 * Logs requests that failed and requests that were retried. Successful requests only appear in the
 * metrics.
 */
import type { RequestHead } from '../../adapters/callers/index.js';
import type { AttemptEnd, RetryDecision } from '../../controllers/retries/types.js';
import { getConclusion, type Failure } from '../../core/errors/index.js';
import type { LogEventName, Logger, LogValues } from '../../core/logger/index.js';

/** Logs a request that ended without a complete response. */
export function logFailedRequest(logger: Logger, request: RequestHead, failure: Failure): void {
  const { kind, message } = failure;
  logger.log(selectEventName(failure), { ...describeRequest(request), kind, reason: message });
}

/** Logs a request that the entry aborted when its shutdown grace period ended. */
export function logRequestCutByStop(logger: Logger, request: RequestHead): void {
  logger.log('requestCutByStop', describeRequest(request));
}

/** Logs a retry and how the previous attempt ended. */
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

function selectEventName(failure: Failure): LogEventName {
  if (failure.kind === 'callerGone') return 'requestAbandoned';
  switch (getConclusion(failure)) {
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
