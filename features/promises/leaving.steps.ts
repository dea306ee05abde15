import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { startDeployment, type Deployment, type EntryProcess } from './deployment.js';
import { sendJson } from './http.js';
import { describeFaults, startAsking, startCalling, WIDE_LIMITS, type Load } from './load.js';
import type { PromiseWorld } from './world.js';

interface LeavingWorld extends PromiseWorld, Pick<World, 'log'> {
  loads: Load[];
  /** Wall clock, as in the journals. */
  markedAt: number;
}

const ENGINE = 'fabric-1-engine-0';
const SERVICE_INSTANCE = 'slots-0';
const TOKENS = 10;
/** Requests that each entry answers before and after the mark. */
const ANSWERS_AROUND = 20;
/** How long the journals are watched after the last disturbance. */
const OBSERVED_MS = 4_000;

Given(
  '3 entries under load before 2 engines and 2 plain services',
  async function (this: LeavingWorld) {
    const deployment = await startDeployment({
      engines: { 'fabric-1': 2 },
      services: 2,
      entries: 3,
      replicas: 2,
      replicaSize: 1,
      limits: WIDE_LIMITS,
    });
    this.deployment = deployment;
    await deployment.whenWhole(2);
    await deployment.whenReady();
    const entries = [...deployment.entries.values()];
    this.loads = entries.flatMap((entry) => [
      startAsking(() => [entry], 2, TOKENS),
      startCalling(() => [entry], 1),
    ]);
    await waitForAnswers(this.loads);
    await waitFor('both servers to have had work', async () => {
      const work = await readWork(deployment);
      return work.engine.length > 0 && work.service.length > 0;
    });
  },
);

Given("the platform's list of instances lags by a minute", async function (this: LeavingWorld) {
  await this.deployment.platform.control({ instanceLagMs: 60_000 });
});

Given('one of the entries is cut off from the platform', async function (this: LeavingWorld) {
  (await lastEntry(this).platformLink.control({ cut: 'both' }))._unsafeUnwrap();
});

Given('one of the entries is frozen', function (this: LeavingWorld) {
  lastEntry(this).process.signal('SIGSTOP');
});

When(
  'an engine and a service are marked as leaving through one entry',
  async function (this: LeavingWorld) {
    const { operators } = this.deployment.entry(0);
    for (const name of [ENGINE, SERVICE_INSTANCE]) {
      const answer = await sendJson(operators, 'POST', `/drain/${name}`, {});
      assert.equal(answer.status, 200, JSON.stringify(answer.body));
    }
    this.markedAt = Date.now();
  },
);

When(
  "an engine and a service are marked as leaving in the platform's list",
  async function (this: LeavingWorld) {
    const { platform } = this.deployment;
    for (const name of [ENGINE, SERVICE_INSTANCE]) {
      const listed = await platform.read('instance', name);
      await platform.put('instance', name, { ...(listed?.value as object), state: 'leaving' });
    }
    this.markedAt = Date.now();
  },
);

When('the frozen entry wakes {int} ms later', async function (this: LeavingWorld, spanMs: number) {
  await sleep(spanMs);
  lastEntry(this).process.signal('SIGCONT');
});

Then(
  'neither gets a request later than {int} ms after the mark, while every entry goes on serving',
  async function (this: LeavingWorld, mostMs: number) {
    await sleep(OBSERVED_MS);
    await waitForAnswers(this.loads);
    const work = await readWork(this.deployment);
    const spread = {
      engineMs: lastAfter(work.engine, this.markedAt),
      serviceMs: lastAfter(work.service, this.markedAt),
    };
    this.log(`from the mark to the last new request: ${JSON.stringify(spread)}`);
    assert.ok(spread.engineMs <= mostMs && spread.serviceMs <= mostMs, JSON.stringify(spread));
    const outcomes = (await Promise.all(this.loads.map((load) => load.stop()))).flat();
    assert.equal(describeFaults(outcomes), '');
  },
);

function lastEntry({ deployment }: LeavingWorld): EntryProcess {
  return deployment.entry(deployment.entries.size - 1);
}

/** Waits until each load has so many answers more than now. */
async function waitForAnswers(loads: readonly Load[]): Promise<void> {
  const before = loads.map(({ outcomes }) => outcomes.length);
  await waitFor('answers at every entry', () =>
    loads.every(({ outcomes }, i) => outcomes.length >= (before[i] ?? 0) + ANSWERS_AROUND),
  );
}

/** When each request began, of the two servers that are to leave. */
async function readWork(deployment: Deployment) {
  const { attempts } = await deployment.engine(ENGINE).journal();
  const { runs } = await deployment.service(0).journal();
  return {
    engine: attempts.map(({ startedAt }) => startedAt),
    service: runs.map(({ at }) => at),
  };
}

/** From `instant` to the last of `starts`; 0 when none came later. */
function lastAfter(starts: readonly number[], instant: number): number {
  return Math.max(0, ...starts.map((startedAt) => Math.round(startedAt - instant)));
}
