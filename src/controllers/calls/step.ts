/**
 * The state machine behind one call that may run only once.
 *
 * A record, created in the platform only if absent, decides who may send the call. The guards:
 *
 * - A call is sent only in the step that learns that its own claim stands. Another entry that
 *   repeats the key meets the record and never sends it: no second run.
 * - A claim whose fate is unknown (the platform's answer is lost, or the platform is down) is never
 *   sent, whatever is learnt later: its caller has been told that the request was not run. Such a
 *   claim may still take effect late, and would then block the key. So its claimant settles it:
 *   `notRun` is written under the claim's own condition. If that write wins, the late claim fails
 *   its condition for ever; if it loses to the claim, it is repeated on the claim's version.
 * - Only its claimant, which alone knows whether it sent the call, turns a claim into `notRun`.
 *   Any other entry may turn a lost entry's claim into `unknown` and into nothing else: had it
 *   been freed, a claimant that is merely paused or cut off could still run it beside the next.
 * - Every write is conditional on the version seen and carries a nonce, so a write that took
 *   effect though its answer was lost is recognised instead of being taken for a rival's.
 */
import { createFailure } from '../../core/errors/index.js';
import { UNAVAILABLE_RETRY_MS } from './constants.js';
import type {
  CallEvent,
  CallFacts,
  CallProgress,
  CallRecordState,
  CallStep,
  WriteEvent,
} from './call-state.js';
import { encodeAnswer } from './record.js';
import { stepClaim, stepGiveUp } from './claim-results.js';
import {
  ABSENT,
  answer,
  answerFailure,
  claim,
  end,
  join,
  settle,
  settled,
  stay,
  writeSettlement,
  type Phase,
} from './transitions.js';
import type { OnceCall, OnceOutcome, SendOutcome } from './types.js';

/**
 * Begins a call whose key this entry has not open: claims its record.
 *
 * @example const { progress, actions } = beginCall(nameRecord(call), call, facts);
 */
export function beginCall(name: string, call: OnceCall, facts: CallFacts): CallStep {
  const progress: CallProgress = { name, call, phase: { kind: 'ended' }, answered: false };
  return claim(progress, ABSENT, facts);
}

/**
 * The next state of a call and what is to be done.
 *
 * @example const { progress, actions } = stepCall(before, { kind: 'retryDue' }, facts);
 */
export function stepCall(progress: CallProgress, event: CallEvent, facts: CallFacts): CallStep {
  switch (event.kind) {
    case 'written':
    case 'conflict':
    case 'writeFailed':
      return stepWrite(progress, event, facts);
    case 'sendEnded':
      return stepSendEnded(progress, event.outcome, facts);
    case 'retryDue':
      return stepRetry(progress, facts);
    case 'deadlinePassed':
      return stepDeadline(progress);
  }
}

function stepWrite(progress: CallProgress, event: WriteEvent, facts: CallFacts): CallStep {
  const { phase } = progress;
  if (phase.kind === 'ended' || phase.nonce !== event.nonce) return stay(progress);
  switch (phase.kind) {
    case 'claiming':
      return stepClaim(progress, phase, event, facts);
    case 'settling':
      return stepSettle(progress, phase, event, facts);
    case 'givingUp':
      return stepGiveUp(progress, phase, event, facts);
    case 'sending':
      return stay(progress);
  }
}

function stepSettle(
  progress: CallProgress,
  phase: Phase<'settling'>,
  event: WriteEvent,
  facts: CallFacts,
): CallStep {
  switch (event.kind) {
    case 'written':
      return settled(progress, event.version);
    case 'writeFailed':
      return { progress, actions: [{ kind: 'retryLater' }] };
    case 'conflict': {
      const { current } = event;
      if (current?.nonce === phase.nonce) return settled(progress, current.version);
      // The abandoned claim took effect after all: it is settled on its own version.
      if (current?.nonce === phase.claimNonce) {
        return settle(progress, phase.claimNonce, current.version, phase.state, facts);
      }
      // Another entry's write stands, so the version that a late claim needs is gone for good.
      return end(progress);
    }
  }
}

function stepSendEnded(progress: CallProgress, outcome: SendOutcome, facts: CallFacts): CallStep {
  const { phase } = progress;
  if (phase.kind !== 'sending') return stay(progress);
  const answered = answer(progress, concludeSend(outcome));
  const state = stateAfterSend(outcome);
  return join(answered, settle(answered.progress, phase.nonce, phase.version, state, facts));
}

function concludeSend(outcome: SendOutcome): OnceOutcome {
  if (outcome.kind === 'answered') return { ...outcome, replayed: false };
  return { kind: 'failed', failure: outcome.failure };
}

function stateAfterSend(outcome: SendOutcome): CallRecordState {
  switch (outcome.kind) {
    case 'answered':
      return encodeAnswer(outcome.answer);
    case 'notRun':
      return { kind: 'notRun' };
    case 'unknown':
      return { kind: 'unknown' };
  }
}

function stepRetry(progress: CallProgress, facts: CallFacts): CallStep {
  const { phase } = progress;
  if (phase.kind !== 'settling') return stay(progress);
  return { progress, actions: [writeSettlement(progress, phase, facts)] };
}

function stepDeadline(progress: CallProgress): CallStep {
  switch (progress.phase.kind) {
    case 'claiming':
      return answerFailure(progress, createFailure('deadlineBeforeStart'));
    case 'sending':
      return answerFailure(progress, createFailure('deadlineAfterStart'));
    case 'givingUp':
      return answerFailure(
        progress,
        createFailure('callInProgress', undefined, UNAVAILABLE_RETRY_MS),
      );
    case 'settling':
    case 'ended':
      return stay(progress);
  }
}
