/**
 * Steps for calls to plain services.
 */
import assert from 'node:assert/strict';
import { createHash, randomBytes } from 'node:crypto';
import { connect, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { callFaultSchema } from '../../src/stand-ins/service/control.js';
import { waitFor } from '../support/waiting.js';
import { call, type ReceivedResponse } from './client.js';
import { KEY } from './fixture.js';
import { renderAnswer, startRawService, type RawService } from './raw-service.js';
import type { RequestWorld } from './requests.steps.js';

interface ServiceWorld extends RequestWorld {
  /** All bytes that a caller has received until the close of its connection. */
  receivedText: string;
  uploaded: Buffer;
  rawService?: RawService;
  openCallers: Socket[];
}

/** The request as reported by the service's echo endpoint. */
interface Echo {
  method: string;
  path: string;
  query: string;
  headers: Record<string, string>;
  body: string;
}

Given(
  'the next calls of both services have the fault {string}',
  function (this: ServiceWorld, text: string) {
    const fault = callFaultSchema.parse(JSON.parse(text));
    for (const service of this.entry.services) service.control({ faults: [fault] });
  },
);

Given('the first service instance is gone and still listed', async function (this: ServiceWorld) {
  await this.entry.services[0]?.stop();
});

Given('both service instances are gone and still listed', async function (this: ServiceWorld) {
  await Promise.all(this.entry.services.map((service) => service.stop()));
});

Given(
  'a service that answers every call with the raw text {string} and closes',
  async function (this: ServiceWorld, text: string) {
    const bytes = text.replaceAll('\\r\\n', '\r\n');
    useRawService(this, await startRawService((socket) => socket.end(bytes)));
  },
);

Given(
  'a service that answers its first call twice, with {string} and {string}',
  async function (this: ServiceWorld, first: string, stray: string) {
    const service = await startRawService((socket, count) => {
      const response = renderAnswer(count === 1 ? first : `answer ${count}`);
      socket.write(count === 1 ? `${response}${renderAnswer(stray)}` : response);
    });
    useRawService(this, service);
  },
);

After(function (this: Partial<ServiceWorld>) {
  this.rawService?.stop();
});

When('a caller gets {string}', async function (this: ServiceWorld, path: string) {
  this.received = await call(this.entry.address, path);
  this.responses.push(this.received);
});

function sendOverHttp10({ entry }: ServiceWorld, path: string): Socket {
  const [host, port] = entry.address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.write(`GET ${path} HTTP/1.0\r\nHost: entry\r\nAuthorization: Bearer ${KEY}\r\n\r\n`);
  return socket;
}

When(/^a caller of HTTP\/1\.0 gets "(.+)"$/, async function (this: ServiceWorld, path: string) {
  const socket = sendOverHttp10(this, path);
  this.receivedText = '';
  for await (const bytes of socket) this.receivedText += (bytes as Buffer).toString('latin1');
});

Given(
  'a service that begins answers of {int} KB and never ends them',
  async function (this: ServiceWorld, kilobytes: number) {
    const bytes = kilobytes * 1_024;
    const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
    const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
    useRawService(this, await startRawService((socket) => socket.write(`${head}${chunk}`)));
  },
);

When(
  /^(\d+) callers of HTTP\/1\.0 get "(.+)" at once$/,
  function (this: ServiceWorld, count: string, path: string) {
    this.openCallers = Array.from({ length: Number(count) }, () => {
      const socket = sendOverHttp10(this, path);
      socket.resume();
      return socket;
    });
  },
);

Then(
  'within {int} ms the entry gives up all but {int} of them',
  async function (this: ServiceWorld, ms: number, most: number) {
    const countOpen = (): number => this.openCallers.filter(({ closed }) => !closed).length;
    await waitFor('the entry to give up answers', () => countOpen() <= most, ms);
    assert.ok(countOpen() > 0, 'it has given up all');
    for (const socket of this.openCallers) socket.destroy();
  },
);

Then(/^it takes nothing for a whole answer$/, function (this: ServiceWorld) {
  assert.ok(!this.receivedText.includes(' 200 '), this.receivedText);
});

Then('it takes {string} for a whole answer', function (this: ServiceWorld, body: string) {
  assert.match(this.receivedText, /^HTTP\/1\.1 200 /);
  assert.match(this.receivedText, new RegExp(`content-length: ${body.length}`, 'i'));
  assert.ok(this.receivedText.endsWith(`\r\n\r\n${body}`), this.receivedText);
});

When('a caller asks for the head of {string}', async function (this: ServiceWorld, path: string) {
  this.received = await call(this.entry.address, path, { method: 'HEAD' });
});

When('a caller posts to {string}', async function (this: ServiceWorld, path: string) {
  this.received = await call(this.entry.address, path, { method: 'POST', body: 'lorry 12' });
});

When(
  'a caller posts to {string} with a deadline of {int} ms',
  async function (this: ServiceWorld, path: string, deadline: number) {
    const headers = { 'x-request-deadline-ms': String(deadline) };
    this.received = await call(this.entry.address, path, { method: 'POST', body: 'x', headers });
  },
);

When(
  'a caller posts {int} times to {string}',
  async function (this: ServiceWorld, times: number, path: string) {
    for (let sent = 0; sent < times; sent += 1) {
      this.responses.push(await call(this.entry.address, path, { method: 'POST', body: 'x' }));
    }
  },
);

When('a caller checks in with the key {string}', async function (this: ServiceWorld, key: string) {
  const options = { method: 'POST', body: 'rigger 7', headers: { 'idempotency-key': key } };
  this.received = await call(this.entry.address, '/services/gate/check-ins', options);
  this.responses.push(this.received);
});

When(
  'a caller posts to {string} with fields of all sorts',
  async function (this: ServiceWorld, path: string) {
    const headers = {
      connection: 'x-hop, keep-alive',
      'x-hop': '1',
      te: 'trailers',
      'x-workspace': 'forged',
      'x-request-id': 'forged',
      'x-trace': ['a', 'b'],
      'content-type': 'text/plain; charset=utf-8',
    };
    this.received = await call(this.entry.address, path, { method: 'POST', body: 'é', headers });
  },
);

When('a caller uploads {int} bytes in chunks', async function (this: ServiceWorld, bytes: number) {
  this.uploaded = randomBytes(bytes);
  const headers = { 'transfer-encoding': 'chunked' };
  const options = { method: 'POST', body: this.uploaded, headers };
  this.received = await call(this.entry.address, '/services/gate/upload', options);
});

When('a caller downloads {int} bytes', async function (this: ServiceWorld, bytes: number) {
  this.received = await call(this.entry.address, `/services/gate/download?bytes=${bytes}`);
});

Then(
  'the service saw the method, path, query, body and end-to-end fields',
  function (this: ServiceWorld) {
    const echo = readEcho(this.received);
    assert.equal(echo.method, 'POST');
    assert.equal(echo.path, '/echo/a%20b');
    assert.equal(echo.query, '?day=2&x=%26');
    assert.equal(echo.body, 'é');
    assert.equal(echo.headers['x-trace'], 'a, b');
    assert.equal(echo.headers['content-type'], 'text/plain; charset=utf-8');
  },
);

Then(
  'the service saw no hop-by-hop field, no key and no forged field',
  function (this: ServiceWorld) {
    const { headers } = readEcho(this.received);
    assert.equal(headers['x-hop'], undefined);
    assert.equal(headers.te, undefined);
    assert.equal(headers.authorization, undefined);
    assert.ok(!JSON.stringify(headers).includes(KEY));
    assert.equal(headers['x-workspace'], 'market');
    assert.equal(headers['x-request-id'], this.received.headers['x-request-id']);
    assert.notEqual(headers['x-request-id'], 'forged');
  },
);

Then('the service saw the same {int} bytes', function (this: ServiceWorld, bytes: number) {
  const sha256 = createHash('sha256').update(this.uploaded).digest('hex');
  assert.deepEqual(JSON.parse(this.received.body), { bytes, sha256 });
});

Then('the caller has {int} bytes in a whole answer', function (this: ServiceWorld, bytes: number) {
  assert.equal(this.received.broken, false);
  assert.equal(this.received.bytes, bytes);
});

Then("the caller's connection was closed in mid-answer", function (this: ServiceWorld) {
  assert.equal(this.received.broken, true);
});

Then('the call is answered with {int}', function (this: ServiceWorld, status: number) {
  assert.equal(this.received.status, status);
});

Then(
  'the call is answered with {int} and the type {string} but no body',
  function (this: ServiceWorld, status: number, type: string) {
    assert.equal(this.received.status, status);
    assert.equal(this.received.headers['content-type'], type);
    assert.equal(this.received.broken, false);
    assert.equal(this.received.bytes, 0);
  },
);

Then(
  "the answer's field {string} has the bytes of {string}",
  function (this: ServiceWorld, name: string, value: string) {
    assert.equal(this.received.status, 200);
    const received = String(this.received.headers[name]);
    assert.equal(Buffer.from(received, 'latin1').toString(), value);
  },
);

Then('all calls are answered with {int}', function (this: ServiceWorld, status: number) {
  assert.deepEqual(new Set(this.responses.map((response) => response.status)), new Set([status]));
});

Then('the services have run {int} calls', function (this: ServiceWorld, runs: number) {
  assert.equal(this.entry.countRuns(), runs);
});

Then('the second answer is the first one, marked as replayed', function (this: ServiceWorld) {
  const [first, second] = this.responses;
  assert.ok(first && second);
  assert.equal(second.body, first.body);
  assert.equal(second.headers['idempotency-replayed'], 'true');
  assert.equal(first.headers['idempotency-replayed'], undefined);
});

Then('the raw service was called {int} times', function (this: ServiceWorld, calls: number) {
  assert.equal(this.rawService?.calls(), calls);
});

When(
  'callers post to {string} until the raw service is called again',
  async function (this: ServiceWorld, path: string) {
    const calls = this.rawService?.calls();
    await waitFor('another call', async () => {
      await call(this.entry.address, path, { method: 'POST', body: 'x' });
      return this.rawService?.calls() !== calls;
    });
  },
);

Then('its two calls were at least {int} ms apart', function (this: ServiceWorld, ms: number) {
  const [first = 0, second = 0] = this.rawService?.times ?? [];
  assert.ok(second - first >= ms, `${second - first} ms`);
});

Then('no caller has read {string}', function (this: ServiceWorld, text: string) {
  assert.ok(this.responses.length > 1);
  for (const { body } of this.responses) assert.ok(!body.includes(text), body);
});

function useRawService(world: ServiceWorld, service: RawService): void {
  world.rawService = service;
  const rawInstance = { instance: 'gate-raw', address: service.address };
  world.entry.writeFleet([...world.entry.engines, rawInstance]);
}

function readEcho(received: ReceivedResponse): Echo {
  assert.equal(received.status, 200, received.body);
  return JSON.parse(received.body) as Echo;
}
