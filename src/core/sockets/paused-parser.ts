/**
 * Sockets whose end doesn't reach an HTTP parser that is paused.
 *
 * A parser of undici pauses while nobody takes the body of a response. If the connection of a response that
 * closes it ends or breaks meanwhile, undici finishes the paused parser, which fails an assertion: the error is
 * thrown within an event, and the request never ends.
 */
import type { Socket } from 'node:net';

/**
 * Defers the `end` of the socket until its reader goes on, and passes on a reset or a close while it is paused
 * as another error, which undici doesn't take for the end of a response. The reader counts as paused as long
 * as it has not read until nothing was left.
 */
export function protectPausedParser(socket: Socket): void {
  const read = socket.read.bind(socket);
  const destroy = socket.destroy.bind(socket);
  let isPaused = false;
  socket.read = (size?: number): unknown => {
    // Node reads no bytes to make the stream end.
    if (size === 0 && isPaused) return null;
    const chunk: unknown = read(size);
    if (size !== 0) isPaused = chunk !== null;
    return chunk;
  };
  socket.destroy = (error?: Error) => destroy(isPaused ? withoutResetCode(error) : error);
}

function withoutResetCode(error: Error | undefined): Error {
  if (!error) return new Error('the connection was closed');
  const isReset = (error as NodeJS.ErrnoException).code === 'ECONNRESET';
  return isReset ? new Error('the connection was reset', { cause: error }) : error;
}
