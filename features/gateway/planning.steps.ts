/**
 * Plans of replicas, staging of weights and the split of domains, tested without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  EMPTY_PLAN,
  groupPlanSchema,
  listOrders,
  revisePlan,
  splitDomains,
  type DomainCapacity,
  type DomainTargets,
  type DomainView,
  type DueOrder,
  type GroupPlan,
} from '../../src/controllers/groups/index.js';
import type { BackendServer } from '../../src/ports/index.js';
import {
  createServer,
  createView,
  LARGE,
  planRandomDomain,
  PROFILE,
  SMALL,
  type PlannedRound,
} from './planning-model.js';

interface PlanningWorld {
  rounds: PlannedRound[];
  view: DomainView;
  domains: DomainCapacity[];
  split: DomainTargets;
  /** The stored plan, empty if absent. */
  stored?: GroupPlan;
}

const SEED = 7_411;

When(
  '{int} random fabric domains are planned for several rounds',
  function (this: PlanningWorld, domains: number) {
    const draws = fc.array(fc.nat({ max: 10_000 }), { minLength: 300, maxLength: 400 });
    this.rounds = fc.sample(draws, { numRuns: domains, seed: SEED }).flatMap(planRandomDomain);
    const formed = this.rounds.filter(({ before, after }) => after.lastEpoch > before.lastEpoch);
    const opened = this.rounds.flatMap(({ orders }) => orders).filter(isOpenOrder);
    assert.ok(
      formed.length > domains && opened.length > 0,
      'the random domains must form and open groups',
    );
  },
);

function isOpenOrder({ order }: DueOrder): boolean {
  return order.kind === 'open';
}

Then('no plan has an instance in two groups', function (this: PlanningWorld) {
  for (const { after } of this.rounds) {
    const ids = after.groups.flatMap(({ members }) => members.map(({ id }) => id));
    assert.equal(new Set(ids).size, ids.length);
  }
});

Then(
  'each new group has the size of its model and members that reported no group',
  function (this: PlanningWorld) {
    for (const { before, after, view } of this.rounds) {
      const known = new Set(before.groups.map(({ name }) => name));
      for (const group of after.groups.filter(({ name }) => !known.has(name))) {
        assert.equal(group.members.length, group.model === 'large' ? 4 : 2);
        for (const { id } of group.members) {
          assert.equal(view.servers.get(id)?.engine?.membership, undefined);
          assert.ok(!view.lost.has(id) && view.servers.get(id)?.leaving === false);
        }
      }
    }
  },
);

Then(
  'a head is ordered to open only when every member is ready in the same epoch',
  function (this: PlanningWorld) {
    for (const { after, view, orders } of this.rounds) {
      for (const { to, order } of orders) {
        if (order.kind !== 'open') continue;
        const group = after.groups.find(({ name }) => name === order.group);
        assert.ok(group);
        assert.equal(group.members[0]?.id, to.id);
        for (const { id } of group.members) {
          const membership = view.servers.get(id)?.engine?.membership;
          assert.equal(membership?.state, 'ready');
          assert.equal(membership.group, order.group);
          assert.equal(membership.epoch, order.epoch);
        }
      }
    }
  },
);

Given(
  'a domain whose plan is empty and an instance that is ready in an unknown group',
  function (this: PlanningWorld) {
    const membership = { group: 'gone', epoch: 4, rank: 0, state: 'ready' as const };
    this.view = createView([createServer('i-1', { membership }), createServer('i-2')]);
  },
);

When('the domain is planned', function (this: PlanningWorld) {
  const before = this.stored ?? EMPTY_PLAN;
  const after = revisePlan(before, this.view);
  const orders = listOrders(after, this.view);
  this.rounds = [{ before, after, view: this.view, orders }];
});

Given(
  '{int} engines without a group, and an entry of an open group of the highest epoch for a model of 1',
  function (this: PlanningWorld, engines: number) {
    const alone = { ...SMALL, name: 'alone', size: 1 };
    const membership = {
      group: 'odd',
      epoch: Number.MAX_SAFE_INTEGER,
      rank: 0,
      state: 'open',
    } as const;
    const free = Array.from({ length: engines }, (_, index) => createServer(`free-${index}`));
    this.view = createView([...free, createServer('odd', { model: 'alone', membership })], {
      profile: { ...PROFILE, models: [SMALL, alone] },
      targets: [{ model: SMALL, groups: engines / SMALL.size }],
    });
  },
);

When('the domain is planned again', function (this: PlanningWorld) {
  const [round] = this.rounds;
  assert.ok(round);
  const before = round.after;
  this.rounds = [{ ...round, before, after: revisePlan(before, this.view) }];
});

Then(
  'the plan has {int} groups with epochs of their own and can be read again',
  function (this: PlanningWorld, groups: number) {
    const plan = this.rounds[0]?.after;
    const read = groupPlanSchema.safeParse(JSON.parse(JSON.stringify(plan)));
    assert.ok(read.success, JSON.stringify(plan));
    const epochs = read.data.groups.map(({ epoch }) => epoch);
    assert.equal(epochs.length, groups, JSON.stringify(plan));
    assert.equal(new Set(epochs).size, groups, epochs.join());
  },
);

Then(
  'the instance is ordered to leave and is in no group of the plan',
  function (this: PlanningWorld) {
    const [round] = this.rounds;
    assert.ok(round);
    assert.deepEqual(round.after.groups, []);
    const leaves = round.orders.filter(({ order }) => order.kind === 'leave');
    assert.deepEqual(
      leaves.map(({ to, order }) => [to.id, order]),
      [['i-1', { kind: 'leave', group: 'gone', epoch: 4 }]],
    );
  },
);
Given(
  '{int} domains of {int} instances, and models of 4 and of 2 with equal shares',
  function (this: PlanningWorld, domains: number, instances: number) {
    this.domains = Array.from({ length: domains }, (_, index) => ({
      domain: `fabric-${index}`,
      failureDomain: `zone-${Math.floor(index / 2)}`,
      instances,
      groups: new Map<string, number>(),
    }));
  },
);

When('they are split', function (this: PlanningWorld) {
  this.split = splitDomains(this.domains, PROFILE.models);
});

Then('no domain is assigned more instances than it has', function (this: PlanningWorld) {
  for (const { domain, instances } of this.domains) {
    const targets = this.split.get(domain) ?? [];
    const used = targets.reduce((sum, { model, groups }) => sum + model.size * groups, 0);
    assert.ok(used > 0 && used <= instances);
  }
});

Then(
  'the failure domains differ by one group of the large model at most',
  function (this: PlanningWorld) {
    const counts = new Map<string, number>();
    for (const { domain, failureDomain } of this.domains) {
      const target = this.split.get(domain)?.find(({ model }) => model === LARGE);
      counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + (target?.groups ?? 0));
    }
    const most = Math.max(...counts.values());
    assert.ok(most > 0 && most - Math.min(...counts.values()) <= 1, JSON.stringify([...counts]));
  },
);

Given(
  /^a plan with "fabric.2" of "a" and "b", and (both members|its head) of "fabric.5" of "a" and "c" that report it$/,
  function (this: PlanningWorld, present: string) {
    const report = (id: string, rank: number): BackendServer =>
      createServer(id, {
        model: 'small',
        membership: { group: 'fabric.5', epoch: 5, rank, state: rank === 0 ? 'open' : 'ready' },
      });
    const other = present === 'both members' ? report('c', 1) : createServer('c');
    this.view = createView([report('a', 0), createServer('b'), other], { targets: [] });
    const members = ['a', 'b'].map((id) => ({ id, address: `10.0.0.1:${id.length}` }));
    this.stored = {
      lastEpoch: 2,
      groups: [{ name: 'fabric.2', epoch: 2, model: 'small', members, closing: 'no' }],
    };
  },
);

Then(
  /^its replicas are "([^"]+)", and (nobody|the head) is ordered to leave one$/,
  function (this: PlanningWorld, names: string, leaving: string) {
    const [round] = this.rounds;
    assert.ok(round);
    assert.equal(round.after.groups.map(({ name }) => name).join(), names);
    const ids = round.orders.flatMap(({ to, order }) => (order.kind === 'leave' ? [to.id] : []));
    assert.deepEqual(ids, leaving === 'nobody' ? [] : ['a']);
  },
);

Then('the next epoch is above {int}', function (this: PlanningWorld, epoch: number) {
  const targets = [{ model: LARGE, groups: 9 }];
  const free = ['e', 'f', 'g', 'h'].map((id) => createServer(id));
  const view = createView([...this.view.servers.values(), ...free], { targets });
  const next = revisePlan(this.rounds[0]?.after ?? EMPTY_PLAN, view);
  assert.ok(next.lastEpoch > epoch, JSON.stringify(next));
});
