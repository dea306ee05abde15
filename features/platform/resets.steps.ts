import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Then, When } from '@cucumber/cucumber';
import { resetSocket } from '../../src/stand-ins/proxy/reset-socket.js';
import { waitFor } from '../support/waiting.js';

interface ResetWorld {
  resetServer?: Server;
  remoteSocket: Socket;
}

After(function (this: Partial<ResetWorld>) {
  this.remoteSocket?.destroy();
  this.resetServer?.close();
});

When('a connection ends its sending half and is reset at once', async function (this: ResetWorld) {
  const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1');
  this.resetServer = server;
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const [[remoteSocket]] = (await Promise.all([
    once(server, 'connection'),
    once(socket, 'connect'),
  ])) as [[Socket], unknown];
  this.remoteSocket = remoteSocket;
  remoteSocket.on('error', () => undefined);
  remoteSocket.resume();
  socket.on('error', () => undefined);
  socket.end();
  resetSocket(socket);
});

Then(
  'the other side sees it closed within {int} ms',
  async function (this: ResetWorld, timeoutMs: number) {
    // The remote socket isn't ended here, so that only the reset can close it: writing to a
    // connection that no longer exists is answered with a reset.
    await waitFor(
      'the other side to be closed',
      () => {
        if (!this.remoteSocket.destroyed) this.remoteSocket.write('x');
        return this.remoteSocket.destroyed;
      },
      timeoutMs,
    );
  },
);
