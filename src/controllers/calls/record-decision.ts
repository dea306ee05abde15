/**
 * What an existing record means for a request with its key.
 */
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import { IN_PROGRESS_RETRY_MS, UNAVAILABLE_RETRY_MS } from './constants.js';
import type { CallFacts, CallProgress, CallRecordState } from './call-state.js';
import { decodeAnswer, readRecord } from './record.js';
import type { OnceCall, OnceOutcome } from './types.js';

/** What to do about an existing record. */
export type RecordVerdict =
  | { kind: 'answer'; outcome: OnceOutcome }
  /** Proved not to have run: claim it on the version seen. */
  | { kind: 'claim'; expected: number }
  /** Its claimant is lost: record that the outcome is unknown. */
  | { kind: 'giveUp'; expected: number; record: CallRecord };

/** Judges the record that stands where `call` tried to make its own. */
export function judgeRecord(
  call: OnceCall,
  current: StoredObject | undefined,
  facts: CallFacts,
): RecordVerdict {
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
      return judgeState(content.record, current, facts);
  }
}

function judgeState(record: CallRecord, current: StoredObject, facts: CallFacts): RecordVerdict {
  switch (record.state.kind) {
    case 'claimed':
      if (facts.isClaimantLost(record, current)) {
        return { kind: 'giveUp', expected: current.version, record };
      }
      return refuse(createFailure('callInProgress', undefined, IN_PROGRESS_RETRY_MS));
    case 'notRun':
      return { kind: 'claim', expected: current.version };
    case 'answered':
    case 'answerTooLarge':
    case 'unknown':
      return { kind: 'answer', outcome: replaySettled(record.state) };
  }
}

type FinalState = Exclude<CallRecordState, { kind: 'claimed' | 'notRun' }>;

function replaySettled(state: FinalState): OnceOutcome {
  switch (state.kind) {
    case 'answered':
      return { kind: 'answered', answer: decodeAnswer(state), replayed: true };
    case 'answerTooLarge':
      return failed(createFailure('answerNotKept', { status: state.status }));
    case 'unknown': {
      const reason = 'whether an earlier request with this key took effect was never learnt';
      return failed(createFailure('outcomeUnknown', { reason }));
    }
  }
}

/**
 * Whether the record decides about a repeat of `open`, and this entry has yet to learn what it says.
 *
 * Guards against an entry that was paused after its claim: others may have recorded meanwhile that
 * the outcome is unknown, and this one would tell a repeat that the call is in progress. It shows as
 * a call that is open here though its own caller has been answered, because its claim, or the note
 * that it was not run, is under way. What the platform answers to that write tells.
 */
export function isFateOpen({ answered, phase }: CallProgress): boolean {
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
 * What a request is told whose key this entry has open: nothing new is begun for it.
 *
 * @example const outcome = joinOpenCall(open.progress, call);
 */
export function joinOpenCall(open: CallProgress, call: OnceCall): OnceOutcome {
  if (!isSameCall(call, open.call)) return failed(createFailure('keyReused'));
  if (open.phase.kind !== 'settling') return inProgress();
  const { state } = open.phase;
  switch (state.kind) {
    case 'claimed':
      return inProgress();
    case 'notRun': {
      const reason = 'an earlier claim of this key is not settled yet';
      return failed(createFailure('recordUnavailable', { reason }, UNAVAILABLE_RETRY_MS));
    }
    case 'answered':
    case 'answerTooLarge':
    case 'unknown':
      return replaySettled(state);
  }
}

/** Whether a request asks for the very call that a key was used for before. */
export function isSameCall(call: OnceCall, other: CallRecord | OnceCall): boolean {
  return (
    call.workspace === other.workspace &&
    call.service === other.service &&
    call.fingerprint === other.fingerprint
  );
}

function inProgress(): OnceOutcome {
  return failed(createFailure('callInProgress', undefined, IN_PROGRESS_RETRY_MS));
}

function failed(failure: Failure): OnceOutcome {
  return { kind: 'failed', failure };
}

function refuse(failure: Failure): RecordVerdict {
  return { kind: 'answer', outcome: failed(failure) };
}
