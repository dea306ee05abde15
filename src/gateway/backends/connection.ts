/**
 * One connection to a backend server, for one request at a time.
 */
import { connect, type Socket } from 'node:net';
import { Client } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseAddress } from '../../core/listening/index.js';

/** A connection, open or about to be. */
export interface BackendConnection {
  client: Client;
  state: ConnectionState;
}

/** What the socket showed. Changed by the socket's events alone. */
export interface ConnectionState {
  /** The connection was made: what was dispatched may have been sent. */
  connected: boolean;
  /** The other side broke the connection off. */
  reset: boolean;
  /** No further request may use it. */
  ended: boolean;
  /** Lives of its backend server that had ended here when it was opened. */
  life: number;
  /** Since when no request uses it. */
  idleSince: Milliseconds;
}

/** Ways within a region take a few milliseconds; a lost opening packet is sent again after a second. */
const CONNECT_TIMEOUT_MS: Milliseconds = 500;
/** Idle connections are closed by us before the backend server's own timeout, told or not. */
const IDLE_MS: Milliseconds = 4_000;
/** Bytes of headers that an answer may have. */
const MAX_HEADER_BYTES = 65_536;

/**
 * A connection to `address`, made with the first request.
 *
 * Guards against an answer without a length that is cut by a reset: the parser takes the end of the
 * connection for the end of the answer in both cases. `reset` tells them apart.
 */
export function openConnection(
  address: string,
  life: number,
  onEnd: () => void,
): BackendConnection {
  const state: ConnectionState = {
    connected: false,
    reset: false,
    ended: false,
    life,
    idleSince: 0,
  };
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: (_options, callback) => {
      connectSocket(address, state, callback);
    },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_MS,
    keepAliveMaxTimeout: IDLE_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
  });
  client.on('disconnect', () => {
    state.ended = true;
    onEnd();
  });
  return { client, state };
}

type ConnectCallback = (
  ...args: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

function connectSocket(address: string, state: ConnectionState, callback: ConnectCallback): void {
  const { host, port } = parseAddress(address);
  if (state.ended || state.connected) {
    // A client connects again on its own; what must run once may not travel that way.
    callback(new Error('the connection has ended'), null);
    return;
  }
  const socket = connect({ host, port, noDelay: true });
  let answered = false;
  const answer: ConnectCallback = (...args) => {
    if (answered) return;
    answered = true;
    clearTimeout(timer);
    callback(...args);
  };
  const timer = setTimeout(() => {
    answer(new Error('connect timeout'), null);
    socket.destroy();
  }, CONNECT_TIMEOUT_MS);
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET' || error.code === 'EPIPE') state.reset = true;
    answer(error, null);
  });
  socket.once('connect', () => {
    state.connected = true;
    answer(null, socket);
  });
}
