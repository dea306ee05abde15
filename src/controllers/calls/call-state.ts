/**
 * Events and actions of the state machine behind one call that may run only once.
 */
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import type { OnceCall, OnceOutcome, SendOutcome } from './types.js';

export type CallRecordState = CallRecord['state'];

/** Who may send a call: one start of one entry. */
export interface Claimant {
  entry: string;
  incarnation: string;
}

/** What happened. Results of writes name the write by its nonce. */
export type CallEvent =
  | { kind: 'written'; nonce: string; version: number }
  | { kind: 'conflict'; nonce: string; current: StoredObject | undefined }
  /** `left` says whether the write left this process, so that it may still take effect. */
  | { kind: 'writeFailed'; nonce: string; failure: Failure; left: boolean }
  | { kind: 'sendEnded'; outcome: SendOutcome }
  /** The time to try an unsettled record again has come. */
  | { kind: 'retryDue' }
  | { kind: 'deadlinePassed' };

/** How a write ended. */
export type WriteEvent = Extract<CallEvent, { nonce: string }>;

/** What the shell has to do. */
export type CallAction =
  /** A claim holds up a caller; a settlement does not. */
  | { kind: 'write'; write: PlatformWrite; urgency: 'claim' | 'settlement' }
  /** Give the call to a backend server: at most once in the life of the state. */
  | { kind: 'send' }
  /** Final for the caller: at most once in the life of the state. */
  | { kind: 'answer'; outcome: OnceOutcome }
  /** Report `retryDue` after the back-off. */
  | { kind: 'retryLater' }
  /** The record stands at `version`; nothing is left to do. */
  | { kind: 'settled'; version: number };

/** Where a call stands. */
export type CallPhase =
  | { kind: 'claiming'; nonce: string; expected: number }
  | { kind: 'sending'; nonce: string; version: number }
  /** Sent, or never to be sent; `state` is what the record is to say. */
  | {
      kind: 'settling';
      nonce: string;
      claimNonce: string;
      expected: number;
      state: CallRecordState;
    }
  /** Recording that the outcome of a call claimed by a lost entry is unknown. */
  | { kind: 'givingUp'; nonce: string }
  | { kind: 'ended' };

/** One call at one entry. */
export interface CallProgress {
  readonly name: string;
  readonly call: OnceCall;
  readonly phase: CallPhase;
  /** The caller has its final answer. */
  readonly answered: boolean;
}

/** What a step may ask beside the event. */
export interface CallFacts {
  now: Milliseconds;
  claimant: Claimant;
  createNonce(): string;
  /** Whether the claimant of `record` is to be taken as gone for good. */
  isClaimantLost(record: CallRecord, stored: StoredObject): boolean;
}

/** The outcome of one step. */
export interface CallStep {
  progress: CallProgress;
  actions: readonly CallAction[];
}
