/**
 * Which response says that its connection closes, for callers that send requests one behind the other.
 *
 * Node closes a connection after the first response with `Connection: close`, and drops the responses to
 * later requests on it, although backend servers may have run them. During a shutdown the response to the
 * last request that was read says so, and requests that are read after that are not run.
 */
import type { Socket } from 'node:net';

interface ConnectionState {
  /** Requests that were read from the connection. */
  received: number;
  /** A response says that the connection closes. */
  closes: boolean;
}

/** The place of one request on its connection. */
export interface ConnectionPlace {
  /** An earlier response says that the connection closes, so a response to this request is never sent. */
  readonly isBehindClose: boolean;
  /** Closes the connection with the response to this request; returns false if others follow it. */
  closeIfLast(): boolean;
}

const states = new WeakMap<Socket, ConnectionState>();

/** Called once for each request, in the order in which they were sent. */
export function takePlace(socket: Socket): ConnectionPlace {
  const state = states.get(socket) ?? { received: 0, closes: false };
  states.set(socket, state);
  state.received += 1;
  const place = state.received;
  return {
    isBehindClose: state.closes,
    closeIfLast: () => {
      if (place < state.received) return false;
      state.closes = true;
      return true;
    },
  };
}
