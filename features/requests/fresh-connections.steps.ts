import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createServices, type ServiceStart } from '../../src/adapters/services/index.js';

interface ConnectionWorld {
  droppingServer: { server: Server; address: string; runs: number };
  outcomes: ServiceStart['kind'][];
}

Given(
  'a backend server that drops every connection on its second call',
  async function (this: ConnectionWorld) {
    const usedSockets = new WeakSet<Socket>();
    const server = createServer((request, response) => {
      if (usedSockets.has(request.socket)) {
        request.socket.destroy();
        return;
      }
      usedSockets.add(request.socket);
      this.droppingServer.runs += 1;
      response.end('ran');
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    this.droppingServer = { server, address: `127.0.0.1:${port}`, runs: 0 };
  },
);

async function sendCalls(world: ConnectionWorld, count: number, repeatable: boolean) {
  const services = createServices();
  const request = { method: 'POST', path: '/', headers: [], body: undefined, timeoutMs: 5_000 };
  world.outcomes = [];
  for (let sent = 0; sent < count; sent += 1) {
    const signal = new AbortController().signal;
    const start = await services.call(
      world.droppingServer.address,
      { ...request, repeatable },
      signal,
    );
    if (start.kind === 'started') await text(start.answer.body);
    world.outcomes.push(start.kind);
  }
  await services.close();
}

When(
  '{int} calls that must not be repeated are sent to it one after the other',
  async function (this: ConnectionWorld, count: number) {
    await sendCalls(this, count, false);
  },
);

When(
  '{int} calls that may be repeated are sent to it one after the other',
  async function (this: ConnectionWorld, count: number) {
    await sendCalls(this, count, true);
  },
);

Then('each of them ran once and was answered', function (this: ConnectionWorld) {
  assert.deepEqual(
    { starts: this.outcomes, runs: this.droppingServer.runs },
    { starts: this.outcomes.map(() => 'started'), runs: this.outcomes.length },
  );
});

Then('the backend server dropped at least one of these', function (this: ConnectionWorld) {
  assert.equal(this.outcomes.includes('lost'), true);
});

After(function (this: Partial<ConnectionWorld>) {
  this.droppingServer?.server.closeAllConnections();
  this.droppingServer?.server.close();
});
