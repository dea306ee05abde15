/**
 * Steps for completions and refusals.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { completionFaultSchema } from '../../src/stand-ins/engine/control.js';
import { expectedAnswer } from '../../src/stand-ins/engine/index.js';
import { waitFor } from '../support/waiting.js';
import { sendBadInput, sendRawFraming } from './bad-input.js';
import { call, parseStream, type ReceivedResponse, type RequestOptions } from './client.js';
import { EntryFixture, MODEL } from './fixture.js';

/** State shared by the steps of one scenario. */
export interface RequestWorld {
  entry: EntryFixture;
  question: string;
  received: ReceivedResponse;
  responses: ReceivedResponse[];
  rawResponse: string;
}

const SEED = 11;
const MAX_TOKENS = 40;
const FAULTS_PER_ENGINE = 20;

Given(
  'an entry before two replicas and two service instances',
  async function (this: RequestWorld) {
    this.entry = new EntryFixture();
    this.responses = [];
    await this.entry.start();
  },
);

After(async function (this: Partial<RequestWorld>) {
  await this.entry?.stop();
});

Given(
  'the next completions of both replicas have the fault {string}',
  function (this: RequestWorld, text: string) {
    const fault = completionFaultSchema.parse(JSON.parse(text));
    for (const engine of this.entry.engines) engine.control({ faults: [fault] });
  },
);

Given(
  'all completions of both replicas break off after {int} tokens',
  function (this: RequestWorld, after: number) {
    const faults = Array.from({ length: FAULTS_PER_ENGINE }, () => ({
      kind: 'cutAfter' as const,
      after,
    }));
    for (const engine of this.entry.engines) engine.control({ faults });
  },
);

Given('only the first replica is in service', function (this: RequestWorld) {
  const plan = this.entry.board.plans.read().get('fabric-1');
  assert.ok(plan);
  const value = { ...plan.value, replicas: plan.value.replicas.slice(0, 1) };
  this.entry.board.plans.write(new Map([['fabric-1', { version: 2, value }]]));
});

Given('no replica is in service', function (this: RequestWorld) {
  this.entry.removeReplicas();
});

Given('the replicas go out of service with the first attempt', function (this: RequestWorld) {
  const { entry } = this;
  const unsubscribe = entry.board.health.subscribe(() => {
    if (entry.listAttempts().length === 0) return;
    unsubscribe();
    entry.removeReplicas();
  });
});

Given(
  'workspace "market" may have {int} requests at a time here',
  function (this: RequestWorld, count: number) {
    this.entry.writeLimits(count);
  },
);

When('a caller streams the completion {string}', async function (this: RequestWorld, text: string) {
  await requestCompletion(this, text, { stream: true });
});

When(
  'a caller streams the completion {string} with a deadline of {int} ms',
  async function (this: RequestWorld, text: string, deadline: number) {
    const headers = { 'x-request-deadline-ms': String(deadline) };
    await requestCompletion(this, text, { stream: true }, { headers });
  },
);

When(
  'a caller asks for the completion {string} in one piece',
  async function (this: RequestWorld, text: string) {
    await requestCompletion(this, text, { stream: false });
  },
);

When(
  'a caller hangs up after the first token of {string}',
  async function (this: RequestWorld, text: string) {
    const controller = new AbortController();
    const onData = (): void => {
      controller.abort();
    };
    await requestCompletion(
      this,
      text,
      { stream: true },
      { signal: controller.signal, onData },
    ).catch(() => undefined);
  },
);

When(
  'the entry begins to stop after the first token of {string}',
  async function (this: RequestWorld, text: string) {
    const onData = (): void => {
      this.entry.requests.beginStopping();
    };
    await requestCompletion(this, text, { stream: true }, { onData });
  },
);

When(
  '{int} callers stream completions of their own at once',
  async function (this: RequestWorld, count: number) {
    const questions = Array.from({ length: count }, (_, index) => `question ${index}`);
    this.responses = await Promise.all(
      questions.map((question) => postCompletion(this.entry.address, question, { stream: true })),
    );
  },
);

When('a caller sends bad input {string}', async function (this: RequestWorld, input: string) {
  this.received = await sendBadInput(this.entry.address, input);
});

When('a caller sends raw bytes with {}', async function (this: RequestWorld, framing: string) {
  this.rawResponse = await sendRawFraming(this.entry.address, framing);
});

Then('the streamed answer is whole', function (this: RequestWorld) {
  assert.equal(this.received.status, 200);
  assertWholeStream(this.received, this.question);
});

Then('the answer in one piece is whole', function (this: RequestWorld) {
  const body = JSON.parse(this.received.body) as { choices: { message: { content: string } }[] };
  assert.equal(body.choices[0]?.message.content, expectedText(this.question));
});

Then(
  'the streamed answer ends in one error event {string} and no end mark',
  function (this: RequestWorld, kind: string) {
    const { text, done, errors } = parseStream(this.received.body);
    assert.equal(done, false);
    assert.equal(errors.length, 1);
    assert.match(errors[0] ?? '', new RegExp(`"kind":"${kind}"`));
    assert.ok(text.length > 0 && expectedText(this.question).startsWith(text));
  },
);

Then(
  'the refusal is {int} {string} with the conclusion {string}',
  function (this: RequestWorld, status: number, kind: string, conclusion: string) {
    assertRefusal(this.received, status, kind, conclusion);
  },
);

Then('the refusal says when to retry', function (this: RequestWorld) {
  const { error } = JSON.parse(this.received.body) as { error: { retry_after_ms: number } };
  const seconds = Number(this.received.headers['retry-after']);
  assert.ok(seconds >= 1 && seconds * 1_000 >= error.retry_after_ms);
});

Then(
  'a new completion is refused with {int} {string} and the conclusion {string}',
  async function (this: RequestWorld, status: number, kind: string, conclusion: string) {
    const received = await postCompletion(this.entry.address, 'another', { stream: true });
    assertRefusal(received, status, kind, conclusion);
    assert.equal(received.headers.connection, 'close');
  },
);

Then('no backend server has seen anything', function (this: RequestWorld) {
  assert.deepEqual(this.entry.listAttempts(), []);
  assert.equal(this.entry.countRuns(), 0);
});

Then(
  'the raw answer is {int} and the connection is closed',
  function (this: RequestWorld, status: number) {
    assert.match(this.rawResponse, new RegExp(`^HTTP/1.1 ${status} `));
    assert.equal(this.rawResponse.match(/HTTP\/1\.1/g)?.length, 1);
  },
);

Then('the engine has ended the attempt as cancelled', async function (this: RequestWorld) {
  const endedAttempt = await waitFor('the attempt to end', () =>
    this.entry.listAttempts().find(({ end }) => end !== undefined),
  );
  assert.ok(
    endedAttempt.end === 'cancelled' || endedAttempt.end === 'disconnected',
    endedAttempt.end,
  );
});

Then('nothing is in flight at the entry', async function (this: RequestWorld) {
  await waitFor('the in-flight counts to empty', () => {
    return this.entry.board.attempts.read().inFlight.size === 0;
  });
});

Then('the entry is idle', async function (this: RequestWorld) {
  await this.entry.requests.whenIdle();
});

Then('each caller has the whole answer to its own question', function (this: RequestWorld) {
  this.responses.forEach((received, index) => {
    assertWholeStream(received, `question ${index}`);
  });
});

async function requestCompletion(
  world: RequestWorld,
  question: string,
  options: { stream: boolean },
  requestOptions: RequestOptions = {},
): Promise<void> {
  world.question = question;
  world.received = await postCompletion(world.entry.address, question, options, requestOptions);
}

function postCompletion(
  address: string,
  question: string,
  { stream }: { stream: boolean },
  requestOptions: RequestOptions = {},
): Promise<ReceivedResponse> {
  const messages = [{ role: 'user', content: question }];
  const body = JSON.stringify({
    model: MODEL,
    messages,
    stream,
    seed: SEED,
    max_tokens: MAX_TOKENS,
  });
  return call(address, '/v1/chat/completions', { method: 'POST', body, ...requestOptions });
}

function expectedText(question: string): string {
  const messages = [{ role: 'user' as const, content: question }];
  return expectedAnswer({ messages, seed: SEED, maxTokens: MAX_TOKENS }).text;
}

function assertWholeStream(received: ReceivedResponse, question: string): void {
  const { text, done, errors } = parseStream(received.body);
  assert.deepEqual(
    { text, done, errors },
    { text: expectedText(question), done: true, errors: [] },
  );
}

function assertRefusal(
  received: ReceivedResponse,
  status: number,
  kind: string,
  conclusion: string,
): void {
  const { error } = JSON.parse(received.body) as { error: Record<string, string> };
  const actual = { status: received.status, kind: error.kind, conclusion: error.conclusion };
  assert.deepEqual(actual, { status, kind, conclusion }, received.body);
}
