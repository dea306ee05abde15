import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable, type World } from '@cucumber/cucumber';
import { LOG_EVENTS } from '../../src/core/logger/index.js';
import { expectedAnswer, type EngineControl } from '../../src/stand-ins/engine/index.js';
import { renderAnswer, startRawService, type RawService } from '../requests/raw-service.js';
import { waitFor } from '../support/waiting.js';
import { ask, askWhole, readText, type Told } from './asking.js';
import type { EngineProcess } from './backends.js';
import { askStreamed, type Question, type Reply } from './callers.js';
import { MODEL, SERVICE, startDeployment } from './deployment.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

type Fault = NonNullable<EngineControl['faults']>[number];
type Attempt = Awaited<ReturnType<EngineProcess['journal']>>['attempts'][number];

/** A row of the table: a fault, and where the attempt after it began. */
interface FaultRow {
  fault: string;
  at: number;
  next: string;
  attempts: readonly Attempt[];
}

interface WholeAnswerWorld extends PromiseWorld, World {
  seed: number;
  wrong: string[];
  asked: number;
  rows: FaultRow[];
  raw: RawService | undefined;
  calls: { path: string; told: Told }[];
  stream: Reply;
  cut: Told[];
}

/** Requests that go well between two faults; ten earn one retry of each budget. */
const EARNING_REQUESTS = 60;
const MOST_QUESTIONS = 40;
const LONG_TOKENS = 100;
/** A long answer then takes four seconds. */
const SLOW_FACTOR = 20;
/** An entry alone may use a part of these. */
const AMPLE_LIMITS = {
  requestsPerSecond: 100_000,
  concurrentRequests: 100_000,
  tokensPerSecond: 100_000_000,
};

Given(
  '2 replicas of 2 engines that answer byte for byte known answers',
  async function (this: WholeAnswerWorld) {
    this.deployment = await startDeployment({
      engines: { 'fabric-1': 4 },
      replicas: 2,
      services: 1,
      engineOptions: ['--decode-ms-per-token', '2'],
      limits: AMPLE_LIMITS,
    });
    this.seed = 1;
    this.wrong = [];
    this.asked = 0;
    await this.deployment.whenWhole(2);
    await this.deployment.whenReady();
  },
);

When(
  'streams meet each of these faults at both leaders',
  async function (this: WholeAnswerWorld, table: DataTable) {
    const leaders = await listLeaders(this);
    this.rows = [];
    for (const cells of table.hashes()) {
      const row = { fault: cells.fault ?? '', at: Number(cells.at), next: '', attempts: [] };
      row.next = cells['second attempt from'] ?? '';
      await askMany(this, EARNING_REQUESTS);
      this.rows.push({ ...row, attempts: await meetFault(this, leaders, row) });
    }
  },
);

Then(
  'every caller under these faults had the whole answer, streamed or not',
  function (this: WholeAnswerWorld) {
    this.log(`${this.asked} answers compared byte for byte, ${this.wrong.length} not whole`);
    assert.deepEqual(this.wrong, []);
  },
);

Then('the second attempts began where the table says', function (this: WholeAnswerWorld) {
  for (const { fault, next, attempts } of this.rows) {
    const second = attempts.filter(({ attempt }) => attempt.endsWith('.2'));
    const begins = second.map(({ resumeFrom }) => resumeFrom);
    const said = `${fault}: second attempts from ${begins.join()}`;
    if (next === 'none') assert.deepEqual(begins, [], said);
    else assert.ok(begins.length > 0 && begins.every((from) => matchesBegin(next, from)), said);
  }
});

/**
 * Where a connection breaks, what had arrived and was not read yet is lost: the next attempt then
 * begins up to so many tokens in, never later.
 */
function matchesBegin(next: string, from: number): boolean {
  if (next === 'later') return from > 0;
  const limit = /^1 to (\d+)$/.exec(next)?.[1];
  return limit === undefined ? from === Number(next) : from >= 1 && from <= Number(limit);
}

/**
 * Puts the fault at one leader after the other, each time until it has met it; the attempts made
 * meanwhile. Were it at both at once, one request could meet both, which is another scenario.
 */
async function meetFault(
  world: WholeAnswerWorld,
  leaders: readonly EngineProcess[],
  { fault, at }: Pick<FaultRow, 'fault' | 'at'>,
): Promise<readonly Attempt[]> {
  const before = await Promise.all(leaders.map(readAttempts));
  const control = { kind: fault, at, after: at, bytes: 100_000 } as Fault;
  for (const leader of leaders) {
    const { length } = await readAttempts(leader);
    await leader.control({ faults: [control] });
    await askUntilMet(world, leader, length, fault);
  }
  const after = await Promise.all(leaders.map(readAttempts));
  return after.flatMap((attempts, index) => attempts.slice(before[index]?.length));
}

async function askUntilMet(
  world: WholeAnswerWorld,
  leader: EngineProcess,
  attemptsBefore: number,
  fault: string,
): Promise<void> {
  for (let turn = 0; turn < MOST_QUESTIONS; turn += 1) {
    await askMany(world, 2);
    if ((await readAttempts(leader)).length > attemptsBefore) return;
  }
  throw new Error(`${fault}: ${MOST_QUESTIONS} questions never reached ${leader.name}`);
}

/** Asks so many questions at once, every second for one JSON object, and notes what is not whole. */
async function askMany(world: WholeAnswerWorld, count: number): Promise<void> {
  const { callers } = world.deployment.entry(0);
  const asks = Array.from({ length: count }, async (_, index) => {
    const question = createQuestion(world.seed + index);
    const got =
      index % 2 === 0 ? await readStream(callers, question) : await readJson(callers, question);
    if (got !== answerOf(question)) world.wrong.push(`${question.text}: ${got}`);
  });
  world.seed += count;
  world.asked += count;
  await Promise.all(asks);
}

async function readStream(callers: string, question: Question): Promise<string> {
  const { whole, text, errorKind } = await askStreamed(callers, question);
  return whole ? text : `${errorKind ?? 'broken'} after "${text}"`;
}

async function readJson(callers: string, question: Question): Promise<string> {
  const told = await askWhole(callers, question);
  return readText(told) ?? told.errorKind ?? 'broken';
}

async function readAttempts(engine: EngineProcess): Promise<readonly Attempt[]> {
  return (await engine.journal()).attempts;
}

async function listLeaders({ deployment }: PromiseWorld): Promise<EngineProcess[]> {
  const replicas = await deployment.whenWhole(2);
  return replicas.map(({ members }) => deployment.engine(members[0]?.instance ?? ''));
}

/** A question with an answer of at least `LONG_TOKENS` tokens. */
function createLongQuestion(): Question {
  for (let seed = 1; ; seed += 1) {
    const question = createQuestion(seed, 500);
    if (countTokens(question) >= LONG_TOKENS) return question;
  }
}

function countTokens({ text, seed, maxTokens }: Question): number {
  const messages = [{ role: 'user' as const, content: text }];
  return expectedAnswer({ messages, seed, maxTokens }).tokens.length;
}

When(
  'the leader that writes a long answer is killed in the middle of it',
  async function (this: WholeAnswerWorld) {
    const leaders = await listLeaders(this);
    this.question = createLongQuestion();
    let killed: Promise<void> | undefined;
    this.reply = await askStreamed(this.deployment.entry(0).callers, this.question, (soFar) => {
      if (soFar.length < 60) return;
      killed ??= killWriter(leaders);
    });
    await killed;
  },
);

async function killWriter(leaders: readonly EngineProcess[]): Promise<void> {
  for (const leader of leaders) {
    const attempts = await readAttempts(leader);
    if (attempts.some(({ end }) => end === undefined)) return leader.process.kill();
  }
  throw new Error('no leader writes the answer');
}

Then('that caller has the whole long answer, byte for byte', function (this: WholeAnswerWorld) {
  const { text, whole, errorKind } = this.reply;
  assert.deepEqual(
    { text, whole, errorKind },
    { text: answerOf(this.question), whole: true, errorKind: undefined },
  );
});

Then('the other leader wrote only the rest of it', async function (this: WholeAnswerWorld) {
  const living = [...this.deployment.engines.values()];
  const journals = await Promise.all(living.map((engine) => readAttempts(engine).catch(() => [])));
  const rest = journals.flat().filter(({ resumeFrom }) => resumeFrom > 0);
  assert.equal(rest.length, 1);
  const [{ resumeFrom, tokens } = { resumeFrom: 0, tokens: 0 }] = rest;
  this.log(`${resumeFrom} tokens of the killed engine, ${tokens} of the other`);
  assert.equal(resumeFrom + tokens, countTokens(this.question));
});

Then("the entry's log names this request as resumed", function (this: WholeAnswerWorld) {
  const lines = this.deployment.entry(0).process.logLines;
  const events = lines.map((line) => JSON.parse(line) as { event: number; requestId?: string });
  const resumed = events.filter(({ event }) => event === LOG_EVENTS.requestResumed.number);
  assert.deepEqual(
    resumed.map(({ requestId }) => requestId),
    [this.reply.requestId],
  );
});

Given(
  'a service that answers the first request of each connection again to the second',
  async function (this: WholeAnswerWorld) {
    this.deployment = await startDeployment({ engines: {}, services: 0 });
    const firsts = new Map<unknown, string>();
    this.raw = await startRawService((socket, _, text, place) => {
      const path = /^GET (\S+)/.exec(text)?.[1] ?? '';
      const id = /x-request-id: (\S+)/i.exec(text)?.[1];
      const own = renderAnswer(path, id);
      if (place === 1) firsts.set(socket, own);
      socket.write(place === 2 ? (firsts.get(socket) ?? own) : own);
    });
    await this.deployment.platform.put('instance', 'slots-raw', {
      role: 'service',
      address: this.raw.address,
      failureDomain: 'site-1',
      labels: { service: SERVICE },
    });
    await this.deployment.whenReady();
  },
);

When(
  '{int} callers call this service one after the other',
  async function (this: WholeAnswerWorld, count: number) {
    const { callers } = this.deployment.entry(0);
    this.calls = [];
    // The list of instances reaches the entry a little later than its configuration.
    await waitFor('the service to be reachable', async () => {
      return (
        (await ask(callers, { method: 'GET', path: `/services/${SERVICE}/up` })).status === 200
      );
    });
    for (let index = 0; index < count; index += 1) {
      const path = `/passes/${index}`;
      const told = await ask(callers, { method: 'GET', path: `/services/${SERVICE}${path}` });
      this.calls.push({ path, told });
    }
    this.raw?.stop();
  },
);

Then('each of these callers has the answer to their own call', function (this: WholeAnswerWorld) {
  const answered = this.calls.filter(({ told }) => told.status === 200).length;
  this.log(`${answered} of ${this.calls.length} calls answered, the others told of it`);
  const wrong = this.calls.filter(({ path, told }) => told.status === 200 && told.body !== path);
  assert.deepEqual(wrong, []);
  // A retry is earned by ten calls; those that got none have been told of it.
  const untold = this.calls.filter(({ told }) => told.status !== 200 && !told.errorKind);
  assert.deepEqual(untold, []);
});

When(
  'the entry is killed while it passes on a stream, an answer in one piece, a call and a download',
  async function (this: WholeAnswerWorld) {
    const { callers, process } = this.deployment.entry(0);
    // Otherwise the answer in one piece may be whole before the stream triggers the kill.
    await slowDownEngines(this, SLOW_FACTOR);
    const service = this.deployment.service(0);
    await service.control({ faults: [{ kind: 'slow', ms: 20_000 }] });
    const call = ask(callers, { path: `/services/${SERVICE}/echo/slow`, body: 'slow' });
    await waitFor('the call to run', async () => (await service.journal()).runCount === 1);
    await service.link({ toSource: { bytesPerSecond: 500_000 } });
    const download = ask(callers, {
      method: 'GET',
      path: `/services/${SERVICE}/download?bytes=20000000`,
    });
    const question = createLongQuestion();
    let killed: Promise<void> | undefined;
    const piece = askWhole(callers, question);
    this.question = question;
    this.stream = await askStreamed(callers, question, (soFar) => {
      if (soFar.length > 60) killed ??= process.kill();
    });
    await killed;
    this.cut = await Promise.all([piece, call, download]);
  },
);

async function slowDownEngines({ deployment }: PromiseWorld, slowFactor: number): Promise<void> {
  const engines = [...deployment.engines.values()];
  await Promise.all(engines.map((engine) => engine.control({ slowFactor })));
}

Then(
  'each of these 4 callers can tell that their answer is not whole',
  function (this: WholeAnswerWorld) {
    const { text, whole, broken, errorKind } = this.stream;
    assert.deepEqual(
      { whole, broken, errorKind },
      { whole: false, broken: true, errorKind: undefined },
    );
    assert.ok(answerOf(this.question).startsWith(text) && text !== answerOf(this.question));
    assert.deepEqual(
      this.cut.map((told) => told.broken),
      [true, true, true],
    );
  },
);

Then(
  'the engines let go of what the killed entry had asked for',
  async function (this: WholeAnswerWorld) {
    const attempts = await waitFor('the attempts to end', async () => {
      const engines = [...this.deployment.engines.values()];
      const all = (await Promise.all(engines.map(readAttempts))).flat();
      return all.length === 2 && all.every(({ end }) => end !== undefined) && all;
    });
    assert.deepEqual(
      attempts.map(({ end, model }) => ({ end, model })),
      attempts.map(() => ({ end: 'disconnected', model: MODEL })),
    );
  },
);
