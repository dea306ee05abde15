/**
 * Entries of engines whose process has ended.
 */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { LogLine } from './site.js';
import type { GatewayWorld } from './world.js';

const PREVIOUS_INCARNATION = 'engine-former';

function listOrders({ gateway }: GatewayWorld): LogLine[] {
  return gateway.lines.filter(
    ({ name, server }) => name === 'orderSent' && server === PREVIOUS_INCARNATION,
  );
}

Given(
  'an entry of a previous incarnation reappears at the address of an engine',
  function (this: GatewayWorld) {
    const [engine] = this.site.listOpen();
    assert.ok(engine);
    const entry = this.site.store.read('servers', engine.options.id) as Record<string, unknown>;
    this.site.store.put('servers', PREVIOUS_INCARNATION, { ...entry, group: null });
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
  'at most {int} orders were sent to the previous incarnation',
  function (this: GatewayWorld, most: number) {
    const sent = listOrders(this).map(
      ({ order, outcome }) => `${String(order)} ${String(outcome)}`,
    );
    assert.ok(sent.length <= most, sent.join(', '));
  },
);
