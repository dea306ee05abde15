/**
 * Resets connections on which something was sent that is given up without an answer.
 *
 * The kernel goes on delivering what was written to a connection that is closed in the regular way, until a
 * broken link is restored. A reset discards it.
 */
import type { Socket } from 'node:net';

/** Node's own `resetAndDestroy` first waits until all was written, which a broken link prevents. */
type ResettableSocket = Socket & { resetAndClosing: boolean };

/** Makes the socket close with a reset if nothing was received since it was last written to. */
export function resetIfUnanswered(socket: Socket): void {
  const write = socket.write.bind(socket) as (...values: unknown[]) => boolean;
  const destroy = socket._destroy.bind(socket);
  let bytesReadBefore: number | undefined;
  socket.write = (...values: unknown[]): boolean => {
    bytesReadBefore = socket.bytesRead;
    return write(...values);
  };
  socket._destroy = (error, callback): void => {
    const isUnanswered = socket.bytesRead === bytesReadBefore;
    // Node can't reset a connection whose writable side is being ended, as after the end of the other side.
    if (isUnanswered && !socket.writableEnded) (socket as ResettableSocket).resetAndClosing = true;
    destroy(error, callback);
  };
}
