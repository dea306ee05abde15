/**
 * Checks of retries in flight by the watchdog, without a network.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock } from '../../src/core/clock/index.js';
import type { BackendTracker } from '../../src/gateway/requests/backend-tracker.js';
import { createGatewayMetrics } from '../../src/gateway/operations/metrics.js';
import { createWatchdog, type Watchdog } from '../../src/gateway/requests/watchdog.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import { waitFor } from '../support/waiting.js';

interface RetryWorld {
  watchdog?: Watchdog;
  ticks: number;
  hasArrived: boolean;
}

const SENT_AT = 10_000;
const CHECKED_AT = 10_100;
/** Longer than the retry is in flight. */
const STALL_MS = 5_000;

After(async function (this: RetryWorld) {
  await this.watchdog?.stop();
});

Given(
  'a retry that its server has not answered, and the server was heard from {int} ms after it was sent',
  function (this: RetryWorld, ms: number) {
    const backends: Partial<BackendTracker> = {
      lastContactAt: () => SENT_AT + ms,
      lastProgressAt: () => SENT_AT,
      isPreviousProcess: () => false,
    };
    const context: Partial<GatewayContext> = {
      clock: createManualClock(CHECKED_AT),
      metrics: createGatewayMetrics(),
    };
    this.watchdog = createWatchdog(context as GatewayContext, backends as BackendTracker);
    this.hasArrived = false;
    this.ticks = 0;
    this.watchdog.onTick(() => {
      this.ticks += 1;
    });
    this.watchdog.attempts.add({
      server: 'server-1',
      sentAt: SENT_AT,
      lastProgressAt: SENT_AT,
      serverStallMs: STALL_MS,
      attemptStallMs: STALL_MS,
      paused: false,
      isRelayed: false,
      isUnsettledRetry: true,
      onReached: () => {
        this.hasArrived = true;
      },
      onStall: () => assert.fail('the attempt has not stalled'),
    });
  },
);

When('the attempts in flight are checked', async function (this: RetryWorld) {
  this.watchdog?.start();
  await waitFor('a check', () => this.ticks > 0);
});

Then(/^the retry counts as (arrived|on its way)$/, function (this: RetryWorld, state: string) {
  assert.equal(this.hasArrived, state === 'arrived');
});
