/**
 * Which connections of an HTTP server carry nothing.
 *
 * Guards against a stop that cuts an answer. Node's `closeIdleConnections` takes a connection for
 * idle as soon as its answer has been handed over, though a caller on a slow line has only part of
 * it: it shows as an answer that breaks off at the end of the stop. Here an answer counts until the
 * system has taken its last byte, and a request from its first byte.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The connections of one server. */
export interface IdleConnections {
  /** Closes those on which no request has begun and no answer is under way. */
  closeIdle(): void;
}

/** What a connection that has carried a request does now. */
interface ConnectionUse {
  openAnswers: number;
  /** Bytes read when the last answer had been sent; more of them belong to another request. */
  bytesRead: number;
}

/** Follows the connections of `server` from now on; those without any request yet are left alone. */
export function trackIdleConnections(server: Server): IdleConnections {
  const uses = new Map<Socket, ConnectionUse>();

  const noteRequest = (socket: Socket): ConnectionUse => {
    const known = uses.get(socket);
    if (known) return known;
    const created = { openAnswers: 0, bytesRead: 0 };
    uses.set(socket, created);
    socket.once('close', () => uses.delete(socket));
    return created;
  };
  server.prependListener('request', ({ socket }, response: ServerResponse) => {
    const use = noteRequest(socket);
    use.openAnswers += 1;
    response.once('close', () => {
      use.openAnswers -= 1;
      use.bytesRead = socket.bytesRead;
    });
  });

  return {
    closeIdle: () => {
      for (const [socket, { openAnswers, bytesRead }] of uses) {
        if (openAnswers === 0 && socket.bytesRead === bytesRead) socket.destroy();
      }
    },
  };
}
