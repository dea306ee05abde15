/**
 * Which members stage the weights of another model, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  countLoadDemand,
  listOrders,
  type DueOrder,
  type GroupPlan,
  type GroupTarget,
} from '../../src/controllers/groups/index.js';
import type { BackendServer } from '../../src/ports/index.js';
import { createServer, createView, LARGE, SMALL } from './planning-model.js';

interface ReserveWorld {
  servers: BackendServer[];
  plan: GroupPlan;
  orders: DueOrder[];
  targets: GroupTarget[];
}

Given(
  'a domain of {int} instances in groups of the small model, {int} of which hold the large one too',
  function (this: ReserveWorld, instances: number, holders: number) {
    const groupCount = instances / SMALL.size;
    this.servers = Array.from({ length: instances }, (_, index) => {
      const group = `fabric.${Math.floor(index / SMALL.size) + 1}`;
      const epoch = Math.floor(index / SMALL.size) + 1;
      const rank = index % SMALL.size;
      const membership = { group, epoch, rank, state: 'open' as const };
      const staged = [index < holders ? LARGE.name : SMALL.name];
      return createServer(`i-${index}`, {
        model: SMALL.name,
        lastModel: SMALL.name,
        staged,
        membership,
      });
    });
    this.plan = {
      lastEpoch: groupCount,
      groups: Array.from({ length: groupCount }, (_, index) => ({
        name: `fabric.${index + 1}`,
        epoch: index + 1,
        model: SMALL.name,
        closing: 'no' as const,
        members: this.servers
          .slice(index * SMALL.size, (index + 1) * SMALL.size)
          .map(({ id, address }) => ({ id, address })),
      })),
    };
  },
);

When(
  'the domain with a target of {int} large group(s) is planned',
  function (this: ReserveWorld, groups: number) {
    this.targets = [
      { model: LARGE, groups },
      { model: SMALL, groups: 2 },
    ];
    const view = createView(this.servers, { targets: this.targets, loadSlots: 9 });
    this.orders = listOrders(this.plan, view);
  },
);

function listStaging({ orders }: ReserveWorld, model: string): string[] {
  return orders.flatMap(({ to, order }) =>
    order.kind === 'stage' && order.model === model ? [to.id] : [],
  );
}

Then(
  '{int} members are ordered to stage the large model',
  function (this: ReserveWorld, count: number) {
    assert.equal(listStaging(this, LARGE.name).length, count);
  },
);

Then('no member is ordered to stage a model that it holds', function (this: ReserveWorld) {
  const holders = this.servers.filter(({ engine }) => engine?.staged.includes(LARGE.name));
  const ordered = listStaging(this, LARGE.name);
  assert.ok(holders.every(({ id }) => !ordered.includes(id)));
  assert.deepEqual(listStaging(this, SMALL.name), []);
});

Then('the domain asks for {int} load(s)', function (this: ReserveWorld, loads: number) {
  const groups = new Map([
    [LARGE.name, this.targets[0]?.groups ?? 0],
    [SMALL.name, 2],
  ]);
  assert.equal(countLoadDemand(this.servers, this.targets, groups), loads);
});
