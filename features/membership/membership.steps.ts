/**
 * Steps for membership, leaving instances and drains, with entries in this process.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { EngineReport } from '../../src/adapters/engines/index.js';
import type { DrainJudgement } from '../../src/controllers/drains/index.js';
import { createTestFleet, type TestEntry, type TestFleet } from '../support/entries.js';
import { waitFor } from '../support/waiting.js';

interface MemberWorld {
  members?: TestFleet;
}

const GOODBYE_MS = 5_000;
const ACCEPT_MS = 10_000;

function fleetOf(world: MemberWorld): TestFleet {
  assert(world.members, 'no fleet was started');
  return world.members;
}

function listEntries(world: MemberWorld): TestEntry[] {
  return [...fleetOf(world).entries.values()];
}

function entryOf(world: MemberWorld, name: string): TestEntry {
  const entry = fleetOf(world).entries.get(name);
  assert(entry, `${name} does not run`);
  return entry;
}

function isReady(entry: TestEntry): boolean {
  return entry.membership.readiness().kind === 'ready';
}

function reportLeaving(entry: TestEntry, instance: string): void {
  const report: EngineReport = {
    instance,
    incarnation: 'first-start',
    state: 'idle',
    fence: 0,
    leaving: true,
    inFlight: 0,
    adapters: [],
    cacheSequence: 0,
  };
  const { clock, writers } = entry.context;
  writers.health.write(new Map([[instance, { report, heardAt: clock.now() }]]));
}

function judgeAt(world: MemberWorld, at: string, target: string): DrainJudgement | undefined {
  const drains = entryOf(world, at).operations.drains();
  return drains.find((drain) => drain.target === target)?.judgement;
}

function listWatching(world: MemberWorld): TestEntry[] {
  return listEntries(world).filter((e) => e.configuration.platformContact() !== 'unwatched');
}

Given(
  '{int} member entries in {int} failure domains',
  async function (this: MemberWorld, count: number, domains: number) {
    const fleet = await createTestFleet();
    this.members = fleet;
    for (let index = 0; index < count; index += 1) {
      await fleet.startEntry(`entry-${index + 1}`, `domain-${index % domains}`);
    }
    await waitFor('the entries to be ready and to hear each other', () =>
      listEntries(this).every((e) => {
        return isReady(e) && e.context.board.peers.read().size === count - 1;
      }),
    );
  },
);

After(async function (this: MemberWorld) {
  await this.members?.stop();
});

Given(
  /^the platform lists (engine|service) (?:instance )?"([^"]+)" as live( again after its restart)?$/,
  async function (this: MemberWorld, role: string, name: string, anew: string | null) {
    const { platform } = fleetOf(this);
    const value = { role, address: '127.0.0.1:2', failureDomain: 'domain-0' };
    if (anew !== null) {
      for (const entry of listEntries(this)) entry.context.writers.health.write(new Map());
    }
    const { version } = platform.put('instance', name, value);
    await waitFor('the list at every entry', () =>
      listEntries(this).every((e) => e.configuration.revision() >= version),
    );
  },
);

When(
  'engine {string} tells {string} that it is leaving',
  function (this: MemberWorld, engine: string, at: string) {
    reportLeaving(entryOf(this, at), engine);
  },
);

Then('{string} is leaving at every member entry', async function (this: MemberWorld, name: string) {
  await waitFor('the mark at every entry', () =>
    listEntries(this).every((e) => e.context.board.fleet.read().leaving.has(name)),
  );
});

Then(
  '{string} is no longer leaving at any member entry',
  async function (this: MemberWorld, name: string) {
    await waitFor('the mark to go at every entry', () =>
      listEntries(this).every((e) => !e.context.board.fleet.read().leaving.has(name)),
    );
  },
);

Given(
  '{string} has {int} call in flight at {string}',
  function (this: MemberWorld, at: string, count: number, target: string) {
    const { writers } = entryOf(this, at).context;
    const attempts = writers.attempts.read();
    writers.attempts.write({ ...attempts, inFlight: new Map([[target, count]]) });
  },
);

Given(
  'member entry {string} is cut off from the other entries',
  function (this: MemberWorld, name: string) {
    for (const other of fleetOf(this).entries.keys()) {
      if (other !== name) fleetOf(this).cut(name, other);
    }
  },
);

When(
  'member entry {string} is cut off from the platform as well',
  function (this: MemberWorld, name: string) {
    fleetOf(this).cut(name, 'platform');
  },
);

When('the member entries are connected again', function (this: MemberWorld) {
  fleetOf(this).heal();
});

When(
  'the operator at {string} drains {string}',
  async function (this: MemberWorld, at: string, target: string) {
    const drained = await entryOf(this, at).operations.drain(target);
    assert(drained.isOk());
  },
);

Then(
  'the drain of {string} waits for {string} at {string}',
  async function (this: MemberWorld, target: string, names: string, at: string) {
    await waitFor('just these to be waited for', () => {
      const judgement = judgeAt(this, at, target);
      if (judgement?.kind !== 'waiting') return false;
      const holders = judgement.holders.map((h) => (h.kind === 'target' ? target : h.entry));
      return holders.sort().join(', ') === names;
    });
  },
);

Then(
  'the drain of {string} is safe at {string}',
  async function (this: MemberWorld, target: string, at: string) {
    await waitFor('the drain to be safe', () => judgeAt(this, at, target)?.kind === 'safe');
  },
);

Then(
  'member entry {string} stays ready as long as the platform answers',
  async function (this: MemberWorld, name: string) {
    const { context, membership, configuration } = entryOf(this, name);
    await waitFor('its peers to be silent', () => context.board.peers.read().size === 0);
    const heardAt = configuration.platformAt();
    await waitFor('the platform to answer again', () => configuration.platformAt() > heardAt);
    assert.deepEqual(membership.readiness(), { kind: 'ready' });
  },
);

Then(
  'member entry {string} turns its own readiness {word}',
  async function (this: MemberWorld, name: string, to: string) {
    const entry = entryOf(this, name);
    await waitFor(`its readiness to be ${to}`, () => isReady(entry) === (to === 'on'));
  },
);

When(
  'member entry {string} is replaced under the same name',
  async function (this: MemberWorld, name: string) {
    const { failureDomain } = entryOf(this, name).context.identity;
    await entryOf(this, name).stop();
    await fleetOf(this).startEntry(name, failureDomain);
  },
);

Then(
  'every other member entry knows the new start of {string} and keeps to it',
  async function (this: MemberWorld, name: string) {
    const { incarnation } = entryOf(this, name).context.identity;
    const others = listEntries(this).filter((entry) => entry.name !== name);
    const seenAt = (entry: TestEntry) => entry.context.board.peers.read().get(name);
    await waitFor('the new start', () =>
      others.every((e) => seenAt(e)?.incarnation === incarnation),
    );
    const first = others.map((entry) => seenAt(entry)?.heardAt ?? 0);
    await waitFor('further digests', () =>
      others.every((entry, index) => {
        assert.equal(seenAt(entry)?.incarnation, incarnation);
        return (seenAt(entry)?.heardAt ?? 0) > (first[index] ?? 0);
      }),
    );
  },
);

When(
  'member entry {string} says goodbye and stops',
  async function (this: MemberWorld, name: string) {
    const entry = entryOf(this, name);
    entry.membership.announceStopping();
    assert.equal(await entry.membership.whenHandedOver(GOODBYE_MS), true);
    await entry.stop();
  },
);

Then(
  'a change made at {string} is accepted though {string} is still listed',
  async function (this: MemberWorld, at: string, gone: string) {
    const { operations, context } = entryOf(this, at);
    const change = { kind: 'model' as const, name: 'm', value: { replicas: 1 }, deleted: false };
    const { version } = (await operations.apply(change))._unsafeUnwrap().object;
    const { signal } = new AbortController();
    const acceptance = await operations.acceptance(version, ACCEPT_MS, signal);
    assert.deepEqual(acceptance, { kind: 'accepted' });
    assert.equal(context.board.fleet.read().instances.get(gone)?.state, 'live');
  },
);

Then('{int} member entries watch the platform', async function (this: MemberWorld, count: number) {
  await waitFor(`${count} entries to watch`, () => listWatching(this).length === count);
});

When('the member entries that watch the platform are lost', async function (this: MemberWorld) {
  await Promise.all(listWatching(this).map((entry) => entry.stop()));
});

Then('a change at the platform reaches every member entry', async function (this: MemberWorld) {
  const { version } = fleetOf(this).platform.put('model', 'm', { replicas: 3 });
  await waitFor('the change everywhere', () =>
    listEntries(this).every((e) => e.configuration.revision() >= version),
  );
});
