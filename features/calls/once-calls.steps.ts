/**
 * Steps of the scenarios for at-most-once calls.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  nameRecord,
  type OnceOutcome,
  type StoredAnswer,
} from '../../src/controllers/calls/index.js';
import { waitFor } from '../support/waiting.js';
import { CallsFixture, type BackendMode, type FakeRequest } from './fixture.js';

interface CallsWorld {
  onceCalls: CallsFixture;
  stopped?: Promise<void>;
}

const HOUR_MS = 3_600_000;

Given(
  'entries {string} and {string} that keep call records in one platform',
  function (this: CallsWorld, first: string, second: string) {
    this.onceCalls = new CallsFixture();
    this.onceCalls.startEntry(first);
    this.onceCalls.startEntry(second);
  },
);

After(async function (this: Partial<CallsWorld>) {
  if (!this.onceCalls) return;
  this.onceCalls.releaseBackend();
  for (const { link, calls } of this.onceCalls.entries.values()) {
    link.fault = 'none';
    link.releaseHeld();
    await calls.stop();
  }
});

Given("the platform's answers to {string} are lost", function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.fault = 'answersLost';
});

Given('writes of {string} arrive late', function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.fault = 'late';
});

Given('the platform holds writes of {string}', function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.fault = 'held';
});

Given('the platform holds its answers to {string}', function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.fault = 'answersHeld';
});

Given(
  'the platform holds writes of {string} after the claim of {string}',
  async function (this: CallsWorld, name: string, key: string) {
    const { onceCalls } = this;
    onceCalls.backend = 'holds';
    onceCalls.request(name, key);
    await waitFor('the call to run', () => onceCalls.executedKeys.includes(key));
    onceCalls.entry(name).link.fault = 'held';
    onceCalls.releaseBackend();
  },
);

Given('the platform answers {string} again', function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.fault = 'none';
});

When('the late writes of {string} arrive', function (this: CallsWorld, name: string) {
  this.onceCalls.entry(name).link.deliverLateWrites();
});

When('the held writes of {string} arrive', async function (this: CallsWorld, name: string) {
  const { link } = this.onceCalls.entry(name);
  await waitFor('a held write', () => link.pendingCount() > 0);
  link.fault = 'none';
  link.releaseHeld();
});

When('the held answers to {string} arrive', function (this: CallsWorld, name: string) {
  const { link } = this.onceCalls.entry(name);
  link.fault = 'none';
  link.releaseHeld();
});

When(/^the platform goes down for once-calls$/, function (this: CallsWorld) {
  for (const { link } of this.onceCalls.entries.values()) link.fault = 'outage';
});

When(/^the platform comes back for once-calls$/, function (this: CallsWorld) {
  for (const { link } of this.onceCalls.entries.values()) link.fault = 'none';
});

const BACKEND_MODE_STEPS: Record<string, BackendMode> = {
  'the backend server holds once-calls': 'holds',
  'no backend server takes once-calls': 'unreachable',
  'the backend server takes once-calls again': 'answers',
  'the backend server breaks off once-calls': 'breaks',
  'the backend server throws on once-calls': 'throws',
};

for (const [text, mode] of Object.entries(BACKEND_MODE_STEPS)) {
  Given(text, function (this: CallsWorld) {
    this.onceCalls.backend = mode;
  });
}

Given(
  'the backend server answers once-calls with {int} bytes',
  function (this: CallsWorld, bytes: number) {
    this.onceCalls.answerBytes = bytes;
  },
);

When('the backend server releases its once-calls', function (this: CallsWorld) {
  this.onceCalls.releaseBackend();
});

When(
  'the call {string} arrives at {string} and {string} at the same time',
  function (this: CallsWorld, key: string, first: string, second: string) {
    this.onceCalls.request(first, key);
    this.onceCalls.request(second, key);
  },
);

When(
  /^the call "([^"]*)" arrives (?:again )?at "([^"]*)"$/,
  async function (this: CallsWorld, key: string, name: string) {
    const request = this.onceCalls.request(name, key);
    await waitForProgress(this.onceCalls, request);
  },
);

When(
  'the call {string} is repeated at {string}',
  function (this: CallsWorld, key: string, name: string) {
    this.onceCalls.request(name, key);
  },
);

When(
  'the call {string} is repeated at {string} with {int} ms to its deadline',
  function (this: CallsWorld, key: string, name: string, deadlineMs: number) {
    this.onceCalls.request(name, key, 'issue', deadlineMs);
  },
);

When(
  'the call {string} arrives at {string} with another body',
  function (this: CallsWorld, key: string, name: string) {
    this.onceCalls.request(name, key, 'another body');
  },
);

When(
  'the call {string} arrives at {string} with {int} ms to its deadline',
  function (this: CallsWorld, key: string, name: string, deadlineMs: number) {
    this.onceCalls.request(name, key, 'issue', deadlineMs);
  },
);

When(
  'the call with a key made {int} hours ago arrives at {string}',
  function (this: CallsWorld, hours: number, name: string) {
    const createdAt = this.onceCalls.wallNow - hours * HOUR_MS;
    const digits = createdAt.toString(16).padStart(12, '0');
    const key = `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000001`;
    this.onceCalls.request(name, key);
  },
);

When(
  '{int} calls with new keys arrive at {string}',
  function (this: CallsWorld, count: number, name: string) {
    for (let index = 0; index < count; index += 1) this.onceCalls.request(name, `new-${index}`);
  },
);

When(
  'the call {string} has reached the backend server',
  async function (this: CallsWorld, key: string) {
    await waitFor('the call to run', () => this.onceCalls.executedKeys.includes(key));
  },
);

When('the entry {string} is killed', function (this: CallsWorld, name: string) {
  this.onceCalls.killEntry(name);
});

When(
  '{string} learns of a restart of {string}',
  function (this: CallsWorld, at: string, name: string) {
    this.onceCalls.setPeer(at, { name, incarnation: '2' });
  },
);

When('{int} seconds pass for once-calls', function (this: CallsWorld, seconds: number) {
  this.onceCalls.advanceClock(seconds * 1_000);
});

When('the record of {string} has been settled', async function (this: CallsWorld, key: string) {
  await waitFor('the record', () => {
    const state = readState(this.onceCalls, key);
    return state !== undefined && state !== 'claimed';
  });
});

When(
  '{int} hours pass and {string} collects old call records',
  async function (this: CallsWorld, hours: number, name: string) {
    for (const { collector } of this.onceCalls.entries.values()) await collector.list();
    this.onceCalls.wallNow += hours * HOUR_MS;
    await this.onceCalls.entry(name).collector.collect();
  },
);

When(
  'the retention of call records at {string} becomes {int} hours',
  function (this: CallsWorld, name: string, hours: number) {
    const { configuration } = this.onceCalls.entry(name).context.writers;
    const before = configuration.read();
    const policy = { ...before.policy, callRecordRetentionMs: hours * HOUR_MS };
    configuration.write({ ...before, policy });
  },
);

When(
  'the entry {string} is told to stop its once-calls',
  function (this: CallsWorld, name: string) {
    this.stopped = this.onceCalls.entry(name).calls.stop();
  },
);

Then('its once-calls have stopped', async function (this: CallsWorld) {
  await this.stopped;
});

Then(
  'the call {string} has run {int} time(s)',
  function (this: CallsWorld, key: string, times: number) {
    assert.equal(this.onceCalls.executedKeys.filter((ran) => ran === key).length, times);
  },
);

Then('no once-call has run', function (this: CallsWorld) {
  assert.deepEqual(this.onceCalls.executedKeys, []);
});

Then(
  'one of the two requests is answered and the other is told {string} or replayed',
  async function (this: CallsWorld, kind: string) {
    const outcomes = await Promise.all(this.onceCalls.requests.map(waitForOutcome));
    const fresh = outcomes.filter((outcome) => outcome.kind === 'answered' && !outcome.replayed);
    assert.equal(fresh.length, 1);
    const [other] = outcomes.filter((outcome) => !fresh.includes(outcome));
    assert.ok(other && (other.kind === 'answered' || other.failure.kind === kind));
  },
);

Then(
  /^the (first|last) once-request is answered$/,
  async function (this: CallsWorld, which: string) {
    const outcome = await waitForOutcome(this.onceCalls.requests.at(which === 'first' ? 0 : -1));
    assert.equal(outcome.kind, 'answered', JSON.stringify(outcome));
  },
);

Then(
  /^the last once-request is told "([^"]*)"( with a retry delay)?$/,
  async function (this: CallsWorld, kind: string, withTime: string | null) {
    const request = this.onceCalls.requests.at(-1);
    const outcome = await waitForOutcome(request);
    assert.ok(outcome.kind === 'failed', JSON.stringify(outcome));
    assert.equal(outcome.failure.kind, kind);
    if (withTime) assert.ok((outcome.failure.retryAfterMs ?? 0) > 0);
  },
);

Then(
  'each of them is told {string} and none has run',
  async function (this: CallsWorld, kind: string) {
    const refused = this.onceCalls.requests.slice(1);
    const outcomes = await Promise.all(refused.map(waitForOutcome));
    for (const outcome of outcomes) {
      assert.ok(outcome.kind === 'failed' && outcome.failure.kind === kind);
    }
    assert.ok(refused.every((request) => request.executions === 0));
  },
);

Then(
  'the last once-request replays the first answer byte for byte',
  async function (this: CallsWorld) {
    const outcome = await waitForOutcome(this.onceCalls.requests.at(-1));
    assert.ok(outcome.kind === 'answered' && outcome.replayed, JSON.stringify(outcome));
    assert.deepEqual(outcome.answer, await findFirstAnswer(this.onceCalls));
  },
);

Then(
  'the call {string} sent again to {string} until it is answered has run {int} time',
  async function (this: CallsWorld, key: string, name: string, times: number) {
    await waitFor('an answer', async () => {
      const outcome = await waitForOutcome(this.onceCalls.request(name, key));
      return outcome.kind === 'answered';
    });
    assert.equal(this.onceCalls.executedKeys.filter((ran) => ran === key).length, times);
  },
);

Then('the record of {string} is {word}', function (this: CallsWorld, key: string, state: string) {
  assert.equal(readState(this.onceCalls, key), state);
});

/** Waits until the request has its outcome or runs on the backend server. */
async function waitForProgress(onceCalls: CallsFixture, request: FakeRequest): Promise<void> {
  await waitFor(
    'the request to go on',
    () => request.outcome !== undefined || request.executions > 0,
  );
  const platformReachable = [...onceCalls.entries.values()].every(
    ({ link }) => link.fault === 'none',
  );
  if (request.outcome?.kind !== 'answered' || !platformReachable) return;
  await waitFor('the record', () => readStates(onceCalls).every((state) => state !== 'claimed'));
}

async function findFirstAnswer(onceCalls: CallsFixture): Promise<StoredAnswer> {
  for (const request of onceCalls.requests) {
    const outcome = await waitForOutcome(request);
    if (outcome.kind === 'answered') return outcome.answer;
  }
  throw new Error('no request was answered');
}

function waitForOutcome(request: FakeRequest | undefined): Promise<OnceOutcome> {
  return waitFor('the outcome', () => request?.outcome);
}

function readStates(onceCalls: CallsFixture): string[] {
  return [...onceCalls.platform.objects.values()]
    .filter(({ kind }) => kind === 'call-record')
    .map(({ deleted, value }) =>
      deleted ? 'deleted' : (value as { state: { kind: string } }).state.kind,
    );
}

function readState(onceCalls: CallsFixture, key: string): string | undefined {
  const name = nameRecord({ workspace: 'kebun', service: 'passes', key, fingerprint: '' });
  const stored = onceCalls.platform.objects.get(`call-record/${name}`);
  if (stored === undefined) return undefined;
  return stored.deleted ? 'deleted' : (stored.value as { state: { kind: string } }).state.kind;
}
