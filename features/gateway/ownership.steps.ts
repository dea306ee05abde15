/**
 * Ownership of fabric domains, computed from each gateway's view of the others.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  hasReceivedPeerState,
  createOwnerFinder,
  type OwnerCandidate,
} from '../../src/controllers/groups/index.js';

interface OwnershipWorld {
  gateways: OwnerCandidate[];
  /** Whether a gateway is reported to the others as connected to the store. */
  isSeenAsReachable: (gateway: OwnerCandidate) => boolean;
  storeReachableForMs: number;
  owners: OwnerCandidate[];
}

const SERVICE = 'models';

function listGateways(domains: number, size: number): OwnerCandidate[] {
  return Array.from({ length: domains * size }, (_, index) => ({
    name: `gateway-${index}`,
    failureDomain: `domain-${index % domains}`,
    storeReachable: true,
    cutOffFrom: [],
  }));
}

Given(
  '{int} failure domains of {int} gateways each that have just reconnected to the store',
  function (this: OwnershipWorld, domains: number, size: number) {
    this.gateways = listGateways(domains, size);
    this.storeReachableForMs = 0;
  },
);

Given(
  '{int} failure domains of {int} gateways each that have been connected to the store for {int} ms',
  function (this: OwnershipWorld, domains: number, size: number, ms: number) {
    this.gateways = listGateways(domains, size);
    this.storeReachableForMs = ms;
  },
);

When('each gateway still considers the others disconnected', function (this: OwnershipWorld) {
  this.isSeenAsReachable = () => false;
});

When('the first of each failure domain stays disconnected', function (this: OwnershipWorld) {
  const domains = new Set<string>();
  for (const gateway of this.gateways) {
    gateway.storeReachable = domains.has(gateway.failureDomain);
    domains.add(gateway.failureDomain);
  }
  this.isSeenAsReachable = ({ storeReachable }) => storeReachable;
});

When(
  'all but the last of the first failure domain, and the first of each other one, reach no engine',
  function (this: OwnershipWorld) {
    const domains = new Set<string>();
    const [first] = this.gateways;
    const last = this.gateways.findLast(
      ({ failureDomain }) => failureDomain === first?.failureDomain,
    );
    for (const gateway of this.gateways) {
      const isFirst = !domains.has(gateway.failureDomain);
      const isInFirstDomain = gateway.failureDomain === first?.failureDomain;
      if (gateway !== last && (isFirst || isInFirstDomain)) gateway.cutOffFrom = [SERVICE];
      domains.add(gateway.failureDomain);
    }
    this.isSeenAsReachable = () => true;
  },
);

Then(
  'each of {int} fabric domains has one owner',
  function (this: OwnershipWorld, domains: number) {
    this.owners = [];
    for (let index = 0; index < domains; index += 1) {
      const owners = this.gateways.filter(
        (self) => self.storeReachable && considersItselfOwner(this, self, index),
      );
      assert.equal(owners.length, 1, owners.map(({ name }) => name).join(', '));
      this.owners.push(...owners);
    }
  },
);

Then('no owner is disconnected from the store', function (this: OwnershipWorld) {
  assert.ok(this.owners.every(({ storeReachable }) => storeReachable));
});

Then('no owner lacks links to the engines', function (this: OwnershipWorld) {
  assert.ok(this.owners.every(({ cutOffFrom }) => cutOffFrom.length === 0));
});

/** Whether `self` considers itself the owner of the fabric domain with the number `index`. */
function considersItselfOwner(world: OwnershipWorld, self: OwnerCandidate, index: number): boolean {
  const peers = world.gateways
    .filter((peer) => peer !== self)
    .map((peer) => ({ ...peer, storeReachable: world.isSeenAsReachable(peer) }));
  const failureDomain = `domain-${index % 3}`;
  const key = `models fabric-${index}`;
  const isPeerStateCurrent = hasReceivedPeerState(world.storeReachableForMs);
  const ownerOf = createOwnerFinder({ self, peers, isPeerStateCurrent });
  return ownerOf({ key, service: SERVICE, failureDomain }) === self.name;
}
