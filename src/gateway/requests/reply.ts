/**
 * The HTTP response to a caller.
 */
import type { ServerResponse } from 'node:http';
import { renderFailure } from '../../adapters/callers/answers.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { ERRORS, type Failure } from '../../core/errors/index.js';
import { acceptsChunks, HeldBody, type AnswerBudget } from '../../core/responses/index.js';

/** The response to one request; ended by exactly one of `send`, `sendFailure`, `end` or `abort`. */
export interface Reply {
  /** No byte of the response has been sent yet. */
  readonly isUnsent: boolean;
  /** Sends a complete response with a `Content-Length`. */
  send(status: number, headers: readonly string[], body: Buffer): void;
  /** Starts a response of unknown length, whose end is marked by its last chunk. */
  start(status: number, headers: readonly string[]): void;
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

/** A response that is sent when it is complete, because its caller can't read chunks. */
interface HeldResponse {
  status: number;
  headers: readonly string[];
  body: HeldBody;
}

/**
 * `closesConnection` is asked when the head is sent: whether it says that the connection closes. `answers`
 * bounds the responses that are held.
 */
export function createReply(
  response: ServerResponse,
  closesConnection: () => boolean,
  answers: AnswerBudget,
): Reply {
  const closeHeaders = (): string[] => (closesConnection() ? ['Connection', 'close'] : []);
  const send = (status: number, headers: readonly string[], body: Buffer): void => {
    const length = ['Content-Length', String(body.length)];
    response.writeHead(status, [...headers, ...length, ...closeHeaders()]);
    response.end(body);
  };
  let held: HeldResponse | undefined;
  return {
    get isUnsent() {
      return !response.headersSent;
    },
    send,
    start: (status, headers) => {
      if (acceptsChunks(response.req)) response.writeHead(status, [...headers, ...closeHeaders()]);
      else held ??= { status, headers, body: new HeldBody(response, answers) };
    },
    write: (bytes) => {
      if (!held) return response.write(bytes);
      if (!held.body.add(bytes)) response.destroy();
      return true;
    },
    onDrain: (listener) => {
      response.once('drain', listener);
    },
    end: () => {
      if (held) send(held.status, held.headers, held.body.concat());
      else response.end();
    },
    sendFailure: (failure, requestId) => {
      const body = Buffer.from(JSON.stringify(renderFailure(failure, requestId)));
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
      if (failure.retryAfterMs !== undefined) {
        // Fractional seconds: callers with short deadlines can't wait for a whole second.
        headers.push('Retry-After', (failure.retryAfterMs / MS_PER_SECOND).toFixed(2));
      }
      const closing = closeHeaders();
      response.writeHead(ERRORS[failure.kind].status, [...headers, ...closing]);
      if (closing.length > 0 && !response.req.complete) endAfterRequestBody(response, body);
      else response.end(body);
    },
    abort: () => {
      response.destroy();
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
