import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createEngineWorld, type EngineWorld } from '../../bench/plan/engine-world.js';
import type { Peer } from '../../src/board/index.js';
import { listEligibleReplicas } from '../../src/controllers/health/index.js';
import { rankOwners } from '../../src/controllers/replicas/index.js';
import { waitFor } from '../support/waiting.js';
import {
  createFakeEntry,
  createFakePlatform,
  type FakeEntry,
  type FakePlatform,
  type JournaledOrder,
} from './fakes.js';

interface OwnersWorld {
  world: EngineWorld;
  platform: FakePlatform;
  journal: JournaledOrder[];
  entries: FakeEntry[];
  letGo: () => void;
  /** The entry whose write is held up; undefined before. */
  held: string | undefined;
  ordersBefore: number;
  silentAt: number;
  /** Of the entries' leases; undefined for short ones. */
  leaseMs?: number;
}

const FRESH_MS = 400;
/** Of short leases. */
const LEASE_MS = 600;
/** Each place waits a quarter of a lease longer. */
const LEAST_RANK = 24;

function prepare(context: OwnersWorld, engines: number, fencing: 'checked' | 'ignored'): void {
  const names = Array.from({ length: engines }, (_, at) => `engine-${at}`);
  context.world = createEngineWorld({ names, fabricDomain: 'fabric-1', loadMs: 20, fencing });
  names.forEach((name, at) => {
    const engine = context.world.engines.get(name);
    if (engine) engine.instance = { ...engine.instance, address: `127.0.0.1:${at + 1}` };
  });
  context.platform = createFakePlatform();
  context.journal = [];
  context.entries = [];
}

function startEntry(context: OwnersWorld): FakeEntry {
  const name = `entry-${context.entries.length}`;
  const entry = createFakeEntry(
    name,
    context.platform,
    context.world,
    context.journal,
    context.leaseMs,
  );
  context.entries.push(entry);
  entry.health.start();
  entry.replicas.start();
  return entry;
}

function isServedBy({ context }: FakeEntry): boolean {
  const { plans, fleet, health, load } = context.board;
  const sections = { plans: plans.read(), fleet: fleet.read(), health: health.read() };
  const view = { ...sections, load: load.read() };
  return listEligibleReplicas(view, context.clock.now(), FRESH_MS).length === 1;
}

async function waitUntilServing(context: OwnersWorld, entry: FakeEntry | undefined): Promise<void> {
  assert.ok(entry !== undefined);
  await waitFor('the replica to serve', () => isServedBy(entry));
  const members = context.platform.plan()?.replicas.find(({ phase }) => phase === 'whole')?.members;
  assert.equal(members?.length, 3);
}

After(async function (this: Partial<OwnersWorld>) {
  this.letGo?.();
  for (const { replicas, health } of this.entries ?? []) {
    await replicas.stop();
    await health.stop();
  }
});

Given(
  '{int} engines and a platform that loses the answers to the next {int} writes',
  function (this: OwnersWorld, engines: number, answers: number) {
    prepare(this, engines, 'checked');
    this.platform.losesAnswers = answers;
  },
);

Given('{int} engines and a platform', function (this: OwnersWorld, engines: number) {
  prepare(this, engines, 'checked');
});

Given(
  "{int} engines that ignore numbers and a platform that holds up the first plan's writer",
  function (this: OwnersWorld, engines: number) {
    prepare(this, engines, 'ignored');
    const released = new Promise<void>((resolve) => {
      this.letGo = resolve;
    });
    this.platform.onWritten = (plan) => {
      if (plan.replicas.length === 0 || this.held !== undefined) return undefined;
      this.held = plan.owner?.entry ?? '';
      return released;
    };
  },
);

Given(
  '{int} engines, a platform, and leases of {int} seconds',
  function (this: OwnersWorld, engines: number, seconds: number) {
    prepare(this, engines, 'checked');
    this.leaseMs = seconds * 1_000;
  },
);

When('one entry runs', function (this: OwnersWorld) {
  startEntry(this);
});

When('another entry runs that many others come before as owners', function (this: OwnersWorld) {
  const { context } = startEntry(this);
  // So many that by rank alone it would look at the domain after seven leases or more.
  const names = Array.from({ length: 60 }, (_, at) => `peer-${at}`);
  const place = { domain: 'fabric-1', region: undefined, failureDomain: 'domain-a' };
  const { identity, writers, clock } = context;
  const peers = names.map((name) => createPeer(name, clock.now()));
  const candidates = peers.map((peer) => ({ ...peer, region: undefined }));
  const order = rankOwners(place, [{ ...identity, region: undefined }, ...candidates]);
  assert.ok(order.indexOf(identity.name) >= LEAST_RANK, `rank ${order.indexOf(identity.name)}`);
  writers.peers.write(new Map(peers.map((peer) => [peer.name, peer])));
});

When('the watches under way go silent', async function (this: OwnersWorld) {
  await waitFor('both entries to watch', () => this.platform.watching() === 2);
  this.platform.silenceWatches();
  this.silentAt = performance.now();
});

Then('the other entry has the newest plan within two leases', async function (this: OwnersWorld) {
  const { context } = this.entries.at(-1) ?? {};
  const renewal = this.platform.plan()?.owner?.renewal ?? 0;
  await waitFor('a renewal to be seen', () => {
    const seen = context?.board.plans.read().get('fabric-1')?.value.owner?.renewal ?? 0;
    return seen > renewal;
  });
  const tookMs = performance.now() - this.silentAt;
  assert.ok(tookMs <= 2 * LEASE_MS, `it came after ${Math.round(tookMs)} ms`);
});

When('two entries run', function (this: OwnersWorld) {
  startEntry(this);
  startEntry(this);
});

Then('its replica of 3 serves, and the domain was taken once', async function (this: OwnersWorld) {
  await waitUntilServing(this, this.entries[0]);
  assert.equal(this.platform.plan()?.owner?.term, 1);
  assert.equal(this.platform.plan()?.replicas.length, 1);
});

Then('its replica of 3 serves, and only one entry gave orders', async function (this: OwnersWorld) {
  await waitUntilServing(this, this.entries[0]);
  await waitUntilServing(this, this.entries[1]);
  const givers = new Set(this.journal.map(({ entry }) => entry));
  assert.deepEqual([...givers], [this.platform.plan()?.owner?.entry]);
});

When(
  'the other entry has taken over and its replica of 3 serves',
  async function (this: OwnersWorld) {
    const other = (): FakeEntry | undefined =>
      this.entries.find(({ context }) => context.identity.name !== this.held);
    const isTaken = (): boolean => {
      return this.held !== undefined && this.platform.plan()?.owner?.entry !== this.held;
    };
    await waitFor('another entry to own the domain', isTaken);
    await waitUntilServing(this, other());
  },
);

When('the first entry is let go on', async function (this: OwnersWorld) {
  this.ordersBefore = this.journal.filter(({ entry }) => entry === this.held).length;
  const renewal = this.platform.plan()?.owner?.renewal ?? 0;
  this.letGo();
  const others = (): boolean => (this.platform.plan()?.owner?.renewal ?? 0) > renewal + 3;
  await waitFor('the other owner to renew its lease a few times', others);
});

Then(
  'the first entry gives no order and the replica goes on serving',
  function (this: OwnersWorld) {
    const orders = this.journal.filter(({ entry }) => entry === this.held).length;
    assert.equal(orders, this.ordersBefore);
    assert.equal(orders, 0);
    assert.equal(this.entries.every(isServedBy), true);
    assert.notEqual(this.platform.plan()?.owner?.entry, this.held);
  },
);

When('its replica of 3 serves', async function (this: OwnersWorld) {
  await waitUntilServing(this, this.entries[0]);
});

When('it hands over and another entry runs', async function (this: OwnersWorld) {
  const [first] = this.entries;
  await first?.replicas.handOver();
  this.ordersBefore = this.journal.length;
  startEntry(this);
});

Then(
  'the other entry owns the domain before the lease is over and the replica was not ordered again',
  async function (this: OwnersWorld) {
    const isTaken = (): boolean => this.platform.plan()?.owner?.entry === 'entry-1';
    // Far shorter than the lease, which is the other way to come by the domain.
    await waitFor('the other entry to own the domain', isTaken, (this.leaseMs ?? 0) / 4);
    await waitUntilServing(this, this.entries[1]);
    assert.equal(this.journal.length, this.ordersBefore);
  },
);

function createPeer(name: string, heardAt: number): Peer {
  const peer = { name, failureDomain: 'domain-a', heardAt, stopping: false };
  return peer as Partial<Peer> as Peer;
}
