/**
 * State, events and actions of the state machine for one at-most-once call.
 */
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import type { OnceCall, OnceOutcome, SendOutcome } from './types.js';

export type CallRecordState = CallRecord['state'];

/** The entry, in one incarnation, whose claim allows it to send a call. */
export interface Claimant {
  entry: string;
  incarnation: string;
}

/** Input of the state machine. Write results are matched to their write by its nonce. */
export type CallEvent =
  | { kind: 'written'; nonce: string; version: number }
  | { kind: 'conflict'; nonce: string; current: StoredObject | undefined }
  /** The flag tells whether the write may have left this process and may still take effect. */
  | { kind: 'writeFailed'; nonce: string; failure: Failure; mayTakeEffect: boolean }
  | { kind: 'sendEnded'; outcome: SendOutcome }
  /** The backoff requested by `retryLater` has elapsed. */
  | { kind: 'retryDue' }
  | { kind: 'deadlinePassed' };

/** Result of a write. */
export type WriteEvent = Extract<CallEvent, { nonce: string }>;

/** Side effects requested from the caller of the state machine. */
export type CallAction =
  /** Claims take priority, because a caller waits for them. */
  | { kind: 'write'; write: PlatformWrite; urgency: 'claim' | 'settlement' }
  /** Sends the call to a backend server. Emitted at most once per call. */
  | { kind: 'send' }
  /** Completes the caller's request. Emitted at most once per call. */
  | { kind: 'answer'; outcome: OnceOutcome }
  /** Requests a `retryDue` event after a backoff. */
  | { kind: 'retryLater' }
  /** The final record has been written at `version`. */
  | { kind: 'settled'; version: number };

/** Phase of a call on this entry. */
export type CallPhase =
  | { kind: 'claiming'; nonce: string; expected: number }
  | { kind: 'sending'; nonce: string; version: number }
  /** Already sent, or never to be sent; `state` is being written to the record. */
  | {
      kind: 'settling';
      nonce: string;
      claimNonce: string;
      expected: number;
      state: CallRecordState;
    }
  /** Recording an unknown outcome for a call whose claimant is lost. */
  | { kind: 'givingUp'; nonce: string }
  | { kind: 'ended' };

/** State of a call on one entry. */
export interface CallProgress {
  readonly name: string;
  readonly call: OnceCall;
  readonly phase: CallPhase;
  /** Whether the caller has received its final result. */
  readonly answered: boolean;
}

/** Environment of a state transition. */
export interface CallContext {
  now: Milliseconds;
  claimant: Claimant;
  createNonce(): string;
  /** Whether the claimant of `record` is considered permanently lost. */
  isClaimantLost(record: CallRecord, stored: StoredObject): boolean;
}

/** Result of a state transition. */
export interface CallStep {
  progress: CallProgress;
  actions: readonly CallAction[];
}
