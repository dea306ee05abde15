/**
 * Steps for the operators' API over HTTP.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createOperators, type Operators } from '../../src/adapters/operators/index.js';
import { statusSchema } from '../../src/controllers/status/index.js';
import { createTestFleet, type TestFleet } from '../support/entries.js';
import { waitFor } from '../support/waiting.js';

interface OperatorWorld {
  operated?: TestFleet;
  listener?: Operators;
  operatorsAddress: string;
  response: { status: number; text: string };
}

Given("an entry with an operators' listener", async function (this: OperatorWorld) {
  const fleet = await createTestFleet();
  this.operated = fleet;
  fleet.platform.put('model', 'known', { replicas: 1 });
  const entry = await fleet.startEntry('entry-1', 'site');
  await waitFor('the entry to be ready', () => entry.membership.readiness().kind === 'ready');
  this.listener = createOperators('127.0.0.1:0', entry.operations);
  this.operatorsAddress = (await this.listener.listen())._unsafeUnwrap();
});

After(async function (this: OperatorWorld) {
  await this.listener?.close();
  await this.operated?.stop();
});

When(
  /^an operator sends (\w+) "([^"]+)" with body (.+)$/,
  async function (this: OperatorWorld, method: string, path: string, body: string) {
    const init = body === 'none' ? { method } : { method, body };
    const response = await fetch(`http://${this.operatorsAddress}${path}`, init);
    this.response = { status: response.status, text: await response.text() };
  },
);

Then(
  /^the operators' API answers (\d+) with "(.+)"$/,
  function (this: OperatorWorld, status: string, text: string) {
    assert.equal(this.response.status, Number(status), this.response.text);
    assert(this.response.text.includes(text), this.response.text);
  },
);

Then(
  'the status over HTTP is valid and names model {string} with a reason',
  async function (this: OperatorWorld, name: string) {
    const response = await fetch(`http://${this.operatorsAddress}/status`);
    const status = statusSchema.parse(await response.json());
    const model = status.models.find((candidate) => candidate.name === name);
    assert.equal(model?.reason, '1 of 1 replicas have no instances');
    assert.equal(status.configuration.acceptance, 'accepted');
  },
);
