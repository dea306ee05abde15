/**
 * Requests against the memory of replicas, with a gateway as a process.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Site, type Answer } from './site.js';
import type { GatewayWorld } from './world.js';

interface MemoryWorld extends GatewayWorld {
  id: string;
  answer: Answer;
}

Given(
  'a site with {int} engines that hold {int} tokens, and a gateway',
  async function (this: MemoryWorld, engines: number, tokens: number) {
    this.site = new Site();
    await this.site.open();
    for (let index = 0; index < engines; index += 1)
      await this.site.addServer({ id: `engine-${index}`, service: 'models', domain: 'domain' });
    this.site.configure({ engine: { kv_capacity_tokens: tokens } });
    await this.site.waitUntilReady(await this.site.startGateway());
    await this.site.waitForOpenGroups(1);
  },
);

When(
  'a stream with a prompt of {int} and an output of {int} tokens is asked for',
  async function (this: MemoryWorld, prompt: number, output: number) {
    const [gateway] = this.site.gateways;
    assert.ok(gateway);
    this.id = this.site.nextId();
    const headers = { 'Token-Count': `${prompt},${output}` };
    this.answer = await this.site.request(gateway, { path: '/chat/x', headers });
  },
);

Then('the answer has the status {int}', function (this: MemoryWorld, status: number) {
  assert.equal(this.answer.status, status);
});

Then('{int} engines have run it', function (this: MemoryWorld, runs: number) {
  assert.equal(this.site.listServersThatRan(this.id).length, runs);
});
