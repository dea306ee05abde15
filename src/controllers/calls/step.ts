/**
 * State machine for one at-most-once call.
 *
 * A record in the platform, created only if absent, decides which entry may send the call:
 *
 * - A call is sent only in the transition that confirms this entry's own claim. Any other entry
 *   that receives the same key finds the record and doesn't send the call.
 * - A call is never sent if the result of its claim is unknown, because the caller has been told
 *   that it was not run. The claim may still take effect later and block the key, so the claimant
 *   writes `notRun` on the same condition. Either that write succeeds and the late claim conflicts,
 *   or the claim took effect first and `notRun` is written on the claim's version.
 * - Only the claimant may replace a claim by `notRun`, as only it knows whether it sent the call.
 *   Other entries may only replace the claim of a lost entry by `unknown`. If they released the
 *   key, a claimant that is merely paused or partitioned could run the call a second time.
 * - Every write is conditional on a version and carries a nonce, which identifies a write that took
 *   effect although its response was lost.
 */
import { createFailure } from '../../core/errors/index.js';
import { UNAVAILABLE_RETRY_MS } from './constants.js';
import type {
  CallEvent,
  CallContext,
  CallProgress,
  CallRecordState,
  CallStep,
  WriteEvent,
} from './call-state.js';
import { encodeAnswer } from './record.js';
import { handleClaimResult, handleGiveUpResult } from './claim-results.js';
import {
  ABSENT_VERSION,
  answerCaller,
  answerWithFailure,
  concatenateSteps,
  createSettlementWrite,
  endCall,
  endSettled,
  keepState,
  settleRecord,
  writeClaim,
  type Phase,
} from './transitions.js';
import type { OnceCall, OnceOutcome, SendOutcome } from './types.js';

/**
 * Starts a call by claiming its record. The key must not have an open call on this entry.
 *
 * @example const { progress, actions } = beginCall(nameRecord(call), call, context);
 */
export function beginCall(name: string, call: OnceCall, context: CallContext): CallStep {
  const progress: CallProgress = { name, call, phase: { kind: 'ended' }, answered: false };
  return writeClaim(progress, ABSENT_VERSION, context);
}

/**
 * Returns the next state of a call and the actions to perform.
 *
 * @example const { progress, actions } = stepCall(before, { kind: 'retryDue' }, context);
 */
export function stepCall(progress: CallProgress, event: CallEvent, context: CallContext): CallStep {
  switch (event.kind) {
    case 'written':
    case 'conflict':
    case 'writeFailed':
      return handleWriteResult(progress, event, context);
    case 'sendEnded':
      return handleSendEnded(progress, event.outcome, context);
    case 'retryDue':
      return handleRetryDue(progress, context);
    case 'deadlinePassed':
      return handleDeadlinePassed(progress);
  }
}

function handleWriteResult(
  progress: CallProgress,
  event: WriteEvent,
  context: CallContext,
): CallStep {
  const { phase } = progress;
  if (phase.kind === 'ended' || phase.nonce !== event.nonce) return keepState(progress);
  switch (phase.kind) {
    case 'claiming':
      return handleClaimResult(progress, phase, event, context);
    case 'settling':
      return handleSettlementResult(progress, phase, event, context);
    case 'givingUp':
      return handleGiveUpResult(progress, phase, event, context);
    case 'sending':
      return keepState(progress);
  }
}

function handleSettlementResult(
  progress: CallProgress,
  phase: Phase<'settling'>,
  event: WriteEvent,
  context: CallContext,
): CallStep {
  switch (event.kind) {
    case 'written':
      return endSettled(progress, event.version);
    case 'writeFailed':
      return { progress, actions: [{ kind: 'retryLater' }] };
    case 'conflict': {
      const { current } = event;
      if (current?.nonce === phase.nonce) return endSettled(progress, current.version);
      // The abandoned claim took effect late, so the settlement is based on its version.
      if (current?.nonce === phase.claimNonce) {
        return settleRecord(progress, phase.claimNonce, current.version, phase.state, context);
      }
      // Another entry has written the record, so a late claim can no longer meet its condition.
      return endCall(progress);
    }
  }
}

function handleSendEnded(
  progress: CallProgress,
  outcome: SendOutcome,
  context: CallContext,
): CallStep {
  const { phase } = progress;
  if (phase.kind !== 'sending') return keepState(progress);
  const answered = answerCaller(progress, toOnceOutcome(outcome));
  const state = toRecordState(outcome);
  return concatenateSteps(
    answered,
    settleRecord(answered.progress, phase.nonce, phase.version, state, context),
  );
}

function toOnceOutcome(outcome: SendOutcome): OnceOutcome {
  if (outcome.kind === 'answered') return { ...outcome, replayed: false };
  return { kind: 'failed', failure: outcome.failure };
}

function toRecordState(outcome: SendOutcome): CallRecordState {
  switch (outcome.kind) {
    case 'answered':
      return encodeAnswer(outcome.answer);
    case 'notRun':
      return { kind: 'notRun' };
    case 'unknown':
      return { kind: 'unknown' };
  }
}

function handleRetryDue(progress: CallProgress, context: CallContext): CallStep {
  const { phase } = progress;
  if (phase.kind !== 'settling') return keepState(progress);
  return { progress, actions: [createSettlementWrite(progress, phase, context)] };
}

function handleDeadlinePassed(progress: CallProgress): CallStep {
  switch (progress.phase.kind) {
    case 'claiming':
      return answerWithFailure(progress, createFailure('deadlineBeforeStart'));
    case 'sending':
      return answerWithFailure(progress, createFailure('deadlineAfterStart'));
    case 'givingUp':
      return answerWithFailure(
        progress,
        createFailure('callInProgress', undefined, UNAVAILABLE_RETRY_MS),
      );
    case 'settling':
    case 'ended':
      return keepState(progress);
  }
}
