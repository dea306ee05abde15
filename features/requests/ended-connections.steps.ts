/**
 * Answers whose connections end within their heads, or while their bodies wait to be read.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { text } from 'node:stream/consumers';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createServices, type ServiceStart } from '../../src/adapters/services/index.js';
import { hardReset } from '../support/hard-reset.js';
import { startRawService, type RawService } from './raw-service.js';

interface EndedWorld {
  closingService: RawService;
  /** The body, or undefined if it broke off. */
  slowBody: string | undefined;
  starts: ServiceStart['kind'][];
}

/** Between the last bytes and the end of the connection. */
const END_AFTER_MS = 50;

After(function (this: Partial<EndedWorld>) {
  this.closingService?.stop();
});

Given(
  /^a service that sends (\d+) of (\d+) bytes with "Connection: close" and (closes|resets) the connection$/,
  async function (this: EndedWorld, sent: string, length: string, end: string) {
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
  async function (this: EndedWorld, ms: number) {
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

Then('the body has {int} bytes', function (this: EndedWorld, bytes: number) {
  assert.equal(this.slowBody?.length, bytes);
});

Then('the body breaks off', function (this: EndedWorld) {
  assert.equal(this.slowBody, undefined);
});

const HEADS = ['HTTP/1.1', 'HTTP/1.0'].flatMap((version) =>
  [['Content-Length: 2'], ['Transfer-Encoding: chunked'], []].flatMap((framing) =>
    [[], ['Connection: close']].map((closing) =>
      [`${version} 200 OK`, ...framing, ...closing, '', ''].join('\r\n'),
    ),
  ),
);

When(
  /^a service (closes|resets) its connection at each byte of each form of head, and a call is sent to it each time$/,
  async function (this: EndedWorld, end: string) {
    const services = createServices();
    let head = '';
    this.starts = [];
    this.closingService = await startRawService((socket) => {
      socket.write(head);
      if (end === 'closes') socket.end();
      else hardReset(socket);
    });
    const request = { method: 'GET', path: '/', headers: [], body: undefined, repeatable: true };
    for (const whole of HEADS)
      for (let bytes = 0; bytes < whole.length; bytes += 1) {
        head = whole.slice(0, bytes);
        const { signal } = new AbortController();
        const call = { ...request, timeoutMs: 2_000 };
        this.starts.push((await services.call(this.closingService.address, call, signal)).kind);
      }
    await services.close();
  },
);

Then('none of the calls is answered', function (this: EndedWorld) {
  assert.ok(this.starts.length > 0);
  assert.deepEqual([...new Set(this.starts)], ['lost']);
});
