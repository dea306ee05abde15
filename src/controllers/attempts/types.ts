/**
 * Events, actions and state of the state machine of one completion.
 */
import type { EngineChunk } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { AttemptEnd, RetryDecision } from '../retries/types.js';

/** An event of the request or of one of its attempts. */
export type AttemptEvent =
  /** The attempt is about to be sent; from now on its bytes may reach the engine. */
  | { kind: 'sent'; attempt: string }
  /** A chunk arrived on the stream of `attempt`. */
  | { kind: 'chunk'; attempt: string; chunk: EngineChunk }
  /** The attempt ended without a stream, or its stream ended without an end chunk. */
  | { kind: 'ended'; attempt: string; end: AttemptEnd }
  /** The result of a `decide` action. */
  | { kind: 'decided'; decision: RetryDecision }
  /** The dispatcher won't send the request, or the engine refuses it permanently. */
  | { kind: 'refused'; failure: Failure }
  | { kind: 'callerGone' }
  /** The grace of the entry's stop is over. */
  | { kind: 'stopping' }
  | { kind: 'deadline' };

/** An action for the caller of the state machine; actions are performed in order. */
export type AttemptAction =
  /** Relay the token to the caller. */
  | { kind: 'relay'; text: string }
  /** The response is complete. Final. */
  | { kind: 'finish'; reason: 'stop' | 'length'; tokens: Tokens }
  /** Fail the request, or end its stream with an error if it has started. Final. */
  | { kind: 'fail'; failure: Failure }
  /** Close the attempt's stream and cancel it at the engine. */
  | { kind: 'cancel'; attempt: string }
  /** Make the retry decision and report it as `decided`. */
  | { kind: 'decide'; end: AttemptEnd }
  /** Hand the request to the dispatcher again after `afterMs`. */
  | { kind: 'ask'; resumeFrom: number; exclude: string; afterMs: Milliseconds };

/** Token counts of a complete response. */
export interface Tokens {
  prompt: number;
  cached: number;
  completion: number;
}

/** The state of one completion across all its attempts. */
export interface AttemptState {
  phase: 'waiting' | 'running' | 'deciding' | 'answered';
  /** The attempt in progress, whose chunks are accepted; undefined when there is none. */
  attempt: string | undefined;
  /** Attempts started so far. */
  attempts: number;
  /** Tokens delivered to the caller; also the offset of the next one. */
  delivered: number;
  /** Whether an earlier attempt may have run, so that "not run" would be false. */
  mayHaveRun: boolean;
}
