import assert from 'node:assert/strict';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import type { Replica } from '../../src/objects/index.js';
import { waitFor } from '../support/waiting.js';
import { startDeployment, type DeploymentPlan } from './deployment.js';
import {
  createObserver,
  findBrokenServing,
  findDoubleMembers,
  listAttempts,
  startStreams,
  type Observer,
  type Streams,
} from './replica-observer.js';
import type { PromiseWorld } from './world.js';

interface WholeWorld extends PromiseWorld, Pick<World, 'log'> {
  observer: Observer;
  streams: Streams;
  /** The replica that is disturbed, as it was planned, and the member that is. */
  replica: Replica;
  member: string;
  /** Wall clock. */
  disturbedAt: number;
}

const TOKENS = 60;
const CALLERS = 3;
const WARM_ANSWERS = 6;

After(async function (this: Partial<WholeWorld>) {
  await this.streams?.stop();
});

Given(
  '{int} entries that stream from {int} replicas of {int} with {int} engine(s) to spare',
  async function (
    this: WholeWorld,
    entries: number,
    replicas: number,
    replicaSize: number,
    spares: number,
  ) {
    const engines = { 'fabric-1': replicas * replicaSize + spares };
    await startStreaming(this, { engines, entries, replicas, replicaSize });
  },
);

async function startStreaming(
  world: WholeWorld,
  plan: Partial<DeploymentPlan> & Pick<DeploymentPlan, 'replicas'>,
): Promise<void> {
  world.deployment = await startDeployment(plan);
  world.observer = createObserver(world.deployment);
  const replicas = await world.deployment.whenWhole(plan.replicas);
  await world.deployment.whenReady();
  const [replica] = replicas;
  assert.ok(replica);
  world.replica = replica;
  world.streams = startStreams([...world.deployment.entries.values()], CALLERS, TOKENS);
  await waitForAnswers(world);
}

async function waitForAnswers({ streams }: WholeWorld): Promise<void> {
  const before = streams.outcomes.filter(({ kind }) => kind === 'whole').length;
  await waitFor('whole answers', () => {
    const now = streams.outcomes.filter(({ kind }) => kind === 'whole').length;
    return now >= before + WARM_ANSWERS;
  });
}

When('a member that does not lead is killed', async function (this: WholeWorld) {
  this.member = this.replica.members.at(-1)?.instance ?? '';
  this.disturbedAt = await this.observer.kill(this.member);
});

Then(
  'the replica it was in serves nothing more after {int} ms',
  async function (this: WholeWorld, mostMs: number) {
    await waitForAnswers(this);
    const evidence = await this.observer.read();
    const { id, fence } = this.replica;
    const own = listAttempts(evidence).filter((one) => one.replica === id && one.fence === fence);
    const starts = own.map(({ startedAt }) => startedAt - this.disturbedAt);
    const ends = own.map(({ endedAt }) => (endedAt ?? Date.now()) - this.disturbedAt);
    const spread = { lastStartMs: Math.max(...starts), lastTokenMs: Math.max(...ends) };
    this.log(`from the loss to the last of the replica: ${JSON.stringify(spread)}`);
    assert.ok(spread.lastTokenMs <= mostMs, JSON.stringify(spread));
  },
);

Then(
  '{int} replicas are whole again without the killed member',
  async function (this: WholeWorld, count: number) {
    await waitFor(`${count} replicas without ${this.member}`, async () => {
      const replicas = await this.deployment.readReplicas();
      const whole = replicas.filter(
        ({ phase, members }) =>
          phase === 'whole' && members.every(({ instance }) => instance !== this.member),
      );
      return whole.length >= count;
    });
    this.log(`whole again ${Date.now() - this.disturbedAt} ms after the loss`);
    await waitForAnswers(this);
  },
);

Then('every stream came whole or ended in one explicit error', async function (this: WholeWorld) {
  const outcomes = await this.streams.stop();
  const faults = outcomes.flatMap(({ fault }) => fault ?? []);
  assert.deepEqual(faults, []);
  const errors = outcomes.flatMap(({ errorKind }) => errorKind ?? []);
  this.log(`${outcomes.length} streams, errors: ${JSON.stringify(errors)}`);
});

Then('no plan had an instance in two replicas', async function (this: WholeWorld) {
  const evidence = await this.observer.read();
  assert.deepEqual(findDoubleMembers(evidence), []);
  const late = findBrokenServing(evidence).map(({ afterMs }) => afterMs);
  this.log(`attempts begun while a member was out of place: ${JSON.stringify(late)}`);
});
