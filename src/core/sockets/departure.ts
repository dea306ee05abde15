/**
 * Detects that the caller of a request has left.
 *
 * Node reports the end of a connection to the response that is next in line on it only. Responses to
 * requests that were sent behind another one get no event, and neither does a response whose caller has
 * closed its sending side without reading the rest. Here each request is told of both.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/** One listener for each event of a connection, however many requests it carries. */
function listenersOf(socket: Socket): Set<() => void> {
  const existing = listenersBySocket.get(socket);
  if (existing) return existing;
  const listeners = new Set<() => void>();
  listenersBySocket.set(socket, listeners);
  const notify = (): void => {
    for (const listener of [...listeners]) listener();
  };
  socket.once('end', notify).once('close', notify);
  return listeners;
}

/** Whether the caller of the request has left. */
export function hasLeft({ socket }: IncomingMessage, response: ServerResponse): boolean {
  return socket.destroyed || socket.readableEnded || response.destroyed;
}

/**
 * Calls `listener` once if the caller leaves before its response is complete. Must not be called for a
 * caller that has left already, see {@link hasLeft}.
 */
export function onDeparture(
  { socket }: IncomingMessage,
  response: ServerResponse,
  listener: () => void,
): void {
  const listeners = listenersOf(socket);
  const leave = (): void => {
    listeners.delete(leave);
    response.off('close', leave);
    if (!response.writableFinished) listener();
  };
  listeners.add(leave);
  response.once('close', leave);
}
