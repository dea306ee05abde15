import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { createRandom, type Random } from '../../src/core/random/index.js';
import type { EngineControl } from '../../src/stand-ins/engine/index.js';
import type { ServiceControl } from '../../src/stand-ins/service/index.js';
import { ask, askWhole, readText, type Told } from './asking.js';
import { askStreamed, type Question, type Reply } from './callers.js';
import { SERVICE, startDeployment, type Deployment } from './deployment.js';
import { listRuns } from './runs.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

/** What became of one request. `wrong` is what must never be. */
interface Outcome {
  kind: 'whole' | 'told' | 'cut' | 'wrong';
  what: string;
  requestId: string | undefined;
  conclusion: string | undefined;
}

interface ThousandWorld extends PromiseWorld, World {
  outcomes: Outcome[];
  faults: Map<string, number>;
}

/** Of ten requests: streams, answers in one piece, calls that may be repeated. */
const KINDS = [
  'stream',
  'stream',
  'stream',
  'stream',
  'piece',
  'piece',
  'piece',
  'call',
  'call',
  'call',
];
const FAULT_EVERY_MS = 60;
const SEED = 20_261_202;
const MOST_TOKENS = 60;

const STREAM_FAULTS: EngineControl['faults'] = [
  { kind: 'cutAfter', after: 7 },
  { kind: 'dieBeforeEnd' },
  { kind: 'noEnd' },
  { kind: 'gap', at: 3 },
  { kind: 'duplicate', at: 4 },
  { kind: 'foreignChunk', at: 2 },
  { kind: 'afterEnd' },
  { kind: 'wrongAttempt' },
];
const CALL_FAULTS: ServiceControl['faults'] = [
  { kind: 'truncate' },
  { kind: 'resetAfterRun' },
  { kind: 'resetBeforeRun' },
];

Given(
  '2 entries before 4 replicas of 2 engines and 2 services with known answers',
  async function (this: ThousandWorld) {
    const limit = 1_000_000;
    this.deployment = await startDeployment({
      engines: { 'fabric-1': 8 },
      replicas: 4,
      services: 2,
      entries: 2,
      engineOptions: ['--decode-ms-per-token', '2'],
      limits: { requestsPerSecond: limit, concurrentRequests: limit, tokensPerSecond: limit * 100 },
    });
    await this.deployment.whenWhole(4);
    await this.deployment.whenReady();
  },
);

When(
  '{int} requests are served, {int} at a time, while faults go on',
  async function (this: ThousandWorld, count: number, atATime: number) {
    const { deployment } = this;
    const load = { next: 0, done: 0 };
    this.outcomes = [];
    this.faults = new Map();
    const serveSome = async (): Promise<void> => {
      while (load.next < count) {
        this.outcomes.push(await serveOne(deployment, load.next++));
        load.done += 1;
      }
    };
    const isOver = (): boolean => load.done >= count;
    const startedAt = performance.now();
    await Promise.all([
      ...Array.from({ length: atATime }, serveSome),
      injectFaults(deployment, this.faults, isOver),
      loseEngine(deployment, () => load.done >= count / 4),
    ]);
    logCounts(this, performance.now() - startedAt);
  },
);

Then('nobody has a wrong answer, and whoever has none was told so', function (this: ThousandWorld) {
  assert.deepEqual(
    this.outcomes.filter(({ kind }) => kind === 'wrong'),
    [],
  );
});

Then('no request that was told not run is in a journal', async function (this: ThousandWorld) {
  const ran = await listRuns(this.deployment);
  const denied = this.outcomes.filter(
    ({ conclusion, requestId }) => conclusion === 'notRun' && ran.has(requestId ?? ''),
  );
  assert.deepEqual(denied, []);
});

Then(
  'at least {int} in 100 of these requests have their whole answer',
  function (this: ThousandWorld, percent: number) {
    const whole = this.outcomes.filter(({ kind }) => kind === 'whole').length;
    assert.ok(whole * 100 >= percent * this.outcomes.length, `${whole} have their answer`);
  },
);

async function serveOne(deployment: Deployment, index: number): Promise<Outcome> {
  const { callers } = deployment.entry(index % 2);
  const question = createQuestion(index, MOST_TOKENS);
  switch (KINDS[index % KINDS.length]) {
    case 'stream':
      return judgeStream(question, await askStreamed(callers, question));
    case 'piece':
      return judgeTold(answerOf(question), await askWhole(callers, question), readText);
    default: {
      const path = `/services/${SERVICE}/passes/${index}`;
      const expected = JSON.stringify({ id: String(index), valid: true });
      const told = await ask(callers, { method: 'GET', path });
      return judgeTold(expected, told, ({ status, body }) => (status === 200 ? body : undefined));
    }
  }
}

function judgeStream(question: Question, reply: Reply): Outcome {
  const expected = answerOf(question);
  const { text, whole, errorKind, broken, requestId, conclusion } = reply;
  const outcome = { what: errorKind ?? `"${text}"`, requestId, conclusion };
  // Whatever a caller is shown on the way has to be the beginning of its own answer.
  if (!expected.startsWith(text)) return { kind: 'wrong', ...outcome };
  if (whole && errorKind === undefined) {
    return { kind: text === expected ? 'whole' : 'wrong', ...outcome };
  }
  if (whole) return { kind: 'wrong', ...outcome };
  if (errorKind !== undefined) return { kind: 'told', ...outcome };
  return { kind: broken ? 'cut' : 'wrong', ...outcome };
}

function judgeTold(
  expected: string,
  told: Told,
  read: (told: Told) => string | undefined,
): Outcome {
  const { errorKind, broken, requestId, conclusion } = told;
  const outcome = { what: errorKind ?? told.body, requestId, conclusion };
  if (broken) return { kind: 'cut', ...outcome };
  if (errorKind !== undefined) return { kind: 'told', ...outcome };
  return { kind: read(told) === expected ? 'whole' : 'wrong', ...outcome };
}

/** One fault after the other, drawn with a fixed seed, until the load is over. */
async function injectFaults(
  deployment: Deployment,
  counts: Map<string, number>,
  isOver: () => boolean,
): Promise<void> {
  const random = createRandom(SEED);
  while (!isOver()) {
    const kind = await injectOne(deployment, random);
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    await sleep(FAULT_EVERY_MS);
  }
}

async function injectOne(deployment: Deployment, random: Random): Promise<string> {
  const engine = draw([...deployment.engines.values()], random);
  const service = draw([...deployment.services.values()], random);
  switch (random.below(6)) {
    case 0:
      await engine.link({ resetAll: true });
      return 'link reset';
    case 1:
      await engine.link({ toSource: { breakAfter: { afterBytes: random.below(3_000) } } });
      return 'link cut short';
    case 2:
      await service.control({ faults: [draw(CALL_FAULTS, random)] });
      return 'call fault';
    default: {
      const fault = draw(STREAM_FAULTS, random);
      // An engine that is being replaced can't be told.
      await engine.control({ faults: [fault] }).catch(() => undefined);
      return `stream ${fault.kind}`;
    }
  }
}

async function loseEngine(deployment: Deployment, isDue: () => boolean): Promise<void> {
  while (!isDue()) await sleep(FAULT_EVERY_MS);
  await deployment.restartEngine('fabric-1-engine-0');
}

function draw<Value>(values: readonly Value[] = [], random: Random): Value {
  const value = values[random.below(values.length)];
  if (value === undefined) throw new Error('nothing to draw from');
  return value;
}

function logCounts(world: ThousandWorld, spanMs: number): void {
  const counts = new Map<string, number>();
  for (const { kind, what } of world.outcomes) {
    const name = kind === 'told' ? `told ${what}` : kind;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const render = (map: Map<string, number>): string =>
    [...map].map(([name, count]) => `${name} ${count}`).join(', ');
  world.log(
    `${Math.round(spanMs)} ms; outcomes: ${render(counts)}; faults: ${render(world.faults)}`,
  );
}
