import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  beginWrite,
  applyRead,
  createDomainState,
  findLeaseEnd,
  mayOrder,
  type DomainState,
  type HeldLease,
} from '../../src/controllers/replicas/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { simulateLeases, type LeaseHistory } from './lease-simulation.js';

interface LeaseWorld {
  histories: LeaseHistory[];
  lease: HeldLease;
  state: DomainState;
}

When(
  '{int} random histories of {int} entries that compete for a domain are played',
  function (this: LeaseWorld, runs: number, entries: number) {
    this.histories = [];
    const property = fc.property(fc.nat(), (seed) => {
      this.histories.push(simulateLeases(entries, createRandom(seed)));
    });
    fc.assert(property, { numRuns: runs, seed: 3 });
  },
);

Then('no two entries ever had orders under way at the same time', function (this: LeaseWorld) {
  for (const { orders } of this.histories) {
    const sortedOrders = [...orders].sort((a, b) => a.from - b.from);
    let last = { entry: '', until: Number.NEGATIVE_INFINITY };
    for (const { entry, from, until } of sortedOrders) {
      const overlaps = entry !== last.entry && from < last.until;
      assert.equal(overlaps, false, `${entry} orders at ${from} while ${last.entry} does`);
      last = { entry, until };
    }
  }
});

Then(
  'orders were sent in all of them, and the domain changed hands in most',
  function (this: LeaseWorld) {
    const withOrders = this.histories.filter(({ orders }) => orders.length > 100);
    assert.equal(withOrders.length, this.histories.length);
    const withTakeover = this.histories.filter(({ terms }) => terms > 1);
    assert.equal(
      withTakeover.length > this.histories.length / 2,
      true,
      `${withTakeover.length} changed`,
    );
  },
);

Given(
  'a lease of {int} ms that was renewed by a write sent at {int} ms',
  function (this: LeaseWorld, leaseMs: number, sentAt: number) {
    this.lease = { term: 1, sentAt, leaseMs, firstOrderAt: 0 };
  },
);

Then(
  'an order that takes {int} ms may be sent at {int} ms but not at {int} ms',
  function (this: LeaseWorld, timeoutMs: number, allowedAt: number, refusedAt: number) {
    assert.equal(mayOrder(this.lease, allowedAt, timeoutMs), true);
    assert.equal(mayOrder(this.lease, refusedAt, timeoutMs), false);
  },
);

Given(
  'an entry whose renewal was sent at {int} ms and answered at {int} ms',
  function (this: LeaseWorld, sentAt: number, answeredAt: number) {
    const self = { entry: 'entry-1', incarnation: 'start-1' };
    const owner = { ...self, term: 1, leaseMs: 6_000, renewal: 1 };
    const plan = { owner, fence: 0, replicas: [], spares: [] };
    const pending = { nonce: 'n', sentAt, purpose: 'renew' as const, firstOrderAt: 0 };
    const state = beginWrite(createDomainState(0), pending);
    this.state = applyRead(state, { version: 1, nonce: 'n', plan }, self, answeredAt);
  },
);

Then('it holds the domain until {int} ms', function (this: LeaseWorld, until: number) {
  assert.ok(this.state.lease !== undefined);
  assert.equal(findLeaseEnd(this.state.lease), until);
});
