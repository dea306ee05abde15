/**
 * Steps for configuration on several entries in one process.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { AppliedChange, Refusal } from '../../src/adapters/operators/index.js';
import type { ConfigurationKind } from '../../src/objects/index.js';
import { createTestFleet, type TestEntry, type TestFleet } from '../support/entries.js';
import { waitFor } from '../support/waiting.js';

interface ConfiguredWorld {
  configured?: TestFleet;
  changedVersion: number;
  /** On the monotonic clock that the entries use. */
  changedAt: number;
  answers: (AppliedChange | Refusal)[];
}

const SITES = ['site-a', 'site-b', 'site-c'] as const;
const FIRST_HASH = createHash('sha256').update('first').digest('hex');
const WAIT_MS = 10_000;
/** Upper bound on the duration of a platform call; exceeds the entries' timeout. */
const MAX_CALL_MS = 400;

function getFleet(world: ConfiguredWorld): TestFleet {
  assert(world.configured, 'no fleet was started');
  return world.configured;
}

function getEntry(world: ConfiguredWorld, name: string): TestEntry {
  const entry = getFleet(world).entries.get(name);
  assert(entry, `${name} does not run`);
  return entry;
}

function replicasAt(world: ConfiguredWorld, name: string): number | undefined {
  const { models } = getEntry(world, name).context.board.configuration.read();
  return models.get('pass-assistant')?.value.replicas;
}

function isReady(entry: TestEntry): boolean {
  return entry.membership.readiness().kind === 'ready';
}

function splitNames(names: string): string[] {
  return names.split(', ');
}

Given('three configured entries at three sites', async function (this: ConfiguredWorld) {
  const fleet = await createTestFleet();
  this.configured = fleet;
  this.answers = [];
  fleet.platform.put('model', 'pass-assistant', { replicas: 1 });
  fleet.platform.put('workspace', 'first', { keyHashes: [FIRST_HASH] });
  for (const [index, site] of SITES.entries()) await fleet.startEntry(`entry-${index + 1}`, site);
  const entries = [...fleet.entries.values()];
  await waitFor('the entries to be ready and to hear each other', () =>
    entries.every((entry) => isReady(entry) && entry.context.board.peers.read().size === 2),
  );
});

After(async function (this: ConfiguredWorld) {
  await this.configured?.stop();
});

Given(
  'configured entry {string} is cut off from everything',
  function (this: ConfiguredWorld, name: string) {
    const fleet = getFleet(this);
    fleet.cut(name, 'platform');
    for (const other of fleet.entries.keys()) if (other !== name) fleet.cut(name, other);
  },
);

Given(
  'configured entry {string} is cut off from the other entries',
  function (this: ConfiguredWorld, name: string) {
    for (const other of getFleet(this).entries.keys()) {
      if (other !== name) getFleet(this).cut(name, other);
    }
  },
);

Given(
  'the watch of configured entry {string} delivers nothing',
  function (this: ConfiguredWorld, name: string) {
    getFleet(this).silenceWatch(name);
  },
);

When(
  'model {string} is set to {int} replicas at the platform',
  function (this: ConfiguredWorld, name: string, replicas: number) {
    getFleet(this).platform.put('model', name, { replicas });
    this.changedAt = performance.now();
  },
);

Then(
  'the change is in force at configured entry {string} before it is confirmed there',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration } = getEntry(this, name);
    // A call sent before the change may still confirm the configuration of that time.
    const sentAfter = this.changedAt + MAX_CALL_MS;
    await waitFor('a later confirmation', () => configuration.platformAt() > sentAfter);
    assert.equal(replicasAt(this, name), 2);
  },
);

Given(
  'configured entries {string} are cut off from the platform',
  function (this: ConfiguredWorld, names: string) {
    for (const name of splitNames(names)) getFleet(this).cut(name, 'platform');
  },
);

When('the configured entries are all connected again', function (this: ConfiguredWorld) {
  getFleet(this).heal();
});

Given("the platform's copy is frozen from now on", function (this: ConfiguredWorld) {
  return getFleet(this).copyPlatform();
});

When('the platform answers from the frozen copy', function (this: ConfiguredWorld) {
  getFleet(this).answerFromCopy(true);
});

Given('the platform is unavailable for the configured entries', function (this: ConfiguredWorld) {
  getFleet(this).platform.control({ outage: 'refuse' });
});

When(
  'the platform is available again for the configured entries',
  function (this: ConfiguredWorld) {
    getFleet(this).platform.control({ outage: 'none' });
  },
);

Given('all configured entries have stopped', async function (this: ConfiguredWorld) {
  await Promise.all([...getFleet(this).entries.values()].map((entry) => entry.stop()));
});

When('configured entry {string} starts', async function (this: ConfiguredWorld, name: string) {
  await getFleet(this).startEntry(name, SITES[0]);
});

When(
  'the operator at {string} sets model {string} to {int} replicas',
  async function (this: ConfiguredWorld, at: string, name: string, replicas: number) {
    const { operations } = getEntry(this, at);
    const change = { kind: 'model' as const, name, value: { replicas }, deleted: false };
    const applied = await operations.apply(change);
    this.changedVersion = applied._unsafeUnwrap().object.version;
  },
);

When(
  'the platform becomes unavailable as soon as {string} has the change in force',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration } = getEntry(this, name);
    await waitFor(
      'the change to be in force',
      () => configuration.revision() >= this.changedVersion,
    );
    getFleet(this).platform.control({ outage: 'refuse' });
  },
);

Then(
  'the change is in force at configured entries {string}',
  async function (this: ConfiguredWorld, names: string) {
    for (const name of splitNames(names)) {
      await waitFor(`the change at ${name}`, () => replicasAt(this, name) === 2);
    }
  },
);

Then(
  'the change is pending at {string} because of {string}',
  async function (this: ConfiguredWorld, at: string, laggingEntry: string) {
    const { operations } = getEntry(this, at);
    const readAcceptance = () =>
      operations.acceptance(this.changedVersion, 0, new AbortController().signal);
    await waitFor('all other entries to have the change', async () => {
      const acceptance = await readAcceptance();
      assert.equal(acceptance.kind, 'pending');
      return acceptance.lagging.map((entry) => entry.name).join() === laggingEntry;
    });
    assert.equal((await readAcceptance()).kind, 'pending');
  },
);

Then('the change is accepted at {string}', async function (this: ConfiguredWorld, at: string) {
  const { operations } = getEntry(this, at);
  const { signal } = new AbortController();
  const acceptance = await operations.acceptance(this.changedVersion, WAIT_MS, signal);
  assert.deepEqual(acceptance, { kind: 'accepted' });
});

Then(
  'configured entry {string} turns its readiness {word}',
  async function (this: ConfiguredWorld, name: string, state: string) {
    const entry = getEntry(this, name);
    await waitFor(
      `${name} to turn its readiness ${state}`,
      () => isReady(entry) === (state === 'on'),
    );
  },
);

Then(
  'configured entry {string} is not ready because it has no configuration',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration, membership } = getEntry(this, name);
    await waitFor('a failed watch', () => configuration.platformContact() === 'unreached');
    assert.deepEqual(membership.readiness(), {
      kind: 'notReady',
      reason: 'it has no configuration yet',
    });
  },
);

Then(
  'configured entry {string} still has model {string} with {int} replicas',
  function (this: ConfiguredWorld, name: string, _model: string, replicas: number) {
    assert.equal(replicasAt(this, name), replicas);
  },
);

When(
  'operators at {string} and {string} change model {string} from the same version',
  async function (this: ConfiguredWorld, first: string, second: string, name: string) {
    const read = await getEntry(this, first).operations.read('model', name);
    const expected = read._unsafeUnwrap().version;
    const changes = [first, second].map((at, index) =>
      getEntry(this, at).operations.apply({
        kind: 'model',
        name,
        value: { replicas: 10 + index },
        expected,
        deleted: false,
      }),
    );
    const results = await Promise.all(changes);
    this.answers = results.map((result) => (result.isOk() ? result.value : result.error));
  },
);

Then(
  'one of the two operators wins and the other is told which version won',
  function (this: ConfiguredWorld) {
    const accepted = this.answers.filter((answer) => 'object' in answer);
    const rejected = this.answers.filter((answer) => 'failure' in answer);
    assert.equal(accepted.length, 1);
    assert.equal(rejected[0]?.failure.kind, 'versionConflict');
    assert.equal(rejected[0].current?.version, accepted[0]?.object.version);
  },
);

Then(
  "the winner's model is in force at configured entries {string}",
  async function (this: ConfiguredWorld, names: string) {
    const accepted = this.answers.find((answer) => 'object' in answer);
    const { replicas } = accepted?.object.value as { replicas: number };
    for (const name of splitNames(names)) {
      await waitFor(`the winner's model at ${name}`, () => replicasAt(this, name) === replicas);
    }
  },
);

When(
  'model {string} is written to the platform with replicas {int}',
  function (this: ConfiguredWorld, name: string, replicas: number) {
    getFleet(this).platform.put('model', name, { replicas });
  },
);

Then(
  'status at {string} lists model {string} as rejected',
  async function (this: ConfiguredWorld, at: string, name: string) {
    const { operations } = getEntry(this, at);
    await waitFor('the rejection', () =>
      operations.status().configuration.rejected.some((object) => object.name === name),
    );
    assert.equal(replicasAt(this, at), 1);
  },
);

When(
  /^the operator at "([^"]+)" applies (\w+) "([^"]+)" with (\{.*\})$/,
  async function (
    this: ConfiguredWorld,
    at: string,
    kind: ConfigurationKind,
    name: string,
    text: string,
  ) {
    const value = JSON.parse(text.replace('HASH-OF-FIRST', FIRST_HASH)) as unknown;
    const result = await getEntry(this, at).operations.apply({ kind, name, value, deleted: false });
    this.answers = [result.isOk() ? result.value : result.error];
  },
);

Then(
  'the operator is told that {string} is wrong and nothing was written',
  function (this: ConfiguredWorld, key: string) {
    const [answer] = this.answers;
    assert(answer !== undefined && 'failure' in answer, 'it was not refused');
    assert.equal(answer.failure.kind, 'objectInvalid');
    assert(answer.failure.message.includes(key), answer.failure.message);
    assert.equal(answer.faults?.[0]?.key, key);
    const written = getFleet(this)
      .platform.journal()
      .filter(({ object }) => object.name === 'extra');
    assert.deepEqual(written, []);
  },
);
