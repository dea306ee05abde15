/**
 * Decides how to handle a request whose key already has a record or an open call.
 */
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import { IN_PROGRESS_RETRY_MS, UNAVAILABLE_RETRY_MS } from './constants.js';
import type { CallContext, CallProgress, CallRecordState } from './call-state.js';
import { decodeAnswer, readRecord } from './record.js';
import type { OnceCall, OnceOutcome } from './types.js';

/** How to proceed with an existing record. */
export type RecordDecision =
  | { kind: 'answer'; outcome: OnceOutcome }
  /** The call is known not to have run: claim the record at the version read. */
  | { kind: 'claim'; expected: number }
  /** The claimant is lost: record that the outcome is unknown. */
  | { kind: 'giveUp'; expected: number; record: CallRecord };

/** Decides how `call` proceeds after its claim conflicted with the record `current`. */
export function decideByRecord(
  call: OnceCall,
  current: StoredObject | undefined,
  context: CallContext,
): RecordDecision {
  if (current === undefined) {
    const reason = 'the record was removed while it was claimed';
    return refuse(createFailure('recordUnavailable', { reason }, UNAVAILABLE_RETRY_MS));
  }
  const content = readRecord(current);
  switch (content.kind) {
    case 'expired':
      return refuse(createFailure('keyExpired'));
    case 'invalid': {
      const reason = 'its call record is of another version of this program';
      return refuse(createFailure('messageInvalid', { from: 'the platform', reason }));
    }
    case 'record':
      if (!isSameCall(call, content.record)) return refuse(createFailure('keyReused'));
      return decideByState(content.record, current, context);
  }
}

function decideByState(
  record: CallRecord,
  current: StoredObject,
  context: CallContext,
): RecordDecision {
  switch (record.state.kind) {
    case 'claimed':
      if (context.isClaimantLost(record, current)) {
        return { kind: 'giveUp', expected: current.version, record };
      }
      return refuse(createFailure('callInProgress', undefined, IN_PROGRESS_RETRY_MS));
    case 'notRun':
      return { kind: 'claim', expected: current.version };
    case 'answered':
    case 'answerTooLarge':
    case 'unknown':
      return { kind: 'answer', outcome: replayFinalState(record.state) };
  }
}

type FinalState = Exclude<CallRecordState, { kind: 'claimed' | 'notRun' }>;

function replayFinalState(state: FinalState): OnceOutcome {
  switch (state.kind) {
    case 'answered':
      return { kind: 'answered', answer: decodeAnswer(state), replayed: true };
    case 'answerTooLarge':
      return failCall(createFailure('answerNotKept', { status: state.status }));
    case 'unknown': {
      const reason = 'whether an earlier request with this key took effect was never learnt';
      return failCall(createFailure('outcomeUnknown', { reason }));
    }
  }
}

/**
 * Returns whether a retry has to wait for the result of a write that is still in flight.
 *
 * Applies to calls whose own caller has been answered while the claim or the `notRun` settlement is
 * pending. If this entry was paused, another one may have recorded an unknown outcome meanwhile, so
 * reporting the call as in progress could be wrong.
 */
export function isOutcomePending({ answered, phase }: CallProgress): boolean {
  if (!answered) return false;
  switch (phase.kind) {
    case 'claiming':
      return true;
    case 'settling':
      return phase.state.kind === 'notRun';
    case 'sending':
    case 'givingUp':
    case 'ended':
      return false;
  }
}

/**
 * Returns the outcome of a request whose key already has an open call on this entry.
 *
 * @example const outcome = resolveOpenCall(open.progress, call);
 */
export function resolveOpenCall(open: CallProgress, call: OnceCall): OnceOutcome {
  if (!isSameCall(call, open.call)) return failCall(createFailure('keyReused'));
  if (open.phase.kind !== 'settling') return failInProgress();
  const { state } = open.phase;
  switch (state.kind) {
    case 'claimed':
      return failInProgress();
    case 'notRun': {
      const reason = 'an earlier claim of this key is not settled yet';
      return failCall(createFailure('recordUnavailable', { reason }, UNAVAILABLE_RETRY_MS));
    }
    case 'answered':
    case 'answerTooLarge':
    case 'unknown':
      return replayFinalState(state);
  }
}

/** Whether `call` is the same request as the earlier one with its key. */
export function isSameCall(call: OnceCall, earlier: CallRecord | OnceCall): boolean {
  return (
    call.workspace === earlier.workspace &&
    call.service === earlier.service &&
    call.fingerprint === earlier.fingerprint
  );
}

function failInProgress(): OnceOutcome {
  return failCall(createFailure('callInProgress', undefined, IN_PROGRESS_RETRY_MS));
}

function failCall(failure: Failure): OnceOutcome {
  return { kind: 'failed', failure };
}

function refuse(failure: Failure): RecordDecision {
  return { kind: 'answer', outcome: failCall(failure) };
}
