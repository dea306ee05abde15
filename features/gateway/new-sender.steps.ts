/**
 * Controllers of one fabric domain in several gateways, on a manual clock and without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { okAsync, ResultAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import { EMPTY_FLEET } from '../../src/controllers/forwarding/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import {
  createDomainController,
  type DomainController,
  type DomainState,
} from '../../src/gateway/groups/domain-controller.js';
import { createGatewayMetrics } from '../../src/gateway/operations/metrics.js';
import type { ObjectStore } from '../../src/gateway/store/client.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { StoreObject } from '../../src/ports/index.js';
import { createServer, PROFILE, SMALL } from './planning-model.js';

interface SenderWorld {
  clock: ManualClock;
  stored: StoreObject | undefined;
  /** Called while the store writes. */
  onWrite: () => void;
  joins: { gateway: string; server: string; group: string }[];
  gateways: Map<string, DomainController>;
  /** Gateways that have ended, whose orders are lost. */
  ended: Set<string>;
}

const STEP_MS = 100;
const SERVERS = ['i-1', 'i-2'].map((id) => createServer(id, { staged: [] }));
const STATE: DomainState = {
  service: 'models',
  domain: 'fabric',
  profile: PROFILE,
  servers: SERVERS,
  targets: [{ model: SMALL, groups: 1 }],
  beforeTraffic: true,
  loadSlots: 7,
  maxLoadStarts: 7,
};

function createStore(world: SenderWorld): ObjectStore {
  const store: Partial<ObjectStore> = {
    era: () => 0,
    read: () => okAsync(world.stored),
    write: (_kind, name, value, revision) => {
      if (world.stored?.revision !== revision) return okAsync({ kind: 'conflict' });
      const object = { name, value: structuredClone(value), revision: (revision ?? 0) + 1 };
      world.stored = object;
      const written = Promise.resolve().then(() => {
        world.onWrite();
        return { kind: 'written' as const, object };
      });
      return ResultAsync.fromSafePromise(written);
    },
  };
  return store as ObjectStore;
}

function createGateway(world: SenderWorld, name: string): DomainController {
  const servers = new Map(SERVERS.map((server) => [server.id, server]));
  const board = {
    fleet: createSection({ ...EMPTY_FLEET, revision: 5, servers }),
    fleetProof: createSection(undefined),
    evacuations: createSection(undefined),
  } as unknown as GatewayContext['board'];
  const context = {
    board,
    clock: world.clock,
    logger: silentLogger,
    metrics: createGatewayMetrics(),
    incarnation: name,
  } as unknown as GatewayContext;
  return createDomainController({
    context,
    store: createStore(world),
    calls: {
      isCoolingDown: () => false,
      order: ({ order, to }) => {
        if (order.kind === 'join' && !world.ended.has(name))
          world.joins.push({ gateway: name, server: to.id, group: order.group });
        return Promise.resolve({ kind: 'accepted' });
      },
      probe: () => Promise.resolve({ kind: 'answers', pace: 1 }),
      close: () => Promise.resolve(),
    },
    backends: {
      suspicions: { isSuspect: () => false },
    } as unknown as Parameters<typeof createDomainController>[0]['backends'],
    onTraffic: () => undefined,
  });
}

async function own(world: SenderWorld, name: string, ms: number): Promise<void> {
  const gateway = world.gateways.get(name);
  assert.ok(gateway);
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    gateway.reconcile(STATE);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    world.clock.advance(STEP_MS);
  }
}

Given(
  'a fabric domain of 2 engines without weights, and gateways A and B',
  function (this: SenderWorld) {
    this.clock = createManualClock();
    this.stored = undefined;
    this.onWrite = () => undefined;
    this.joins = [];
    this.ended = new Set();
    this.gateways = new Map(['A', 'B'].map((name) => [name, createGateway(this, name)]));
  },
);

When(
  'A has stored a plan of a replica, and ends before it sends an order',
  async function (this: SenderWorld) {
    this.onWrite = () => this.ended.add('A');
    await own(this, 'A', STEP_MS);
    assert.ok(this.stored);
  },
);

When('B owns the domain for {int} ms', async function (this: SenderWorld, ms: number) {
  await own(this, 'B', ms);
});

When(
  'A loses the domain while the store writes its plan of a replica',
  async function (this: SenderWorld) {
    this.onWrite = () => this.gateways.get('A')?.release();
    await own(this, 'A', STEP_MS);
  },
);

Then(
  /^both engines were ordered by (A|B) to join the replica of A$/,
  function (this: SenderWorld, gateway: string) {
    const { groups } = this.stored?.value as { groups: { name: string }[] };
    assert.equal(groups.length, 1);
    for (const server of ['i-1', 'i-2'])
      assert.ok(
        this.joins.some(
          (join) =>
            join.gateway === gateway && join.server === server && join.group === groups[0]?.name,
        ),
        JSON.stringify(this.joins),
      );
  },
);
