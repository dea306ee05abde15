/**
 * State machine of one completion across its attempts.
 *
 * Invariants, in any order of events:
 *
 * - Tokens are relayed in order and exactly once. Chunks of an earlier attempt, duplicates and
 *   anything after the final response are dropped.
 * - A gap, a chunk of another request or a missing end chunk never results in a complete response:
 *   the attempt is aborted, and the retry decision determines whether the rest is fetched elsewhere.
 * - There is exactly one `finish` or `fail`.
 * - Once an attempt may have run, no failure says "not run".
 */
import type { EngineChunk } from '../../adapters/engines/protocol.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { AttemptEnd, RetryDecision } from '../retries/types.js';
import { concludeRequest, createStoppingFailure } from './conclusion.js';
import type { AttemptAction, AttemptEvent, AttemptState } from './types.js';

type EndChunk = Extract<EngineChunk, { kind: 'end' }>;
type TokenChunk = Extract<EngineChunk, { kind: 'token' }>;

const NO_ACTIONS: readonly AttemptAction[] = [];

/**
 * Creates the state of a request that has not been sent yet.
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

/** Applies `event` to `state` and returns the actions to perform. */
export function advanceAttempt(state: AttemptState, event: AttemptEvent): readonly AttemptAction[] {
  if (state.phase === 'answered') return NO_ACTIONS;
  switch (event.kind) {
    case 'sent':
      return startAttempt(state, event.attempt);
    case 'chunk':
      return event.attempt === state.attempt ? acceptChunk(state, event.chunk) : NO_ACTIONS;
    case 'ended':
      return event.attempt === state.attempt ? endAttempt(state, event.end, []) : NO_ACTIONS;
    case 'decided':
      return state.phase === 'deciding' ? applyDecision(state, event.decision) : NO_ACTIONS;
    case 'refused':
      return failRequest(state, event.failure);
    case 'callerGone':
      return abandonRequest(state, createFailure('callerGone'));
    case 'stopping':
      return abandonRequest(state, createStoppingFailure(hasStarted(state)));
    case 'deadline':
      return abandonRequest(state, createDeadlineFailure(state));
  }
}

function startAttempt(state: AttemptState, attempt: string): readonly AttemptAction[] {
  if (state.phase !== 'waiting') return NO_ACTIONS;
  state.phase = 'running';
  state.attempt = attempt;
  state.attempts += 1;
  return NO_ACTIONS;
}

function acceptChunk(state: AttemptState, chunk: EngineChunk): readonly AttemptAction[] {
  // A chunk of another request means mixed-up connections; relaying more of this stream could leak
  // another caller's response.
  if (chunk.attempt !== state.attempt) return abortAttempt(state, 'it carried another request');
  switch (chunk.kind) {
    case 'token':
      return acceptToken(state, chunk);
    case 'end':
      return acceptEnd(state, chunk);
    case 'error':
      return abortAttempt(state, chunk.reason);
  }
}

function acceptToken(state: AttemptState, token: TokenChunk): readonly AttemptAction[] {
  if (token.sequence < state.delivered) return NO_ACTIONS;
  if (token.sequence > state.delivered) return abortAttempt(state, 'tokens are missing');
  state.delivered += 1;
  return [{ kind: 'relay', text: token.text }];
}

function acceptEnd(state: AttemptState, end: EndChunk): readonly AttemptAction[] {
  // The end chunk carries the token count. A mismatch means that tokens were lost, and the truncated
  // response would look complete.
  if (end.sequence !== state.delivered) return abortAttempt(state, 'tokens are missing at its end');
  state.phase = 'answered';
  state.attempt = undefined;
  const tokens = {
    prompt: end.promptTokens,
    cached: end.cachedTokens,
    completion: end.sequence,
  };
  return [{ kind: 'finish', reason: end.reason, tokens }];
}

function abortAttempt(state: AttemptState, reason: string): readonly AttemptAction[] {
  const cancels = createCancelActions(state);
  return endAttempt(state, { kind: 'cut', reason, received: state.delivered }, cancels);
}

function endAttempt(
  state: AttemptState,
  end: AttemptEnd,
  precedingActions: readonly AttemptAction[],
): readonly AttemptAction[] {
  const cancels = end.kind === 'lost' ? createCancelActions(state) : precedingActions;
  state.phase = 'deciding';
  state.attempt = undefined;
  state.mayHaveRun ||= end.kind !== 'notSent' && end.kind !== 'refused';
  return [...cancels, { kind: 'decide', end }];
}

function applyDecision(state: AttemptState, decision: RetryDecision): readonly AttemptAction[] {
  switch (decision.kind) {
    case 'answer':
      return failRequest(state, decision.failure);
    case 'retry':
    case 'resume':
      state.phase = 'waiting';
      return [
        {
          kind: 'ask',
          // Always skips the delivered tokens, so that none is relayed twice.
          resumeFrom: state.delivered,
          exclude: decision.exclude,
          afterMs: decision.afterMs,
        },
      ];
  }
}

function abandonRequest(state: AttemptState, failure: Failure): readonly AttemptAction[] {
  const cancels = createCancelActions(state);
  state.mayHaveRun ||= state.attempt !== undefined;
  return [...cancels, ...failRequest(state, failure)];
}

function failRequest(state: AttemptState, failure: Failure): readonly AttemptAction[] {
  state.phase = 'answered';
  state.attempt = undefined;
  return [{ kind: 'fail', failure: concludeRequest(failure, state) }];
}

function createDeadlineFailure(state: AttemptState): Failure {
  return createFailure(hasStarted(state) ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}

/** Whether an attempt may have run or is in progress. */
function hasStarted({ mayHaveRun, attempt }: AttemptState): boolean {
  return mayHaveRun || attempt !== undefined;
}

function createCancelActions(state: AttemptState): readonly AttemptAction[] {
  return state.attempt === undefined ? NO_ACTIONS : [{ kind: 'cancel', attempt: state.attempt }];
}
