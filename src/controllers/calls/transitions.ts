/**
 * The moves that the steps of a call are made of: claim, settle, answer, end.
 */
import type { Failure } from '../../core/errors/index.js';
import type {
  CallAction,
  CallFacts,
  CallPhase,
  CallProgress,
  CallRecordState,
  CallStep,
} from './call-state.js';
import { createRecord } from './record.js';
import type { OnceOutcome } from './types.js';

/** `expected` of a write that creates its object. */
export const ABSENT = 0;

export type Phase<Kind extends CallPhase['kind']> = Extract<CallPhase, { kind: Kind }>;

/** Writes a claim on the version `expected`. */
export function claim(progress: CallProgress, expected: number, facts: CallFacts): CallStep {
  const nonce = facts.createNonce();
  const value = createRecord(progress.call, facts.claimant, { kind: 'claimed' });
  const write = { kind: 'call-record', name: progress.name, expected, nonce, value } as const;
  return {
    progress: { ...progress, phase: { kind: 'claiming', nonce, expected } },
    actions: [{ kind: 'write', write, urgency: 'claim' }],
  };
}

/** Writes what the record is to say from now on, on the version of the claim. */
export function settle(
  progress: CallProgress,
  claimNonce: string,
  expected: number,
  state: CallRecordState,
  facts: CallFacts,
): CallStep {
  const nonce = facts.createNonce();
  const phase: Phase<'settling'> = { kind: 'settling', nonce, claimNonce, expected, state };
  return { progress: { ...progress, phase }, actions: [writeSettlement(progress, phase, facts)] };
}

/** The write of a settlement, the same one each time it is tried. */
export function writeSettlement(
  { name, call }: CallProgress,
  { nonce, expected, state }: Phase<'settling'>,
  facts: CallFacts,
): CallAction {
  const value = createRecord(call, facts.claimant, state);
  const write = { kind: 'call-record', name, expected, nonce, value } as const;
  return { kind: 'write', write, urgency: 'settlement' };
}

/** The record stands. */
export function settled(progress: CallProgress, version: number): CallStep {
  return {
    progress: { ...progress, phase: { kind: 'ended' } },
    actions: [{ kind: 'settled', version }],
  };
}

/** Answers the caller, unless that is done already. */
export function answer(progress: CallProgress, outcome: OnceOutcome): CallStep {
  if (progress.answered) return stay(progress);
  return { progress: { ...progress, answered: true }, actions: [{ kind: 'answer', outcome }] };
}

/** Answers the caller with `failure`, unless that is done already. */
export function answerFailure(progress: CallProgress, failure: Failure): CallStep {
  return answer(progress, { kind: 'failed', failure });
}

/** Nothing is left to do. */
export function end(progress: CallProgress): CallStep {
  return { progress: { ...progress, phase: { kind: 'ended' } }, actions: [] };
}

/** Nothing follows from the event. */
export function stay(progress: CallProgress): CallStep {
  return { progress, actions: [] };
}

/** Two moves, one after the other. */
export function join(first: CallStep, second: CallStep): CallStep {
  return { progress: second.progress, actions: [...first.actions, ...second.actions] };
}
