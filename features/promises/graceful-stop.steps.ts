import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import type { DrainStatus } from '../../src/adapters/operators/index.js';
import { waitFor } from '../support/waiting.js';
import { API_KEY, askStreamed, callService, type Reply } from './callers.js';
import { SERVICE, startDeployment, type Deployment, type EntryProcess } from './deployment.js';
import { getJson, sendJson } from './http.js';
import {
  askOnce,
  describeFaults,
  startAsking,
  startCalling,
  WIDE_LIMITS,
  type Load,
} from './load.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

interface StopWorld extends PromiseWorld, Pick<World, 'log'> {
  loads: Load[];
  /** Entries that callers know. */
  known: EntryProcess[];
  /** The seed of the last long stream. */
  lastSeed: number;
  longAnswers: Promise<Awaited<ReturnType<typeof askOnce>>>[];
  calls: ReturnType<typeof callService>[];
  completion: Promise<Reply>;
  /** What the end of the grace period interrupts, as the log counts it. */
  interrupted: number;
  exits: (number | null)[];
  drained: string;
  /** Wall clock, as in the journals. */
  markedAt: number;
  killedAt: number;
  /** Of a caller that reads slowly; nobody has read from it yet. */
  slowAnswer: IncomingMessage;
  taken: Buffer;
  signalledAt: number;
}

const TOKENS = 40;
const LONG_TOKENS = 400;
/** Of a stream that takes some seconds, in characters; most answers of the engines are shorter. */
const LONG_TEXT = 550;
const SLOW_ENGINES = ['--decode-ms-per-token', '10'];
const LONG_SEED = 1_000_000;
const STREAMS = 9;
const CALLS = 12;
const ANSWERS_BETWEEN = 30;
/** The answer to a request that the end of a grace period interrupted. */
const MAY_HAVE_RUN = { broken: false, status: 502, conclusion: 'unknown' };
/** More than two sockets on loopback hold between them; the entry holds the rest. */
const LONG_BODY = 'x'.repeat(8_000_000);

Given(
  '3 entries with callers that go elsewhere only when they are told to',
  async function (this: StopWorld) {
    const { deployment } = await start(this, { engines: { 'fabric-1': 4 }, replicas: 2 });
    this.known = [...deployment.entries.values()];
    this.loads = [startAsking(() => this.known, 9, TOKENS), startCalling(() => this.known, 3)];
    await waitForAnswers(this.loads);
  },
);

When(
  'each entry is replaced by a new one, with long answers under way at it',
  async function (this: StopWorld) {
    this.exits = [];
    for (const old of [...this.known]) {
      const added = await this.deployment.startEntry();
      await waitFor(`${added.name} to be ready`, () => added.isReady());
      this.known.push(added);
      openStreams(this, [old], 3);
      await waitFor('the long answers to begin', () => countStreams(this.deployment, 3));
      old.process.signal('SIGTERM');
      // Callers hear from nobody but the entry itself that it stops.
      this.exits.push(await old.process.exited);
      this.known = this.known.filter((entry) => entry !== old);
      await waitForAnswers(this.loads);
    }
  },
);

Then(
  'no answer was cut off, and every old entry has exited with 0',
  async function (this: StopWorld) {
    const outcomes = (await Promise.all(this.loads.map((load) => load.stop()))).flat();
    const long = await Promise.all(this.longAnswers);
    const refusals = outcomes.reduce((sum, outcome) => sum + outcome.refusals, 0);
    this.log(
      `${outcomes.length} short and ${long.length} long answers, ${refusals} sent elsewhere`,
    );
    assert.equal(describeFaults(outcomes), '');
    assert.deepEqual(long, new Array(long.length).fill({ isRefused: false }));
    assert.deepEqual(this.exits, [0, 0, 0]);
  },
);

Given(
  'an entry whose caller has taken only the beginning of a long answer',
  async function (this: StopWorld) {
    const entryTables = '[callers]\nmaxBodyBytes = 9000000\n';
    const { deployment } = await start(this, { services: 1, entryTables });
    const { callers } = deployment.entry(0);
    const asked = request(`http://${callers}/services/${SERVICE}/check-ins`, {
      method: 'POST',
      agent: false,
      headers: {
        authorization: `Bearer ${API_KEY}`,
        connection: 'keep-alive',
        'idempotency-key': 'long',
      },
    });
    asked.end(LONG_BODY);
    [this.slowAnswer] = (await once(asked, 'response')) as [IncomingMessage];
    assert.equal(this.slowAnswer.statusCode, 200);
  },
);

Given(
  /^an entry with a grace of (\d+) ms, and a call that (.+) and takes (\d+) ms at its plain server$/,
  async function (this: StopWorld, drainMs: string, kind: string, latencyMs: string) {
    // The table of the stop is the last one of the settings.
    const plan = { services: 1, entryTables: `drainMs = ${drainMs}\n` };
    const { deployment } = await start(this, plan);
    await deployment.service(0).control({ latencyMs: Number(latencyMs) });
    const { callers } = deployment.entry(0);
    // A call that may run once counts again until its record is settled.
    this.interrupted = kind === 'may run once' ? 2 : 1;
    this.calls = [
      kind === 'may run once'
        ? callService(callers, 'POST', `${SERVICE}/check-ins`, { key: randomUUID(), body: '{}' })
        : callService(callers, 'GET', `${SERVICE}/passes/1`),
    ];
    await waitFor('the call to be in flight', async () => {
      return (await readInFlight(deployment, 0)) === 1;
    });
  },
);

Given(
  /^an entry with a grace of (\d+) ms, and a completion of which the caller has (.+)$/,
  async function (this: StopWorld, drainMs: string, part: string) {
    const perToken = part === 'nothing' ? '5000' : '10';
    const { deployment } = await start(this, {
      engineOptions: ['--decode-ms-per-token', perToken],
      entryTables: `drainMs = ${drainMs}\n`,
    });
    const question = createQuestion(LONG_SEED, LONG_TOKENS);
    let text = '';
    this.interrupted = 1;
    this.completion = askStreamed(deployment.entry(0).callers, question, (soFar) => {
      text = soFar;
    });
    await waitFor('the completion to run', async () =>
      part === 'nothing' ? isAnyEngineBusy(deployment) : text.length > 0,
    );
  },
);

When('that entry is told to stop, and exits with 0', async function (this: StopWorld) {
  const { process } = this.deployment.entry(0);
  process.signal('SIGTERM');
  assert.equal(await process.exited, 0);
});

Then(
  "the caller is told that the call may have run, and the entry's log says that the stop did it",
  async function (this: StopWorld) {
    const [reply] = await Promise.all(this.calls);
    const { broken, status, conclusion } = reply ?? {};
    assert.deepEqual({ broken, status, conclusion }, MAY_HAVE_RUN);
    checkLogOfCut(this);
  },
);

Then(
  /^the caller is told that the answer (is not whole|may have run)$/,
  async function (this: StopWorld, outcome: string) {
    const { broken, status, conclusion, whole } = await this.completion;
    assert.equal(whole, false);
    if (outcome === 'may have run') assert.deepEqual({ broken, status, conclusion }, MAY_HAVE_RUN);
    else assert.deepEqual({ broken, conclusion }, { broken: false, conclusion: 'failed' });
    checkLogOfCut(this);
  },
);

function checkLogOfCut({ deployment, interrupted }: StopWorld): void {
  const lines = deployment
    .entry(0)
    .process.logLines.map(
      (line) => JSON.parse(line) as { name: string; requests?: number; requestId?: string },
    );
  const named = (name: string) => lines.filter((line) => line.name === name);
  assert.deepEqual(named('requestAbandoned'), []);
  assert.deepEqual(
    named('stopGraceOver').map(({ requests }) => requests),
    [interrupted],
  );
  assert.equal(named('requestCutByStop').length, 1);
  assert.ok(named('requestCutByStop')[0]?.requestId);
}

Given(
  'an entry with a plain server that takes {int} ms for a call',
  async function (this: StopWorld, latencyMs: number) {
    const { deployment } = await start(this, { services: 1 });
    await deployment.service(0).control({ latencyMs });
  },
);

When(
  'that entry is told to stop, and two calls that may run once come at once on one connection',
  async function (this: StopWorld) {
    const { callers, process } = this.deployment.entry(0);
    process.signal('SIGTERM');
    await waitFor('the entry to stop', () =>
      process.logLines.some((line) => line.includes('entryStopping')),
    );
    const [host, port] = callers.split(':');
    const socket = connect(Number(port), host);
    const calls = ['first', 'second'].map((body) =>
      [
        `POST /services/${SERVICE}/check-ins HTTP/1.1`,
        `Host: ${callers}`,
        `Authorization: Bearer ${API_KEY}`,
        `Idempotency-Key: ${randomUUID()}`,
        `Content-Length: ${body.length}`,
        '',
        body,
      ].join('\r\n'),
    );
    socket.write(calls.join(''));
    this.taken = await buffer(socket);
  },
);

Then('each of them has a whole answer, or never ran', async function (this: StopWorld) {
  const answers = this.taken.toString().split(/(?=HTTP\/1\.1 \d{3} )/);
  const { runs } = await this.deployment.service(0).journal();
  assert.ok(answers[0]?.startsWith('HTTP/1.1 200 '), this.taken.toString());
  assert.equal(runs.length, answers.length, this.taken.toString());
});

Given('an entry that owns the domain of a whole replica', async function (this: StopWorld) {
  await start(this, { entries: 1 });
});

When('the platform falls silent and that entry is told to stop', async function (this: StopWorld) {
  await this.deployment.platform.control({ outage: 'hang' });
  this.deployment.entry(0).process.signal('SIGTERM');
  this.signalledAt = performance.now();
});

Then(
  'it takes no more requests within {int} ms, and exits with 0',
  async function (this: StopWorld, boundMs: number) {
    const { callers, process } = this.deployment.entry(0);
    await waitFor('requests to be refused', async () => {
      const reply = await callService(callers, 'GET', `${SERVICE}/passes/1`);
      return reply.refused === true || reply.errorKind === 'stopping';
    });
    const tookMs = performance.now() - this.signalledAt;
    assert.ok(tookMs <= boundMs, `it took requests for ${Math.round(tookMs)} ms`);
    assert.equal(await process.exited, 0);
  },
);

When('that entry is told to stop and takes no more connections', async function (this: StopWorld) {
  const { callers, process } = this.deployment.entry(0);
  process.signal('SIGTERM');
  await waitFor('the listener to be closed', () => isRefused(callers));
});

When('the caller takes the rest of its answer', async function (this: StopWorld) {
  this.taken = await buffer(this.slowAnswer);
});

Then('the long answer is whole, and the entry has exited with 0', async function (this: StopWorld) {
  const { body } = JSON.parse(this.taken.toString()) as { body: string };
  assert.equal(body.length, LONG_BODY.length);
  assert.equal(await this.deployment.entry(0).process.exited, 0);
});

Given(
  '3 entries before 4 engines in 2 replicas, with long streams at both',
  async function (this: StopWorld) {
    await start(this, { engines: { 'fabric-1': 4 }, replicas: 2 });
    openStreams(this, [...this.deployment.entries.values()], STREAMS);
    await waitFor('the streams to run', () => countStreams(this.deployment, STREAMS));
  },
);

When(
  'an instance of a streaming replica is marked as leaving through one entry',
  async function (this: StopWorld) {
    const replicas = await this.deployment.readReplicas();
    const leader = replicas[0]?.members[0]?.instance ?? '';
    const { attempts } = await this.deployment.engine(leader).journal();
    assert.ok(attempts.length > 0, `${leader} streams nothing`);
    await markLeaving(this, leader);
  },
);

When('it is killed as soon as an entry says that this is safe', killWhenSafe);

Then(
  'every stream of the drained replica was whole and had ended before the kill',
  async function (this: StopWorld) {
    const answers = await Promise.all(this.longAnswers);
    assert.deepEqual(answers, new Array(answers.length).fill({ isRefused: false }));
    const waitedMs = this.killedAt - this.markedAt;
    this.log(`${answers.length} streams whole; safe ${waitedMs} ms after the mark`);
  },
);

Given(
  '3 entries before 2 plain servers that take 1500 ms for a call, with calls in flight',
  async function (this: StopWorld) {
    const { deployment } = await start(this, { services: 2 });
    for (const service of deployment.services.values()) await service.control({ latencyMs: 1_500 });
    const entries = [...deployment.entries.values()];
    this.calls = Array.from({ length: CALLS }, (_, i) => {
      const { callers } = pickEntry(entries, i);
      return callService(callers, 'GET', `${SERVICE}/passes/${i}`);
    });
    await waitFor('calls in flight at both', async () => {
      const first = await readInFlight(deployment, 0);
      const second = await readInFlight(deployment, 1);
      return first > 0 && second > 0 && first + second === CALLS;
    });
  },
);

When(
  'one of the plain servers is marked as leaving through one entry',
  async function (this: StopWorld) {
    await markLeaving(this, this.deployment.service(0).name);
  },
);

When('that server is killed as soon as an entry says that this is safe', killWhenSafe);

Then(
  'every call in flight was answered, and the killed server had run some of them',
  async function (this: StopWorld) {
    const replies = await Promise.all(this.calls);
    const bodies = replies.map(({ status, body }) => ({ status, body }));
    const expected = replies.map((_, i) => ({
      status: 200,
      body: JSON.stringify({ id: String(i), valid: true }),
    }));
    assert.deepEqual(bodies, expected);
    const waitedMs = this.killedAt - this.markedAt;
    this.log(`${replies.length} calls whole; safe ${waitedMs} ms after the mark`);
  },
);

async function start(world: StopWorld, plan: Parameters<typeof startDeployment>[0]) {
  world.deployment = await startDeployment({
    entries: 3,
    engineOptions: SLOW_ENGINES,
    limits: WIDE_LIMITS,
    ...plan,
  });
  world.longAnswers = [];
  world.lastSeed = LONG_SEED;
  await world.deployment.whenWhole(plan?.replicas ?? 1);
  await world.deployment.whenReady();
  return world;
}

function openStreams(world: StopWorld, entries: readonly EntryProcess[], count: number): void {
  for (let i = 0; i < count; i += 1) {
    do world.lastSeed += 1;
    while (answerOf(createQuestion(world.lastSeed, LONG_TOKENS)).length < LONG_TEXT);
    const question = createQuestion(world.lastSeed, LONG_TOKENS);
    world.longAnswers.push(askOnce(pickEntry(entries, i), question));
  }
}

async function isRefused(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  try {
    await once(socket, 'connect');
    return false;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  } finally {
    socket.destroy();
  }
}

function pickEntry(entries: readonly EntryProcess[], i: number): EntryProcess {
  const entry = entries[i % entries.length];
  assert.ok(entry);
  return entry;
}

/** Whether so many long streams have begun and not ended, by the engines' journals. */
async function isAnyEngineBusy(deployment: Deployment): Promise<boolean> {
  for (const engine of deployment.engines.values()) {
    const { attempts } = await engine.journal();
    if (attempts.some(({ endedAt }) => !endedAt)) return true;
  }
  return false;
}

async function countStreams(deployment: Deployment, count: number): Promise<boolean> {
  let running = 0;
  for (const engine of deployment.engines.values()) {
    const { attempts } = await engine.journal();
    running += attempts.filter(({ endedAt, tokens }) => !endedAt && tokens > TOKENS).length;
  }
  return running >= count;
}

async function readInFlight(deployment: Deployment, index: number): Promise<number> {
  const { body } = await getJson(deployment.service(index).directAddress, '/health');
  return (body as { inFlight: number }).inFlight;
}

async function markLeaving(world: StopWorld, instance: string): Promise<void> {
  const { operators } = world.deployment.entry(0);
  const answer = await sendJson(operators, 'POST', `/drain/${instance}`, {});
  assert.equal(answer.status, 200, JSON.stringify(answer.body));
  world.markedAt = Date.now();
  world.drained = instance;
}

/** What is in flight there at that moment is cut off: that is what must not be. */
async function killWhenSafe(this: StopWorld): Promise<void> {
  const { deployment, drained } = this;
  await waitFor(`${drained} to be safe to stop`, async () => {
    const { body } = await getJson(deployment.entry(1).operators, '/drains');
    const { drains } = body as { drains: DrainStatus[] };
    return drains.some(({ target, judgement }) => target === drained && judgement.kind === 'safe');
  });
  this.killedAt = Date.now();
  const server = deployment.engines.get(drained) ?? deployment.services.get(drained);
  await server?.process.kill();
}

async function waitForAnswers(loads: readonly Load[]): Promise<void> {
  const before = loads.map(({ outcomes }) => outcomes.length);
  await waitFor('answers', () =>
    loads.every(({ outcomes }, i) => outcomes.length >= (before[i] ?? 0) + ANSWERS_BETWEEN),
  );
}
