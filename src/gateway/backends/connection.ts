/**
 * A connection to a backend server, used for one request at a time.
 */
import { connect } from 'node:net';
import { Client } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import {
  handOver,
  onResetAtEnd,
  watchReceivedBytes,
  type ConnectCallback,
} from '../../core/sockets/index.js';
import { parseAddress } from '../../core/listening/index.js';

/** A connection that is open or about to be opened. */
export interface BackendConnection {
  client: Client;
  state: ConnectionState;
}

/** State of a connection, updated by socket events and by its pool. */
export interface ConnectionState {
  /** The socket was connected, so a dispatched request may have been sent. */
  connected: boolean;
  /** The backend server reset the connection. */
  reset: boolean;
  /** The connection can't be reused. */
  ended: boolean;
  /** Number of known restarts of the backend server when the connection was opened. */
  generation: number;
  /** No request on it has ended yet. */
  isFirstUse: boolean;
  /** When the last request on it ended. */
  idleSince: Milliseconds;
  received: ReceivedBytes;
}

/** What has come over a connection since its current request was sent. */
export interface ReceivedBytes {
  /** Total of the connection, read at any time. */
  total: () => number;
  /** The total at the start of the request. */
  before: number;
  /** Bytes of the response body. */
  body: number;
}

/** Called before a request is written to the connection. */
export function countFromRequest({ received }: ConnectionState): void {
  received.before = received.total();
  received.body = 0;
}

/** Far above a round trip in a region, and below the SYN retransmission timeout of one second. */
const CONNECT_TIMEOUT_MS: Milliseconds = 500;
/** Closes idle connections before the backend server does. */
const IDLE_TIMEOUT_MS: Milliseconds = 4_000;
/**
 * Bytes that may come beside those of a response body, for its head and for data that is not read yet;
 * chunks may add a multiple of the body.
 */
const MAX_BYTES_BESIDE_BODY = 262_144;
const MAX_FRAMING_FACTOR = 8;
/** Maximum size of response headers. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Creates a connection to `address` that is opened with its first request.
 *
 * The HTTP parser takes a reset for the end of a close-delimited response; `reset` distinguishes it
 * from a regular close.
 */
export function openConnection(
  address: string,
  generation: number,
  onEnd: () => void,
): BackendConnection {
  const state: ConnectionState = {
    connected: false,
    reset: false,
    ended: false,
    generation,
    isFirstUse: true,
    idleSince: 0,
    received: { total: () => 0, before: 0, body: 0 },
  };
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: (_options, callback) => {
      connectSocket(address, state, callback);
    },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
  });
  client.on('disconnect', () => {
    state.ended = true;
    onEnd();
  });
  return { client, state };
}

function connectSocket(address: string, state: ConnectionState, callback: ConnectCallback): void {
  const { host, port } = parseAddress(address);
  if (state.ended || state.connected) {
    // Keeps the client from reconnecting by itself, which could send a request twice.
    callback(new Error('the connection has ended'), null);
    return;
  }
  const socket = connect({ host, port, noDelay: true });
  let isSettled = false;
  const settle: ConnectCallback = (...args) => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    callback(...args);
  };
  const timer = setTimeout(() => {
    settle(new Error('connect timeout'), null);
    socket.destroy();
  }, CONNECT_TIMEOUT_MS);
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET' || error.code === 'EPIPE') state.reset = true;
    settle(error, null);
  });
  onResetAtEnd(socket, () => {
    state.reset = true;
  });
  socket.once('connect', () => {
    clearTimeout(timer);
    handOver(socket, (...result) => {
      const isUsed = result[1] !== null && !isSettled;
      if (isUsed) {
        state.connected = true;
        state.received.total = () => socket.bytesRead;
        watchReceivedBytes(socket, () => findExcess(state.received));
      }
      settle(...result);
    });
  });
}

function findExcess({ total, before, body }: ReceivedBytes): string | undefined {
  const besideBody = total() - before - body;
  const isExceeded = besideBody > MAX_BYTES_BESIDE_BODY + MAX_FRAMING_FACTOR * body;
  return isExceeded ? `${besideBody} bytes that are no part of an answer` : undefined;
}
