/**
 * Closing of TCP connections with a reset.
 */
import type { Socket } from 'node:net';

/**
 * Closes the connection with a TCP reset (RST), without sending a FIN first.
 *
 * Node's `resetAndDestroy` ends the writable side first, which the peer takes for the regular end of
 * a response without a content length. Setting its internal flag directly makes `destroy` send a
 * reset instead of a regular close.
 */
export function hardReset(socket: Socket | null): void {
  if (!socket) return;
  (socket as Socket & { resetAndClosing: boolean }).resetAndClosing = true;
  socket.destroy();
}
