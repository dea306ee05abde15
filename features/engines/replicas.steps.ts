import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Order } from '../../src/adapters/engines/index.js';
import {
  createEngineStandIn,
  type EngineStandInSettings,
} from '../../src/stand-ins/engine/index.js';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';
import { createWeightStore, type WeightStore } from '../../src/stand-ins/weights/index.js';
import { waitFor } from '../support/waiting.js';
import {
  ask,
  engineAt,
  formOrder,
  formReplica,
  openLab,
  REPLICA,
  reportOf,
  requestFor,
  startEngines,
  waitForState,
  type EngineWorld,
} from './lab.js';

interface ReplicaWorld extends EngineWorld {
  weightStore?: WeightStore;
  memberProxy?: Proxy;
  orderedAt?: number;
}

After(async function (this: Partial<ReplicaWorld>) {
  await this.weightStore?.stop();
  await this.memberProxy?.stop();
});

Given('{int} engines without a replica', async function (this: ReplicaWorld, count: number) {
  await startEngines(openLab(this), count);
});

Given(
  'a replica of 1 engine formed with fence {int}, whose fencing is {word}',
  async function (this: ReplicaWorld, fence: number, fencing: EngineStandInSettings['fencing']) {
    await startEngines(openLab(this), 1, { fencing });
    await formReplica(this.engineLab, fence);
  },
);

Given(
  'a replica of 2 engines with a proxy before the engine of rank 1',
  async function (this: ReplicaWorld) {
    const lab = openLab(this);
    await startEngines(lab, 2);
    const member = engineAt(lab, 1);
    const options = { listen: '127.0.0.1:0', target: member.address };
    this.memberProxy = (await createProxy(options))._unsafeUnwrap();
    lab.engines[1] = { ...member, address: this.memberProxy.address };
    await formReplica(lab, 1);
  },
);

Given(
  'a weight store of {int} bytes a second and models of {int} bytes',
  async function (this: ReplicaWorld, bytesPerSecond: number, bytesPerModel: number) {
    const store = await createWeightStore({ bytesPerSecond, bytesPerModel });
    this.weightStore = store._unsafeUnwrap();
  },
);

Given(
  '{int} engines that load from the weight store',
  async function (this: ReplicaWorld, count: number) {
    const weightStore = this.weightStore?.address;
    assert.ok(weightStore);
    await startEngines(openLab(this), count, { weightStore });
  },
);

When(
  'the engines of rank {int} and {int} are ordered into a replica',
  async function (this: ReplicaWorld, first: number, second: number) {
    this.orderedAt = performance.now();
    await sendOrder(this, first, formOrder(this.engineLab, first, 1));
    await sendOrder(this, second, formOrder(this.engineLab, second, 1));
  },
);

When(
  'the engine of rank {int} is ordered into the replica',
  async function (this: ReplicaWorld, rank: number) {
    await sendOrder(this, rank, formOrder(this.engineLab, rank, 1));
  },
);

When('the engine of rank {int} dies', async function (this: ReplicaWorld, rank: number) {
  await engineAt(this.engineLab, rank).stop();
});

When(
  'the engine of rank {int} dies and comes back at once at its address',
  async function (this: ReplicaWorld, rank: number) {
    const { instance, address } = engineAt(this.engineLab, rank);
    await engineAt(this.engineLab, rank).stop();
    const again = await createEngineStandIn({ instance, listen: address });
    this.engineLab.engines.push(again._unsafeUnwrap());
  },
);

When('nothing passes the proxy before that engine any more', async function (this: ReplicaWorld) {
  const cut = await this.memberProxy?.control({ cut: 'both' });
  assert.ok(cut?.isOk());
});

When(
  /^the engine of rank (\d+) is (released|drained) with fence (\d+)$/,
  async function (this: ReplicaWorld, rank: string, done: string, fence: string) {
    const kind = done === 'released' ? 'release' : 'drain';
    await sendOrder(this, Number(rank), { kind, fence: Number(fence), replica: REPLICA });
  },
);

Then(
  'the engine of rank {int} gets ready and the leader stays loading',
  async function (this: ReplicaWorld, rank: number) {
    await waitForState(this.engineLab, rank, 'ready');
    assert.equal((await reportOf(this.engineLab, 0)).state, 'loading');
  },
);

Then('the leader gets ready', async function (this: ReplicaWorld) {
  await waitForState(this.engineLab, 0, 'ready');
});

Then(
  'the leader gets ready not before {int} ms have passed',
  async function (this: ReplicaWorld, spanMs: number) {
    await waitForState(this.engineLab, 0, 'ready');
    assert.ok(performance.now() - Number(this.orderedAt) >= spanMs);
  },
);

Then('the leader fails', async function (this: ReplicaWorld) {
  await waitForState(this.engineLab, 0, 'failed');
});

Then('the engine of rank {int} fails', async function (this: ReplicaWorld, rank: number) {
  await waitForState(this.engineLab, rank, 'failed');
});

Then(
  'the engines refuse the caller {string} as {string}',
  async function (this: ReplicaWorld, caller: string, refusal: string) {
    const start = await ask(this.engineLab, requestFor(caller));
    assert.ok(start.kind === 'refused');
    assert.equal(start.refusal.refusal, refusal);
  },
);

Then(
  'the order was {word} and the engine is {word}',
  async function (this: ReplicaWorld, outcome: string, state: string) {
    const { orders } = engineAt(this.engineLab, 0).journal();
    assert.equal(orders.at(-1)?.outcome, outcome);
    assert.equal((await reportOf(this.engineLab, 0)).state, state);
  },
);

/** Refusals are seen in the engine's journal. */
async function sendOrder(world: ReplicaWorld, rank: number, order: Order): Promise<void> {
  await world.engineLab.client.order(engineAt(world.engineLab, rank).address, order, 2_000);
  const journaled = await waitFor('the order in the journal', () =>
    engineAt(world.engineLab, rank).journal().orders.at(-1),
  );
  assert.equal(journaled.kind, order.kind);
}
