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
  type RecordedOrder,
} from './fakes.js';

interface OwnersWorld {
  world: EngineWorld;
  platform: FakePlatform;
  sentOrders: RecordedOrder[];
  entries: FakeEntry[];
  resumeWriter: () => void;
  /** The entry whose write response is delayed; undefined until the delay starts. */
  delayed: string | undefined;
  previousOrders: number;
  blockedAt: number;
  /** Lease duration of the entries; undefined for the default. */
  leaseMs?: number;
}

const FRESH_MS = 400;
/** Default lease duration of fake entries. */
const LEASE_MS = 600;
/** Each rank adds a quarter of a lease to the wait before taking over. */
const MIN_RANK = 24;

function setUp(context: OwnersWorld, engines: number, fencing: 'checked' | 'ignored'): void {
  const names = Array.from({ length: engines }, (_, at) => `engine-${at}`);
  context.world = createEngineWorld({ names, fabricDomain: 'fabric-1', loadMs: 20, fencing });
  names.forEach((name, at) => {
    const engine = context.world.engines.get(name);
    if (engine) engine.instance = { ...engine.instance, address: `127.0.0.1:${at + 1}` };
  });
  context.platform = createFakePlatform();
  context.sentOrders = [];
  context.entries = [];
}

function startEntry(context: OwnersWorld): FakeEntry {
  const name = `entry-${context.entries.length}`;
  const entry = createFakeEntry(
    name,
    context.platform,
    context.world,
    context.sentOrders,
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
  this.resumeWriter?.();
  for (const { replicas, health } of this.entries ?? []) {
    await replicas.stop();
    await health.stop();
  }
});

Given(
  '{int} engines and a platform that loses the answers to the next {int} writes',
  function (this: OwnersWorld, engines: number, responses: number) {
    setUp(this, engines, 'checked');
    this.platform.responsesToLose = responses;
  },
);

Given('{int} engines and a platform', function (this: OwnersWorld, engines: number) {
  setUp(this, engines, 'checked');
});

Given(
  "{int} engines that do not check fencing tokens and a platform that delays the first plan's writer",
  function (this: OwnersWorld, engines: number) {
    setUp(this, engines, 'ignored');
    const resumed = new Promise<void>((resolve) => {
      this.resumeWriter = resolve;
    });
    this.platform.onWritten = (plan) => {
      if (plan.replicas.length === 0 || this.delayed !== undefined) return undefined;
      this.delayed = plan.owner?.entry ?? '';
      return resumed;
    };
  },
);

Given(
  '{int} engines, a platform, and leases of {int} seconds',
  function (this: OwnersWorld, engines: number, seconds: number) {
    setUp(this, engines, 'checked');
    this.leaseMs = seconds * 1_000;
  },
);

When('one entry runs', function (this: OwnersWorld) {
  startEntry(this);
});

When('another entry runs with many higher-ranked owner candidates', function (this: OwnersWorld) {
  const { context } = startEntry(this);
  // With this many candidates, rank alone delays the entry by at least seven leases.
  const names = Array.from({ length: 60 }, (_, at) => `peer-${at}`);
  const location = { domain: 'fabric-1', region: undefined, failureDomain: 'domain-a' };
  const { identity, writers, clock } = context;
  const peers = names.map((name) => createPeer(name, clock.now()));
  const candidates = peers.map((peer) => ({ ...peer, region: undefined }));
  const ranking = rankOwners(location, [{ ...identity, region: undefined }, ...candidates]);
  assert.ok(ranking.indexOf(identity.name) >= MIN_RANK, `rank ${ranking.indexOf(identity.name)}`);
  writers.peers.write(new Map(peers.map((peer) => [peer.name, peer])));
});

When('the open watches stop responding', async function (this: OwnersWorld) {
  await waitFor('both entries to open a watch', () => this.platform.countWatches() === 2);
  this.platform.blockWatches();
  this.blockedAt = performance.now();
});

Then('the other entry has the newest plan within two leases', async function (this: OwnersWorld) {
  const { context } = this.entries.at(-1) ?? {};
  const renewal = this.platform.plan()?.owner?.renewal ?? 0;
  await waitFor('a renewal to be observed', () => {
    const observed = context?.board.plans.read().get('fabric-1')?.value.owner?.renewal ?? 0;
    return observed > renewal;
  });
  const tookMs = performance.now() - this.blockedAt;
  assert.ok(tookMs <= 2 * LEASE_MS, `plan received after ${Math.round(tookMs)} ms`);
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

Then('its replica of 3 serves, and only one entry sent orders', async function (this: OwnersWorld) {
  await waitUntilServing(this, this.entries[0]);
  await waitUntilServing(this, this.entries[1]);
  const senders = new Set(this.sentOrders.map(({ entry }) => entry));
  assert.deepEqual([...senders], [this.platform.plan()?.owner?.entry]);
});

When(
  'the other entry has taken over and its replica of 3 serves',
  async function (this: OwnersWorld) {
    const other = (): FakeEntry | undefined =>
      this.entries.find(({ context }) => context.identity.name !== this.delayed);
    const isTaken = (): boolean => {
      return this.delayed !== undefined && this.platform.plan()?.owner?.entry !== this.delayed;
    };
    await waitFor('another entry to own the domain', isTaken);
    await waitUntilServing(this, other());
  },
);

When('the first entry resumes', async function (this: OwnersWorld) {
  this.previousOrders = this.sentOrders.filter(({ entry }) => entry === this.delayed).length;
  const renewal = this.platform.plan()?.owner?.renewal ?? 0;
  this.resumeWriter();
  const hasRenewed = (): boolean => (this.platform.plan()?.owner?.renewal ?? 0) > renewal + 3;
  await waitFor('the other owner to renew its lease a few times', hasRenewed);
});

Then('the first entry sends no orders and the replica keeps serving', function (this: OwnersWorld) {
  const orders = this.sentOrders.filter(({ entry }) => entry === this.delayed).length;
  assert.equal(orders, this.previousOrders);
  assert.equal(orders, 0);
  assert.equal(this.entries.every(isServedBy), true);
  assert.notEqual(this.platform.plan()?.owner?.entry, this.delayed);
});

When('its replica of 3 serves', async function (this: OwnersWorld) {
  await waitUntilServing(this, this.entries[0]);
});

When('it hands over and another entry runs', async function (this: OwnersWorld) {
  const [first] = this.entries;
  await first?.replicas.handOver();
  this.previousOrders = this.sentOrders.length;
  startEntry(this);
});

Then(
  'the other entry owns the domain before the lease is over and the replica was not ordered again',
  async function (this: OwnersWorld) {
    const isTaken = (): boolean => this.platform.plan()?.owner?.entry === 'entry-1';
    // Well below the lease, whose expiry would also allow the takeover.
    await waitFor('the other entry to own the domain', isTaken, (this.leaseMs ?? 0) / 4);
    await waitUntilServing(this, this.entries[1]);
    assert.equal(this.sentOrders.length, this.previousOrders);
  },
);

function createPeer(name: string, heardAt: number): Peer {
  const peer = { name, failureDomain: 'domain-a', heardAt, stopping: false };
  return peer as Partial<Peer> as Peer;
}
