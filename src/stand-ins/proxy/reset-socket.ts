/**
 * Resetting a connection, whatever state it is in.
 */
import type { Socket } from 'node:net';

/**
 * Resets the connection of `socket`. One whose sending half is being closed can't be reset any
 * more: Node then gives up its handle without closing it, and the other side hears nothing at all
 * until this process ends. It is closed instead, which the other side notices as well.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
