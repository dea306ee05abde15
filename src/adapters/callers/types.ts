/**
 * What the callers' side asks of the request path, and how answers get back.
 */
import type { Readable } from 'node:stream';
import type { Result } from 'neverthrow';
import type { Message } from '../engines/protocol.js';
import type { Caller, Credentials, Tokens } from '../../controllers/attempts/index.js';
import type { HeaderField, StoredAnswer } from '../../controllers/calls/types.js';
import type { Failure } from '../../core/errors/index.js';
import type { ServiceAnswer } from '../services/types.js';

/** What every request carries. */
export interface RequestHead {
  /** Given by this entry; in the answer as X-Request-Id. */
  id: string;
  caller: Caller;
  /**
   * Aborted when the caller closes the connection before its answer is whole, or when the grace of a
   * stop is over before that.
   */
  signal: AbortSignal;
}

export interface CompletionRequest extends RequestHead {
  model: string;
  messages: readonly Message[];
  maxTokens: number;
  /** Absent: the request path chooses one, the same for all attempts. */
  seed: number | undefined;
}

/** Takes the tokens of an answer, in order. */
export interface TokenOutput {
  /** Resolves when the caller can take more; undefined when it can at once. */
  relay(text: string): Promise<void> | undefined;
}

export type CompletionOutcome =
  | { kind: 'whole'; reason: 'stop' | 'length'; tokens: Tokens }
  | { kind: 'failed'; failure: Failure };

/** The body of a service call, not read yet. Use either function, once. */
export interface CallBody {
  /** Declared length; absent for chunks. */
  bytes: number | undefined;
  /** The whole body, unless it is larger than `maxBytes` or comes too slowly. */
  readWhole(maxBytes: number): Promise<Result<Uint8Array, Failure>>;
  /** The body as it comes. Nothing has been read while its `readableDidRead` is false. */
  stream: Readable;
}

export interface ServiceCall extends RequestHead {
  service: string;
  method: string;
  /** Below `/services/<name>`, without query. */
  path: string;
  /** With the leading `?`, or empty. */
  query: string;
  /** Without hop-by-hop fields and without credentials that were used here. */
  headers: readonly HeaderField[];
  /** Absent when the request has none. */
  body: CallBody | undefined;
  idempotencyKey: string | undefined;
}

/** Takes the answer of a service call; at most one of its functions is called, once. */
export interface ServiceOutput {
  /** Resolves when the caller has the whole answer, it broke off or the caller is gone. */
  relay(answer: ServiceAnswer): Promise<'whole' | 'cut' | 'callerGone'>;
  send(answer: StoredAnswer, replayed: boolean): void;
}

/** The request path as the callers' side uses it. */
export interface RequestPath {
  identify(credentials: Credentials): Result<Caller, Failure>;
  listModels(caller: Caller): readonly string[];
  complete(request: CompletionRequest, output: TokenOutput): Promise<CompletionOutcome>;
  /** The failure to answer with when nothing was handed to `output`. */
  callService(call: ServiceCall, output: ServiceOutput): Promise<Failure | undefined>;
}
