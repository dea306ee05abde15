import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { request } from 'undici';
import { waitFor } from '../support/waiting.js';
import { startDeployment, type EntryProcess } from './deployment.js';
import { getJson, sendJson, type JsonAnswer } from './http.js';
import type { PromiseWorld } from './world.js';

interface ConfigurationWorld extends PromiseWorld, Pick<World, 'log'> {
  answers: JsonAnswer[];
  /** The keys that the racing operators tried. */
  keys: string[];
  /** The key of the last change that was taken, and that change. */
  key: string;
  version: number;
  takenAt: number;
  /** Entries that let the first key in after the change was accepted. */
  reverted: string[];
  watching?: Promise<void>;
  isWatched: boolean;
}

const TENANT = 'helpline';
const FIRST_KEY = 'first-key';
const OBSERVER_PAUSE_MS = 20;
const ACCEPTANCE_WAIT_MS = 4_000;

Given(
  "3 entries that all go by the workspace's first key",
  async function (this: ConfigurationWorld) {
    await start(this, false);
  },
);

Given(
  "3 entries behind links that can be cut, which all go by the workspace's first key",
  async function (this: ConfigurationWorld) {
    await start(this, true);
  },
);

When(
  'two operators change the key through two entries at once',
  async function (this: ConfigurationWorld) {
    this.keys = ['key-of-one', 'key-of-two'];
    const expected = this.version;
    this.takenAt = performance.now();
    this.answers = await Promise.all(
      this.keys.map((key, i) => putKey(this.deployment.entry(i), key, expected)),
    );
  },
);

Then(
  'one change was taken and the other operator was told which version won',
  function (this: ConfigurationWorld) {
    const won = this.answers.findIndex(({ status }) => status === 200);
    const lost = this.answers[1 - won];
    assert.ok(won >= 0 && lost, JSON.stringify(this.answers));
    take(this, this.answers[won], this.keys[won] ?? '');
    const { error, current } = lost.body as { error: { kind: string }; current: StoredVersion };
    assert.deepEqual(
      { status: lost.status, kind: error.kind, version: current.version },
      { status: 409, kind: 'versionConflict', version: this.version },
    );
  },
);

Then(
  "every entry goes by the winner's key once it is accepted",
  async function (this: ConfigurationWorld) {
    await checkInForce(this);
    const loser = this.keys.find((key) => key !== this.key) ?? '';
    for (const entry of listEntries(this)) assert.equal(await isLetIn(entry, loser), false);
  },
);

When(
  'an operator changes the key while the platform answers from its copy of before',
  async function (this: ConfigurationWorld) {
    await this.deployment.platform.control({ oldCopy: true });
    await changeKey(this, 'second-key');
  },
);

When(
  'an operator changes the key and the platform goes away when it has told one entry',
  async function (this: ConfigurationWorld) {
    await changeKey(this, 'second-key');
    await waitFor('an entry to be told of the change', async () => {
      const revisions = await Promise.all(listEntries(this).map(readRevision));
      return revisions.some((revision) => revision >= this.version);
    });
    await this.deployment.platform.control({ outage: 'refuse' });
  },
);

When(
  'an operator changes the key and the platform goes away before it has told anybody',
  async function (this: ConfigurationWorld) {
    await this.deployment.platform.control({ oldCopy: true });
    await changeKey(this, 'second-key');
    await this.deployment.platform.control({ outage: 'refuse' });
  },
);

Then(
  'every entry goes by the new key once it is accepted',
  async function (this: ConfigurationWorld) {
    await checkInForce(this);
    watchForFirstKey(this);
  },
);

Then(
  'every entry goes by the new key, though the change is pending',
  async function (this: ConfigurationWorld) {
    const inForceMs = await waitUntilInForce(this);
    this.log(`in force everywhere after ${inForceMs} ms by the entries' own exchange`);
    assert.equal((await askAcceptance(this, 0)).kind, 'pending');
    watchForFirstKey(this);
  },
);

When('another entry starts', async function (this: ConfigurationWorld) {
  const added = await this.deployment.startEntry();
  await waitFor(`${added.name} to be ready`, () => added.isReady());
  assert.ok(await isLetIn(added, this.key), `${added.name} was ready without the accepted key`);
});

Then(
  'no entry goes by the first key again until a later change is in force',
  async function (this: ConfigurationWorld) {
    await this.deployment.platform.control({ oldCopy: false, outage: 'none' });
    await waitFor('the platform to take a change', async () => {
      const answer = await putKey(this.deployment.entry(0), 'later-key');
      if (answer.status === 200) take(this, answer, 'later-key');
      return answer.status === 200;
    });
    await checkInForce(this);
    this.isWatched = false;
    await this.watching;
    assert.deepEqual(this.reverted, []);
  },
);

When(
  'the entries are cut off from each other, and the last one from the platform',
  async function (this: ConfigurationWorld) {
    const entries = listEntries(this);
    for (const { peerLink } of entries) await peerLink?.control({ cut: 'both' });
    await entries.at(-1)?.platformLink.control({ cut: 'both' });
    await waitFor('the entries to miss each other', async () => {
      const { body } = await getJson(this.deployment.entry(0).operators, '/status');
      return (body as { peers: unknown[] }).peers.length === 0;
    });
  },
);

When('an operator changes the key', async function (this: ConfigurationWorld) {
  await changeKey(this, 'second-key');
});

Then(
  'the change is pending and the last entry is named, while it goes by the first key',
  async function (this: ConfigurationWorld) {
    await checkPending(this);
    const last = lastEntry(this);
    assert.ok(await isLetIn(last, FIRST_KEY));
    const second = this.deployment.entry(1);
    await waitFor('the others to go by the new key', () => isLetIn(second, this.key));
    await waitFor('the last entry to turn its readiness off', async () => !(await last.isReady()));
  },
);

When('the entries reach each other again', async function (this: ConfigurationWorld) {
  for (const { peerLink } of listEntries(this)) await peerLink?.control({ cut: 'none' });
  this.takenAt = performance.now();
});

When(
  'the last entry is frozen and an operator changes the key {int} times',
  async function (this: ConfigurationWorld, changes: number) {
    lastEntry(this).process.signal('SIGSTOP');
    for (let i = 2; i < changes + 2; i += 1) await changeKey(this, `key-${i}`);
  },
);

Then(
  'the change is pending and the last entry is named',
  async function (this: ConfigurationWorld) {
    await checkPending(this);
  },
);

When('the frozen entry wakes and goes on', function (this: ConfigurationWorld) {
  lastEntry(this).process.signal('SIGCONT');
  this.takenAt = performance.now();
});

When('an operator writes a key that is no hash', async function (this: ConfigurationWorld) {
  const path = `/objects/workspace/${TENANT}`;
  const body = { value: { keyHashes: ['open sesame'] } };
  this.answers = [await sendJson(this.deployment.entry(0).operators, 'PUT', path, body)];
});

Then(
  'the change is refused with the faulty field, and the platform has taken no write',
  async function (this: ConfigurationWorld) {
    const answer = this.answers[0];
    assert.equal(answer?.status, 422, JSON.stringify(answer));
    const { faults } = answer.body as { faults: { key: string }[] };
    assert.match(faults[0]?.key ?? '', /keyHashes/);
    const stored = await this.deployment.platform.read('workspace', TENANT);
    assert.equal(stored?.version, this.version);
    assert.ok(await isLetIn(lastEntry(this), FIRST_KEY));
  },
);

interface StoredVersion {
  version: number;
}

async function start(world: ConfigurationWorld, withPeerLinks: boolean): Promise<void> {
  world.deployment = await startDeployment({ entries: 3, withPeerLinks });
  world.reverted = [];
  const value = { keyHashes: [hash(FIRST_KEY)] };
  const stored = await world.deployment.platform.put('workspace', TENANT, value);
  world.version = stored.version;
  for (const entry of listEntries(world)) {
    await waitFor(`${entry.name} to go by the first key`, () => isLetIn(entry, FIRST_KEY));
  }
  await world.deployment.whenReady();
}

function listEntries({ deployment }: ConfigurationWorld): EntryProcess[] {
  return [...deployment.entries.values()];
}

function lastEntry({ deployment }: ConfigurationWorld): EntryProcess {
  return deployment.entry(deployment.entries.size - 1);
}

function hash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Whether the entry knows the key's workspace. */
async function isLetIn({ callers }: EntryProcess, key: string): Promise<boolean> {
  const answer = await request(`http://${callers}/v1/models`, {
    headers: { authorization: `Bearer ${key}` },
    signal: AbortSignal.timeout(ACCEPTANCE_WAIT_MS),
  });
  await answer.body.dump();
  return answer.statusCode === 200;
}

/** Every change up to this revision is in force at the entry. */
async function readRevision({ operators }: EntryProcess): Promise<number> {
  const { body } = await getJson(operators, '/status');
  return (body as { configuration: { revision: number } }).configuration.revision;
}

function putKey(entry: EntryProcess, key: string, expected?: number): Promise<JsonAnswer> {
  const body = { value: { keyHashes: [hash(key)] }, ...(expected !== undefined && { expected }) };
  return sendJson(entry.operators, 'PUT', `/objects/workspace/${TENANT}`, body);
}

async function changeKey(world: ConfigurationWorld, key: string): Promise<void> {
  const answer = await putKey(world.deployment.entry(0), key, world.version);
  assert.equal(answer.status, 200, JSON.stringify(answer.body));
  take(world, answer, key);
}

function take(world: ConfigurationWorld, answer: JsonAnswer | undefined, key: string): void {
  const { object } = answer?.body as { object: StoredVersion };
  world.version = object.version;
  world.key = key;
  world.takenAt = performance.now();
}

/** Reports how long it took until the last entry went by the key, and until it was accepted. */
async function checkInForce(world: ConfigurationWorld): Promise<void> {
  const inForce = waitUntilInForce(world);
  const { operators } = world.deployment.entry(0);
  await waitFor('acceptance', async () => (await askAcceptance(world)).kind === 'accepted');
  const acceptedMs = Math.round(performance.now() - world.takenAt);
  for (const entry of listEntries(world)) {
    assert.ok(await isLetIn(entry, world.key), `${entry.name} lacks what ${operators} accepted`);
  }
  world.log(`in force everywhere after ${await inForce} ms, told accepted after ${acceptedMs} ms`);
}

/** Resolves with how long after the change the last entry went by its key. */
async function waitUntilInForce(world: ConfigurationWorld): Promise<number> {
  const spans = listEntries(world).map(async (entry) => {
    await waitFor(`${entry.name} to go by ${world.key}`, () => isLetIn(entry, world.key));
    return performance.now() - world.takenAt;
  });
  return Math.round(Math.max(...(await Promise.all(spans))));
}

async function checkPending(world: ConfigurationWorld): Promise<void> {
  const acceptance = await askAcceptance(world, 500);
  assert.equal(acceptance.kind, 'pending');
  const names = acceptance.lagging?.map(({ name }) => name) ?? [];
  assert.ok(names.includes(lastEntry(world).name), JSON.stringify(acceptance));
}

interface ToldAcceptance {
  kind: 'accepted' | 'pending';
  lagging?: { name: string }[];
}

async function askAcceptance(
  { deployment, version }: ConfigurationWorld,
  waitMs = ACCEPTANCE_WAIT_MS,
): Promise<ToldAcceptance> {
  const path = `/acceptance/${version}?wait=${waitMs}`;
  return (await getJson(deployment.entry(0).operators, path)).body as ToldAcceptance;
}

/** Tries the first key at every entry, over and over, until `isWatched` is taken back. */
function watchForFirstKey(world: ConfigurationWorld): void {
  world.isWatched = true;
  const watch = async (): Promise<void> => {
    while (world.isWatched) {
      for (const entry of listEntries(world)) {
        const isOpen = await isLetIn(entry, FIRST_KEY).catch(() => false);
        if (isOpen) world.reverted.push(entry.name);
      }
      await new Promise((resolve) => setTimeout(resolve, OBSERVER_PAUSE_MS));
    }
  };
  world.watching = watch();
}
