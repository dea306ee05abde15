/**
 * Entries of engines whose process has ended, as a gateway meets them.
 */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { LogLine } from './site.js';
import type { GatewayWorld } from './world.js';

const FORMER = 'engine-former';

function listOrders({ gateway }: GatewayWorld): LogLine[] {
  return gateway.lines.filter(({ name, server }) => name === 'orderSent' && server === FORMER);
}

Given(
  'the entry of a former life comes back at the address of an engine',
  function (this: GatewayWorld) {
    const [engine] = this.site.listOpen();
    assert.ok(engine);
    const entry = this.site.store.read('servers', engine.options.id) as Record<string, unknown>;
    this.site.store.put('servers', FORMER, { ...entry, group: null });
  },
);

Given(
  'an order for it was answered by the engine that is there now',
  async function (this: GatewayWorld) {
    await waitFor('the answer', () =>
      listOrders(this).some(({ outcome }) => outcome === 'otherInstance'),
    );
  },
);

Then(
  'at most {int} orders were sent to the former life',
  function (this: GatewayWorld, most: number) {
    const sent = listOrders(this).map(
      ({ order, outcome }) => `${String(order)} ${String(outcome)}`,
    );
    assert.ok(sent.length <= most, sent.join(', '));
  },
);
