import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import type { EngineRequest } from '../../src/adapters/engines/index.js';
import { hashPrefixes } from '../../src/controllers/routing/index.js';
import { expectedAnswer, type CompletionFault } from '../../src/stand-ins/engine/index.js';
import { waitFor } from '../support/waiting.js';
import {
  ask,
  closeLab,
  engineAt,
  formReplica,
  openLab,
  requestFor,
  startEngines,
  waitForAnswer,
  type EngineWorld,
} from './lab.js';

const LONG_ANSWER_TOKENS = 100;
const SLOW_MS = 50;

interface StreamWorld extends EngineWorld {
  asked?: Map<string, EngineRequest>;
  aborts?: Map<string, AbortController>;
}

After(async function (this: Partial<EngineWorld>) {
  if (this.engineLab) await closeLab(this.engineLab);
});

Given('a replica of {int} engine(s)', async function (this: StreamWorld, count: number) {
  await startEngines(openLab(this), count);
  await formReplica(this.engineLab, 1);
});

Given(
  'a replica of 1 engine that runs 1 request at a time, slowly',
  async function (this: StreamWorld) {
    const slow = { batchSize: 1, queueLength: 2, decodeMsPerToken: SLOW_MS };
    await startEngines(openLab(this), 1, slow);
    await formReplica(this.engineLab, 1);
  },
);

Given(
  'a replica of 2 engines that lose half of their cache events',
  async function (this: StreamWorld) {
    await startEngines(openLab(this), 2, { cacheEventLoss: 0.5, cacheEventLagMs: 150 });
    await formReplica(this.engineLab, 1);
  },
);

Given(
  /^the engine's next completion has the fault (.*)$/,
  function (this: StreamWorld, fault: string) {
    engineAt(this.engineLab, 0).control({ faults: [JSON.parse(fault) as CompletionFault] });
  },
);

When(
  'the caller {string} asks the engines for {int} tokens',
  async function (this: StreamWorld, caller: string, maxTokens: number) {
    await askAs(this, requestFor(caller, { maxTokens }));
  },
);

When(
  'the caller {string} asks the engines for a long answer',
  async function (this: StreamWorld, caller: string) {
    const seeds = Array.from({ length: 1_000 }, (_, seed) => seed);
    const maxTokens = LONG_ANSWER_TOKENS;
    const requests = seeds.map((seed) => requestFor(caller, { seed, maxTokens }));
    const long = requests.find((each) => expectedAnswer(each).tokens.length === maxTokens);
    assert.ok(long);
    await askAs(this, long);
  },
);

When(
  'the caller {string} asks the engines with priority {int}',
  async function (this: StreamWorld, caller: string, priority: number) {
    await askAs(this, requestFor(caller, { priority, maxTokens: 2 }));
  },
);

When(
  'the caller {string} asks the engines with a prompt of {int} tokens',
  async function (this: StreamWorld, caller: string, tokens: number) {
    const messages = [{ role: 'user' as const, content: 'x'.repeat(tokens * 4) }];
    await askAs(this, requestFor(caller, { messages, maxTokens: 5 }));
    await waitForAnswer(this.engineLab, caller);
  },
);

When(
  'the caller {string} asks for the same answer as {string} from token {int} on',
  async function (this: StreamWorld, caller: string, other: string, resumeFrom: number) {
    await askAs(this, { ...askedBy(this, other), attempt: caller, resumeFrom });
  },
);

When('the caller {string} is cancelled', async function (this: StreamWorld, caller: string) {
  const { client } = this.engineLab;
  const cancelled = await client.cancel(engineAt(this.engineLab, 0).address, caller);
  assert.ok(cancelled.isOk());
});

When('the caller {string} closes its connection', function (this: StreamWorld, caller: string) {
  this.aborts?.get(caller)?.abort();
});

Then("{string} has the engine's whole answer", async function (this: StreamWorld, caller: string) {
  const received = await waitForAnswer(this.engineLab, caller);
  const expected = expectedAnswer(askedBy(this, caller));
  assert.equal(received.text, expected.text);
  assert.equal(received.last?.kind, 'end');
  assert.equal(received.last.sequence, expected.tokens.length);
  assert.equal(received.chunksAfterLast, 0);
});

Then(
  '{string} has what {string} has after token {int}',
  async function (this: StreamWorld, caller: string, other: string, from: number) {
    const whole = await waitForAnswer(this.engineLab, other);
    const resumed = await waitForAnswer(this.engineLab, caller);
    const { tokens } = expectedAnswer(askedBy(this, other));
    assert.ok(tokens.length > from, 'the answer is long enough to be resumed');
    assert.equal(whole.text, tokens.slice(0, from).join('') + resumed.text);
    assert.deepEqual({ ...resumed.last, attempt: other }, whole.last);
  },
);

Then(
  /^"(\w+)" has (\d+|all) right tokens and then an error$/,
  async function (this: StreamWorld, caller: string, count: string) {
    const received = await waitForAnswer(this.engineLab, caller);
    const { tokens } = expectedAnswer(askedBy(this, caller));
    const right = tokens.slice(0, count === 'all' ? tokens.length : Number(count));
    assert.equal(received.text, right.join(''));
    assert.equal(received.last?.kind, 'error');
    assert.equal(received.chunksAfterLast, 0);
  },
);

Then(
  '{string} has a right beginning and then an error',
  async function (this: StreamWorld, caller: string) {
    const received = await waitForAnswer(this.engineLab, caller);
    assert.ok(expectedAnswer(askedBy(this, caller)).text.startsWith(received.text));
    assert.equal(received.last?.kind, 'error');
    assert.equal(received.last.sequence, received.tokens);
  },
);

Then('the engine answers another caller after it', async function (this: StreamWorld) {
  const after = requestFor('after');
  await ask(this.engineLab, after);
  const received = await waitForAnswer(this.engineLab, 'after');
  assert.equal(received.text, expectedAnswer(after).text);
  assert.equal(received.last?.kind, 'end');
});

Then(
  "the engine's journal says that {string} ended as {word}",
  async function (this: StreamWorld, caller: string, end: string) {
    await waitFor(`the journal to say how ${caller} ended`, () => {
      const { attempts } = engineAt(this.engineLab, 0).journal();
      return attempts.some((entry) => entry.attempt === caller && entry.end === end);
    });
  },
);

Then(
  'the engine gave {string} its first token before {string}',
  async function (this: StreamWorld, first: string, second: string) {
    await waitForAnswer(this.engineLab, second);
    const { attempts } = engineAt(this.engineLab, 0).journal();
    const times = [first, second].map(
      (name) => attempts.find((entry) => entry.attempt === name)?.firstTokenAt ?? Number.NaN,
    );
    assert.ok(Number(times[0]) < Number(times[1]), `first tokens at ${times.join(' and ')}`);
  },
);

Then(
  '{string} is refused by the engine as {string} with a time to come back',
  function (this: StreamWorld, _caller: string, refusal: string) {
    const { start } = this.engineLab;
    assert.ok(start?.kind === 'refused');
    assert.equal(start.refusal.refusal, refusal);
    assert.ok(Number(start.refusal.retryAfterMs) > 0);
  },
);

Then(
  "{string} found {int} of its prompt tokens in the engine's cache",
  async function (this: StreamWorld, caller: string, cached: number) {
    const { last } = await waitForAnswer(this.engineLab, caller);
    assert.ok(last?.kind === 'end');
    assert.equal(last.cachedTokens, cached);
  },
);

Then(
  "the engine's cache events come in order, late and with gaps",
  async function (this: StreamWorld) {
    const { address } = engineAt(this.engineLab, 0);
    const stored = hashPrefixes(askedBy(this, 'a').messages).length;
    const events = await waitFor('cache events', async () => {
      const list = (await this.engineLab.client.cacheEvents(address, 0))._unsafeUnwrap();
      return list.events.length > 0 && list.events;
    });
    const sequences = events.map((event) => event.sequence);
    assert.deepEqual(
      sequences,
      sequences.toSorted((left, right) => left - right),
    );
    assert.ok(sequences.length < stored, 'some of them are lost');
    assert.ok(Number(sequences.at(-1)) <= stored);
  },
);

Then(
  'the cached prompt can be imported by an engine that did not have it',
  async function (this: StreamWorld) {
    const hash = hashPrefixes(askedBy(this, 'a').messages).at(-1)?.hash ?? '';
    const [from, to] = [0, 1].map((rank) => engineAt(this.engineLab, rank).address);
    const missing = await request(`http://${to}/kv/${hash}`);
    assert.equal(missing.statusCode, 404);
    const exported = await request(`http://${from}/kv/${hash}`);
    const body = await exported.body.text();
    const headers = { 'content-type': 'application/json' };
    const imported = await request(`http://${to}/kv/${hash}`, { method: 'PUT', headers, body });
    assert.equal(imported.statusCode, 204);
    const copy = await request(`http://${to}/kv/${hash}`);
    assert.equal(await copy.body.text(), body);
  },
);

async function askAs(world: StreamWorld, asked: EngineRequest): Promise<void> {
  const abort = new AbortController();
  world.aborts = (world.aborts ?? new Map<string, AbortController>()).set(asked.attempt, abort);
  world.asked = (world.asked ?? new Map<string, EngineRequest>()).set(asked.attempt, asked);
  await ask(world.engineLab, asked, abort.signal);
}

function askedBy(world: StreamWorld, caller: string): EngineRequest {
  const asked = world.asked?.get(caller);
  assert.ok(asked, `${caller} has asked`);
  return asked;
}
