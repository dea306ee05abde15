/**
 * Faults of the store around a change of the configuration, and when the change is in force.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { GatewayProcess } from './site.js';
import { openSite, type GatewayWorld } from './world.js';

const LIST = { path: '/list/slots' };

Given(
  'a site with {int} plain server and {int} ready gateways',
  async function (this: GatewayWorld, servers: number, gateways: number) {
    await openSite(this, servers);
    this.site.configure();
    const started = Array.from({ length: gateways }, () => this.site.startGateway());
    for (const gateway of await Promise.all(started)) await this.site.whenReady(gateway);
    await waitFor('the gateways to know each other', () => this.site.gateways.every(hasHeardAll));
    function hasHeardAll({ lines }: GatewayProcess): boolean {
      return lines.filter(({ name }) => name === 'peerHeard').length >= gateways - 1;
    }
  },
);

When('the store is silent for {int} ms', async function (this: GatewayWorld, ms: number) {
  const { store } = this.site;
  store.fault = 'silent';
  await sleep(ms);
  store.fault = 'none';
});

When('the operator takes the key away as the store returns', function (this: GatewayWorld) {
  this.site.configure({ version: 9, keys: ['another-key'] });
  this.acknowledgedAt = performance.now();
});

Then(
  'every gateway refuses with 401 within {int} ms of the acknowledgement',
  async function (this: GatewayWorld, ms: number) {
    const { site, acknowledgedAt } = this;
    const took = await Promise.all(
      site.gateways.map(async (gateway) => {
        await waitFor('the refusal', async () => (await site.ask(gateway, LIST)).status === 401);
        return performance.now() - acknowledgedAt;
      }),
    );
    const worst = Math.round(Math.max(...took));
    assert.ok(worst <= ms, `in force everywhere only after ${worst} ms`);
  },
);
