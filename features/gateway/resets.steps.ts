/**
 * Connections that stand-ins reset.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hardReset } from '../support/hard-reset.js';
import { waitFor } from '../support/waiting.js';

interface ResetWorld {
  resetServer: Server;
  /** The side of the stand-in and that of its peer. */
  sides: readonly Socket[];
  closed: number;
  errors: Error[];
}

After(function (this: Partial<ResetWorld>) {
  this.resetServer?.close();
});

Given(
  'a connection whose sending side is being closed by a stand-in',
  async function (this: ResetWorld) {
    this.resetServer = createServer({ allowHalfOpen: true });
    this.resetServer.listen(0, '127.0.0.1');
    await once(this.resetServer, 'listening');
    const { port } = this.resetServer.address() as AddressInfo;
    const peer = connect(port, '127.0.0.1');
    const [standIn] = (await once(this.resetServer, 'connection')) as [Socket];
    this.sides = [standIn, peer];
    this.closed = 0;
    this.errors = [];
    for (const side of this.sides) {
      side.resume();
      side.once('close', () => {
        this.closed += 1;
      });
    }
    standIn.on('error', (error) => {
      this.errors.push(error);
    });
    standIn.end('answer');
  },
);

When('the stand-in resets it', function (this: ResetWorld) {
  hardReset(this.sides[0] ?? null);
});

Then(
  'it is closed on both sides within {int} ms, without an error',
  async function (this: ResetWorld, ms: number) {
    await waitFor('both sides to close', () => this.closed === this.sides.length, ms);
    assert.deepEqual(this.errors, []);
  },
);
