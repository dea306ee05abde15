/**
 * Bounds what a connection receives, for peers that may send without end.
 *
 * HTTP parsers skip some bytes without telling anybody, such as blank lines before a response, a long
 * reason phrase, interim responses and chunk extensions. On a fast link such bytes would keep the process
 * busy until the call times out.
 */
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import type { Milliseconds } from '../clock/index.js';
import { createConnector } from './connector.js';

/** Ends the connection with an error as soon as `findExcess` returns the reason. */
export function watchReceivedBytes(socket: Socket, findExcess: () => string | undefined): void {
  socket.on('readable', () => {
    const reason = findExcess();
    if (reason !== undefined && !socket.destroyed) socket.destroy(new Error(reason));
  });
}

const WINDOW_MS: Milliseconds = 1_000;

/** A connector whose connections end when one receives more than `maxBytes` within a second. */
export function createBoundedConnector(
  timeoutMs: Milliseconds,
  maxBytes: number,
): buildConnector.connector {
  const connect = createConnector(timeoutMs);
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) limitRate(socket, maxBytes);
      callback(...result);
    });
  };
}

function limitRate(socket: Socket, maxBytes: number): void {
  let windowStart = performance.now();
  let bytesAtStart = 0;
  watchReceivedBytes(socket, () => {
    const now = performance.now();
    if (now - windowStart >= WINDOW_MS) {
      windowStart = now;
      bytesAtStart = socket.bytesRead;
    }
    const isExceeded = socket.bytesRead - bytesAtStart > maxBytes;
    return isExceeded ? `more than ${maxBytes} bytes within a second` : undefined;
  });
}
