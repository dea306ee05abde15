/**
 * The retry decision: what follows when one attempt of a request ended badly.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { concludeFailure, createFailure, type Failure } from '../../core/errors/index.js';
import type { Random } from '../../core/random/index.js';
import { budgetWaitMs, drawRetry, type RetryState } from './budget.js';
import { concludeGivenUp } from './given-up.js';
import type { AttemptEnd, RetryDecision, RetryQuestion } from './types.js';

/** Attempts of one request at most, the first included. */
const MAX_ATTEMPTS = 4;
/** Longest back-off before the second attempt; it doubles with each further one. */
const BASE_BACKOFF_MS = 25;
const MOST_BACKOFF_MS = 2_000;
/** A retry that would have less time than this is not made. */
const LEAST_TIME_LEFT_MS = 20;
/** `Retry-After` when a backend server refused without naming a time. */
const REFUSED_RETRY_MS = 1_000;

/**
 * Decides between another attempt, a resume and the final answer, to be given at once.
 *
 * Another attempt is made only when this one provably did not start or the request is repeatable,
 * within the budgets of the target and the workspace, after a full-jitter back-off, and never past
 * the deadline. A caller that has
 * part of the answer is only given the rest of the same one.
 *
 * @example const decision = decideRetry(state, question, clock.now(), random);
 */
export function decideRetry(
  state: RetryState,
  question: RetryQuestion,
  now: Milliseconds,
  random: Random,
): RetryDecision {
  if (now >= question.deadlineAt) return answer(question, deadlineFailure(question.end));
  if (!mayFollow(question) || question.attempts >= MAX_ATTEMPTS) {
    return answer(question, finalFailure(state, question, now));
  }
  const afterMs = backOff(question, random);
  if (now + afterMs + LEAST_TIME_LEFT_MS > question.deadlineAt) {
    return answer(question, finalFailure(state, question, now));
  }
  if (!drawRetry(state, question.target, question.workspace, now)) {
    return answer(question, finalFailure(state, question, now));
  }
  return follow(question, afterMs);
}

/** Whether an attempt with this end may have run at the backend server. */
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

function mayFollow(question: RetryQuestion): boolean {
  if (receivedSoFar(question) > 0) return question.resumable;
  switch (question.end.kind) {
    case 'notSent':
    case 'refused':
      return true;
    case 'lost':
    case 'failed':
      return question.repeatable;
    case 'cut':
      return question.repeatable || question.resumable;
  }
}

function follow(question: RetryQuestion, afterMs: Milliseconds): RetryDecision {
  const from = receivedSoFar(question);
  if (from > 0) return { kind: 'resume', afterMs, exclude: question.target, from };
  return { kind: 'retry', afterMs, exclude: question.target };
}

/** What the caller has of the answer: an attempt that resumes adds to what earlier ones brought. */
function receivedSoFar(question: RetryQuestion): number {
  const now = question.end.kind === 'cut' ? question.end.received : 0;
  return Math.max(now, question.received ?? 0);
}

/** Full jitter: anything from nothing to a bound that doubles with each attempt. */
function backOff(question: RetryQuestion, random: Random): Milliseconds {
  const doublings = Math.max(0, question.attempts - 1);
  const bound = Math.min(MOST_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** doublings);
  return Math.floor(random.fraction() * bound);
}

function answer(question: RetryQuestion, failure: Failure): RetryDecision {
  if (receivedSoFar(question) > 0 && concludeFailure(failure) !== 'failed') {
    return { kind: 'answer', failure: createFailure('answerCut', { reason: question.end.reason }) };
  }
  return { kind: 'answer', failure: concludeGivenUp(failure, question.mayHaveRun ?? false) };
}

function deadlineFailure(end: AttemptEnd): Failure {
  return createFailure(mayHaveRun(end) ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}

function finalFailure(state: RetryState, question: RetryQuestion, now: Milliseconds): Failure {
  const { end } = question;
  const wait = budgetWaitMs(state, question.target, question.workspace, now);
  switch (end.kind) {
    case 'notSent':
      return createFailure('noCapacity', { name: question.target }, wait + REFUSED_RETRY_MS);
    case 'refused':
      return createFailure(
        'overloaded',
        { reason: end.reason },
        Math.max(wait, end.retryAfterMs ?? REFUSED_RETRY_MS),
      );
    case 'lost':
      return createFailure('outcomeUnknown', { reason: end.reason });
    case 'cut':
      return createFailure('answerCut', { reason: end.reason });
    case 'failed':
      return createFailure('runFailed', { reason: end.reason });
  }
}
