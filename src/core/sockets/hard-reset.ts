/**
 * A reset that the other side sees as one.
 */
import type { Socket } from 'node:net';

/**
 * Resets at once. Node's own `resetAndDestroy` ends the sending half first, and the other side takes
 * that for the regular end of an answer without a length. The flag that it sets before makes the
 * closing of the socket a reset; without the flag it would be a regular close.
 */
export function hardReset(socket: Socket | null): void {
  if (!socket) return;
  (socket as Socket & { resetAndClosing: boolean }).resetAndClosing = true;
  socket.destroy();
}
