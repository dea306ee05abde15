/**
 * The senders of gateways and entries, each behind a link that goes out.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { platform } from '../../platform/index.js';
import { createEngineClient } from '../../src/adapters/engines/index.js';
import { createPeerClient } from '../../src/adapters/peers/index.js';
import { createPlatformCaller } from '../../src/adapters/platform/call.js';
import { createServices } from '../../src/adapters/services/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import {
  createAttemptSender,
  type AttemptRequest,
  type AttemptSender,
} from '../../src/gateway/backends/attempt.js';
import { createEngineCalls } from '../../src/gateway/backends/engine-calls.js';
import { createConnectionPool } from '../../src/gateway/backends/pool.js';
import { createServerChecks } from '../../src/gateway/links/server-check.js';
import { createPeerClient as createGatewayPeerClient } from '../../src/gateway/peers/rpc.js';
import { RelayedAttempt } from '../../src/gateway/relay/relayed-attempt.js';
import { createObjectStore } from '../../src/gateway/store/client.js';
import { callHedged } from '../../src/gateway/store/hedged-call.js';
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import { requestFor } from '../engines/lab.js';

/** A sender with connections of its own. */
interface Sender {
  /** Resolves once the call was answered or given up, after `SHORT_MS` or its own timeout, or by `signal`. */
  call(address: string, signal?: AbortSignal): Promise<unknown>;
  close(): Promise<unknown>;
}

interface SenderLab {
  server: Server;
  proxy: Proxy;
  sender: Sender;
  arrivals: string[];
}

interface SenderWorld {
  senderLab: SenderLab;
}

const SHORT_MS = 300;
/** Time for a reset or an answer to be read. */
const SETTLE_MS = 100;
const DELIVERY_MS = 400;
const BODY = Buffer.from('{}');
const ENGINE = { id: 'engine-0', startedAt: 1 };
const clock = createSystemClock();
const ignore = (): void => undefined;

function createPool(): ReturnType<typeof createConnectionPool> {
  return createConnectionPool({ clock, onOpen: ignore, maxIdle: () => 4 });
}

/** Sends attempts and cancels those without a response. */
function callByAttempts(send: AttemptSender): Sender['call'] {
  return async (address) => {
    const request: AttemptRequest = {
      server: { id: ENGINE.id, address },
      method: 'POST',
      path: '/attempt',
      headers: ['Attempt-Id', 'request-1'],
      body: BODY,
      requestId: undefined,
      requiresNewConnection: false,
      sendUntil: () => Infinity,
    };
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
      const attempt = send(request, {
        onNotice: ignore,
        onResponse: ignore,
        onData: ignore,
        onEnd: finish,
        onFailure: finish,
      });
      const timer = setTimeout(() => {
        attempt.cancel();
        resolve();
      }, SHORT_MS);
    });
  };
}

function createRequestSender(): Sender {
  const pool = createPool();
  const send = createAttemptSender(pool, platform.requests, clock, ignore);
  return { call: callByAttempts(send), close: () => pool.close() };
}

function createRelayedSender(): Sender {
  const pool = createPool();
  const send: AttemptSender = (request, observer) =>
    new RelayedAttempt(request, observer, {
      pool,
      codec: platform.requests,
      clock,
      links: {
        chooseRelay: (_server, tried) =>
          tried.size > 0
            ? undefined
            : {
                name: 'gateway-1',
                address: request.server.address,
                failureDomain: 'north',
                cutOffFrom: [],
              },
        avoidRelay: ignore,
      },
      onRelay: ignore,
    }).start();
  return { call: callByAttempts(send), close: () => pool.close() };
}

function createEngineCallSender(kind: 'order' | 'report'): Sender {
  const calls = createEngineCalls({
    codec: platform.orders,
    onProbe: ignore,
    availability: { record: ignore, cooldownLeftMs: () => 0 } as never,
    links: { probeFromAll: () => Promise.resolve({ kind: 'silent' }) },
  });
  const order = { kind: 'stage', model: 'small' } as const;
  return {
    call: (address) =>
      kind === 'order'
        ? calls.order({ to: { ...ENGINE, address }, order })
        : calls.probe({ ...ENGINE, address }, 'here'),
    close: () => calls.close(),
  };
}

function createCheckSender(): Sender {
  const checks = createServerChecks({
    codec: platform.orders,
    availability: { record: ignore, cooldownLeftMs: () => 0 } as never,
    onProbe: ignore,
  });
  return { call: (address) => checks.check({ ...ENGINE, address }), close: () => checks.close() };
}

function createStoreSender(kind: 'write' | 'hedged read'): Sender {
  let store: ReturnType<typeof createObjectStore> | undefined;
  const open = (address: string): ReturnType<typeof createObjectStore> =>
    createObjectStore({
      address,
      codec: platform.store,
      timeoutMs: SHORT_MS,
      clock,
      onCall: ignore,
      onOutcome: ignore,
      onFirstEra: ignore,
      onRestore: ignore,
    });
  return {
    call: async (address) => {
      const used = (store ??= open(address));
      if (kind === 'write') return used.write('kind', 'object', { value: 1 });
      return callHedged({
        call: (options) => used.list('kind', options),
        hedgeDelayMs: () => SHORT_MS / 3,
        clock,
        onHedge: ignore,
        signal: AbortSignal.timeout(2 * SHORT_MS),
      });
    },
    close: () => store?.close() ?? Promise.resolve(),
  };
}

function createGatewayMessageSender(): Sender {
  const client = createGatewayPeerClient();
  return {
    call: (address) => client.sendSuspicions(address, []).catch(ignore),
    close: () => client.close(),
  };
}

function createEntrySender(kind: 'completion' | 'order' | 'health'): Sender {
  const client = createEngineClient();
  const order = { kind: 'release', fence: 1, replica: 'replica-1' } as const;
  return {
    call: async (address, signal = AbortSignal.timeout(SHORT_MS)) => {
      switch (kind) {
        case 'order':
          return client.order(address, order, SHORT_MS);
        case 'health':
          return client.health(address, SHORT_MS);
        case 'completion':
          return client.complete(address, requestFor('a'), signal);
      }
    },
    close: () => client.close(),
  };
}

function createServiceSender(): Sender {
  const services = createServices();
  return {
    call: async (address, signal = AbortSignal.timeout(SHORT_MS)) => {
      const request = {
        method: 'POST',
        path: '/call',
        headers: [],
        body: BODY,
        repeatable: true,
        timeoutMs: 10 * SHORT_MS,
      };
      const start = await services.call(address, request, signal);
      if (start.kind === 'started') start.answer.body.resume();
    },
    close: () => services.close(),
  };
}

function createEntryWriteSender(): Sender {
  let caller: ReturnType<typeof createPlatformCaller> | undefined;
  return {
    call: async (address) => {
      caller ??= createPlatformCaller(address, SHORT_MS);
      return caller.call({ method: 'PUT', path: '/object', body: '{}', timeoutMs: SHORT_MS });
    },
    close: () => caller?.close() ?? Promise.resolve(),
  };
}

function createExchangeSender(): Sender {
  const client = createPeerClient({ timeoutMs: SHORT_MS });
  return {
    call: async (address) => client.exchange(address, { digests: [], summaries: [] }),
    close: () => client.close(),
  };
}

const SENDERS: Readonly<Record<string, () => Sender>> = {
  'a request': createRequestSender,
  'a relayed request': createRelayedSender,
  'an order': () => createEngineCallSender('order'),
  'a report': () => createEngineCallSender('report'),
  'a check': createCheckSender,
  'a write to the store': () => createStoreSender('write'),
  'a hedged read of the store': () => createStoreSender('hedged read'),
  'a message to a gateway': createGatewayMessageSender,
  "an entry's completion": () => createEntrySender('completion'),
  "an entry's order": () => createEntrySender('order'),
  "an entry's health check": () => createEntrySender('health'),
  "an entry's call of a service": createServiceSender,
  "an entry's write": createEntryWriteSender,
  "an entry's exchange with peers": createExchangeSender,
};

After(async function (this: Partial<SenderWorld>) {
  if (this.senderLab === undefined) return;
  const { server, proxy, sender } = this.senderLab;
  await sender.close();
  await proxy.stop();
  server.closeAllConnections();
  server.close();
});

async function control({ proxy }: SenderLab, change: ProxyControl): Promise<void> {
  (await proxy.control(change))._unsafeUnwrap();
}

async function openLab(sender: Sender): Promise<SenderLab> {
  const arrivals: string[] = [];
  const server = createServer((request, response) => {
    arrivals.push(request.url ?? '');
    request.resume();
    response.writeHead(200, { 'content-length': BODY.length, 'content-type': 'text/plain' });
    response.end(BODY);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const proxy = (await createProxy({ listen: '127.0.0.1:0', target }))._unsafeUnwrap();
  return { server, proxy, sender, arrivals };
}

Given(
  /^a server behind a link, and (a kept|a new) connection of the sender of (.+)$/,
  async function (this: SenderWorld, connection: string, call: string) {
    const create = SENDERS[call];
    assert.ok(create, call);
    this.senderLab = await openLab(create());
    if (connection === 'a new') return;
    const { sender, proxy, arrivals } = this.senderLab;
    await sender.call(proxy.address);
    assert.ok(arrivals.length > 0, 'the first call must arrive');
  },
);

When(/^the link is out until .+ is given up$/, async function (this: SenderWorld) {
  const { sender, proxy, arrivals } = this.senderLab;
  await control(this.senderLab, { outage: 'both' });
  arrivals.length = 0;
  await sender.call(proxy.address);
});

When(
  /^.+ is begun and given up in the next turn of the event loop$/,
  async function (this: SenderWorld) {
    const { sender, proxy, arrivals } = this.senderLab;
    // The connection is free once its first answer was read.
    await sleep(SETTLE_MS);
    arrivals.length = 0;
    const caller = new AbortController();
    const called = sender.call(proxy.address, caller.signal);
    setImmediate(() => {
      caller.abort();
    });
    await called;
  },
);

Then('nothing of it reaches the server', async function (this: SenderWorld) {
  await sleep(DELIVERY_MS);
  assert.deepEqual(this.senderLab.arrivals, []);
});

Then(
  'nothing of it reaches the server after the link is restored',
  async function (this: SenderWorld) {
    const { proxy, arrivals } = this.senderLab;
    assert.ok(proxy.counters().connections > 0, 'it must have had a connection');
    await sleep(SETTLE_MS);
    await control(this.senderLab, { outage: 'none' });
    await sleep(DELIVERY_MS);
    assert.deepEqual(arrivals, []);
  },
);
