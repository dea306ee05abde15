/**
 * The HTTP response to a caller.
 */
import type { ServerResponse } from 'node:http';
import { renderFailure } from '../../adapters/callers/answers.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { ERRORS, type Failure } from '../../core/errors/index.js';
import { hardReset } from '../../core/sockets/index.js';

/** The response to one request; ended by exactly one of `send`, `sendFailure`, `end` or `abort`. */
export interface Reply {
  /** No byte of the response has been sent yet. */
  readonly isUnsent: boolean;
  /** Sends a complete response with a `Content-Length`. */
  send(status: number, headers: readonly string[], body: Buffer): void;
  /**
   * Starts a response of unknown length: close-delimited if `isCloseDelimited`, otherwise with
   * chunked encoding.
   */
  start(status: number, headers: readonly string[], isCloseDelimited: boolean): void;
  /** Returns false when the write buffer is full; `onDrain` signals when to continue. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Sends an error response of the gateway. */
  sendFailure(failure: Failure, requestId: string): void;
  /** Closes the connection so that the caller sees an incomplete response. */
  abort(): void;
}

const MS_PER_SECOND = 1_000;
/** Longest wait for the rest of a request body that is not used. */
const LINGER_MS: Milliseconds = 1_000;

export function createReply(response: ServerResponse, isShuttingDown: () => boolean): Reply {
  const closeHeaders = (): string[] => (isShuttingDown() ? ['Connection', 'close'] : []);
  let isCloseDelimited = false;
  return {
    get isUnsent() {
      return !response.headersSent;
    },
    send: (status, headers, body) => {
      const length = ['Content-Length', String(body.length)];
      response.writeHead(status, [...headers, ...length, ...closeHeaders()]);
      response.end(body);
    },
    start: (status, headers, closeDelimited) => {
      isCloseDelimited = closeDelimited;
      if (closeDelimited) response.useChunkedEncodingByDefault = false;
      const close = closeDelimited ? ['Connection', 'close'] : closeHeaders();
      response.writeHead(status, [...headers, ...close]);
    },
    write: (bytes) => response.write(bytes),
    onDrain: (listener) => {
      response.once('drain', listener);
    },
    end: () => {
      response.end();
    },
    sendFailure: (failure, requestId) => {
      const body = Buffer.from(JSON.stringify(renderFailure(failure, requestId)));
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
      if (failure.retryAfterMs !== undefined) {
        // Fractional seconds: callers with short deadlines can't wait for a whole second.
        headers.push('Retry-After', (failure.retryAfterMs / MS_PER_SECOND).toFixed(2));
      }
      response.writeHead(ERRORS[failure.kind].status, [...headers, ...closeHeaders()]);
      if (isShuttingDown() && !response.req.complete) endAfterRequestBody(response, body);
      else response.end(body);
    },
    abort: () => {
      // A regular close would mark a close-delimited response as complete.
      if (isCloseDelimited) hardReset(response.socket);
      else response.destroy();
    },
  };
}

/**
 * Sends the response and closes the connection once the rest of the request body was received.
 *
 * Closing a socket with unread bytes resets the connection, and the caller may lose the response.
 */
function endAfterRequestBody(response: ServerResponse, body: Buffer): void {
  response.write(body);
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  response.req.once('close', end);
  response.req.resume();
}
