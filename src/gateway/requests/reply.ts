/**
 * The caller's side of one exchange.
 */
import type { ServerResponse } from 'node:http';
import { renderFailure } from '../../adapters/callers/answers.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { ERRORS, type Failure } from '../../core/errors/index.js';
import { hardReset } from '../../core/sockets/index.js';

/** An answer to one request. Exactly one of `sendWhole`, `fail`, `end` or `cut` ends it. */
export interface Reply {
  /** Nothing of the answer has been sent yet. */
  readonly isUnsent: boolean;
  sendWhole(status: number, headers: readonly string[], body: Buffer): void;
  /**
   * Starts an answer whose length is not known. `endsWithConnection`: it has no other mark of its
   * end, as it had none when it came.
   */
  begin(status: number, headers: readonly string[], endsWithConnection: boolean): void;
  /** False when the caller reads more slowly than data comes; `onDrain` tells when to go on. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Answers with a failure of our own. */
  fail(failure: Failure, requestId: string): void;
  /** Ends the connection: what was sent must not look whole. */
  cut(): void;
}

const MS_PER_SECOND = 1_000;
/** For the rest of a body that nobody reads: what callers' sockets and links hold is through by then. */
const LINGER_MS: Milliseconds = 1_000;

export function createReply(response: ServerResponse, isStopping: () => boolean): Reply {
  const closing = (): string[] => (isStopping() ? ['Connection', 'close'] : []);
  let isEndedByConnection = false;
  return {
    get isUnsent() {
      return !response.headersSent;
    },
    sendWhole: (status, headers, body) => {
      const length = ['Content-Length', String(body.length)];
      response.writeHead(status, [...headers, ...length, ...closing()]);
      response.end(body);
    },
    begin: (status, headers, endsWithConnection) => {
      isEndedByConnection = endsWithConnection;
      if (endsWithConnection) response.useChunkedEncodingByDefault = false;
      const close = endsWithConnection ? ['Connection', 'close'] : closing();
      response.writeHead(status, [...headers, ...close]);
    },
    write: (bytes) => response.write(bytes),
    onDrain: (listener) => {
      response.once('drain', listener);
    },
    end: () => {
      response.end();
    },
    fail: (failure, requestId) => {
      const body = Buffer.from(JSON.stringify(renderFailure(failure, requestId)));
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
      if (failure.retryAfterMs !== undefined) {
        // Fractions: a whole second is most of what a caller at a gate has left.
        headers.push('Retry-After', (failure.retryAfterMs / MS_PER_SECOND).toFixed(2));
      }
      response.writeHead(ERRORS[failure.kind].status, [...headers, ...closing()]);
      if (isStopping() && !response.req.complete) endAfterBody(response, body);
      else response.end(body);
    },
    cut: () => {
      // A regular close is the proper end of an answer that ends with its connection.
      if (isEndedByConnection) hardReset(response.socket);
      else response.destroy();
    },
  };
}

/**
 * Sends a whole answer now and closes the connection once the rest of the request has come.
 *
 * Guards against an answer that its caller never sees: a socket that is closed with bytes unread
 * resets the connection, and the reset overtakes what was sent.
 */
function endAfterBody(response: ServerResponse, body: Buffer): void {
  response.write(body);
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  response.req.once('close', end);
  response.req.resume();
}
