/**
 * Tracking of idle connections of an HTTP server.
 *
 * Prevents a graceful shutdown from truncating responses. Node's `closeIdleConnections` treats a
 * connection as idle once its response has been written, even if part of it is still buffered. Here
 * a connection is busy from the first byte of a request until the last byte of its response has been
 * handed to the operating system.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export interface IdleConnections {
  /** Closes connections without a partially received request or a pending response. */
  closeIdle(): void;
}

/** State of a connection that has carried at least one request. */
interface ConnectionState {
  pendingResponses: number;
  /** `socket.bytesRead` after the last response; it is higher once another request has begun. */
  bytesRead: number;
}

/** Starts tracking connections of `server`. Connections without a request yet are not closed. */
export function trackIdleConnections(server: Server): IdleConnections {
  const states = new Map<Socket, ConnectionState>();

  const getOrCreateState = (socket: Socket): ConnectionState => {
    const existing = states.get(socket);
    if (existing) return existing;
    const created = { pendingResponses: 0, bytesRead: 0 };
    states.set(socket, created);
    socket.once('close', () => states.delete(socket));
    return created;
  };
  server.prependListener('request', ({ socket }, response: ServerResponse) => {
    const state = getOrCreateState(socket);
    state.pendingResponses += 1;
    response.once('close', () => {
      state.pendingResponses -= 1;
      state.bytesRead = socket.bytesRead;
    });
  });

  return {
    closeIdle: () => {
      for (const [socket, { pendingResponses, bytesRead }] of states) {
        if (pendingResponses === 0 && socket.bytesRead === bytesRead) socket.destroy();
      }
    },
  };
}
