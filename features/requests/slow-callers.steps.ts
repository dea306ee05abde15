/**
 * Answers whose connections end while their bodies wait to be read.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { text } from 'node:stream/consumers';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createServices } from '../../src/adapters/services/index.js';
import { hardReset } from '../../src/core/sockets/index.js';
import { startRawService, type RawService } from './raw-service.js';

interface SlowCallerWorld {
  closingService: RawService;
  /** The body, or undefined if it broke off. */
  slowBody: string | undefined;
}

/** Between the last bytes and the end of the connection. */
const END_AFTER_MS = 50;

After(function (this: Partial<SlowCallerWorld>) {
  this.closingService?.stop();
});

Given(
  /^a service that sends (\d+) of (\d+) bytes with "Connection: close" and (closes|resets) the connection$/,
  async function (this: SlowCallerWorld, sent: string, length: string, end: string) {
    const head = ['HTTP/1.1 200 OK', 'Connection: close', `Content-Length: ${length}`, '', ''];
    this.closingService = await startRawService((socket) => {
      socket.write(`${head.join('\r\n')}${'a'.repeat(Number(sent))}`);
      setTimeout(() => {
        if (end === 'closes') socket.end();
        else hardReset(socket);
      }, END_AFTER_MS);
    });
  },
);

When(
  'a call to it is answered and its body is read {int} ms later',
  async function (this: SlowCallerWorld, ms: number) {
    const services = createServices();
    const request = { method: 'GET', path: '/', headers: [], body: undefined, repeatable: true };
    const { signal } = new AbortController();
    const { address } = this.closingService;
    const start = await services.call(address, { ...request, timeoutMs: 2_000 }, signal);
    assert.ok(start.kind === 'started');
    const { body } = start.answer;
    body.on('error', () => undefined);
    await sleep(ms);
    this.slowBody = await text(body).catch(() => undefined);
    await services.close();
  },
);

Then('the body has {int} bytes', function (this: SlowCallerWorld, bytes: number) {
  assert.equal(this.slowBody?.length, bytes);
});

Then('the body breaks off', function (this: SlowCallerWorld) {
  assert.equal(this.slowBody, undefined);
});
