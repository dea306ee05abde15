/**
 * Targets of the fabric domains of a service, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createDomainStates, type ServiceDomain } from '../../src/gateway/groups/domain-states.js';
import type { BackendServer, MembershipState } from '../../src/ports/index.js';
import { createServer, PROFILE } from './planning-model.js';

interface TargetsWorld {
  domains: ServiceDomain[];
  targetsBefore: string[];
}

function createDomain(index: number, servers: readonly BackendServer[]): ServiceDomain {
  const domain = `fabric-${index}`;
  const key = `models ${domain}`;
  const failureDomain = `domain-${index}`;
  return { key, service: 'models', domain, failureDomain, profile: PROFILE, servers };
}

function createFree(index: number, count: number, lastModel: string): BackendServer[] {
  return Array.from({ length: count }, (_, each) =>
    createServer(`free-${index}-${each}`, { fabricDomain: `fabric-${index}`, lastModel }),
  );
}

/** Renders the targets of each domain. */
function listTargets({ domains }: TargetsWorld): string[] {
  const states = createDomainStates(domains, false);
  return domains.map(({ key }) => {
    const targets = states.get(key)?.targets ?? [];
    return targets.map(({ model, groups }) => `${groups} ${model.name}`).join(', ');
  });
}

/** Puts the free instances of the last domain into replicas of two in `state`. */
function joinSmall(world: TargetsWorld, state: MembershipState): void {
  world.domains = world.domains.map((domain, index) => {
    if (index < world.domains.length - 1) return domain;
    const servers = domain.servers.map((server, place): BackendServer => {
      const { engine } = server;
      if (!engine || !server.id.startsWith('free-')) return server;
      const group = `g${Math.floor(place / 2)}`;
      const membership = { group, epoch: 2, rank: place % 2, state };
      const lastModel = state === 'joining' ? 'large' : 'small';
      return { ...server, engine: { ...engine, lastModel, membership } };
    });
    return { ...domain, servers };
  });
}

Given(
  '{int} domain(s) of {int} instances whose last model was the small one',
  function (this: TargetsWorld, domains: number, size: number) {
    this.domains = Array.from({ length: domains }, (_, index) =>
      createDomain(index, createFree(index, size, 'small')),
    );
  },
);

Given(
  'a domain with a large replica and {int} free instances whose last model was the large one',
  function (this: TargetsWorld, count: number) {
    const index = this.domains.length;
    const members = Array.from({ length: 4 }, (_, rank) =>
      createServer(`member-${rank}`, {
        fabricDomain: `fabric-${index}`,
        model: 'large',
        lastModel: 'large',
        membership: { group: 'g', epoch: 1, rank, state: rank === 0 ? 'open' : 'ready' },
      }),
    );
    this.domains.push(createDomain(index, [...members, ...createFree(index, count, 'large')]));
    this.targetsBefore = listTargets(this);
  },
);

When('the free ones join replicas of the small model', function (this: TargetsWorld) {
  joinSmall(this, 'joining');
});

When('their heads are ready', function (this: TargetsWorld) {
  joinSmall(this, 'ready');
});

Then(
  'each domain is to have the replicas that it was to have before',
  function (this: TargetsWorld) {
    assert.equal(this.targetsBefore.at(-1), '1 large, 2 small');
    assert.deepEqual(listTargets(this), this.targetsBefore);
  },
);
