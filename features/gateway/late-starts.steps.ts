/**
 * Requests that wait, or whose connections open, while their gateway stops.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { ForwardingModel } from './forwarding-model.js';

interface LateStartWorld {
  model: ForwardingModel;
}

/** Longer than the grace periods of these scenarios. */
const CALLER_WAITS_MS = 6_000;

When(
  'the gateway is told to stop with a grace of {int} ms',
  function (this: LateStartWorld, graceMs: number) {
    this.model.stop(graceMs);
  },
);

When(
  'a request that must not run twice is sent and its connection takes long to open',
  function (this: LateStartWorld) {
    this.model.start(CALLER_WAITS_MS);
    assert.equal(this.model.sent.length, 1);
  },
);

When('{int} ms pass without other requests', function (this: LateStartWorld, ms: number) {
  this.model.pass(ms);
});

When('the connection opens {int} ms later', function (this: LateStartWorld, ms: number) {
  this.model.pass(ms);
});

Then('the request is written', function (this: LateStartWorld) {
  assert.ok(isStillWritten(this.model));
});

Then('the request is not written, and refused as not run', function (this: LateStartWorld) {
  assert.ok(!isStillWritten(this.model), 'it is written');
  this.model.fail({ kind: 'tooLate', reason: 'too little time was left' });
  assert.equal(this.model.failure?.kind, 'stopping');
  assert.equal(this.model.sent.length, 1);
});

Then('the caller is told that the gateway stops', function (this: LateStartWorld) {
  assert.equal(this.model.failure?.kind, 'stopping');
});

/** Whether the connection still writes the request, by the last moment that it was given. */
function isStillWritten({ clock, sent }: ForwardingModel): boolean {
  const sendUntil = sent.at(-1)?.request.sendUntil();
  return sendUntil !== undefined && clock.now() <= sendUntil;
}
