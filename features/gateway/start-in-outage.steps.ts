/**
 * Gateways that start while nobody hears the store.
 */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { Given, Then, When } from '@cucumber/cucumber';
import { LagTracker } from '../../src/controllers/peering/index.js';
import { waitFor } from '../support/waiting.js';
import { Site, type GatewayPlan, type GatewayProcess } from './site.js';
import type { GatewayWorld } from './world.js';

interface StartWorld extends GatewayWorld {
  plan: GatewayPlan;
  started: GatewayProcess;
  gateways: GatewayProcess[];
  lateAfterMs: number | undefined;
}

const LIST = { path: '/list/slots' };
const LONGEST_LAG_MS = 10_000;

Given('a gateway that is ready, and one more that is to start', async function (this: StartWorld) {
  this.site = new Site();
  await this.site.open();
  this.site.configure();
  await this.site.addServer({ id: 'plain-0', service: 'app' });
  const first = this.site.planGateway();
  this.plan = { ...this.site.planGateway(), seeds: [first.peers] };
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
  // An idle connection of a caller keeps the first up for as long as the balancer may send requests.
  await this.site.ask(this.gateway, { ...LIST, agent: new Agent({ keepAlive: true }) });
  this.gateway.signal('SIGTERM');
  await waitFor('the stop to begin', () =>
    this.gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
  this.started = await this.site.launch(this.plan);
});

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
    const lag = new LagTracker();
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
