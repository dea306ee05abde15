/**
 * Closing of TCP connections with a reset.
 */
import type { Socket } from 'node:net';

/**
 * Closes the connection with a TCP reset (RST), without sending a FIN first.
 *
 * Node's `resetAndDestroy` ends the writable side first, which the peer takes for the regular end of
 * a response without a content length. Setting its internal flag directly makes `destroy` send a
 * reset instead of a regular close. A connection whose writable side is being ended can't be reset any
 * more: Node would give up its handle without closing it, and then wait for it without end at its exit.
 */
export function hardReset(socket: Socket | null): void {
  if (!socket) return;
  if (!socket.writableEnded)
    (socket as Socket & { resetAndClosing: boolean }).resetAndClosing = true;
  socket.destroy();
}
