/**
 * Transitions after this entry claimed a record or gave up the claim of a lost entry.
 */
import { createFailure } from '../../core/errors/index.js';
import type { StoredObject } from '../../objects/index.js';
import { UNAVAILABLE_RETRY_MS } from './constants.js';
import { decideByRecord } from './record-decision.js';
import type { CallContext, CallPhase, CallProgress, CallStep, WriteEvent } from './call-state.js';
import {
  ABSENT_VERSION,
  answerCaller,
  answerWithFailure,
  concatenateSteps,
  endCall,
  endSettled,
  settleRecord,
  writeClaim,
  type Phase,
} from './transitions.js';

/** Handles the result of a claim's write. */
export function handleClaimResult(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  event: WriteEvent,
  context: CallContext,
): CallStep {
  switch (event.kind) {
    case 'written':
      return startSending(progress, phase, event.version, context);
    case 'conflict':
      // The nonce matches: this claim took effect, but the response to the write was lost.
      if (event.current?.nonce === phase.nonce) {
        return startSending(progress, phase, event.current.version, context);
      }
      return applyExistingRecord(progress, event.current, context);
    case 'writeFailed':
      return abandonClaim(progress, phase, event, context);
  }
}

function startSending(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  version: number,
  context: CallContext,
): CallStep {
  const { deadlineAt } = progress.call;
  const deadlinePassed = deadlineAt !== undefined && context.now >= deadlineAt;
  // The process may have been paused after claiming, so the deadline may have passed.
  if (progress.answered || deadlinePassed) {
    const refusal = answerWithFailure(progress, createFailure('deadlineBeforeStart'));
    const settlement = settleRecord(
      refusal.progress,
      phase.nonce,
      version,
      { kind: 'notRun' },
      context,
    );
    return concatenateSteps(refusal, settlement);
  }
  const sending: CallPhase = { kind: 'sending', nonce: phase.nonce, version };
  return { progress: { ...progress, phase: sending }, actions: [{ kind: 'send' }] };
}

function abandonClaim(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  event: Extract<WriteEvent, { kind: 'writeFailed' }>,
  context: CallContext,
): CallStep {
  const reason = event.failure.message;
  const retryAfterMs = event.failure.retryAfterMs ?? UNAVAILABLE_RETRY_MS;
  const failure = createFailure('recordUnavailable', { reason }, retryAfterMs);
  const refusal = answerWithFailure(progress, failure);
  if (!event.mayTakeEffect) return concatenateSteps(refusal, endCall(refusal.progress));
  const settling: CallPhase = {
    kind: 'settling',
    nonce: context.createNonce(),
    claimNonce: phase.nonce,
    expected: phase.expected,
    state: { kind: 'notRun' },
  };
  return {
    progress: { ...refusal.progress, phase: settling },
    actions: [...refusal.actions, { kind: 'retryLater' }],
  };
}

function applyExistingRecord(
  progress: CallProgress,
  current: StoredObject | undefined,
  context: CallContext,
): CallStep {
  // The caller was answered while the claim was in flight, so the record is left unchanged.
  if (progress.answered) return endCall(progress);
  const decision = decideByRecord(progress.call, current, context);
  switch (decision.kind) {
    case 'answer': {
      const answered = answerCaller(progress, decision.outcome);
      return concatenateSteps(answered, endCall(answered.progress));
    }
    case 'claim':
      return writeClaim(progress, decision.expected, context);
    case 'giveUp': {
      const nonce = context.createNonce();
      const { name } = progress;
      const value = { ...decision.record, state: { kind: 'unknown' } };
      const write = {
        kind: 'call-record',
        name,
        expected: decision.expected,
        nonce,
        value,
      } as const;
      return {
        progress: { ...progress, phase: { kind: 'givingUp', nonce } },
        actions: [{ kind: 'write', write, urgency: 'claim' }],
      };
    }
  }
}

/** Handles the result of the write that gives up a lost entry's claim. */
export function handleGiveUpResult(
  progress: CallProgress,
  phase: Phase<'givingUp'>,
  event: WriteEvent,
  context: CallContext,
): CallStep {
  if (event.kind === 'writeFailed') {
    const answered = answerWithFailure(
      progress,
      createFailure('callInProgress', undefined, UNAVAILABLE_RETRY_MS),
    );
    return concatenateSteps(answered, endCall(answered.progress));
  }
  const tookEffect = event.kind === 'conflict' && event.current?.nonce === phase.nonce;
  if (event.kind === 'conflict' && !tookEffect)
    return applyExistingRecord(progress, event.current, context);
  const version =
    event.kind === 'written' ? event.version : (event.current?.version ?? ABSENT_VERSION);
  const reason = 'the entry that ran it was lost';
  const answered = answerWithFailure(progress, createFailure('outcomeUnknown', { reason }));
  return concatenateSteps(answered, endSettled(answered.progress, version));
}
