/**
 * What the quarantine of one gateway tells its entry in the store, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Digest } from '../../src/controllers/peering/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import type { EngineCalls } from '../../src/gateway/backends/engine-calls.js';
import { createQuarantine, type Quarantine } from '../../src/gateway/requests/quarantine.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import { waitFor } from '../support/waiting.js';
import { createServer } from './planning-model.js';

interface StoreWorld {
  quarantine: Quarantine;
  writes: number;
}

const FINGERPRINT = 'x';

function createObservedQuarantine(world: StoreWorld): void {
  const context = {
    board: { fleet: { subscribe: () => undefined } },
    clock: createManualClock(1_000),
    logger: { log: () => undefined },
    metrics: { quarantined: { inc: () => undefined } },
  };
  const calls: Pick<EngineCalls, 'probe'> = { probe: () => Promise.resolve({ kind: 'gone' }) };
  world.writes = 0;
  world.quarantine = createQuarantine(context as unknown as GatewayContext, calls);
  world.quarantine.onQuarantine(() => {
    world.writes += 1;
  });
}

Given('a gateway under whose request no server has ended', function (this: StoreWorld) {
  createObservedQuarantine(this);
});

Given('a gateway under whose request a server has ended', async function (this: StoreWorld) {
  createObservedQuarantine(this);
  this.quarantine.recordBroken([FINGERPRINT], createServer('server-0'));
  await waitFor('the end to be reported', () => this.quarantine.buildDigest().reports?.length);
});

When('another gateway reports two more ends under it', function (this: StoreWorld) {
  const reports = ['server-1', 'server-2'].map((server) => ({
    kind: 'serverEnded',
    fingerprint: FINGERPRINT,
    server,
    ageMs: 0,
  }));
  this.quarantine.mergeDigest({ name: 'gateway-1', reports } as unknown as Digest);
});

When('another gateway tells of the quarantine', function (this: StoreWorld) {
  const quarantined = [{ fingerprint: FINGERPRINT, ageMs: 100, leftMs: 500_000 }];
  this.quarantine.mergeDigest({ name: 'gateway-1', quarantined } as unknown as Digest);
});

Then(
  'the request is in quarantine, and its gateway has nothing to store',
  function (this: StoreWorld) {
    assert.notEqual(this.quarantine.leftMs([FINGERPRINT]), undefined);
    assert.equal(this.writes, 0);
  },
);

Then('the request is in quarantine, and its gateway is to store that', function (this: StoreWorld) {
  assert.notEqual(this.quarantine.leftMs([FINGERPRINT]), undefined);
  assert.equal(this.writes, 1);
});
