/**
 * The messages of the retry decision: what follows when one attempt of a request ended badly.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';

/** How an attempt ended that brought no whole answer. */
export type AttemptEnd =
  /** No byte can have reached the backend server. */
  | { kind: 'notSent'; reason: string }
  /** The backend server refused before anything ran. */
  | { kind: 'refused'; reason: string; retryAfterMs?: Milliseconds }
  /** Sent; the connection broke or timed out before any of the answer. */
  | { kind: 'lost'; reason: string }
  /** The answer broke off after `received` tokens (completions) or bytes (services). */
  | { kind: 'cut'; reason: string; received: number }
  /** The backend server said that the run failed. */
  | { kind: 'failed'; reason: string };

/** One request's history, as the retry decision needs it. */
export interface RetryQuestion {
  end: AttemptEnd;
  /** The backend server or replica that the attempt went to. */
  target: string;
  workspace: string;
  /** May be sent again though it may have run: declared repeatable, or a completion. */
  repeatable: boolean;
  /** A completion that can be resumed from an exact offset. */
  resumable: boolean;
  /** Attempts made so far, this one included. */
  attempts: number;
  deadlineAt: Milliseconds;
  /** An attempt before this one was sent and brought no refusal: it may have run. */
  mayHaveRun?: boolean;
  /** Tokens or bytes of the answer that the caller has by now, from all attempts; 0 when absent. */
  received?: number;
}

export type RetryDecision =
  /** Choose anew, without `exclude`, after `afterMs`. */
  | { kind: 'retry'; afterMs: Milliseconds; exclude: string }
  /** The same, and skip what the caller has. */
  | { kind: 'resume'; afterMs: Milliseconds; exclude: string; from: number }
  /** The final answer, to be given at once. */
  | { kind: 'answer'; failure: Failure };
