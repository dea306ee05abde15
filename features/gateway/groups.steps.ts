import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { EngineStandIn } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

function listOpenGroups(world: GatewayWorld): string[] {
  return world.site.listOpen().map(({ membership }) => `${membership?.name} ${membership?.epoch}`);
}

function membersOf(world: GatewayWorld, head: EngineStandIn): EngineStandIn[] {
  const { membership } = head;
  return world.site.servers.filter(
    (server) =>
      server.membership?.name === membership?.name &&
      server.membership?.epoch === membership?.epoch,
  );
}

Then('no engine is a member of two groups', function (this: GatewayWorld) {
  for (const head of this.site.listOpen()) assert.equal(membersOf(this, head).length, 2);
});

Then('each head was opened only after all its members were ready', function (this: GatewayWorld) {
  for (const head of this.site.listOpen()) {
    for (const member of membersOf(this, head)) {
      assert.ok(['ready', 'open'].includes(member.membership?.state ?? ''));
    }
  }
});

When('a member of an open group ends', function (this: GatewayWorld) {
  this.groupsBefore = listOpenGroups(this);
  const member = this.site.servers.find(({ membership }) => membership?.rank === 1);
  assert.ok(member?.membership);
  this.lastId = member.membership.name;
  member.crash();
  this.site.store.remove('servers', member.options.id);
  this.site.servers.splice(this.site.servers.indexOf(member), 1);
});

Then('{int} groups are open again without it', async function (this: GatewayWorld, groups: number) {
  await waitFor('a new group', () => {
    const open = listOpenGroups(this);
    return open.length === groups && open.some((group) => !this.groupsBefore.includes(group));
  });
});

Then('its head left its group before it joined another', function (this: GatewayWorld) {
  for (const { orders } of this.site.servers) {
    const left = orders.indexOf(`leave ${this.lastId}`);
    const joined = orders.findIndex(
      (order, index) => order.startsWith('join') && index > 0 && !order.endsWith(` ${this.lastId}`),
    );
    const wasHead = orders.includes(`open ${this.lastId}`);
    if (wasHead && joined >= 0) assert.ok(left >= 0 && left < joined, orders.join(', '));
  }
});

When('the gateway is killed and another one starts', async function (this: GatewayWorld) {
  this.groupsBefore = listOpenGroups(this);
  this.gateway.signal('SIGKILL');
  await this.gateway.exited;
  this.gateway = await this.site.startGateway();
  await this.site.waitUntilReady(this.gateway);
});

Then(
  'the same groups are open after the new gateway has served a stream',
  async function (this: GatewayWorld) {
    await waitFor('the new gateway to own the domain', () =>
      this.gateway.lines.some(({ name }) => name === 'domainTaken'),
    );
    const ask = { method: 'POST', path: '/chat/talk', body: '{}' };
    const answer = await this.site.request(this.gateway, ask);
    assert.equal(answer.status, 200, answer.body);
    assert.deepEqual(listOpenGroups(this), this.groupsBefore);
  },
);

When('the store loses the answers to writes', function (this: GatewayWorld) {
  this.site.store.fault = 'loseWrites';
});

When('the store answers again after a plan was written', async function (this: GatewayWorld) {
  await waitFor('a written plan', () =>
    this.site.store.writes.some((write) => write.startsWith('group-plans/')),
  );
  this.site.store.fault = 'none';
});

Then('{int} groups are open in the end', async function (this: GatewayWorld, groups: number) {
  await this.site.waitForOpenGroups(groups);
});
