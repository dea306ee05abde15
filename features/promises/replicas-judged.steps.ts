import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Then } from '@cucumber/cucumber';
import {
  findBrokenServing,
  describeAttempts,
  findDoubleMembers,
  isGivenUp,
  type Evidence,
} from './replica-observer.js';
import {
  listServed,
  waitForAnswers,
  waitForNewWeights,
  waitForService,
  waitForWhole,
  type WholeWorld,
} from './replica-world.js';

/** How long a domain that may not be restored is watched. */
const DOWN_MS = 1_500;
/** Two at the start and one in place of the broken one. */
const REPLICAS_FORMED = 3;

Then(
  'that order was {string} and no other old order was obeyed',
  async function (this: WholeWorld, outcome: string) {
    const { journals } = await this.observer.read();
    const orders = journals.get(this.member)?.flatMap((journal) => journal.orders) ?? [];
    const late = orders.filter(
      ({ at, fence }) => at >= this.lateAt && fence === this.replica.fence,
    );
    assert.deepEqual(
      late.map((order) => order.outcome),
      [outcome],
    );
    assert.deepEqual(
      listStaleOrders(journals).filter((order) => !late.includes(order)),
      [],
    );
  },
);

Then('no old order was obeyed', async function (this: WholeWorld) {
  const { journals } = await this.observer.read();
  assert.deepEqual(listStaleOrders(journals), []);
});

Then('only one replica was formed in place of the broken one', async function (this: WholeWorld) {
  const { plans } = await this.observer.read();
  const formed = plans.flatMap(({ plan }) => plan.replicas.map(({ id }) => id));
  assert.equal(new Set(formed).size, REPLICAS_FORMED);
});

Then(
  'its replica serves again under the same number before the platform is back',
  async function (this: WholeWorld) {
    await waitForService(this);
    await this.deployment.platform.control({ outage: 'none' });
    await waitForAnswers(this);
  },
);

Then(
  'its replica serves again under the same number after the platform is back',
  async function (this: WholeWorld) {
    await waitForAnswers(this);
    await sleep(DOWN_MS);
    assert.deepEqual(listServed(this, await this.observer.read(), this.mendedAt), []);
    this.mendedAt = Date.now();
    await this.deployment.platform.control({ outage: 'none' });
    await waitForService(this);
  },
);

Then(
  'the new process serves only under a later fencing number than the old one',
  async function (this: WholeWorld) {
    const { journals } = await this.observer.read();
    const incarnation = journals.get(this.member)?.at(-1)?.incarnation;
    const replicas = await this.deployment.readReplicas();
    const own = replicas.find(({ members }) =>
      members.some((member) => member.incarnation === incarnation),
    );
    assert.ok(own && own.fence > this.replica.fence, JSON.stringify(own));
  },
);

Then(
  'the replica it was in served nothing more after {int} ms',
  async function (this: WholeWorld, mostMs: number) {
    await waitForAnswers(this);
    const own = listServed(this, await this.observer.read(), 0);
    const spread = {
      lastStartMs: Math.max(...own.map(({ startedAt }) => startedAt - this.disturbedAt)),
      lastTokenMs: Math.max(...own.map(({ endedAt = Date.now() }) => endedAt - this.disturbedAt)),
    };
    this.log(`from the loss to the last of its replica: ${JSON.stringify(spread)}`);
    assert.ok(spread.lastTokenMs <= mostMs, JSON.stringify(spread));
  },
);

Then(
  'the replica it was in served nothing from {int} ms after the freeze until the member woke',
  async function (this: WholeWorld, mostMs: number) {
    await waitForAnswers(this);
    const from = this.disturbedAt + mostMs;
    assert.deepEqual(listServed(this, await this.observer.read(), from, this.mendedAt), []);
  },
);

Then(
  'no stream stood still for more than {int} ms',
  async function (this: WholeWorld, mostMs: number) {
    await waitForAnswers(this);
    const { outcomes } = this.streams;
    const longest = Math.max(...outcomes.map(({ stillMs }) => stillMs));
    this.log(`the longest that a stream stood still: ${longest} ms`);
    assert.ok(longest <= mostMs, `${longest} ms`);
  },
);

Then(
  '{int} replicas are whole again without the killed member',
  async function (this: WholeWorld, count: number) {
    await waitForWhole(this, count, this.member);
  },
);

Then('{int} replica(s) is/are whole again', async function (this: WholeWorld, count: number) {
  await waitForWhole(this, count);
});

Then('1 replica with the new weights is whole', async function (this: WholeWorld) {
  await waitForNewWeights(this);
  await waitForWhole(this, 1);
});

Then('every stream came whole or ended in one explicit error', async function (this: WholeWorld) {
  const outcomes = await this.streams.stop();
  assert.deepEqual(
    outcomes.flatMap(({ fault }) => fault ?? []),
    [],
  );
  const errors = outcomes.flatMap(({ errorKind }) => errorKind ?? []);
  this.log(`${outcomes.length} streams, errors: ${JSON.stringify(countEach(errors))}`);
});

Then(
  'no attempt began more than {int} ms after a member had left its replica',
  async function (this: WholeWorld, mostMs: number) {
    const evidence = await this.observer.read();
    const all = findBrokenServing(evidence);
    const late = all.filter(({ attempt }) => !isGivenUp(evidence, attempt, this.mendedAt));
    const spans = late.map(({ afterMs }) => afterMs);
    this.log(`attempts begun after a member had left: ${JSON.stringify(spans)}`);
    this.log(`besides, given up before they were begun: ${all.length - late.length}`);
    for (const { attempt } of all) this.log(describeAttempts(evidence, attempt, this.mendedAt));
    assert.deepEqual(
      late.filter(({ afterMs }) => afterMs > mostMs),
      [],
    );
  },
);

Then('no plan had an instance in two replicas', async function (this: WholeWorld) {
  assert.deepEqual(findDoubleMembers(await this.observer.read()), []);
});

function listStaleOrders(journals: Evidence['journals']) {
  return [...journals.values()].flatMap((all) =>
    all.flatMap(({ orders }) => orders.filter(({ outcome }) => outcome === 'staleObeyed')),
  );
}

function countEach(values: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}
