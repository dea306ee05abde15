/**
 * Inputs and results of the retry decision.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';

/** How an attempt without a complete response ended. */
export type AttemptEnd =
  /** No byte can have reached the backend server. */
  | { kind: 'notSent'; reason: string }
  /** The backend server refused the request before running any of it. */
  | { kind: 'refused'; reason: string; retryAfterMs?: Milliseconds }
  /** Sent, but the connection broke or timed out before any part of the response arrived. */
  | { kind: 'lost'; reason: string }
  /** The response was cut after `received` tokens (completions) or bytes (services). */
  | { kind: 'cut'; reason: string; received: number }
  /** The backend server reported that the run failed. */
  | { kind: 'failed'; reason: string };

/** The request and its history, as input to the retry decision. */
export interface RetryContext {
  end: AttemptEnd;
  /** The backend server or replica that the attempt went to. */
  target: string;
  workspace: string;
  /** Whether it may be sent again after it may have run: declared repeatable, or a completion. */
  repeatable: boolean;
  /** Whether it is a completion that can be resumed from an exact offset. */
  resumable: boolean;
  /** Attempts made so far, including the one that ended. */
  attempts: number;
  deadlineAt: Milliseconds;
  /** Whether an earlier attempt may have run: it was sent and not refused. */
  mayHaveRun?: boolean;
  /** Tokens or bytes delivered to the caller by all attempts; 0 when absent. */
  received?: number;
}

export type RetryDecision =
  /** Choose a new target other than `exclude` after `afterMs`. */
  | { kind: 'retry'; afterMs: Milliseconds; exclude: string }
  /** Like `retry`, but resume at offset `from`, after what the caller already has. */
  | { kind: 'resume'; afterMs: Milliseconds; exclude: string; from: number }
  /** Fail the request immediately. */
  | { kind: 'answer'; failure: Failure };
