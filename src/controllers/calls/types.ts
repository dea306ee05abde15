/**
 * Requests and outcomes of at-most-once calls.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';

export interface HeaderField {
  name: string;
  value: string;
}

/** The complete response of a service, either fresh or read from a call record. */
export interface StoredAnswer {
  status: number;
  headers: readonly HeaderField[];
  body: Uint8Array;
}

/** Identifies a call and its caller's deadline. */
export interface OnceCall {
  workspace: string;
  service: string;
  /** Value of the caller's Idempotency-Key header. */
  key: string;
  /** Hash of the request's method, path and body. */
  fingerprint: string;
  /** Deadline of the caller on this process's clock; absent if there is none. */
  deadlineAt?: Milliseconds;
}

/** Result of sending the call to a backend server. */
export type SendOutcome =
  | { kind: 'answered'; answer: StoredAnswer }
  /** The call is known not to have reached any backend server. */
  | { kind: 'notRun'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** Final result for the caller. */
export type OnceOutcome =
  | { kind: 'answered'; answer: StoredAnswer; replayed: boolean }
  | { kind: 'failed'; failure: Failure };

/** Runs each call at most once across all entries. Each `run` calls `send` at most once. */
export interface OnceCalls {
  run(call: OnceCall, send: () => Promise<SendOutcome>): Promise<OnceOutcome>;
}
