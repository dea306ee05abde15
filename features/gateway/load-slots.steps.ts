/**
 * How the fabric domains of a service share its loads of weights, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { EMPTY_PLAN, listOrders } from '../../src/controllers/groups/index.js';
import { createDomainStates, type ServiceDomain } from '../../src/gateway/groups/domain-states.js';
import type { BackendServer } from '../../src/ports/index.js';
import { createServer, createView, PROFILE } from './planning-model.js';

interface SlotWorld {
  domains: ServiceDomain[];
  slots: readonly number[];
  /** Replicas to have, by domain. */
  planned: readonly number[];
  rounds: number;
}

const SMALL = 'small';

function addDomains(world: SlotWorld, count: number, size: number, staged: string[]): void {
  world.domains = [...((world.domains as SlotWorld['domains'] | undefined) ?? [])];
  for (let added = 0; added < count; added += 1) {
    const domain = `fabric-${world.domains.length}`;
    const servers = Array.from({ length: size }, (_, index) =>
      createServer(`${domain}-${index}`, { fabricDomain: domain, staged }),
    );
    const failureDomain = 'north';
    const key = `models ${domain}`;
    world.domains.push({
      key,
      service: 'models',
      domain,
      failureDomain,
      profile: PROFILE,
      servers,
    });
  }
}

function computeSlots(domains: readonly ServiceDomain[], total: number): number[] {
  const profile = { ...PROFILE, loadsAtOnce: total, loadsPerSecond: total };
  const withLimit = domains.map((domain) => ({ ...domain, profile }));
  const states = createDomainStates(withLimit, false);
  return domains.map(({ key }) => states.get(key)?.loadSlots ?? 0);
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

Given(
  '{int} domain(s) with {int} instances without weights each',
  function (this: SlotWorld, count: number, size: number) {
    addDomains(this, count, size, []);
  },
);

Given(
  '{int} domain with {int} free instances that have the weights of the small model only',
  function (this: SlotWorld, count: number, size: number) {
    addDomains(this, count, size, [SMALL]);
  },
);

Given(
  '{int} domain(s) whose instances all have weights',
  function (this: SlotWorld, count: number) {
    addDomains(this, count, 10, [SMALL, 'large']);
  },
);

When(
  'their load slots are computed for {int} loads at once',
  function (this: SlotWorld, total: number) {
    this.slots = computeSlots(this.domains, total);
  },
);

When('their replicas are planned during traffic', function (this: SlotWorld) {
  const states = createDomainStates(this.domains, false);
  this.planned = this.domains.map(({ key }) =>
    sum(states.get(key)?.targets.map(({ groups }) => groups) ?? []),
  );
});

Then('each domain is to have replicas', function (this: SlotWorld) {
  assert.ok(this.planned.every((count) => count > 0));
});

Then('only the last domain is to have replicas', function (this: SlotWorld) {
  assert.deepEqual(
    this.planned.map((count) => count > 0),
    this.planned.map((_, index) => index === this.planned.length - 1),
  );
});

Then(
  'the first domain loads the small model on {int} instances',
  function (this: SlotWorld, count: number) {
    const [first] = this.domains;
    const state = createDomainStates(this.domains, false).get(first?.key ?? '');
    assert.ok(state);
    const { servers, targets, loadSlots } = state;
    const orders = listOrders(EMPTY_PLAN, createView(servers, { targets, loadSlots }));
    assert.deepEqual(
      orders.map(({ order, reason }) => `${order.kind} ${reason}`),
      Array.from({ length: count }, () => 'stage stageFree'),
    );
    assert.ok(orders.every(({ order }) => 'model' in order && order.model === SMALL));
  },
);

Then('the domains may run {int} loads together', function (this: SlotWorld, total: number) {
  assert.equal(sum(this.slots), total);
});

Then('the first domain may run {int} loads', function (this: SlotWorld, loads: number) {
  assert.equal(this.slots[0], loads);
});

Then('each domain may run a load', function (this: SlotWorld) {
  assert.ok(this.slots.every((count) => count >= 1));
});

When(
  'loads of at most {int} at once are run until none is left',
  function (this: SlotWorld, total: number) {
    const limit = 1_000;
    for (this.rounds = 0; this.rounds < limit && hasUnstaged(this.domains); this.rounds += 1) {
      const slots = computeSlots(this.domains, total);
      assert.ok(sum(slots) <= total);
      this.domains = this.domains.map((domain, index) => loadSome(domain, slots[index] ?? 0));
    }
  },
);

function hasUnstaged(domains: readonly ServiceDomain[]): boolean {
  return domains.some(({ servers }) => servers.some(isUnstaged));
}

function isUnstaged({ engine }: BackendServer): boolean {
  return engine?.staged.length === 0;
}

/** The domain after `count` of its instances without weights have loaded. */
function loadSome(domain: ServiceDomain, count: number): ServiceDomain {
  const loading = domain.servers.filter(isUnstaged).slice(0, count);
  const servers = domain.servers.map((server) =>
    loading.includes(server)
      ? createServer(server.id, { fabricDomain: domain.domain, staged: [SMALL, 'large'] })
      : server,
  );
  return { ...domain, servers };
}

Then(
  'all instances have weights after {int} rounds of loads',
  function (this: SlotWorld, rounds: number) {
    assert.equal(hasUnstaged(this.domains), false);
    assert.equal(this.rounds, rounds);
  },
);
