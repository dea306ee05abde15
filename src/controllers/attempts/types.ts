/**
 * The messages of one completion's state machine over its attempts.
 */
import type { EngineChunk } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { AttemptEnd, RetryDecision } from '../retries/types.js';

/** What happened to the request or to one of its attempts. */
export type AttemptEvent =
  /** The attempt is about to be sent; from here on bytes of it may reach the engine. */
  | { kind: 'sent'; attempt: string }
  /** `attempt` names the sending on whose stream the chunk arrived. */
  | { kind: 'chunk'; attempt: string; chunk: EngineChunk }
  /** The attempt ended without a stream, or its stream ended without an end mark. */
  | { kind: 'ended'; attempt: string; end: AttemptEnd }
  /** The answer to a `decide` action. */
  | { kind: 'decided'; decision: RetryDecision }
  /** The dispatcher will not send the request, or the engine refuses it for good. */
  | { kind: 'refused'; failure: Failure }
  | { kind: 'callerGone' }
  | { kind: 'deadline' };

/** What the shell has to do, in the order given. */
export type AttemptAction =
  /** Hand the token to the caller. */
  | { kind: 'relay'; text: string }
  /** The answer is whole. Final. */
  | { kind: 'finish'; reason: 'stop' | 'length'; tokens: Tokens }
  /** The request's only answer, or the end of a stream already begun. Final. */
  | { kind: 'fail'; failure: Failure }
  /** Close the attempt's stream and have the engine forget it. */
  | { kind: 'cancel'; attempt: string }
  /** Ask the retry decision and report it as `decided`. */
  | { kind: 'decide'; end: AttemptEnd }
  /** Offer the request to the dispatcher again, after `afterMs`. */
  | { kind: 'ask'; resumeFrom: number; exclude: string; afterMs: Milliseconds };

/** Tokens of a whole answer. */
export interface Tokens {
  prompt: number;
  cached: number;
  completion: number;
}

/** One completion over all its attempts. */
export interface AttemptState {
  phase: 'waiting' | 'running' | 'deciding' | 'answered';
  /** The attempt whose chunks count; absent while none is under way. */
  attempt: string | undefined;
  attempts: number;
  /** Tokens that the caller has; also the offset of the next one. */
  delivered: number;
  /** An earlier attempt may have run: "not run" can no longer be said. */
  mayHaveRun: boolean;
}
