/**
 * Requests that callers send one behind the other on one connection of a gateway that stops.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { GatewayProcess } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { GatewayWorld } from './world.js';

interface PipelinedWorld extends GatewayWorld {
  ids: string[];
  /** Everything that came back on the connection. */
  received: string;
}

interface RawRequest {
  method: string;
  path: string;
  body?: string;
}

const DEADLINE_MS = 7_000;
const REQUESTS: Readonly<Record<string, RawRequest>> = {
  'requests that may run once': { method: 'POST', path: '/check/1', body: 'one' },
  'requests that may repeat': { method: 'GET', path: '/list/1' },
  'uploads in chunks': { method: 'POST', path: '/check/2', body: '3\r\none\r\n0\r\n\r\n' },
};
/** Bodies of answers don't end with a line break, so that the next answer begins within a line. */
const STATUS_LINE = /HTTP\/1\.1 (\d{3}) /g;
const ATTEMPT_ID = /^attempt-id: (\S+)\r$/gim;

function formatRequest(id: string, { method, path, body }: RawRequest, isChunked = false): string {
  const framing = isChunked
    ? ['Transfer-Encoding: chunked']
    : body === undefined
      ? []
      : [`Content-Length: ${body.length}`];
  const headers = Object.entries(exampleHeaders(id, DEADLINE_MS)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`${method} ${path} HTTP/1.1`, ...headers, ...framing, '', body ?? ''].join('\r\n');
}

async function open(world: PipelinedWorld): Promise<Socket> {
  const [host, port] = world.gateway.callers.split(':');
  const socket = connect(Number(port), host);
  world.received = '';
  socket.on('data', (chunk) => (world.received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

async function startShutdown(gateway: GatewayProcess): Promise<void> {
  gateway.signal('SIGTERM');
  await waitFor('the gateway to stop', () =>
    gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
}

When(
  'a caller sends {int} {} at once on one connection, with the signal {word} them',
  async function (this: PipelinedWorld, count: number, what: string, when: string) {
    const request = REQUESTS[what];
    assert.ok(request);
    this.ids = Array.from({ length: count }, (_, index) => `pipelined-${index}`);
    const socket = await open(this);
    const closed = once(socket, 'close');
    if (when === 'before') await startShutdown(this.gateway);
    const isChunked = what === 'uploads in chunks';
    socket.write(this.ids.map((id) => formatRequest(id, request, isChunked)).join(''));
    if (when === 'after') {
      await waitFor('all requests at the server', () =>
        this.ids.every((id) => this.site.listServersThatRan(id).length > 0),
      );
      await startShutdown(this.gateway);
    }
    await closed;
  },
);

Given('a plain server that takes {int} ms', async function (this: PipelinedWorld, ms: number) {
  await this.site.addServer({ id: 'plain-0', service: 'app', gapMs: ms });
  await waitFor('the server to be used', async () => {
    const answer = await this.site.request(this.gateway, { path: '/list/1' });
    return answer.status === 200;
  });
});

When(
  'a stream has begun on a connection of a gateway that stops, and a request that may run once follows it',
  async function (this: PipelinedWorld) {
    const unsafeRequest = REQUESTS['requests that may run once'];
    assert.ok(unsafeRequest);
    this.ids = ['stream', 'behind'];
    const socket = await open(this);
    const closed = once(socket, 'close');
    await startShutdown(this.gateway);
    const stream = { method: 'POST', path: '/chat/talk', body: '{}' };
    socket.write(formatRequest('stream', stream));
    await waitFor('the head of the stream', () => /^connection: close\r$/im.test(this.received));
    socket.write(formatRequest('behind', unsafeRequest));
    await closed;
  },
);

Then('each request has one whole answer, in order, or never ran', function (this: PipelinedWorld) {
  const answered = [...this.received.matchAll(ATTEMPT_ID)].map(([, id]) => id);
  assert.deepEqual(answered, this.ids.slice(0, answered.length), this.received);
  for (const id of this.ids) {
    const runs = this.site.listServersThatRan(id);
    if (answered.includes(id)) assert.equal(runs.length, 1, id);
    else assert.deepEqual(runs, [], `${id} ran and has no answer`);
  }
});

Then(
  'the first {int} have an answer with status 200',
  function (this: PipelinedWorld, count: number) {
    const statuses = [...this.received.matchAll(STATUS_LINE)].map(([, status]) => Number(status));
    assert.deepEqual(statuses.slice(0, count), new Array(count).fill(200), this.received);
  },
);
