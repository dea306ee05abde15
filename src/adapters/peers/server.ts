/**
 * The listener at which other entries reach this one.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_MESSAGE_BYTES } from '../../controllers/membership/index.js';
import { createPeerRouter } from './router.js';
import { createRpcListener, type RpcListener } from './rpc-listener.js';
import type { PeerHandlers } from './types.js';

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
export function createPeerServer(options: PeerServerOptions): RpcListener {
  return createRpcListener({
    address: options.address,
    router: createPeerRouter(options.handlers),
    maxBytes: MAX_MESSAGE_BYTES,
    onResponse: createByteCounter(options.onSent),
  });
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
