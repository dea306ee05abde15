/**
 * Steps for configuration at several entries of this process.
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
  changed: number;
  /** By the clock that the entries of this process go by. */
  changedAt: number;
  answers: (AppliedChange | Refusal)[];
}

const SITES = ['site-a', 'site-b', 'site-c'] as const;
const FIRST_HASH = createHash('sha256').update('first').digest('hex');
const WAIT_MS = 10_000;
/** More than the platform timeout of the fleet's entries. */
const LONGEST_CALL_MS = 400;

function fleetOf(world: ConfiguredWorld): TestFleet {
  assert(world.configured, 'no fleet was started');
  return world.configured;
}

function entryOf(world: ConfiguredWorld, name: string): TestEntry {
  const entry = fleetOf(world).entries.get(name);
  assert(entry, `${name} does not run`);
  return entry;
}

function replicasAt(world: ConfiguredWorld, name: string): number | undefined {
  const { models } = entryOf(world, name).context.board.configuration.read();
  return models.get('pass-assistant')?.value.replicas;
}

function isReady(entry: TestEntry): boolean {
  return entry.membership.readiness().kind === 'ready';
}

function split(names: string): string[] {
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
    entries.every((e) => isReady(e) && e.context.board.peers.read().size === 2),
  );
});

After(async function (this: ConfiguredWorld) {
  await this.configured?.stop();
});

Given(
  'configured entry {string} is cut off from everything',
  function (this: ConfiguredWorld, name: string) {
    const fleet = fleetOf(this);
    fleet.cut(name, 'platform');
    for (const other of fleet.entries.keys()) if (other !== name) fleet.cut(name, other);
  },
);

Given(
  'configured entry {string} is cut off from the other entries',
  function (this: ConfiguredWorld, name: string) {
    for (const other of fleetOf(this).entries.keys()) {
      if (other !== name) fleetOf(this).cut(name, other);
    }
  },
);

Given(
  'the watch of configured entry {string} brings nothing any more',
  function (this: ConfiguredWorld, name: string) {
    fleetOf(this).silenceWatch(name);
  },
);

When(
  'model {string} is set to {int} replicas at the platform',
  function (this: ConfiguredWorld, name: string, replicas: number) {
    fleetOf(this).platform.put('model', name, { replicas });
    this.changedAt = performance.now();
  },
);

Then(
  'the change is in force at configured entry {string} before it is confirmed there',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration } = entryOf(this, name);
    // A call that was sent before the change may still confirm what was in force then.
    const sentAfter = this.changedAt + LONGEST_CALL_MS;
    await waitFor('a later confirmation', () => configuration.platformAt() > sentAfter);
    assert.equal(replicasAt(this, name), 2);
  },
);

Given(
  'configured entries {string} are cut off from the platform',
  function (this: ConfiguredWorld, names: string) {
    for (const name of split(names)) fleetOf(this).cut(name, 'platform');
  },
);

When('the configured entries are all connected again', function (this: ConfiguredWorld) {
  fleetOf(this).heal();
});

Given("the platform's copy stands still from now on", function (this: ConfiguredWorld) {
  return fleetOf(this).copyPlatform();
});

When('the platform answers from the copy that stood still', function (this: ConfiguredWorld) {
  fleetOf(this).answerFromCopy(true);
});

Given('the platform is away for the configured entries', function (this: ConfiguredWorld) {
  fleetOf(this).platform.control({ outage: 'refuse' });
});

When('the platform is back for the configured entries', function (this: ConfiguredWorld) {
  fleetOf(this).platform.control({ outage: 'none' });
});

Given('all configured entries have stopped', async function (this: ConfiguredWorld) {
  await Promise.all([...fleetOf(this).entries.values()].map((entry) => entry.stop()));
});

When('configured entry {string} starts', async function (this: ConfiguredWorld, name: string) {
  await fleetOf(this).startEntry(name, SITES[0]);
});

When(
  'the operator at {string} sets model {string} to {int} replicas',
  async function (this: ConfiguredWorld, at: string, name: string, replicas: number) {
    const { operations } = entryOf(this, at);
    const change = { kind: 'model' as const, name, value: { replicas }, deleted: false };
    const applied = await operations.apply(change);
    this.changed = applied._unsafeUnwrap().object.version;
  },
);

When(
  'the platform goes away as soon as {string} has the change in force',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration } = entryOf(this, name);
    await waitFor('the change to be in force', () => configuration.revision() >= this.changed);
    fleetOf(this).platform.control({ outage: 'refuse' });
  },
);

Then(
  'the change is in force at configured entries {string}',
  async function (this: ConfiguredWorld, names: string) {
    for (const name of split(names)) {
      await waitFor(`the change at ${name}`, () => replicasAt(this, name) === 2);
    }
  },
);

Then(
  'the change is pending at {string} because of {string}',
  async function (this: ConfiguredWorld, at: string, culprit: string) {
    const { operations } = entryOf(this, at);
    const judge = () => operations.acceptance(this.changed, 0, new AbortController().signal);
    await waitFor('only the culprit to be left', async () => {
      const acceptance = await judge();
      assert.equal(acceptance.kind, 'pending');
      return acceptance.lagging.map((entry) => entry.name).join() === culprit;
    });
    assert.equal((await judge()).kind, 'pending');
  },
);

Then('the change is accepted at {string}', async function (this: ConfiguredWorld, at: string) {
  const { operations } = entryOf(this, at);
  const { signal } = new AbortController();
  const acceptance = await operations.acceptance(this.changed, WAIT_MS, signal);
  assert.deepEqual(acceptance, { kind: 'accepted' });
});

Then(
  'configured entry {string} turns its readiness {word}',
  async function (this: ConfiguredWorld, name: string, to: string) {
    const entry = entryOf(this, name);
    await waitFor(`${name} to turn its readiness ${to}`, () => isReady(entry) === (to === 'on'));
  },
);

Then(
  'configured entry {string} is not ready for want of configuration',
  async function (this: ConfiguredWorld, name: string) {
    const { configuration, membership } = entryOf(this, name);
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
  async function (this: ConfiguredWorld, one: string, other: string, name: string) {
    const read = await entryOf(this, one).operations.read('model', name);
    const expected = read._unsafeUnwrap().version;
    const changes = [one, other].map((at, index) =>
      entryOf(this, at).operations.apply({
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
    const won = this.answers.filter((answer) => 'object' in answer);
    const lost = this.answers.filter((answer) => 'failure' in answer);
    assert.equal(won.length, 1);
    assert.equal(lost[0]?.failure.kind, 'versionConflict');
    assert.equal(lost[0].current?.version, won[0]?.object.version);
  },
);

Then(
  "the winner's model is in force at configured entries {string}",
  async function (this: ConfiguredWorld, names: string) {
    const won = this.answers.find((answer) => 'object' in answer);
    const { replicas } = won?.object.value as { replicas: number };
    for (const name of split(names)) {
      await waitFor(`the winner's model at ${name}`, () => replicasAt(this, name) === replicas);
    }
  },
);

When(
  'model {string} is written to the platform with replicas {int}',
  function (this: ConfiguredWorld, name: string, replicas: number) {
    fleetOf(this).platform.put('model', name, { replicas });
  },
);

Then(
  'status at {string} lists model {string} as rejected',
  async function (this: ConfiguredWorld, at: string, name: string) {
    const { operations } = entryOf(this, at);
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
    const result = await entryOf(this, at).operations.apply({ kind, name, value, deleted: false });
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
    const written = fleetOf(this)
      .platform.journal()
      .filter(({ object }) => object.name === 'extra');
    assert.deepEqual(written, []);
  },
);
