import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Status } from '../../src/controllers/status/index.js';
import { domainPlanSchema } from '../../src/objects/index.js';
import { waitFor } from '../support/waiting.js';
import { askStreamed, callService, type CallReply, type Reply } from './callers.js';
import {
  MODEL,
  SERVICE,
  startDeployment,
  type Deployment,
  type DeploymentPlan,
  type EntryProcess,
} from './deployment.js';
import { getJson, sendJson } from './http.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

interface TogetherWorld extends PromiseWorld {
  alive: readonly EntryProcess[];
  target: EntryProcess;
  killed: string;
  dark: string;
  refusedAt: number;
  accepted: number;
  firstWord: CallReply;
  lastWord: CallReply;
  longReply: Promise<Reply>;
}

const CHECK_IN = JSON.stringify({ marker: 'check-in-1' });
const KEY = 'check-in-1';
const REFUSAL_MS = 6_000;
const CHECK_IN_MS = 400;
const LOST_ANSWERS = 20;
const TRIES = 20;
const TRY_PAUSE_MS = 200;
const GOOD_IN_A_ROW = 8;
const LONG_TOKENS = 120;
const LONG_SEED = 4;

async function start(world: TogetherWorld, plan: Partial<DeploymentPlan>): Promise<void> {
  world.deployment = await startDeployment(plan);
  await world.deployment.whenWhole(plan.replicas ?? 1);
  await world.deployment.whenReady();
  world.alive = [...world.deployment.entries.values()];
}

Given(
  'two failures: {int} entry/entries before 1 replica of 2 engines in each of {int} fabric domain(s)',
  async function (this: TogetherWorld, entries: number, domains: number) {
    const names = Array.from({ length: domains }, (_, index) => `fabric-${index + 1}`);
    const engines = Object.fromEntries(names.map((name) => [name, 2]));
    await start(this, { entries, engines, replicas: domains });
  },
);

Given(
  'two failures: {int} entries before 1 replica of {int} engines that ignore fencing numbers',
  async function (this: TogetherWorld, entries: number, engines: number) {
    await start(this, { entries, engines: { 'fabric-1': engines }, fencing: 'ignored' });
  },
);

async function askOne(entry: EntryProcess, seed: number): Promise<'whole' | Reply> {
  const question = { ...createQuestion(seed), deadlineMs: REFUSAL_MS };
  const reply = await askStreamed(entry.callers, question);
  const expected = answerOf(question);
  assert.ok(expected.startsWith(reply.text), `"${reply.text}" is no part of "${expected}"`);
  if (!reply.whole) return reply;
  assert.equal(reply.text, expected);
  return 'whole';
}

Then(
  'callers get their whole streamed answers at every entry',
  async function (this: TogetherWorld) {
    await this.deployment.whenWhole(this.deployment.plan.replicas);
    for (const entry of this.alive) {
      await waitFor(`${entry.name} to serve`, async () => (await askOne(entry, 7)) === 'whole');
    }
  },
);

When(
  'the platform hangs and then a member of the replica is killed',
  async function (this: TogetherWorld) {
    const [replica] = await this.deployment.readReplicas();
    this.killed = replica?.members[1]?.instance ?? '';
    await this.deployment.platform.control({ outage: 'hang' });
    await this.deployment.engine(this.killed).process.kill();
  },
);

Then(
  'callers are told of their streams that they were not run',
  async function (this: TogetherWorld) {
    const [entry] = this.alive;
    assert.ok(entry, 'an entry');
    let seed = 100;
    await waitFor('a stream to be refused as not run', async () => {
      seed += 1;
      const reply = await askOne(entry, seed);
      return reply !== 'whole' && reply.conclusion === 'notRun';
    });
    this.refusedAt = Date.now();
    const reply = await askOne(entry, 99);
    assert.notEqual(reply, 'whole');
    assert.equal((reply as Reply).conclusion, 'notRun');
  },
);

Then(
  'no engine has begun an attempt since the first such answer',
  async function (this: TogetherWorld) {
    const { engines } = this.deployment;
    const others = [...engines.values()].filter(({ name }) => name !== this.killed);
    for (const engine of others) {
      const { attempts } = await engine.journal();
      assert.deepEqual(
        attempts.filter(({ startedAt }) => startedAt > this.refusedAt),
        [],
      );
    }
  },
);

When('the member is back and the platform answers again', async function (this: TogetherWorld) {
  await this.deployment.restartEngine(this.killed);
  await this.deployment.platform.control({ outage: 'none' });
});

async function readOwner(deployment: Deployment): Promise<string> {
  const stored = await deployment.platform.read('domain-plan', 'fabric-1');
  return domainPlanSchema.parse(stored?.value).owner?.entry ?? '';
}

When(
  'the owner of the fabric domain is frozen and an operator asks for {int} replicas elsewhere',
  async function (this: TogetherWorld, replicas: number) {
    const owner = await readOwner(this.deployment);
    const frozen = this.alive.find(({ name }) => name === owner);
    const other = this.alive.find(({ name }) => name !== owner);
    assert.ok(frozen && other, 'two entries');
    this.target = frozen;
    frozen.process.signal('SIGSTOP');
    const value = { replicaSize: this.deployment.plan.replicaSize, replicas };
    const answer = await sendJson(other.operators, 'PUT', `/objects/model/${MODEL}`, { value });
    assert.equal(answer.status, 200);
    this.accepted = (answer.body as { object: { version: number } }).object.version;
  },
);

Then(
  'the other entry takes the domain over and {int} replicas are whole',
  async function (this: TogetherWorld, replicas: number) {
    await this.deployment.whenWhole(replicas);
    assert.notEqual(await readOwner(this.deployment), this.target.name);
  },
);

When(
  'the frozen owner wakes up and has the new configuration in force',
  async function (this: TogetherWorld) {
    this.target.process.signal('SIGCONT');
    await waitFor('the new configuration at the woken owner', async () => {
      return (await readStatus(this.target)).configuration.revision >= this.accepted;
    });
  },
);

async function readStatus(entry: EntryProcess): Promise<Status> {
  return (await getJson(entry.operators, '/status')).body as Status;
}

Then(
  'no engine has obeyed an old order and no instance was in two replicas',
  async function (this: TogetherWorld) {
    for (const engine of this.deployment.engines.values()) {
      const { orders } = await engine.journal();
      assert.deepEqual(
        orders.filter(({ outcome }) => outcome === 'staleObeyed'),
        [],
      );
    }
    for (const { object } of await this.deployment.platform.journal('domain-plan')) {
      const { replicas } = domainPlanSchema.parse(object.value);
      const held = replicas.filter(({ phase }) => phase !== 'released');
      const taken = held.flatMap(({ members }) => members.map(({ instance }) => instance));
      assert.equal(new Set(taken).size, taken.length, JSON.stringify(object));
    }
  },
);

When(
  /^the answer to an entry's (claim|result) of a check-in is lost and the entry is killed$/,
  async function (this: TogetherWorld, write: 'claim' | 'result') {
    const { platform } = this.deployment;
    const [entry, other] = this.alive;
    assert.ok(entry && other, 'two entries');
    // Long enough for the claim to be seen before the result is written.
    await this.deployment.service(0).control({ latencyMs: CHECK_IN_MS });
    // The next write to come may be a plan's, so several answers are lost.
    if (write === 'claim') await platform.control({ loseAnswersAfterEffect: LOST_ANSWERS });
    const options = { key: KEY, body: CHECK_IN };
    const first = callService(entry.callers, 'POST', `${SERVICE}/check-ins`, options);
    await whenRecorded(this.deployment, 'claimed');
    if (write === 'result') {
      await platform.control({ loseAnswersAfterEffect: LOST_ANSWERS });
      await whenRecorded(this.deployment, 'answered');
    }
    await entry.process.kill();
    await platform.control({ loseAnswersAfterEffect: 0 });
    // It may have got its answer before the kill, from the run itself; the repeat must agree then.
    this.firstWord = await first;
    this.alive = [other];
  },
);

function whenRecorded({ platform }: Deployment, kind: 'claimed' | 'answered'): Promise<true> {
  return waitFor(`the record to be ${kind}`, async () => {
    const writes = await platform.journal('call-record');
    return writes.some(({ object }) => JSON.stringify(object.value).includes(`"${kind}"`));
  });
}

When(
  'the caller sends the check-in again through the other entry until it has a last word',
  async function (this: TogetherWorld) {
    const [entry] = this.alive;
    assert.ok(entry, 'an entry');
    const options = { key: KEY, body: CHECK_IN };
    for (let tries = 0; tries < TRIES; tries += 1) {
      this.lastWord = await callService(entry.callers, 'POST', `${SERVICE}/check-ins`, options);
      if (this.lastWord.errorKind !== 'callInProgress') return;
      await sleep(TRY_PAUSE_MS);
    }
  },
);

Then(
  /^the check-in has run at most once and the last word is (that of the journal|the answer of its run)$/,
  async function (this: TogetherWorld, word: string) {
    const { runs } = await this.deployment.service(0).journal();
    const own = runs.filter(({ body }) => body === CHECK_IN);
    assert.ok(own.length <= 1, `${own.length} runs`);
    const { status, conclusion } = this.lastWord;
    const { firstWord } = this;
    if (firstWord.status === 200) assert.equal(this.lastWord.body, firstWord.body);
    if (status === 200) assert.equal(own.length, 1);
    else assert.equal(conclusion, 'unknown', JSON.stringify(this.lastWord));
    if (word === 'the answer of its run') {
      assert.equal(status, 200, JSON.stringify(this.lastWord));
      assert.equal((JSON.parse(this.lastWord.body) as { body: string }).body, CHECK_IN);
    }
  },
);

When(
  "the platform's list lags by {int} seconds and a fabric domain goes dark",
  async function (this: TogetherWorld, seconds: number) {
    await this.deployment.platform.control({ instanceLagMs: seconds * 1_000 });
    this.dark = 'fabric-1';
    await linkDomain(this.deployment, this.dark, 'both');
  },
);

async function linkDomain(
  deployment: Deployment,
  domain: string,
  cut: 'none' | 'both',
): Promise<void> {
  const engines = [...deployment.engines.values()];
  const own = engines.filter(({ name }) => name.startsWith(`${domain}-`));
  await Promise.all(own.map((engine) => engine.link({ cut })));
}

Then(
  'within {int} seconds callers get only whole streamed answers from the other domain',
  async function (this: TogetherWorld, seconds: number) {
    let row = 0;
    let seed = 200;
    await waitFor(
      `${GOOD_IN_A_ROW} whole answers in a row`,
      async () => {
        const entry = this.alive[seed % this.alive.length];
        assert.ok(entry, 'an entry');
        seed += 1;
        row = (await askOne(entry, seed)) === 'whole' ? row + 1 : 0;
        return row >= GOOD_IN_A_ROW;
      },
      seconds * 1_000,
    );
  },
);

When('the fabric domain is reached again', async function (this: TogetherWorld) {
  await linkDomain(this.deployment, this.dark, 'none');
});

When(
  'an entry is cut from the platform and stopped in the middle of a long stream',
  async function (this: TogetherWorld) {
    const [entry, other] = this.alive;
    assert.ok(entry && other, 'two entries');
    this.target = entry;
    const question = createQuestion(LONG_SEED, LONG_TOKENS);
    const leaders = [...this.deployment.engines.values()];
    await Promise.all(leaders.map((engine) => engine.control({ slowFactor: 4 })));
    (await entry.platformLink.control({ cut: 'both' }))._unsafeUnwrap();
    this.question = question;
    let isBegun = false;
    this.longReply = askStreamed(entry.callers, question, () => {
      isBegun = true;
    });
    await waitFor('the long stream to begin', () => isBegun);
    entry.process.signal('SIGTERM');
    this.alive = [other];
  },
);

Then(
  'the long stream arrives whole and the stopped entry ends with status 0 within {int} seconds',
  async function (this: TogetherWorld, seconds: number) {
    const reply = await this.longReply;
    assert.deepEqual(
      { text: reply.text, whole: reply.whole, error: reply.errorKind },
      { text: answerOf(this.question), whole: true, error: undefined },
    );
    const late = sleep(seconds * 1_000, 'late' as const, { ref: false });
    assert.equal(await Promise.race([this.target.process.exited, late]), 0);
  },
);

When(
  'the platform answers from a copy older than an accepted change',
  async function (this: TogetherWorld) {
    const [entry] = this.alive;
    assert.ok(entry, 'an entry');
    const { platform } = this.deployment;
    await platform.control({ takeCopy: true });
    const { revision } = (await readStatus(entry)).configuration;
    const labels = { change: 'accepted' };
    const current = await platform.read('model', MODEL);
    const change = { labels, expected: current?.version };
    const answer = await sendJson(entry.operators, 'PATCH', `/labels/model/${MODEL}`, change);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    this.accepted = (answer.body as { object: { version: number } }).object.version;
    assert.ok(this.accepted > revision, `${this.accepted} after ${revision}`);
    await waitFor('the change to be accepted', async () => {
      const judged = await getJson(entry.operators, `/acceptance/${this.accepted}`);
      return JSON.stringify(judged.body).includes('"accepted"');
    });
    await platform.control({ oldCopy: true });
  },
);

When('an entry is killed and another one is started', async function (this: TogetherWorld) {
  const [killed, other] = this.alive;
  assert.ok(killed && other, 'two entries');
  await killed.process.kill();
  this.target = await this.deployment.startEntry();
  this.alive = [other, this.target];
});

Then(
  'the new entry is never ready with a configuration older than the accepted one',
  async function (this: TogetherWorld) {
    await waitFor('the new entry to be ready', async () => {
      const { entry, configuration } = await readStatus(this.target);
      if (!entry.ready) return false;
      return { revision: configuration.revision };
    }).then(({ revision }) => {
      assert.ok(revision >= this.accepted, `${revision}, accepted ${this.accepted}`);
    });
  },
);
