/**
 * The listener at which other entries reach this one.
 */
import { createServer, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import type { ResultAsync } from 'neverthrow';
import { MESSAGE_BYTES } from '../../controllers/membership/index.js';
import type { Failure } from '../../core/errors/index.js';
import { closeServer, listenOn } from '../../core/listening/index.js';
import { createPeerRouter } from './router.js';
import type { PeerHandlers } from './types.js';

/** Longer than the time between two calls of one peer in a large fleet. */
const KEEP_ALIVE_MS = 60_000;

/** A listener for peers. */
export interface PeerServer {
  /** Resolves with the `host:port` that it listens on; port 0 takes a free one. */
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  close(): Promise<void>;
}

export interface PeerServerOptions {
  /** `host:port`; port 0 takes a free one. */
  address: string;
  handlers: PeerHandlers;
  /** Called with the bytes of each answer, headers included. */
  onSent?: (bytes: number) => void;
}

/**
 * A listener for peers that answers with `handlers`.
 *
 * @example await createPeerServer({ address: '127.0.0.1:7002', handlers }).listen();
 */
export function createPeerServer(options: PeerServerOptions): PeerServer {
  const handle = createHTTPHandler({
    router: createPeerRouter(options.handlers),
    maxBodySize: MESSAGE_BYTES,
  });
  const count = createByteCounter(options.onSent);
  const server = createServer((request, response) => {
    // The date would be a tenth of a digest, and nobody reads it.
    response.sendDate = false;
    count(response);
    handle(request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  return {
    listen: () => listenOn(server, options.address),
    close: () => closeServer(server),
  };
}

/** Reports what each answer added to the bytes written to its connection. */
function createByteCounter(onSent?: (bytes: number) => void): (response: ServerResponse) => void {
  const reported = new WeakMap<Socket, number>();
  return (response) => {
    const { socket } = response;
    if (onSent === undefined || socket === null) return;
    response.once('finish', () => {
      onSent(socket.bytesWritten - (reported.get(socket) ?? 0));
      reported.set(socket, socket.bytesWritten);
    });
  };
}
