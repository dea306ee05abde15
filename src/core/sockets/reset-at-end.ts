/**
 * Resets that Node reports as the regular end of a connection.
 *
 * When the last bytes and a TCP reset are read in the same poll, libuv reports the end of the stream and
 * not the pending error. The kernel knows the difference: a connection that was reset has no peer left,
 * whereas one that its peer has closed stays half-open until this side closes too.
 */
import type { Socket } from 'node:net';

/**
 * Calls `listener` when the connection ends by a reset that is reported as a regular end. Has to be
 * called before other listeners of `end` are added that depend on it. The socket's `remoteAddress` must
 * not be read elsewhere: Node keeps the first value.
 */
export function onResetAtEnd(socket: Socket, listener: () => void): void {
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) listener();
  });
}
