/**
 * Which gateway owns a fabric domain, from what each of them knows.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  areCandidatesHeard,
  createOwnerFinder,
  type OwnerCandidate,
} from '../../src/controllers/groups/index.js';

interface OwnershipWorld {
  gateways: OwnerCandidate[];
  /** What each is told of another one. */
  told: (gateway: OwnerCandidate) => boolean;
  heardStoreForMs: number;
  owners: OwnerCandidate[];
}

function listGateways(domains: number, size: number): OwnerCandidate[] {
  return Array.from({ length: domains * size }, (_, index) => ({
    name: `gateway-${index}`,
    failureDomain: `domain-${index % domains}`,
    storeReachable: true,
  }));
}

Given(
  '{int} failure domains of {int} gateways each that have just heard the store again',
  function (this: OwnershipWorld, domains: number, size: number) {
    this.gateways = listGateways(domains, size);
    this.heardStoreForMs = 0;
  },
);

Given(
  '{int} failure domains of {int} gateways each that have heard the store for {int} ms',
  function (this: OwnershipWorld, domains: number, size: number, ms: number) {
    this.gateways = listGateways(domains, size);
    this.heardStoreForMs = ms;
  },
);

When('each takes the others to be still away', function (this: OwnershipWorld) {
  this.told = () => false;
});

When('the first of each failure domain stays cut off', function (this: OwnershipWorld) {
  const domains = new Set<string>();
  for (const gateway of this.gateways) {
    gateway.storeReachable = domains.has(gateway.failureDomain);
    domains.add(gateway.failureDomain);
  }
  this.told = ({ storeReachable }) => storeReachable;
});

Then(
  'each of {int} fabric domains has one owner',
  function (this: OwnershipWorld, domains: number) {
    this.owners = [];
    for (let index = 0; index < domains; index += 1) {
      const owners = this.gateways.filter((self) => self.storeReachable && owns(this, self, index));
      assert.equal(owners.length, 1, owners.map(({ name }) => name).join(', '));
      this.owners.push(...owners);
    }
  },
);

Then('no owner is cut off from the store', function (this: OwnershipWorld) {
  assert.ok(this.owners.every(({ storeReachable }) => storeReachable));
});

/** Whether `self` takes the fabric domain with the number `index` for its own. */
function owns(world: OwnershipWorld, self: OwnerCandidate, index: number): boolean {
  const peers = world.gateways
    .filter((peer) => peer !== self)
    .map((peer) => ({ ...peer, storeReachable: world.told(peer) }));
  const failureDomain = `domain-${index % 3}`;
  const key = `models fabric-${index}`;
  const isHeard = areCandidatesHeard(world.heardStoreForMs);
  const ownerOf = createOwnerFinder({ self, peers, isHeard });
  return ownerOf({ key, failureDomain }) === self.name;
}
