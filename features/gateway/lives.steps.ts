/**
 * Engines that start again under their ids, as a gateway's process meets them.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { Arrival, EngineStandIn } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface LivesWorld extends GatewayWorld {
  restarted: EngineStandIn;
  formerGroup: string;
  /** What reached the life at another address. */
  arrivals: Arrival[];
}

const LIST = { path: '/list/slots' };
const ASKED = 12;

When('a member of an open group starts again', async function (this: LivesWorld) {
  const member = this.site.servers.find(({ membership }) => membership?.rank === 1);
  assert.ok(member?.membership);
  this.restarted = member;
  this.formerGroup = member.membership.name;
  await member.restart();
});

Then(
  'its former group is not open any more and {int} groups are open',
  async function (this: LivesWorld, groups: number) {
    await waitFor('groups of other members', () => {
      const open = this.site.listOpen().map(({ membership }) => membership?.name);
      return open.length === groups && !open.includes(this.formerGroup);
    });
  },
);

Then('the new life was never told to join its former group', function (this: LivesWorld) {
  const { orders } = this.restarted;
  assert.ok(!orders.includes(`join ${this.formerGroup}`), orders.join(', '));
});

function findIdle({ site }: LivesWorld): EngineStandIn | undefined {
  return site.servers.find(({ membership }) => membership === undefined);
}

Given('the idle engine has weights on its host', async function (this: LivesWorld) {
  await waitFor('weights on its host', () => findIdle(this)?.staged.length === 1);
});

When('the idle engine starts again', async function (this: LivesWorld) {
  const idle = findIdle(this);
  assert.ok(idle);
  this.restarted = idle;
  await idle.restart();
});

Then(
  'it has weights on its host again within {int} ms',
  async function (this: LivesWorld, ms: number) {
    await waitFor('weights on its host', () => this.restarted.staged.length === 1, ms);
  },
);

Given('connections to it are kept', async function (this: LivesWorld) {
  await Promise.all(Array.from({ length: ASKED }, () => this.site.ask(this.gateway, LIST)));
});

When(
  'its id starts again at another address while the former process lives on',
  async function (this: LivesWorld) {
    const id = this.site.servers[0]?.options.id ?? '';
    this.arrivals = [];
    const next = await this.site.addServer({ id, service: 'app', journal: this.arrivals });
    await waitFor('the gateway to know', () =>
      this.gateway.lines.some((line) => line.server === id && line.address === next.address),
    );
  },
);

Then(
  'no request reaches the former process once the gateway knows',
  async function (this: LivesWorld) {
    const before = this.site.journal.length;
    for (let asked = 0; asked < ASKED; asked += 1) {
      assert.equal((await this.site.ask(this.gateway, LIST)).status, 200);
    }
    assert.equal(this.site.journal.length, before);
    assert.equal(this.arrivals.length, ASKED);
  },
);
