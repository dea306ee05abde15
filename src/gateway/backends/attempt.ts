/**
 * One attempt to send a request to one backend server.
 */
import type { Dispatcher } from 'undici';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { isFinalStatus, isInterimStatus } from '../../core/responses/index.js';
import type { ResponseHead, RequestCodec, ServerNotice } from '../../ports/index.js';
import { countFromRequest, type BackendConnection } from './connection.js';
import type { BackendAddress, ConnectionPool } from './pool.js';

/** A request to a backend server. */
export interface AttemptRequest {
  server: BackendAddress;
  method: string;
  path: string;
  headers: string[];
  body: Buffer | undefined;
  /** The id that the response must echo. */
  requestId: string | undefined;
  /** Don't reuse a connection, because the server may just have closed an idle one. */
  requiresNewConnection: boolean;
  /**
   * Nothing is sent after this moment, as when the connection took too long to open. Asked right before
   * sending, because the gateway may have been told to stop meanwhile.
   */
  sendUntil: () => Milliseconds;
}

/** The head of a response that belongs to the request. */
export interface AttemptResponse extends ResponseHead {
  status: number;
  headers: string[];
  /** How the end of the body is marked: content length, chunked encoding, or connection close. */
  framing: 'length' | 'chunks' | 'connection';
}

/** Why there is no complete response. */
export type AttemptFailure =
  /** No byte of the request was sent, because the backend server could not be connected to. */
  | { kind: 'notSent'; reason: string }
  /** No byte of the request was sent, because no other gateway could relay it. */
  | { kind: 'notRelayed'; reason: string }
  /** No byte of the request was sent, because too little time was left by then. */
  | { kind: 'tooLate'; reason: string }
  /** The backend server may have run the request. */
  | { kind: 'broken'; reason: string };

/** Receives the events of an attempt: head, data and end, or a failure at any point. */
export interface AttemptObserver {
  /** Called before `onResponse`, also for a response that belongs to another request. */
  onNotice(notice: ServerNotice): void;
  onResponse(response: AttemptResponse): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt in flight. */
export interface Attempt {
  server: BackendAddress;
  /** Whether another gateway relays it. */
  isRelayed: boolean;
  /** When it was written to an open connection; absent before. */
  writtenAt: Milliseconds | undefined;
  /** Closes the connection without notifying the observer. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Reason of a failure of the kind `tooLate`. */
export const TOO_LATE_REASON = 'too little time was left when the connection was open';

/** Starts an attempt. */
export type AttemptSender = (request: AttemptRequest, observer: AttemptObserver) => Attempt;

/**
 * Creates the sender of attempts over connections of this gateway. `onNewConnection` is called with
 * each server that has responded over a connection that was opened for the request.
 */
export function createAttemptSender(
  pool: ConnectionPool,
  codec: RequestCodec,
  clock: Clock,
  onNewConnection: (server: string) => void,
): AttemptSender {
  return (request, observer) => {
    const attempt = new RunningAttempt(request, observer, pool, codec, clock, onNewConnection);
    return attempt.start();
  };
}

/** Dispatches one request on one connection. */
class RunningAttempt implements Attempt, Dispatcher.DispatchHandler {
  readonly server: BackendAddress;
  readonly isRelayed = false;
  writtenAt: Milliseconds | undefined;
  private readonly connection: BackendConnection;
  private controller: Dispatcher.DispatchController | undefined;
  private isFinished = false;
  private framing: AttemptResponse['framing'] = 'length';
  private receivedBytes = 0;
  private expectedBytes: number | undefined;
  private closeAfterResponse = false;

  constructor(
    private readonly request: AttemptRequest,
    private readonly observer: AttemptObserver,
    private readonly pool: ConnectionPool,
    private readonly codec: RequestCodec,
    private readonly clock: Clock,
    private readonly onNewConnection: (server: string) => void,
  ) {
    this.server = request.server;
    this.connection = pool.acquire(request.server, request.requiresNewConnection);
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
          // Keeps undici from retrying the request.
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
    if (this.isFinished) return;
    this.isFinished = true;
    this.closeConnection();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  /** Called before the first byte is written; once `abort` was called, none is. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    countFromRequest(this.connection.state);
    if (this.isFinished) return;
    const now = this.clock.now();
    if (now <= this.request.sendUntil()) {
      this.writtenAt = now;
      return;
    }
    this.end({ kind: 'tooLate', reason: TOO_LATE_REASON });
    controller.abort(new Error(TOO_LATE_REASON));
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isFinished || isInterimStatus(status)) return;
    if (!isFinalStatus(status)) {
      this.fail(new Error(`the answer has the status ${status}`));
      return;
    }
    const headers = readRawHeaders(controller.rawHeaders);
    if (this.connection.state.isFirstUse) this.onNewConnection(this.server.id);
    const head = this.codec.decodeResponse(status, headers);
    this.observer.onNotice(head.notice);
    const { requestId } = this.request;
    // Guards against a late response to an earlier request on this connection.
    const isOtherRequest =
      head.requestId === undefined ? !head.notRun : head.requestId !== requestId;
    if (requestId !== undefined && isOtherRequest) {
      this.fail(new Error(`the answer carries the id ${head.requestId ?? '(none)'}`));
      return;
    }
    const framing = readFraming(headers);
    this.framing = framing.kind;
    this.expectedBytes = framing.bytes;
    this.closeAfterResponse = framing.closesConnection;
    this.observer.onResponse({ ...head, status, headers, framing: this.framing });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    this.connection.state.received.body += chunk.length;
    if (!this.isFinished) this.observer.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    if (this.framing === 'connection' && this.connection.state.reset) {
      this.fail(new Error('the connection was reset before the end'));
      return;
    }
    if (this.expectedBytes !== undefined && this.receivedBytes !== this.expectedBytes) {
      this.fail(new Error(`the body has ${this.receivedBytes} of ${this.expectedBytes} bytes`));
      return;
    }
    this.isFinished = true;
    if (this.closeAfterResponse) this.closeConnection();
    else this.pool.release(this.server, this.connection);
    this.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  private fail(error: unknown): void {
    const reason = error instanceof Error ? error.message : 'unknown error';
    const mayHaveBeenSent = this.connection.state.connected;
    this.end({ kind: mayHaveBeenSent ? 'broken' : 'notSent', reason });
  }

  private end(failure: AttemptFailure): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.closeConnection();
    this.observer.onFailure(failure);
  }

  private closeConnection(): void {
    this.connection.state.ended = true;
    void this.connection.client.destroy();
  }
}

/** How the end of a response is marked. */
interface ResponseFraming {
  kind: AttemptResponse['framing'];
  /** Length of the body if it is known. */
  bytes: number | undefined;
  closesConnection: boolean;
}

function readFraming(headers: readonly string[]): ResponseFraming {
  const contentLength = findHeader(headers, 'content-length');
  const isChunked = findHeader(headers, 'transfer-encoding') !== undefined;
  const kind = isChunked ? 'chunks' : contentLength === undefined ? 'connection' : 'length';
  const bytes = kind === 'length' ? Number(contentLength) : undefined;
  const connection = findHeader(headers, 'connection') ?? '';
  return { kind, bytes, closesConnection: kind === 'connection' || /close/i.test(connection) };
}

export function readRawHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

function findHeader(headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}
