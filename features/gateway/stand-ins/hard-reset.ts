/**
 * A reset that the other side sees as one.
 */
import type { Socket } from 'node:net';

/**
 * Resets at once. `resetAndDestroy` ends the sending half first, and the other side takes that for
 * the regular end of an answer without a length.
 */
export function hardReset(socket: Socket | null): void {
  if (!socket) return;
  (socket as Socket & { resetAndClosing: boolean }).resetAndClosing = true;
  socket.destroy();
}
