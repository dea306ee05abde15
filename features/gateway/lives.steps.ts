/**
 * Backend servers that restart under the same id, tested with gateway processes.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { Arrival, EngineStandIn } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface ProcessRestartWorld extends GatewayWorld {
  restarted: EngineStandIn;
  formerGroup: string;
  /** Requests that reached the process at the new address. */
  newProcessArrivals: Arrival[];
}

const LIST = { path: '/list/slots' };
const REQUEST_COUNT = 12;

When('a member of an open group starts again', async function (this: ProcessRestartWorld) {
  const member = this.site.servers.find(({ membership }) => membership?.rank === 1);
  assert.ok(member?.membership);
  this.restarted = member;
  this.formerGroup = member.membership.name;
  await member.restart();
});

Then(
  'its former group is not open any more and {int} groups are open',
  async function (this: ProcessRestartWorld, groups: number) {
    await waitFor('groups of other members', () => {
      const open = this.site.listOpen().map(({ membership }) => membership?.name);
      return open.length === groups && !open.includes(this.formerGroup);
    });
  },
);

Then(
  'the restarted engine was never ordered to join its former group',
  function (this: ProcessRestartWorld) {
    const { orders } = this.restarted;
    assert.ok(!orders.includes(`join ${this.formerGroup}`), orders.join(', '));
  },
);

function findIdleEngine({ site }: ProcessRestartWorld): EngineStandIn | undefined {
  return site.servers.find(({ membership }) => membership === undefined);
}

Given('the idle engine has weights on its host', async function (this: ProcessRestartWorld) {
  await waitFor('weights on its host', () => findIdleEngine(this)?.staged.length === 1);
});

When('the idle engine starts again', async function (this: ProcessRestartWorld) {
  const idle = findIdleEngine(this);
  assert.ok(idle);
  this.restarted = idle;
  await idle.restart();
});

Then(
  'it has weights on its host again within {int} ms',
  async function (this: ProcessRestartWorld, ms: number) {
    await waitFor('weights on its host', () => this.restarted.staged.length === 1, ms);
  },
);

Given('connections to it are kept', async function (this: ProcessRestartWorld) {
  await Promise.all(
    Array.from({ length: REQUEST_COUNT }, () => this.site.request(this.gateway, LIST)),
  );
});

When(
  'its id is started at another address while the former process keeps running',
  async function (this: ProcessRestartWorld) {
    const id = this.site.servers[0]?.options.id ?? '';
    this.newProcessArrivals = [];
    const next = await this.site.addServer({
      id,
      service: 'app',
      journal: this.newProcessArrivals,
    });
    await waitFor('the gateway to know', () =>
      this.gateway.lines.some((line) => line.server === id && line.address === next.address),
    );
  },
);

Then(
  'no request reaches the former process once the gateway knows',
  async function (this: ProcessRestartWorld) {
    const before = this.site.journal.length;
    for (let asked = 0; asked < REQUEST_COUNT; asked += 1) {
      assert.equal((await this.site.request(this.gateway, LIST)).status, 200);
    }
    assert.equal(this.site.journal.length, before);
    assert.equal(this.newProcessArrivals.length, REQUEST_COUNT);
  },
);
