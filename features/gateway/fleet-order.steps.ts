/**
 * Entries that reach a gateway on two ways, or out of order.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { okAsync, ResultAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import { EMPTY_FLEET, type ServingFleet } from '../../src/controllers/forwarding/index.js';
import type { Proof } from '../../src/controllers/freshness/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createTicker } from '../../src/core/ticker/index.js';
import type { ObjectStore, WatchAnswer } from '../../src/gateway/store/client.js';
import { createFleetPart, type FleetPart } from '../../src/gateway/store/fleet-part.js';
import { createReachabilityTracker } from '../../src/gateway/store/reachability.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, StoreObject } from '../../src/ports/index.js';

interface Gateway {
  part: FleetPart;
  fleet: ReturnType<typeof createSection<ServingFleet>>;
}

interface OrderWorld {
  gateway: Gateway;
  peer: Gateway;
  answer: (answer: WatchAnswer) => void;
}

function createEntry(id: string, entryRevision: number, group?: string): BackendServer {
  const membership = group ? { group, epoch: 5, rank: 0, state: 'open' as const } : undefined;
  return {
    id,
    service: 'models',
    address: '10.0.0.1:1',
    failureDomain: 'north',
    slots: 12,
    leaving: false,
    startedAt: 1,
    entryRevision,
    engine: { fabricDomain: 'fabric', staged: [], ...(membership && { membership }) },
  };
}

function toObject(server: BackendServer): StoreObject {
  return { name: server.id, value: server, revision: server.entryRevision ?? 0 };
}

function createGateway(store: Partial<ObjectStore>): Gateway {
  const clock = createManualClock();
  const reachability = createSection({ reachable: true, since: 0 });
  const settings = {
    servers: { heartbeatMs: 1_000, drainMs: 1_000 },
    store: { watchMs: 30_000 },
  } as GatewayContext['settings'];
  const context = {
    clock,
    settings,
    logger: silentLogger,
    random: createRandom(1),
    ticker: createTicker(clock),
    board: { storeReachability: reachability } as unknown as GatewayContext['board'],
    platform: { serverKind: 'servers', decodeServer: (_: string, value: unknown) => value },
  } as unknown as GatewayContext;
  const fleet = createSection(EMPTY_FLEET);
  const part = createFleetPart({
    context,
    store: store as ObjectStore,
    reachability: createReachabilityTracker(context, reachability),
    section: fleet,
    proof: createSection<Proof | undefined>(undefined),
  });
  return { part, fleet };
}

function createFollowing(world: OrderWorld, listed: readonly BackendServer[], asOf: number): void {
  let hasAsked = false;
  world.gateway = createGateway({
    list: () => okAsync({ objects: listed.map(toObject), more: false, revision: asOf }),
    watch: () => {
      // Only the first question is answered.
      if (hasAsked) return new ResultAsync(new Promise(() => undefined));
      hasAsked = true;
      const answered = new Promise<WatchAnswer>((resolve) => {
        world.answer = resolve;
      });
      return ResultAsync.fromSafePromise(answered);
    },
  });
}

async function settle(): Promise<void> {
  await sleep(300);
}

After(async function (this: Partial<OrderWorld>) {
  if (this.answer) await this.gateway?.part.stop();
});

Given(
  'a gateway that follows the store and knows the entry {string} of revision {int} in no group',
  async function (this: OrderWorld, id: string, revision: number) {
    createFollowing(this, [createEntry(id, revision)], revision);
    this.gateway.part.follower.setMode('forDomain');
    await settle();
  },
);

Given(
  'a gateway that lists {string} of revision {int} in no group and on a later page {string} of revision {int}, as of {int}',
  function (
    this: OrderWorld,
    id: string,
    revision: number,
    other: string,
    later: number,
    asOf: number,
  ) {
    createFollowing(this, [createEntry(id, revision), createEntry(other, later)], asOf);
  },
);

Given('a peer that takes its updates', async function (this: OrderWorld) {
  this.peer = createGateway({});
  this.gateway.part.onUpdate((update) => {
    this.peer.part.applyUpdate(update);
  });
  this.gateway.part.follower.setMode('forDomain');
  await settle();
});

When(
  "it asks for changes, and before the answer a peer's copy shows {string} of revision {int} in group {string}",
  function (this: OrderWorld, id: string, revision: number, group: string) {
    const servers = [createEntry(id, revision, group)];
    this.gateway.part.applySnapshot({ revision, servers, vanished: [] });
  },
);

When(
  /^the answer shows "(.+)" of revision (\d+) in (?:no group|group "(.+)")$/,
  async function (this: OrderWorld, id: string, revision: string, group: string | null) {
    const object = toObject(createEntry(id, Number(revision), group ?? undefined));
    const changes = { changes: [{ object, deleted: false }], revision: Number(revision) };
    this.answer({ kind: 'changes', changes });
    await settle();
  },
);

Then(
  /^the (gateway|peer) knows "(.+)" in group "(.+)"$/,
  function (this: OrderWorld, who: 'gateway' | 'peer', id: string, group: string) {
    const { servers, revision } = this[who].fleet.read();
    const known = servers.get(id)?.engine?.membership?.group;
    assert.equal(known, group, `at revision ${revision}`);
  },
);
