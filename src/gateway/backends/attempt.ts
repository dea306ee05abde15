/**
 * One sending of a request to one backend server.
 */
import type { Dispatcher } from 'undici';
import type { AnswerHead, RequestDialect } from '../../ports/index.js';
import type { BackendConnection } from './connection.js';
import type { BackendAddress, ConnectionPool } from './pool.js';

/** A request as it is sent. */
export interface AttemptRequest {
  to: BackendAddress;
  method: string;
  path: string;
  headers: string[];
  body: Buffer | undefined;
  /** The id that the answer must carry. */
  requestId: string | undefined;
  /** Take a connection that was never used: it can't be one that the other side has closed. */
  fresh: boolean;
}

/** The head of an answer that belongs to the request. */
export interface AttemptResponse extends AnswerHead {
  status: number;
  headers: string[];
  /** How the end of the body is told: by its length, by chunks, or by the end of the connection. */
  framing: 'length' | 'chunks' | 'connection';
}

/** Why there is no whole answer. */
export type AttemptFailure =
  /** No byte of the request can have been sent. */
  | { kind: 'notSent'; reason: string }
  /** The backend server may have run the request. */
  | { kind: 'broken'; reason: string };

/** What is told of an attempt: a head, data and an end, or a failure at any point. */
export interface AttemptObserver {
  onResponse(answer: AttemptResponse): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** A sending that is under way. */
export interface Attempt {
  to: BackendAddress;
  /** Ends it without a word to the observer; the backend server sees its connection close. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Sends requests over the connections of `pool`. */
export type AttemptSender = (request: AttemptRequest, observer: AttemptObserver) => Attempt;

export function createAttemptSender(pool: ConnectionPool, dialect: RequestDialect): AttemptSender {
  return (request, observer) => new RunningAttempt(request, observer, pool, dialect).start();
}

/** Drives one request on one connection. */
class RunningAttempt implements Attempt, Dispatcher.DispatchHandler {
  readonly to: BackendAddress;
  private readonly connection: BackendConnection;
  private controller: Dispatcher.DispatchController | undefined;
  private isOver = false;
  private framing: AttemptResponse['framing'] = 'length';
  private bytes = 0;
  private expectedBytes: number | undefined;
  private closesAfter = false;

  constructor(
    private readonly request: AttemptRequest,
    private readonly observer: AttemptObserver,
    private readonly pool: ConnectionPool,
    private readonly dialect: RequestDialect,
  ) {
    this.to = request.to;
    this.connection = pool.acquire(request.to, request.fresh);
  }

  start(): this {
    const { method, path, headers, body } = this.request;
    try {
      this.connection.client.dispatch(
        {
          method,
          path,
          headers,
          body: body ?? null,
          // Nothing is sent a second time by the library.
          idempotent: false,
        },
        this,
      );
    } catch (error) {
      this.fail(error);
    }
    return this;
  }

  cancel(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.discard();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isOver || status < 200) return;
    const headers = readRawHeaders(controller.rawHeaders);
    const head = this.dialect.decodeAnswer(status, headers);
    const { requestId } = this.request;
    // A late answer to an earlier request of this connection arrives where ours is due.
    const isForeign = head.requestId === undefined ? !head.notRun : head.requestId !== requestId;
    if (requestId !== undefined && isForeign) {
      this.fail(new Error(`the answer carries the id ${head.requestId ?? '(none)'}`));
      return;
    }
    this.readFraming(headers);
    this.observer.onResponse({ ...head, status, headers, framing: this.framing });
  }

  private readFraming(headers: readonly string[]): void {
    const length = findHeader(headers, 'content-length');
    const isChunked = findHeader(headers, 'transfer-encoding') !== undefined;
    this.framing = isChunked ? 'chunks' : length === undefined ? 'connection' : 'length';
    this.expectedBytes = this.framing === 'length' ? Number(length) : undefined;
    const connection = findHeader(headers, 'connection') ?? '';
    this.closesAfter = this.framing === 'connection' || /close/i.test(connection);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bytes += chunk.length;
    if (!this.isOver) this.observer.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.isOver) return;
    if (this.framing === 'connection' && this.connection.state.reset) {
      this.fail(new Error('the connection was reset before the end'));
      return;
    }
    if (this.expectedBytes !== undefined && this.bytes !== this.expectedBytes) {
      this.fail(new Error(`the body has ${this.bytes} of ${this.expectedBytes} bytes`));
      return;
    }
    this.isOver = true;
    if (this.closesAfter) this.discard();
    else this.pool.release(this.to, this.connection);
    this.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  private fail(error: unknown): void {
    if (this.isOver) return;
    this.isOver = true;
    const reason = error instanceof Error ? error.message : 'unknown error';
    const wasSent = this.connection.state.connected;
    this.discard();
    this.observer.onFailure({ kind: wasSent ? 'broken' : 'notSent', reason });
  }

  private discard(): void {
    this.connection.state.ended = true;
    void this.connection.client.destroy();
  }
}

function readRawHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

function findHeader(headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}
