/**
 * Callers that leave the listener of an entry.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ok } from 'neverthrow';
import {
  createCallers,
  type Callers,
  type CallersOptions,
} from '../../src/adapters/callers/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { waitFor } from '../support/waiting.js';

interface DepartureWorld {
  entryListener: Callers;
  address: string;
  signals: AbortSignal[];
  leavingSocket: Socket;
}

const SETTINGS = { maxBodyBytes: 10_000, bodyTimeoutMs: 5_000 };
const BODY = JSON.stringify({
  model: 'm',
  stream: true,
  messages: [{ role: 'user', content: 'hi' }],
});
const REQUEST = [
  'POST /v1/chat/completions HTTP/1.1',
  'Host: entry',
  'Content-Type: application/json',
  `Content-Length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

const DEPARTURES: Readonly<Record<string, (socket: Socket) => void>> = {
  'closes its connection': (socket) => socket.destroy(),
  'resets its connection': (socket) => socket.resetAndDestroy(),
  'ends its side': (socket) => socket.end(),
};

After(async function (this: Partial<DepartureWorld>) {
  this.leavingSocket?.destroy();
  await this.entryListener?.close();
});

Given("an entry's listener for callers", async function (this: DepartureWorld) {
  this.signals = [];
  const caller = { workspace: 'w', class: 'interactive', deadlineAt: Infinity };
  const path = {
    identify: () => ok(caller),
    complete: ({ signal }: { signal: AbortSignal }) => {
      this.signals.push(signal);
      return new Promise(() => undefined);
    },
  };
  this.entryListener = createCallers({
    address: '127.0.0.1:0',
    settings: SETTINGS,
    path,
    readiness: () => undefined,
    isStopping: () => false,
    unread: { track: () => () => undefined },
    logger: silentLogger,
  } as unknown as CallersOptions);
  this.address = (await this.entryListener.listen())._unsafeUnwrap();
});

When(
  /^a caller sends (\d+) completions on one connection, and (.+)$/,
  async function (this: DepartureWorld, count: string, how: string) {
    const [host, port] = this.address.split(':');
    this.leavingSocket = connect({ host, port: Number(port), allowHalfOpen: true });
    this.leavingSocket.on('error', () => undefined).on('data', () => undefined);
    await once(this.leavingSocket, 'connect');
    this.leavingSocket.write(REQUEST.repeat(Number(count)));
    await waitFor('the completions to begin', () => this.signals.length === Number(count));
    DEPARTURES[how]?.(this.leavingSocket);
  },
);

Then('all of them are given up within {int} ms', async function (this: DepartureWorld, ms: number) {
  await waitFor('the signals', () => this.signals.every(({ aborted }) => aborted), ms);
  assert.ok(this.signals.length > 0);
});
