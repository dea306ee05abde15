import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { DeploymentPlan } from './deployment.js';
import { sendJson } from './http.js';
import {
  linkReplica,
  putNewWeights,
  readOwner,
  startStreaming,
  waitForNewWeights,
  waitForOtherOwner,
  type WholeWorld,
} from './replica-world.js';

const SECOND_MODEL = 'helpline';
/** Longer than a lease of the deployment; no process tells of a lease that lapses. */
const LAPSED_MS = 3_000;

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

Given(
  '{int} entries that stream from {int} replica of {int}, with engines whose fencing is {string}',
  async function (
    this: WholeWorld,
    entries: number,
    replicas: number,
    replicaSize: number,
    fencing: DeploymentPlan['fencing'],
  ) {
    const engines = { 'fabric-1': replicas * replicaSize };
    await startStreaming(this, { engines, entries, replicas, replicaSize, fencing });
  },
);

Given(
  '{int} entries that stream from 2 domains of {int} engines, whose fencing is {string}',
  async function (
    this: WholeWorld,
    entries: number,
    replicaSize: number,
    fencing: DeploymentPlan['fencing'],
  ) {
    const engines = { 'fabric-1': replicaSize, 'fabric-2': replicaSize };
    await startStreaming(this, { engines, entries, replicas: 2, replicaSize, fencing });
  },
);

Given('no engine notices that a member of its replica is gone', async function (this: WholeWorld) {
  for (const engine of this.deployment.engines.values()) await engine.control({ blind: true });
});

When('a member that does not lead is killed', killMember);

When(
  'a member that does not lead is killed and another process starts in its place',
  async function (this: WholeWorld) {
    await killMember.call(this);
    await this.deployment.restartEngine(this.member);
  },
);

When(
  'the platform loses the answers to its next {int} writes and a member is killed',
  async function (this: WholeWorld, writes: number) {
    await this.deployment.platform.control({ loseAnswersAfterEffect: writes });
    await killMember.call(this);
  },
);

When(
  /^a member that (leads|does not lead) is frozen for (\d+) ms and wakes$/,
  async function (this: WholeWorld, role: string, span: string) {
    const { members } = this.replica;
    this.member = (role === 'leads' ? members[0] : members.at(-1))?.instance ?? '';
    const { process } = this.deployment.engine(this.member);
    process.signal('SIGSTOP');
    this.disturbedAt = Date.now();
    await sleep(Number(span));
    this.mendedAt = Date.now();
    process.signal('SIGCONT');
  },
);

When(
  'the owner is frozen as soon as its plan for new weights is stored',
  async function (this: WholeWorld) {
    this.owner = await readOwner(this);
    await putNewWeights(this);
    await waitFor('the plan to change', async () => {
      const replicas = await this.deployment.readReplicas();
      return replicas.every(({ phase }) => phase !== 'whole');
    });
    this.owner.process.signal('SIGSTOP');
    this.disturbedAt = Date.now();
  },
);

When(
  'the other entry takes over and the replica with the new weights is whole',
  async function (this: WholeWorld) {
    await waitForOtherOwner(this);
    await waitForNewWeights(this);
  },
);

When('the frozen owner wakes', function (this: WholeWorld) {
  this.owner.process.signal('SIGCONT');
});

When(
  'an old order to form the former replica reaches a member late',
  async function (this: WholeWorld) {
    const rank = this.replica.members.length - 1;
    this.member = this.replica.members[rank]?.instance ?? '';
    const { directAddress } = this.deployment.engine(this.member);
    this.lateAt = Date.now();
    await sendJson(directAddress, 'POST', '/orders', createFormOrder(this, rank));
  },
);

When('the owner is cut off from the platform', async function (this: WholeWorld) {
  this.owner = await readOwner(this);
  (await this.owner.platformLink.control({ cut: 'both' }))._unsafeUnwrap();
  this.disturbedAt = Date.now();
});

When('another entry takes over and is told of new weights', async function (this: WholeWorld) {
  await waitForOtherOwner(this);
  await putNewWeights(this);
});

When('the link heals', async function (this: WholeWorld) {
  (await this.owner.platformLink.control({ cut: 'none' }))._unsafeUnwrap();
});

When('all engines of a domain go dark', async function (this: WholeWorld) {
  await linkReplica(this, { cut: 'both' });
  this.disturbedAt = Date.now();
  await waitFor('its replica to be broken', async () => {
    const { journals } = await this.observer.read();
    return this.replica.members.every(
      ({ instance }) => journals.get(instance)?.at(-1)?.states.at(-1)?.state === 'failed',
    );
  });
});

When(
  "the platform goes down until the lease of the domain's owner has lapsed",
  async function (this: WholeWorld) {
    await this.deployment.platform.control({ outage: 'refuse' });
    await sleep(LAPSED_MS);
  },
);

When('the domain is back', async function (this: WholeWorld) {
  this.mendedAt = Date.now();
  await linkReplica(this, { cut: 'none' });
});

When(
  'a second model wants {int} replicas of {int}',
  async function (this: WholeWorld, replicas: number, replicaSize: number) {
    await this.deployment.platform.put('model', SECOND_MODEL, { replicas, replicaSize });
  },
);

async function killMember(this: WholeWorld): Promise<void> {
  this.member = this.replica.members.at(-1)?.instance ?? '';
  assert.notEqual(this.member, '');
  this.disturbedAt = await this.observer.kill(this.member);
}

/** As the owner of the disturbed replica sent it when it formed it. */
function createFormOrder({ deployment, replica }: WholeWorld, rank: number) {
  const { id, fence, model, weights } = replica;
  const members = replica.members.map(({ instance, incarnation }) => {
    return { instance, incarnation, address: deployment.engine(instance).address };
  });
  return { kind: 'form', fence, replica: id, model, weights, adapters: [], rank, members };
}
