/**
 * What the scenarios about whole replicas share, and what they wait for.
 */
import assert from 'node:assert/strict';
import { After, type World } from '@cucumber/cucumber';
import type { DomainPlan, Replica } from '../../src/objects/index.js';
import type { ProxyControl } from '../../src/stand-ins/proxy/index.js';
import { waitFor } from '../support/waiting.js';
import { MODEL, startDeployment, type DeploymentPlan, type EntryProcess } from './deployment.js';
import {
  createObserver,
  listAttempts,
  startStreams,
  type Evidence,
  type JournaledAttempt,
  type Observer,
  type Streams,
} from './replica-observer.js';
import type { PromiseWorld } from './world.js';

/** One deployment under streams, and what was done to it. Instants are of the wall clock. */
export interface WholeWorld extends PromiseWorld, Pick<World, 'log'> {
  observer: Observer;
  streams: Streams;
  /** The replica that is disturbed, as it was planned, and the member that is. */
  replica: Replica;
  member: string;
  /** Frozen or cut off. */
  owner: EntryProcess;
  disturbedAt: number;
  mendedAt: number;
  lateAt: number;
}

const TOKENS = 60;
const CALLERS = 3;
const WARM_ANSWERS = 6;
const NEW_WEIGHTS = 'second';

After(async function (this: Partial<WholeWorld>) {
  for (const entry of this.deployment?.entries.values() ?? []) entry.process.signal('SIGCONT');
  await this.streams?.stop();
});

/** Starts `plan` and callers at every entry, and waits until they are served. */
export async function startStreaming(
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

export async function waitForAnswers({ streams }: WholeWorld): Promise<void> {
  const count = (): number => streams.outcomes.filter(({ kind }) => kind === 'whole').length;
  const before = count();
  await waitFor('whole answers', () => count() >= before + WARM_ANSWERS);
}

/** The entry that the plan names. */
export async function readOwner({ deployment }: WholeWorld): Promise<EntryProcess> {
  const plan = await deployment.platform.read('domain-plan', 'fabric-1');
  const owner = (plan?.value as DomainPlan).owner?.entry ?? '';
  const entry = deployment.entries.get(owner);
  assert.ok(entry, `no entry ${owner}`);
  return entry;
}

export async function waitForOtherOwner(world: WholeWorld): Promise<void> {
  await waitFor('another owner', async () => (await readOwner(world)).name !== world.owner.name);
}

/** Has the model's replicas formed anew. */
export async function putNewWeights({ deployment }: WholeWorld): Promise<void> {
  const { replicas, replicaSize } = deployment.plan;
  await deployment.platform.put('model', MODEL, { replicas, replicaSize, weights: NEW_WEIGHTS });
}

export async function waitForNewWeights({ deployment }: WholeWorld): Promise<void> {
  await waitFor('a replica with the new weights', async () => {
    const replicas = await deployment.readReplicas();
    return replicas.some(({ phase, weights }) => phase === 'whole' && weights === NEW_WEIGHTS);
  });
}

/** Whole by the plan and by what every member says of itself, `without` one instance. */
export async function waitForWhole(
  world: WholeWorld,
  count: number,
  without?: string,
): Promise<void> {
  await waitFor(`${count} replicas to be whole`, async () => {
    const replicas = await world.deployment.readReplicas();
    const { journals } = await world.observer.read();
    const isReady = (replica: Replica, instance: string): boolean => {
      const state = journals.get(instance)?.at(-1)?.states.at(-1);
      return state?.state === 'ready' && state.replica === replica.id;
    };
    const isWhole = (replica: Replica): boolean =>
      replica.phase === 'whole' &&
      replica.members.every(({ instance }) => instance !== without && isReady(replica, instance));
    return replicas.filter(isWhole).length >= count;
  });
  world.log(`whole again ${Date.now() - world.disturbedAt} ms after the disturbance`);
  await waitForAnswers(world);
}

/** Waits until the disturbed replica serves under the number that it had. */
export async function waitForService(world: WholeWorld): Promise<void> {
  await waitFor('its replica to serve again', async () => {
    return listServed(world, await world.observer.read(), world.mendedAt).length > 0;
  });
  world.log(`serves again ${Date.now() - world.mendedAt} ms later`);
}

/** Attempts at the disturbed replica, as it was planned, that ran within the span. */
export function listServed(
  { replica }: WholeWorld,
  evidence: Evidence,
  from: number,
  to = Number.POSITIVE_INFINITY,
): JournaledAttempt[] {
  return listAttempts(evidence).filter(
    (one) =>
      one.replica === replica.id &&
      one.fence === replica.fence &&
      one.startedAt < to &&
      (one.endedAt ?? to) > from,
  );
}

/** Faults at the links of all members of the disturbed replica. */
export async function linkReplica(
  { deployment, replica }: WholeWorld,
  control: ProxyControl,
): Promise<void> {
  for (const { instance } of replica.members) await deployment.engine(instance).link(control);
}
