/**
 * How long a gateway that has just started holds requests, without a network.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { createSection, type WritableSection } from '../../src/board/index.js';
import type { ServingIndex } from '../../src/controllers/forwarding/index.js';
import { createStartupWait, type StartupWait } from '../../src/gateway/requests/startup-wait.js';
import type { GatewayContext } from '../../src/gateway/types.js';

interface StartupWorld {
  now: number;
  serving: WritableSection<ServingIndex | undefined>;
  wait: StartupWait;
  /** When the request could go on at the earliest. */
  releasedAt: number;
  wentOnAt: number;
}

// The section only tells whether there is a configuration.
const CONFIGURATION = {} as ServingIndex;

function startGateway(world: StartupWorld): void {
  world.now = 0;
  world.serving = createSection<ServingIndex | undefined>(undefined);
  const board = { serving: world.serving } as unknown as GatewayContext['board'];
  world.wait = createStartupWait({ board, clock: { now: () => world.now } });
}

async function arrive(world: StartupWorld): Promise<void> {
  await world.wait();
  world.wentOnAt = performance.now();
}

Given('a gateway that has just started', function (this: StartupWorld) {
  startGateway(this);
});

Given('a gateway that has just started and has a configuration', function (this: StartupWorld) {
  startGateway(this);
  this.serving.write(CONFIGURATION);
});

Given(
  'a gateway that started {int} ms ago and has no configuration',
  function (this: StartupWorld, agoMs: number) {
    startGateway(this);
    this.now = agoMs;
  },
);

When('a request arrives', async function (this: StartupWorld) {
  this.releasedAt = performance.now();
  await arrive(this);
});

When(
  'a request arrives, and the configuration {int} ms later',
  async function (this: StartupWorld, afterMs: number) {
    const arrival = arrive(this);
    await sleep(afterMs);
    this.releasedAt = performance.now();
    this.serving.write(CONFIGURATION);
    await arrival;
  },
);

Then('the request goes on within {int} ms', function (this: StartupWorld, ms: number) {
  const tookMs = this.wentOnAt - this.releasedAt;
  assert.ok(tookMs >= 0 && tookMs <= ms, `${tookMs} ms`);
});

Then(
  'the request goes on within {int} ms of the configuration',
  function (this: StartupWorld, ms: number) {
    const tookMs = this.wentOnAt - this.releasedAt;
    assert.ok(tookMs >= 0 && tookMs <= ms, `${tookMs} ms`);
  },
);
