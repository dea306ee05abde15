/**
 * Model engines as the entries use them.
 */
import type { ResultAsync } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type {
  CacheEventList,
  EngineChunk,
  EngineRefusal,
  EngineReport,
  EngineRequest,
  Order,
} from './protocol.js';

/** How the sending of a completion began. */
export type CompletionStart =
  | { kind: 'started'; chunks: AsyncIterable<EngineChunk> }
  /** Refused by the engine before anything ran. */
  | { kind: 'refused'; refusal: EngineRefusal }
  /** Not one byte can have reached the engine: no connection could be made. */
  | { kind: 'notSent'; reason: string }
  /** Sent, at least in part, and no usable answer came. */
  | { kind: 'lost'; reason: string };

export type EngineFailure = Failure<'unreachable' | 'messageInvalid' | 'orderRefused'>;

/** The process of an engine instance. */
export interface EngineProcess {
  instance: string;
  /** Undefined if any process of the instance will do. */
  incarnation?: string;
}

/** Whether a process has ended: nothing or another process listens at its address. */
export type ProcessCheck = 'ended' | 'alive' | 'unconfirmed';

/** What can be asked of one engine instance, at its `host:port` address. */
export interface Engines {
  health(address: string, timeoutMs: Milliseconds): ResultAsync<EngineReport, EngineFailure>;
  checkProcess(
    address: string,
    process: EngineProcess,
    timeoutMs: Milliseconds,
  ): Promise<ProcessCheck>;
  /** `timeoutMs` bounds the whole call: an order older than that is not delivered by this entry. */
  order(
    address: string,
    order: Order,
    timeoutMs: Milliseconds,
  ): ResultAsync<EngineReport, EngineFailure>;
  /** The iterable of a started completion ends on `end` or `error` and throws nothing: a cut is an `error` chunk. */
  complete(address: string, request: EngineRequest, signal: AbortSignal): Promise<CompletionStart>;
  cancel(address: string, attempt: string): ResultAsync<void, EngineFailure>;
  cacheEvents(address: string, since: number): ResultAsync<CacheEventList, EngineFailure>;
}
