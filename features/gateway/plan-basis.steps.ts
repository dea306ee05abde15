/**
 * Plans and orders by views of different age, tested without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  listOrders,
  orderKey,
  reportsLaterEpoch,
  revisePlan,
  type DomainView,
  type DueOrder,
  type GroupPlan,
} from '../../src/controllers/groups/index.js';
import type { BackendServer } from '../../src/ports/index.js';
import { createServer, createView } from './planning-model.js';

interface BasisWorld {
  stored: GroupPlan;
  view: DomainView;
  plans: GroupPlan[];
  orders: DueOrder[];
}

const GROUP = {
  name: 'fabric.5',
  epoch: 5,
  model: 'small',
  closing: 'no' as const,
  sender: 'gateway',
};
const STARTED_AT = 7;

function createPlan(formed: boolean, fleetRevision: number): GroupPlan {
  const members = ['a', 'b'].map((id) => ({ id, address: '10.0.0.1:1', startedAt: STARTED_AT }));
  const group = { ...GROUP, members, ...(formed && { formed }) };
  return { lastEpoch: GROUP.epoch, fleetRevision, groups: [group] };
}

function createMember(id: string, reports: boolean, epoch = GROUP.epoch): BackendServer {
  const membership = {
    group: GROUP.name,
    epoch,
    rank: id === 'a' ? 0 : 1,
    state: 'ready' as const,
  };
  const server = createServer(id, reports ? { model: 'small', membership } : {});
  return { ...server, startedAt: STARTED_AT };
}

Given(
  'a formed replica of "a" and "b" in a plan that rests on revision {int}',
  function (this: BasisWorld, revision: number) {
    this.stored = createPlan(true, revision);
  },
);

Given(
  'an unformed replica of "a" and "b", of which all members are ready',
  function (this: BasisWorld) {
    this.stored = createPlan(false, 5);
    const servers = [createMember('a', true), createMember('b', true)];
    const answeredOrders = new Set(['a', 'b'].map((id) => orderKey('join', GROUP, id)));
    this.view = createView(servers, { fleetRevision: 10, isNewerThanPlan: false, answeredOrders });
  },
);

Given(
  /^a view of revision (\d+) in which nobody reports a replica and "b" (.+)$/,
  function (this: BasisWorld, revision: string, sign: string) {
    const member = {
      ...createMember('b', false),
      leaving: sign === 'is leaving',
      ...(sign === 'is another incarnation' && { startedAt: STARTED_AT + 1 }),
    };
    const others = ['a', 'c'].map((id) => createMember(id, false));
    this.view = createView(sign === 'has no entry' ? others : [...others, member], {
      fleetRevision: Number(revision),
      isNewerThanPlan: false,
      lost: new Set(sign === 'answers no probes' ? ['b'] : []),
    });
  },
);

Given(
  /^an order for "([ab])" to join it may be late, its head (answers no probes|has left), and so has "b"$/,
  function (this: BasisWorld, late: string, head: string) {
    const [group] = this.stored.groups;
    assert.ok(group);
    this.stored = { ...this.stored, groups: [{ ...group, closing: 'preempt', lateJoins: [late] }] };
    const isLost = head === 'answers no probes';
    const servers = [createMember('a', isLost), createMember('b', false), createMember('c', false)];
    const lost = new Set(isLost ? ['a'] : []);
    const answeredOrders = new Set(
      ['a', 'b'].filter((id) => id !== late).map((id) => orderKey('join', GROUP, id)),
    );
    const view = { fleetRevision: 11, isNewerThanPlan: false, lost, answeredOrders };
    this.view = createView(servers, view);
  },
);

Given('the replica has been known for longer than orders are late', function (this: BasisWorld) {
  this.view = { ...this.view, settledGroups: new Set([GROUP.name]) };
});

Then(/^the replica is (still planned|planned no more)$/, function (this: BasisWorld, kept: string) {
  const names = this.plans.at(-1)?.groups.map(({ name }) => name) ?? [];
  assert.equal(names.includes(GROUP.name), kept === 'still planned', names.join());
});

Given(
  'a view of revision {int} in which only "a" reports the replica',
  function (this: BasisWorld, fleetRevision: number) {
    const servers = [createMember('a', true), createMember('b', false), createMember('c', false)];
    this.view = createView(servers, { fleetRevision, isNewerThanPlan: false });
  },
);

Given('that view was confirmed after the plan was read', function (this: BasisWorld) {
  this.view = { ...this.view, isNewerThanPlan: true };
});

When(/^it is planned (\d+) times?$/, function (this: BasisWorld, times: string) {
  this.plans = [];
  this.orders = [];
  for (let plan = this.stored; this.plans.length < Number(times); this.plans.push(plan)) {
    plan = revisePlan(plan, this.view);
    this.orders.push(...listOrders(plan, this.view));
  }
});

Given(
  /^an unformed replica of "a" and "b" that another gateway orders to join, for (some time|too long)$/,
  function (this: BasisWorld, time: string) {
    const plan = createPlan(false, 5);
    this.stored = { ...plan, groups: plan.groups.map((g) => ({ ...g, sender: 'other' })) };
    const servers = [createMember('a', true), createMember('b', false)];
    const overdueGroups = new Set(time === 'too long' ? [GROUP.name] : []);
    this.view = createView(servers, { fleetRevision: 10, overdueGroups });
  },
);

Then('nobody is ordered to join', function (this: BasisWorld) {
  assert.deepEqual([this.plans, this.orders], [[this.stored], []]);
});

Then(
  'this gateway orders to join, and notes that former orders may be late',
  function (this: BasisWorld) {
    const [group] = this.plans[0]?.groups ?? [];
    assert.deepEqual([group?.sender, group?.lateJoins], ['gateway', ['a', 'b']]);
    const joined = this.orders.map(({ to, order }) => [to.id, order.kind]);
    assert.deepEqual(joined, [['b', 'join']]);
  },
);

Then('the plan stays as it is, and nothing is ordered', function (this: BasisWorld) {
  for (const plan of this.plans) assert.equal(plan, this.stored);
  assert.deepEqual(this.orders, []);
});

Then('its head is not ordered to open', function (this: BasisWorld) {
  assert.deepEqual(listOrders(this.stored, this.view), []);
});

Then(
  'the plan says that it has formed, by revision {int}, and its head is ordered to open',
  function (this: BasisWorld, fleetRevision: number) {
    assert.deepEqual(this.plans, [createPlan(true, fleetRevision)]);
    const orders = this.orders.map(({ to, order }) => [to.id, order.kind]);
    assert.deepEqual(orders, [['a', 'open']]);
  },
);

Then('the replica is closing, and nobody is ordered to join', function (this: BasisWorld) {
  assert.deepEqual(
    this.plans.map(({ groups }) => groups.map(({ name, closing }) => `${name} ${closing}`)),
    [[`${GROUP.name} preempt`]],
  );
  assert.deepEqual(
    this.orders.map(({ to, order }) => [to.id, order.kind]),
    [['a', 'leave']],
  );
});

Then(
  'an instance that reports epoch {int} shows that the plan is outdated, and one that reports epoch {int} does not',
  function (this: BasisWorld, later: number, known: number) {
    const isOutdated = (epoch: number): boolean =>
      reportsLaterEpoch([createMember('a', true, epoch)], this.stored);
    assert.deepEqual([isOutdated(later), isOutdated(known)], [true, false]);
  },
);
