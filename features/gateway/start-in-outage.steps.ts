/**
 * Gateways that start while nobody hears the store.
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
  /** The way on which the other gateway can first hear of the one that stops. */
  seedLink: Proxy;
  /** Keeps the gateway that stops from ending. */
  unfinished: ClientRequest;
  gateways: GatewayProcess[];
  lateAfterMs: number | undefined;
}

const LIST = { path: '/list/slots' };
const LONGEST_LAG_MS = 10_000;
/** Longer than any wait of a step. */
const LONGEST_REQUEST_MS = 60_000;
/** A stop finishes what is due within it. */
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
  // Of two servers the one that answers nobody may come under suspicion.
  await this.site.addServer({ id: 'plain-1', service: 'app' });
  const first = { ...this.site.planGateway(), graceMs: LONG_GRACE_MS };
  const link = await createProxy({ listen: '127.0.0.1:0', target: first.peers });
  this.seedLink = link._unsafeUnwrap();
  this.plan = { ...this.site.planGateway(), seeds: [this.seedLink.address] };
  this.gateway = await this.site.launch(first);
  await this.site.whenReady(this.gateway);
});

Given('the store is away', async function (this: StartWorld) {
  this.site.store.fault = 'down';
  // Ends the watches that wait, so that the gateway meets the fault now.
  this.site.store.compact();
  await waitFor('the gateway to notice', () =>
    this.gateway.lines.some(({ name }) => name === 'storeLost'),
  );
});

When('the first is told to stop and the other one starts', async function (this: StartWorld) {
  this.unfinished = await holdUp(this);
  // How long a process takes to start says nothing of the gateway: it hears of the first only when
  // that one is stopping, and the first ends only with the request that nobody answers.
  (await this.seedLink.control({ refuse: true }))._unsafeUnwrap();
  this.started = await this.site.launch(this.plan);
  const before = await waitFor('the other one to listen', () =>
    this.site.ask(this.started, LIST).catch(() => undefined),
  );
  assert.equal(before.status, 503);
  this.gateway.signal('SIGTERM');
  await waitFor('the stop to begin', () =>
    this.gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
  (await this.seedLink.control({ refuse: false }))._unsafeUnwrap();
});

/** A request that its gateway must not cut short, at a server that never answers it. */
async function holdUp({ site, gateway }: StartWorld): Promise<ClientRequest> {
  for (const server of site.servers) server.fault = { kind: 'stall' };
  const headers = exampleHeaders('unfinished', LONGEST_REQUEST_MS);
  const begun = request(`http://${gateway.callers}/check/slots`, { method: 'POST', headers });
  begun.on('error', () => undefined);
  begun.end();
  await waitFor('it to be sent', () => gateway.lines.some(({ name }) => name === 'requestSent'));
  for (const server of site.servers) server.fault = { kind: 'none' };
  return begun;
}

Then('the other one serves callers before the first has ended', async function (this: StartWorld) {
  let hasEnded = false;
  void this.gateway.exited.then(() => {
    hasEnded = true;
  });
  const status = await waitFor('an answer of the other one, or the end of the first', async () => {
    const answer = await this.site.ask(this.started, LIST);
    return answer.status === 200 || hasEnded ? answer.status : undefined;
  });
  assert.equal(status, 200);
});

Given(
  'a gateway that has just started and hears of a configuration every {int} ms',
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
  'the store is away before two gateways start that know of nobody',
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

Then('they hear of each other', async function (this: StartWorld) {
  await waitFor('both to hear of the other', () =>
    this.gateways.every(({ lines }) => lines.some(({ name }) => name === 'peerHeard')),
  );
});
