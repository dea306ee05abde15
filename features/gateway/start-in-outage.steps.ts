/**
 * Gateways that start while the store is unavailable.
 */
import assert from 'node:assert/strict';
import { request, type ClientRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { LagTracker } from '../../src/controllers/peering/index.js';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';
import { waitFor } from '../support/waiting.js';
import { Site, type GatewayPlan, type GatewayProcess } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { GatewayWorld } from './world.js';

interface StartWorld extends GatewayWorld {
  plan: GatewayPlan;
  started: GatewayProcess;
  /** Proxy through which the new gateway discovers the one that stops. */
  seedLink: Proxy;
  /** A request that keeps the stopping gateway alive. */
  unfinished: ClientRequest;
  gateways: GatewayProcess[];
  lateAfterMs: number | undefined;
}

const LIST = { path: '/list/slots' };
const LONGEST_LAG_MS = 10_000;
/** Longer than any step waits. */
const LONGEST_REQUEST_MS = 60_000;
/** Lets a stopping gateway finish the open request. */
const LONG_GRACE_MS = 120_000;

After(async function (this: Partial<StartWorld>) {
  this.unfinished?.destroy();
  await this.seedLink?.stop();
});

Given('a gateway that is ready, and one more that is to start', async function (this: StartWorld) {
  this.site = new Site();
  await this.site.open();
  this.site.configure({ route: { timeout_ms: LONGEST_REQUEST_MS } });
  await this.site.addServer({ id: 'plain-0', service: 'app' });
  // The server that holds the unfinished request may be suspected; this one serves the others.
  await this.site.addServer({ id: 'plain-1', service: 'app' });
  const first = { ...this.site.planGateway(), graceMs: LONG_GRACE_MS };
  const link = await createProxy({ listen: '127.0.0.1:0', target: first.peers });
  this.seedLink = link._unsafeUnwrap();
  this.plan = { ...this.site.planGateway(), seeds: [this.seedLink.address] };
  this.gateway = await this.site.launch(first);
  await this.site.waitUntilReady(this.gateway);
});

Given('the store is unavailable', async function (this: StartWorld) {
  this.site.store.fault = 'down';
  // Ends waiting watches, so that the gateway notices the fault at once.
  this.site.store.compact();
  await waitFor('the gateway to notice', () =>
    this.gateway.lines.some(({ name }) => name === 'storeLost'),
  );
});

When('the first is told to stop and the other one starts', async function (this: StartWorld) {
  this.unfinished = await holdRequestOpen(this);
  // Independent of process start time: the new gateway discovers the first one only once it is
  // stopping, and the first one ends only with its unfinished request.
  (await this.seedLink.control({ refuse: true }))._unsafeUnwrap();
  this.started = await this.site.launch(this.plan);
  const before = await waitFor('the other one to listen', () =>
    this.site.request(this.started, LIST).catch(() => undefined),
  );
  assert.equal(before.status, 503);
  this.gateway.signal('SIGTERM');
  await waitFor('the stop to begin', () =>
    this.gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
  (await this.seedLink.control({ refuse: false }))._unsafeUnwrap();
});

/** Sends a request to a server that never answers, which the gateway must not cut short. */
async function holdRequestOpen({ site, gateway }: StartWorld): Promise<ClientRequest> {
  for (const server of site.servers) server.fault = { kind: 'stall' };
  const headers = exampleHeaders('unfinished', LONGEST_REQUEST_MS);
  const outgoing = request(`http://${gateway.callers}/check/slots`, { method: 'POST', headers });
  outgoing.on('error', () => undefined);
  outgoing.end();
  await waitFor('it to be sent', () => gateway.lines.some(({ name }) => name === 'requestSent'));
  for (const server of site.servers) server.fault = { kind: 'none' };
  return outgoing;
}

Then('the other one serves callers before the first has ended', async function (this: StartWorld) {
  let hasEnded = false;
  void this.gateway.exited.then(() => {
    hasEnded = true;
  });
  const status = await waitFor('an answer of the other one, or the end of the first', async () => {
    const answer = await this.site.request(this.started, LIST);
    return answer.status === 200 || hasEnded ? answer.status : undefined;
  });
  assert.equal(status, 200);
});

Given(
  'a gateway that has just started and learns of a configuration every {int} ms',
  function (this: StartWorld, everyMs: number) {
    const lag = new LagTracker(0);
    const own = { configurationVersion: 0, fleetRevision: 0 };
    const known = { configurationVersion: 2, fleetRevision: 5 };
    this.lateAfterMs = undefined;
    for (let now = 0; this.lateAfterMs === undefined && now < LONGEST_LAG_MS; now += everyMs) {
      if (lag.isLate(own, known, now)) this.lateAfterMs = now;
    }
  },
);

Given(
  'the store is unavailable before two gateways without peers start',
  async function (this: StartWorld) {
    this.site = new Site();
    await this.site.open();
    this.site.configure();
    this.site.store.fault = 'down';
    const plans = [this.site.planGateway(), this.site.planGateway()];
    this.gateways = await Promise.all(
      plans.map((plan) => this.site.launch({ ...plan, seeds: [] })),
    );
    await waitFor('both to have tried in vain', () =>
      this.gateways.every(({ lines }) => lines.some(({ name }) => name === 'peerCallFailed')),
    );
  },
);

When('the store is back', function (this: StartWorld) {
  this.site.store.fault = 'none';
});

Then('they discover each other', async function (this: StartWorld) {
  await waitFor('both to discover each other', () =>
    this.gateways.every(({ lines }) => lines.some(({ name }) => name === 'peerHeard')),
  );
});
