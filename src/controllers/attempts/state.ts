/**
 * One completion over its attempts: which tokens the caller gets, and its one final answer.
 *
 * The rules that hold in every order of events:
 *
 * - Tokens are relayed in order, each once. Chunks of an attempt that no longer counts, duplicates
 *   and whatever comes after the final answer are dropped.
 * - A gap, a chunk of another request or a missing end mark never becomes a whole answer: the
 *   attempt is cancelled and the retry decision says whether the rest is fetched elsewhere.
 * - There is exactly one `finish` or `fail`.
 * - Once an attempt may have run, no failure says "not run".
 */
import type { EngineChunk } from '../../adapters/engines/protocol.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { AttemptEnd, RetryDecision } from '../retries/types.js';
import { concludeRequest } from './conclusion.js';
import type { AttemptAction, AttemptEvent, AttemptState } from './types.js';

type EndMark = Extract<EngineChunk, { kind: 'end' }>;
type Token = Extract<EngineChunk, { kind: 'token' }>;

const NOTHING: readonly AttemptAction[] = [];

/**
 * The state of a request that has not been sent yet.
 *
 * @example const state = createAttemptState(); advanceAttempt(state, { kind: 'sent', attempt: 'a1' });
 */
export function createAttemptState(): AttemptState {
  return {
    phase: 'waiting',
    attempt: undefined,
    attempts: 0,
    delivered: 0,
    mayHaveRun: false,
  };
}

/** Applies `event` to `state` and says what to do. */
export function advanceAttempt(state: AttemptState, event: AttemptEvent): readonly AttemptAction[] {
  if (state.phase === 'answered') return NOTHING;
  switch (event.kind) {
    case 'sent':
      return beginAttempt(state, event.attempt);
    case 'chunk':
      return event.attempt === state.attempt ? acceptChunk(state, event.chunk) : NOTHING;
    case 'ended':
      return event.attempt === state.attempt ? endAttempt(state, event.end, []) : NOTHING;
    case 'decided':
      return state.phase === 'deciding' ? followDecision(state, event.decision) : NOTHING;
    case 'refused':
      return failRequest(state, event.failure);
    case 'callerGone':
      return giveUp(state, createFailure('callerGone'));
    case 'deadline':
      return giveUp(state, createDeadlineFailure(state));
  }
}

function beginAttempt(state: AttemptState, attempt: string): readonly AttemptAction[] {
  if (state.phase !== 'waiting') return NOTHING;
  state.phase = 'running';
  state.attempt = attempt;
  state.attempts += 1;
  return NOTHING;
}

function acceptChunk(state: AttemptState, chunk: EngineChunk): readonly AttemptAction[] {
  // A stream that carries another request's chunk can't be trusted any further: a mixed-up
  // connection would show the caller someone else's answer. Nothing more of it is relayed.
  if (chunk.attempt !== state.attempt) return breakOff(state, 'it carried another request');
  switch (chunk.kind) {
    case 'token':
      return acceptToken(state, chunk);
    case 'end':
      return acceptEnd(state, chunk);
    case 'error':
      return breakOff(state, chunk.reason);
  }
}

function acceptToken(state: AttemptState, token: Token): readonly AttemptAction[] {
  if (token.sequence < state.delivered) return NOTHING;
  if (token.sequence > state.delivered) return breakOff(state, 'tokens are missing');
  state.delivered += 1;
  return [{ kind: 'relay', text: token.text }];
}

function acceptEnd(state: AttemptState, end: EndMark): readonly AttemptAction[] {
  // The end mark counts all tokens. Another count than the caller's means that some were lost on
  // the way, which would show as a short answer that looks whole.
  if (end.sequence !== state.delivered) return breakOff(state, 'tokens are missing at its end');
  state.phase = 'answered';
  state.attempt = undefined;
  const tokens = {
    prompt: end.promptTokens,
    cached: end.cachedTokens,
    completion: end.sequence,
  };
  return [{ kind: 'finish', reason: end.reason, tokens }];
}

function breakOff(state: AttemptState, reason: string): readonly AttemptAction[] {
  const cancel = listCancels(state);
  return endAttempt(state, { kind: 'cut', reason, received: state.delivered }, cancel);
}

function endAttempt(
  state: AttemptState,
  end: AttemptEnd,
  before: readonly AttemptAction[],
): readonly AttemptAction[] {
  const cancels = end.kind === 'lost' ? listCancels(state) : before;
  state.phase = 'deciding';
  state.attempt = undefined;
  state.mayHaveRun ||= end.kind !== 'notSent' && end.kind !== 'refused';
  return [...cancels, { kind: 'decide', end }];
}

function followDecision(state: AttemptState, decision: RetryDecision): readonly AttemptAction[] {
  switch (decision.kind) {
    case 'answer':
      return failRequest(state, decision.failure);
    case 'retry':
    case 'resume':
      state.phase = 'waiting';
      return [
        {
          kind: 'ask',
          // What the caller has is skipped whatever the decision says: a token is never shown twice.
          resumeFrom: state.delivered,
          exclude: decision.exclude,
          afterMs: decision.afterMs,
        },
      ];
  }
}

function giveUp(state: AttemptState, failure: Failure): readonly AttemptAction[] {
  const cancels = listCancels(state);
  state.mayHaveRun ||= state.attempt !== undefined;
  return [...cancels, ...failRequest(state, failure)];
}

function failRequest(state: AttemptState, failure: Failure): readonly AttemptAction[] {
  state.phase = 'answered';
  state.attempt = undefined;
  return [{ kind: 'fail', failure: concludeRequest(failure, state) }];
}

function createDeadlineFailure(state: AttemptState): Failure {
  const started = state.mayHaveRun || state.attempt !== undefined;
  return createFailure(started ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}

function listCancels(state: AttemptState): readonly AttemptAction[] {
  return state.attempt === undefined ? NOTHING : [{ kind: 'cancel', attempt: state.attempt }];
}
