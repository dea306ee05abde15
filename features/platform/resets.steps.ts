import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Then, When } from '@cucumber/cucumber';
import { resetSocket } from '../../src/stand-ins/proxy/reset-socket.js';
import { waitFor } from '../support/waiting.js';

interface ResetWorld {
  resetServer?: Server;
  otherSide: Socket;
}

After(function (this: Partial<ResetWorld>) {
  this.otherSide?.destroy();
  this.resetServer?.close();
});

When('a connection ends its sending half and is reset at once', async function (this: ResetWorld) {
  const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1');
  this.resetServer = server;
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const [[otherSide]] = (await Promise.all([
    once(server, 'connection'),
    once(socket, 'connect'),
  ])) as [[Socket], unknown];
  this.otherSide = otherSide;
  otherSide.on('error', () => undefined);
  otherSide.resume();
  socket.on('error', () => undefined);
  socket.end();
  resetSocket(socket);
});

Then(
  'the other side sees it closed within {int} ms',
  async function (this: ResetWorld, boundMs: number) {
    // Its own end is not sent, so that only what the connection does can close it: a write to a
    // connection that is gone is answered with a reset.
    await waitFor(
      'the other side to be closed',
      () => {
        if (!this.otherSide.destroyed) this.otherSide.write('x');
        return this.otherSide.destroyed;
      },
      boundMs,
    );
  },
);
