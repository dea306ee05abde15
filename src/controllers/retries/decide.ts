/**
 * The retry decision after a failed attempt of a request.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { getConclusion, createFailure, type Failure } from '../../core/errors/index.js';
import type { Random } from '../../core/random/index.js';
import { budgetWaitMs, takeRetry, type RetryState } from './budget.js';
import { concludeGivenUp } from './given-up.js';
import type { AttemptEnd, RetryDecision, RetryContext } from './types.js';

/** Maximum attempts per request, including the first. */
const MAX_ATTEMPTS = 4;
/** Maximum backoff before the second attempt; doubles with each further attempt. */
const BASE_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 2_000;
/** Minimum time that must remain for a retry before the deadline. */
const MIN_TIME_LEFT_MS = 20;
/** `Retry-After` when the backend server sent none. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Decides between a retry, a resume and an immediate final response.
 *
 * A retry requires that the attempt did not run or that the request is repeatable or resumable. It is
 * limited by the budgets of the target and the workspace, delayed by a backoff with full jitter, and
 * never made past the deadline. A response that is partly delivered can only be resumed.
 *
 * @example const decision = decideRetry(state, context, clock.now(), random);
 */
export function decideRetry(
  state: RetryState,
  context: RetryContext,
  now: Milliseconds,
  random: Random,
): RetryDecision {
  if (now >= context.deadlineAt) return createAnswer(context, createDeadlineFailure(context.end));
  if (!isRetryAllowed(context) || context.attempts >= MAX_ATTEMPTS) {
    return createAnswer(context, createFinalFailure(state, context, now));
  }
  const afterMs = computeBackoff(context, random);
  if (now + afterMs + MIN_TIME_LEFT_MS > context.deadlineAt) {
    return createAnswer(context, createFinalFailure(state, context, now));
  }
  if (!takeRetry(state, context.target, context.workspace, now)) {
    return createAnswer(context, createFinalFailure(state, context, now));
  }
  return retryOrResume(context, afterMs);
}

/** Whether an attempt that ended this way may have run at the backend server. */
export function mayHaveRun(end: AttemptEnd): boolean {
  switch (end.kind) {
    case 'notSent':
    case 'refused':
      return false;
    case 'lost':
    case 'cut':
    case 'failed':
      return true;
  }
}

function isRetryAllowed(context: RetryContext): boolean {
  if (receivedByCaller(context) > 0) return context.resumable;
  switch (context.end.kind) {
    case 'notSent':
    case 'refused':
      return true;
    case 'lost':
    case 'failed':
      return context.repeatable;
    case 'cut':
      return context.repeatable || context.resumable;
  }
}

function retryOrResume(context: RetryContext, afterMs: Milliseconds): RetryDecision {
  const from = receivedByCaller(context);
  if (from > 0) return { kind: 'resume', afterMs, exclude: context.target, from };
  return { kind: 'retry', afterMs, exclude: context.target };
}

/** Amount of the response that the caller has, from this and all earlier attempts. */
function receivedByCaller(context: RetryContext): number {
  const fromThisAttempt = context.end.kind === 'cut' ? context.end.received : 0;
  return Math.max(fromThisAttempt, context.received ?? 0);
}

/** Full jitter: uniform between zero and a limit that doubles with each attempt. */
function computeBackoff(context: RetryContext, random: Random): Milliseconds {
  const doublings = Math.max(0, context.attempts - 1);
  const maxBackoffMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** doublings);
  return Math.floor(random.fraction() * maxBackoffMs);
}

function createAnswer(context: RetryContext, failure: Failure): RetryDecision {
  if (receivedByCaller(context) > 0 && getConclusion(failure) !== 'failed') {
    return { kind: 'answer', failure: createFailure('answerCut', { reason: context.end.reason }) };
  }
  return { kind: 'answer', failure: concludeGivenUp(failure, context.mayHaveRun ?? false) };
}

function createDeadlineFailure(end: AttemptEnd): Failure {
  return createFailure(mayHaveRun(end) ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}

function createFinalFailure(state: RetryState, context: RetryContext, now: Milliseconds): Failure {
  const { end } = context;
  const waitMs = budgetWaitMs(state, context.target, context.workspace, now);
  switch (end.kind) {
    case 'notSent':
      return createFailure('noCapacity', { name: context.target }, waitMs + DEFAULT_RETRY_AFTER_MS);
    case 'refused':
      return createFailure(
        'overloaded',
        { reason: end.reason },
        Math.max(waitMs, end.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS),
      );
    case 'lost':
      return createFailure('outcomeUnknown', { reason: end.reason });
    case 'cut':
      return createFailure('answerCut', { reason: end.reason });
    case 'failed':
      return createFailure('runFailed', { reason: end.reason });
  }
}
