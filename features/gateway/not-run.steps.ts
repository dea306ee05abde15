/**
 * Requests that no server has run, and the last moment to send them.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { platform } from '../../platform/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { createAttemptSender, type AttemptFailure } from '../../src/gateway/backends/attempt.js';
import { createConnectionPool } from '../../src/gateway/backends/pool.js';
import { ForwardingModel, SERVICE } from './forwarding-model.js';

interface NotRunWorld {
  model: ForwardingModel;
  /** Requests of other callers in each second. */
  rate: number;
  arrivals: number;
  failure: AttemptFailure | undefined;
}

const RATIO = 0.1;
const WINDOW_MS = 10_000;
const STEP_MS = 50;
const MS_PER_SECOND = 1_000;

/** Requests that arrive at the gateway beside the observed one. */
function passWithOthers({ model, rate }: NotRunWorld, ms: number): void {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    const due = (rate * STEP_MS) / MS_PER_SECOND;
    for (let request = 0; request < due; request += 1) model.deps.backends.recordRequest('app');
    model.pass(STEP_MS);
  }
}

function spendRetries({ deps }: ForwardingModel): void {
  while (deps.backends.takeRetry(SERVICE.name, 'other')) deps.backends.settleRetry(SERVICE.name);
}

Given(
  /^a gateway with (\d+) plain servers?, an? (empty|free) retry budget and (\d+) requests a second$/,
  function (this: NotRunWorld, servers: string, budget: string, rate: string) {
    const ratio = budget === 'free' ? 1 : RATIO;
    this.model = new ForwardingModel(Number(servers), { ratio, windowMs: WINDOW_MS, slack: 0 });
    this.rate = Number(rate);
    passWithOthers(this, WINDOW_MS);
    if (budget === 'empty') spendRetries(this.model);
  },
);

Given('answers of the service take {int} ms', function (this: NotRunWorld, ms: number) {
  const service = { service: SERVICE, route: { targetMs: 0 } };
  this.model.deps.queues.recordFirstEvent(service as never, ms);
});

When('a request that must not run twice is refused by its server', function (this: NotRunWorld) {
  this.model.start(6_000);
  this.model.refuse();
});

When(
  'a request that must not run twice is refused by its server with {int} ms left',
  function (this: NotRunWorld, leftMs: number) {
    this.model.start(6_000);
    this.model.clock.advance(6_000 - leftMs);
    this.model.refuse();
  },
);

When(
  "a request that must not run twice can't be sent to {int} servers",
  function (this: NotRunWorld, servers: number) {
    this.model.start(6_000);
    for (let server = 0; server < servers; server += 1)
      this.model.fail({ kind: 'notSent', reason: 'connection refused' });
  },
);

When(
  'a request that must not run twice is sent and its caller leaves',
  function (this: NotRunWorld) {
    this.model.start(6_000);
    this.model.leave();
  },
);

When('its caller leaves', function (this: NotRunWorld) {
  this.model.leave();
});

Then('the connection to its server was closed', function (this: NotRunWorld) {
  assert.equal(this.model.sent.length, 1);
  assert.equal(this.model.cancelled, 1);
});

When('{int} ms pass with their requests', function (this: NotRunWorld, ms: number) {
  passWithOthers(this, ms);
});

Then('the request waits', function (this: NotRunWorld) {
  assert.equal(this.model.failure, undefined);
  assert.equal(this.model.sent.length, 1);
});

Then('the caller has no answer yet', function (this: NotRunWorld) {
  assert.equal(this.model.failure, undefined);
});

Then('the caller is told that it was not run', function (this: NotRunWorld) {
  assert.equal(this.model.failure?.kind, 'noCapacity');
});

Then('the request was sent to {int} servers', function (this: NotRunWorld, servers: number) {
  const ids = new Set(this.model.sent.map(({ request }) => request.server.id));
  assert.equal(ids.size, servers);
});

Then('the request was sent twice to that server', function (this: NotRunWorld) {
  assert.equal(this.model.sent.length, 2);
});

Then(
  'in {int} s of requests that are all refused at first, at most {int} in 100 are sent twice',
  function (this: NotRunWorld, seconds: number, percent: number) {
    const { model } = this;
    const requests = seconds * 5;
    for (let request = 0; request < requests; request += 1) {
      const before = model.sent.length;
      model.start(6_000);
      model.refuse();
      passWithOthers(this, MS_PER_SECOND / 5);
      if (model.sent.length > before + 1) model.refuse();
    }
    const counted = requests + seconds * this.rate;
    const retries = model.sent.length - requests;
    assert.ok(retries > 0 && retries <= (counted * percent) / 100, `${retries} of ${counted}`);
  },
);

When(
  'a request gets a connection that opens {int} ms after its last moment to send',
  async function (this: NotRunWorld, ms: number) {
    this.arrivals = 0;
    const server = createServer((_request, response) => {
      this.arrivals += 1;
      response.writeHead(200, { 'Attempt-Id': 'request-1', 'content-length': 0 }).end();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const clock = createManualClock(MS_PER_SECOND);
    const pool = createConnectionPool({ clock, onOpen: () => undefined, maxIdle: () => 0 });
    const send = createAttemptSender(pool, platform.requests, clock, () => undefined);
    await new Promise<void>((resolve) => {
      send(
        {
          server: { id: 'plain-0', address: `127.0.0.1:${port}` },
          method: 'GET',
          path: '/list/x',
          headers: [],
          body: undefined,
          requestId: 'request-1',
          requiresNewConnection: true,
          sendUntil: () => 2 * MS_PER_SECOND,
        },
        {
          onNotice: () => undefined,
          onResponse: () => undefined,
          onData: () => undefined,
          onEnd: resolve,
          onFailure: (failure) => {
            this.failure = failure;
            resolve();
          },
        },
      );
      // The connection opens in a later turn of the event loop.
      clock.advance(MS_PER_SECOND + ms);
    });
    await pool.close();
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  },
);

Then(/^the server has (not got|got) it$/, function (this: NotRunWorld, got: string) {
  assert.equal(this.arrivals, got === 'got' ? 1 : 0);
  assert.equal(this.failure?.kind, got === 'got' ? undefined : 'tooLate');
});
