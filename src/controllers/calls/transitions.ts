/**
 * Basic transitions of the call state machine: claim, settle, answer and end.
 */
import type { Failure } from '../../core/errors/index.js';
import type {
  CallAction,
  CallContext,
  CallPhase,
  CallProgress,
  CallRecordState,
  CallStep,
} from './call-state.js';
import { createRecord } from './record.js';
import type { OnceOutcome } from './types.js';

/** Expected version of a write that creates its object. */
export const ABSENT_VERSION = 0;

export type Phase<Kind extends CallPhase['kind']> = Extract<CallPhase, { kind: Kind }>;

/** Writes a claim on condition that the record has the version `expected`. */
export function writeClaim(
  progress: CallProgress,
  expected: number,
  context: CallContext,
): CallStep {
  const nonce = context.createNonce();
  const value = createRecord(progress.call, context.claimant, { kind: 'claimed' });
  const write = { kind: 'call-record', name: progress.name, expected, nonce, value } as const;
  return {
    progress: { ...progress, phase: { kind: 'claiming', nonce, expected } },
    actions: [{ kind: 'write', write, urgency: 'claim' }],
  };
}

/** Writes the final `state` on condition that the record has the version `expected`. */
export function settleRecord(
  progress: CallProgress,
  claimNonce: string,
  expected: number,
  state: CallRecordState,
  context: CallContext,
): CallStep {
  const nonce = context.createNonce();
  const phase: Phase<'settling'> = { kind: 'settling', nonce, claimNonce, expected, state };
  return {
    progress: { ...progress, phase },
    actions: [createSettlementWrite(progress, phase, context)],
  };
}

/** Creates the settlement write; identical for each attempt. */
export function createSettlementWrite(
  { name, call }: CallProgress,
  { nonce, expected, state }: Phase<'settling'>,
  context: CallContext,
): CallAction {
  const value = createRecord(call, context.claimant, state);
  const write = { kind: 'call-record', name, expected, nonce, value } as const;
  return { kind: 'write', write, urgency: 'settlement' };
}

/** Ends the call after its record has been settled at `version`. */
export function endSettled(progress: CallProgress, version: number): CallStep {
  return {
    progress: { ...progress, phase: { kind: 'ended' } },
    actions: [{ kind: 'settled', version }],
  };
}

/** Answers the caller unless it has been answered already. */
export function answerCaller(progress: CallProgress, outcome: OnceOutcome): CallStep {
  if (progress.answered) return keepState(progress);
  return { progress: { ...progress, answered: true }, actions: [{ kind: 'answer', outcome }] };
}

/** Answers the caller with `failure` unless it has been answered already. */
export function answerWithFailure(progress: CallProgress, failure: Failure): CallStep {
  return answerCaller(progress, { kind: 'failed', failure });
}

/** Ends the call without further actions. */
export function endCall(progress: CallProgress): CallStep {
  return { progress: { ...progress, phase: { kind: 'ended' } }, actions: [] };
}

/** Leaves the state unchanged. */
export function keepState(progress: CallProgress): CallStep {
  return { progress, actions: [] };
}

/** Combines two consecutive transitions. */
export function concatenateSteps(first: CallStep, second: CallStep): CallStep {
  return { progress: second.progress, actions: [...first.actions, ...second.actions] };
}
