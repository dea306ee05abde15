/**
 * The messages of calls that may run only once.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';

export interface HeaderField {
  name: string;
  value: string;
}

/** A stored or fresh answer of a plain service, whole. */
export interface StoredAnswer {
  status: number;
  headers: readonly HeaderField[];
  body: Uint8Array;
}

/** Which call it is. */
export interface OnceCall {
  workspace: string;
  service: string;
  /** The caller's Idempotency-Key. */
  key: string;
  /** Hash of method, path and body. */
  fingerprint: string;
  /** When the caller is given up, by this process's clock; absent for never. */
  deadlineAt?: Milliseconds;
}

/** How the one sending ended. */
export type SendOutcome =
  | { kind: 'answered'; answer: StoredAnswer }
  /** Proved not to have reached any backend server. */
  | { kind: 'notRun'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** What the caller gets. */
export type OnceOutcome =
  | { kind: 'answered'; answer: StoredAnswer; replayed: boolean }
  | { kind: 'failed'; failure: Failure };

/** Runs a call at most once over all entries. `send` is called at most once for each `run`. */
export interface OnceCalls {
  run(call: OnceCall, send: () => Promise<SendOutcome>): Promise<OnceOutcome>;
}
