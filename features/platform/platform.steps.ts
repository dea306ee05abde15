import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { errAsync } from 'neverthrow';
import { request } from 'undici';
import type { Platform } from '../../src/adapters/platform/index.js';
import { nextBackoff } from '../../src/core/backoff/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type { CallCounters, JournalEntry } from '../../src/stand-ins/platform/index.js';
import { waitFor } from '../support/waiting.js';
import {
  closePlatform,
  countWrites,
  modelWrite,
  openPlatform,
  startWatcher,
  type PlatformWorld,
} from './fixture.js';
import { checkSettledWrites } from './settled-writes.js';
import { checkWatchedChanges } from './watched-changes.js';

async function postControl(address: string, control: string): Promise<number> {
  const url = `http://${address}/control`;
  const response = await request(url, { method: 'POST', body: control });
  await response.body.dump();
  return response.statusCode;
}

After(async function (this: Partial<PlatformWorld>) {
  if (this.platform && this.client) await closePlatform(this);
});

Given('a platform stand-in and a client of it', async function (this: PlatformWorld) {
  await openPlatform(this, false);
});

Given(
  'the platform loses the answer to the next write after its effect',
  function (this: PlatformWorld) {
    this.platform.control({ loseAnswersAfterEffect: 1 });
  },
);

Given('the platform holds the next {int} writes', function (this: PlatformWorld, writes: number) {
  this.platform.control({ holdWrites: writes });
});

Given('the platform takes 1 write a second', function (this: PlatformWorld) {
  this.platform.control({ writesPerSecond: 1 });
});

Given(
  "the platform's list of instances lags by {int} ms",
  function (this: PlatformWorld, lagMs: number) {
    this.platform.control({ instanceLagMs: lagMs });
  },
);

Given('a watch loop over all kinds', async function (this: PlatformWorld) {
  const watcher = startWatcher(this.client);
  this.watcher = watcher;
  await waitFor('the first list', () => watcher.lists.length > 0);
});

Given('its watch waits', async function (this: PlatformWorld) {
  await waitFor('the waiting watch', () => this.platform.counters().watch >= 2);
});

Given(
  'a watch loop over all kinds whose waits are the longest',
  async function (this: PlatformWorld) {
    const watcher = startWatcher(this.client, 0, { ...createRandom(2), fraction: () => 1 });
    this.watcher = watcher;
    await waitFor('the first list', () => watcher.lists.length > 0);
  },
);

Given(
  'a watch loop whose first call is refused for {int} ms',
  function (this: PlatformWorld, retryAfterMs: number) {
    this.retryAfterMs = retryAfterMs;
    this.watchCallTimes = [];
    const refusal = createFailure('platformUnavailable', { reason: 'busy' }, retryAfterMs);
    const watch: Platform['watch'] = (kinds, since, waitMs, signal) => {
      this.watchCallTimes.push(performance.now());
      if (this.watchCallTimes.length === 1) return errAsync(refusal);
      return this.client.watch(kinds, since, waitMs, signal);
    };
    this.watcher = startWatcher({ watch, onReturn: () => () => undefined });
  },
);

Given(
  'object {string} changed at the platform and the platform answers from its copy of now',
  function (this: PlatformWorld, name: string) {
    this.platform.put('model', name, {});
    this.platform.control({ oldCopy: true });
  },
);

When(
  'two writes of object {string} from version 0 are made at once',
  async function (this: PlatformWorld, name: string) {
    const writes = ['n1', 'n2'].map((nonce) => this.client.write(modelWrite(name, 0, nonce)));
    this.outcomes = await Promise.all(writes);
  },
);

When(
  'object {string} is written from version {int} with nonce {string}',
  async function (this: PlatformWorld, name: string, expected: number, nonce: string) {
    this.outcome = await this.client.write(modelWrite(name, expected, nonce));
  },
);

When(
  'objects {string} and {string} are written in one batch',
  async function (this: PlatformWorld, first: string, second: string) {
    this.batch = await this.client.writeBatch([
      modelWrite(first, 0, 'n1'),
      modelWrite(second, 0, 'n2'),
    ]);
  },
);

When('another writer changes object {string}', function (this: PlatformWorld, name: string) {
  this.platform.put('model', name, {});
});

When(
  'the platform releases what it holds, after which {string} is written',
  async function (this: PlatformWorld, name: string) {
    this.platform.control({ releaseWrites: true });
    const written = await this.client.write(modelWrite(name, 0, 'probe'));
    assert.ok(written.isOk());
  },
);

When('the platform refuses all calls', function (this: PlatformWorld) {
  this.platform.control({ outage: 'refuse' });
});

When('the platform cuts every connection', function (this: PlatformWorld) {
  this.platform.control({ outage: 'reset' });
});

When(
  'a value of {int} bytes is written to object {string}',
  async function (this: PlatformWorld, bytes: number, name: string) {
    this.outcome = await this.client.write({
      ...modelWrite(name, 0, 'n1'),
      value: 'x'.repeat(bytes - 2),
    });
  },
);

When(
  'object {string} changes at the platform and the platform is well again',
  function (this: PlatformWorld, name: string) {
    this.platform.put('model', name, {});
    this.platform.control({ outage: 'none' });
  },
);

When('a watch loop starts that has seen a later revision', function (this: PlatformWorld) {
  this.watcher = startWatcher(this.client, 3);
});

When(
  'object {string} changes at the platform until it is later and answers are current again',
  function (this: PlatformWorld, name: string) {
    while (this.platform.put('model', name, {}).version <= 3);
    this.platform.control({ oldCopy: false });
  },
);

When(
  'an instance {string} and then a model {string} change at the platform',
  function (this: PlatformWorld, instance: string, model: string) {
    this.platform.put('instance', instance, {});
    this.platform.put('model', model, {});
  },
);

When(
  'the platform falls silent and object {string} changes',
  function (this: PlatformWorld, name: string) {
    this.platform.control({ outage: 'hang' });
    this.platform.put('model', name, {});
  },
);

When(
  'another call gets no answer until the platform speaks again',
  async function (this: PlatformWorld) {
    assert.ok((await this.client.read('policy', 'default')).isErr());
    this.platform.control({ outage: 'none' });
  },
);

When(
  'the platform cuts every connection until the watch loop has failed {int} times',
  async function (this: PlatformWorld, failures: number) {
    this.platform.control({ outage: 'reset' });
    await waitFor('the failures', () => this.watcher?.failures.length === failures);
  },
);

When(
  'the client is closed while {int} calls wait',
  async function (this: PlatformWorld, calls: number) {
    const unhandled: unknown[] = [];
    const recordRejection = (reason: unknown): void => {
      unhandled.push(reason);
    };
    // Cucumber's own listener would attribute the rejection to whichever step is running.
    const originalListeners = process.listeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection').on('unhandledRejection', recordRejection);
    const reads = Array.from({ length: calls }, () => this.client.read('policy', 'default'));
    await waitFor('the calls to wait', () => this.platform.counters().read >= calls);
    await this.client.close();
    const answers = await Promise.all(reads);
    // Unhandled rejections are only reported after the current event loop turn.
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    process.removeAllListeners('unhandledRejection');
    for (const listener of originalListeners) process.on('unhandledRejection', listener);
    this.callsDuringClose = {
      failed: answers.filter((answer) => answer.isErr()).length,
      calls,
      unhandled,
    };
  },
);

When('the watch loop is stopped while its watch waits', async function (this: PlatformWorld) {
  await waitFor('the waiting watch', () => this.platform.counters().watch >= 2);
  const startedAt = performance.now();
  await this.watcher?.loop.stop();
  this.elapsedMs = performance.now() - startedAt;
});

Then('the watch loop calls again, and no sooner', async function (this: PlatformWorld) {
  await waitFor('the second call', () => this.watchCallTimes.length >= 2);
  const [first = 0, second = 0] = this.watchCallTimes;
  // Timers may fire up to a millisecond early.
  assert.ok(second - first >= this.retryAfterMs - 1, `came back after ${second - first} ms`);
});

Then('the calls have failed and no rejection was left unhandled', function (this: PlatformWorld) {
  assert.equal(this.callsDuringClose.failed, this.callsDuringClose.calls);
  assert.deepEqual(this.callsDuringClose.unhandled, []);
});

Then('it stopped at once', function (this: PlatformWorld) {
  assert.ok(this.elapsedMs < 2_000, `took ${this.elapsedMs} ms of a watch of 5000 ms`);
});

When(
  "the platform's control route is told {string}",
  async function (this: PlatformWorld, control: string) {
    assert.equal(await postControl(this.platform.address, control), 200);
  },
);

Then(
  "the platform's control route refuses {string}",
  async function (this: PlatformWorld, control: string) {
    assert.equal(await postControl(this.platform.address, control), 400);
  },
);

Then(
  "the platform's control routes still show {int} write of {string} and {int} write calls",
  async function (this: PlatformWorld, writes: number, name: string, calls: number) {
    const base = `http://${this.platform.address}/control`;
    const journal = await (await request(`${base}/journal?kind=model`)).body.json();
    const counters = await (await request(`${base}/counters`)).body.json();
    const { entries } = journal as { entries: JournalEntry[] };
    assert.equal(entries.filter((entry) => entry.object.name === name).length, writes);
    assert.equal((counters as CallCounters).write, calls);
  },
);

Then('one write was written and the other conflicts with it', function (this: PlatformWorld) {
  const outcomes = this.outcomes.map((outcome) => outcome._unsafeUnwrap());
  const written = outcomes.find((outcome) => outcome.kind === 'written');
  const conflict = outcomes.find((outcome) => outcome.kind === 'conflict');
  assert.ok(written && conflict);
  assert.deepEqual(conflict.current, written.object);
  assert.equal(conflict.maybeSuperseded, undefined);
});

Then('the write was written with nonce {string}', function (this: PlatformWorld, nonce: string) {
  const outcome = this.outcome?._unsafeUnwrap();
  assert.equal(outcome?.kind, 'written');
  assert.equal(outcome.object.nonce, nonce);
});

Then('both writes of the batch were written', function (this: PlatformWorld) {
  const outcomes = this.batch?._unsafeUnwrap() ?? [];
  assert.deepEqual(
    outcomes.map((outcome) => outcome.kind),
    ['written', 'written'],
  );
});

Then(
  /^the platform's journal shows (\d+) writes? of "([^"]+)"$/,
  function (this: PlatformWorld, count: string, name: string) {
    assert.equal(countWrites(this.platform, name), Number(count));
  },
);

Then("the write's outcome is unknown", function (this: PlatformWorld) {
  assert.equal(this.outcome?._unsafeUnwrapErr().kind, 'platformOutcomeUnknown');
});

Then(
  'the write failed as {word}, to be tried again after {int} ms',
  function (this: PlatformWorld, kind: string, retryAfterMs: number) {
    const failure = this.outcome?._unsafeUnwrapErr();
    assert.equal(failure?.kind, kind);
    assert.equal(failure.retryAfterMs, retryAfterMs);
  },
);

Then('the write failed as {word}', function (this: PlatformWorld, kind: string) {
  assert.equal(this.outcome?._unsafeUnwrapErr().kind, kind);
});

Then(
  'the platform itself refuses a value of that size with status {int}',
  async function (this: PlatformWorld, status: number) {
    const body = { expected: 0, nonce: 'n1', value: 'x'.repeat(1_048_575) };
    const response = await request(`http://${this.platform.address}/objects/model/m`, {
      method: 'PUT',
      body: JSON.stringify(body),
    });
    await response.body.dump();
    assert.equal(response.statusCode, status);
  },
);

Then('the watch loop reports a failure', async function (this: PlatformWorld) {
  await waitFor('a failed watch', () => (this.watcher?.failures.length ?? 0) > 0);
});

Then(
  'the watch loop reports a failure within {int} ms',
  async function (this: PlatformWorld, withinMs: number) {
    await waitFor('a failed watch', () => (this.watcher?.failures.length ?? 0) > 0, withinMs);
  },
);

Then('the watch loop was given nothing', function (this: PlatformWorld) {
  assert.equal(this.watcher?.lists.length, 0);
});

Then(
  'the watch loop has seen the newest {string}',
  async function (this: PlatformWorld, name: string) {
    const newest = this.platform.journal().findLast((entry) => entry.object.name === name);
    assert.ok(newest);
    const { version } = newest.object;
    await waitFor('the change', () => this.watcher?.seen.get(`model/${name}`)?.version === version);
  },
);

Then(
  'the watch loop has the newest {string} within {int} ms of the next answered call',
  async function (this: PlatformWorld, name: string, maxMs: number) {
    assert.ok((await this.client.read('policy', 'default')).isOk());
    const answeredAt = performance.now();
    const version = this.platform.journal().at(-1)?.object.version;
    await waitFor('the change', () => this.watcher?.seen.get(`model/${name}`)?.version === version);
    const elapsedMs = performance.now() - answeredAt;
    assert.ok(elapsedMs <= maxMs, `the change came ${Math.round(elapsedMs)} ms after the answer`);
  },
);

Then(
  'the watch loop has seen {string} before {string}',
  async function (this: PlatformWorld, first: string, second: string) {
    await waitFor('both changes', () => this.watcher?.receivedNames.length === 2);
    assert.deepEqual(this.watcher?.receivedNames, [first, second]);
  },
);

Then(
  'over {int} random orders of events no outcome of a settled write is false',
  async function (runs: number) {
    await checkSettledWrites(runs);
  },
);

Then(
  "over {int} random runs of changes with lag the watch loop ends with the platform's state",
  { timeout: 30_000 },
  async function (this: PlatformWorld, runs: number) {
    await checkWatchedChanges(this.platform, this.client, runs);
  },
);

Then('waits between attempts are never longer than their doubled or greatest bound', function () {
  const backoffArbitrary = fc.record({
    attempt: fc.integer({ min: 1, max: 10_000 }),
    baseMs: fc.integer({ min: 1, max: 10_000 }),
    maxMs: fc.integer({ min: 1, max: 100_000 }),
    seed: fc.integer(),
  });
  const property = fc.property(backoffArbitrary, ({ attempt, baseMs, maxMs, seed }) => {
    const waitMs = nextBackoff(attempt, { baseMs, maxMs }, createRandom(seed));
    assert.ok(waitMs >= 0 && waitMs <= Math.min(baseMs * 2 ** (attempt - 1), maxMs));
  });
  fc.assert(property, { seed: 7, numRuns: 1_000 });
});
