/**
 * Steps for membership, leaving instances and drains, with entries running in this process.
 */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { EngineReport } from '../../src/adapters/engines/index.js';
import type { DrainEvaluation } from '../../src/controllers/drains/index.js';
import { createTestFleet, type TestEntry, type TestFleet } from '../support/entries.js';
import { waitFor } from '../support/waiting.js';

interface MembershipWorld {
  members?: TestFleet;
}

const HANDOVER_TIMEOUT_MS = 5_000;
const ACCEPTANCE_TIMEOUT_MS = 10_000;

function getFleet(world: MembershipWorld): TestFleet {
  assert(world.members, 'no fleet was started');
  return world.members;
}

function listEntries(world: MembershipWorld): TestEntry[] {
  return [...getFleet(world).entries.values()];
}

function getEntry(world: MembershipWorld, name: string): TestEntry {
  const entry = getFleet(world).entries.get(name);
  assert(entry, `${name} is not running`);
  return entry;
}

function isReady(entry: TestEntry): boolean {
  return entry.membership.readiness().kind === 'ready';
}

function simulateLeavingReport(entry: TestEntry, instance: string): void {
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

function findDrainJudgement(
  world: MembershipWorld,
  at: string,
  target: string,
): DrainEvaluation | undefined {
  const drains = getEntry(world, at).operations.drains();
  return drains.find((drain) => drain.target === target)?.judgement;
}

function listWatchers(world: MembershipWorld): TestEntry[] {
  return listEntries(world).filter((e) => e.configuration.platformContact() !== 'unwatched');
}

Given(
  '{int} member entries in {int} failure domains',
  async function (this: MembershipWorld, count: number, domains: number) {
    const fleet = await createTestFleet();
    this.members = fleet;
    for (let index = 0; index < count; index += 1) {
      await fleet.startEntry(`entry-${index + 1}`, `domain-${index % domains}`);
    }
    await waitFor('the entries to be ready and to know each other', () =>
      listEntries(this).every((e) => {
        return isReady(e) && e.context.board.peers.read().size === count - 1;
      }),
    );
  },
);

After(async function (this: MembershipWorld) {
  await this.members?.stop();
});

Given(
  /^the platform lists (engine|service) (?:instance )?"([^"]+)" as live( again after its restart)?$/,
  async function (this: MembershipWorld, role: string, name: string, relisted: string | null) {
    const { platform } = getFleet(this);
    const value = { role, address: '127.0.0.1:2', failureDomain: 'domain-0' };
    if (relisted !== null) {
      for (const entry of listEntries(this)) entry.context.writers.health.write(new Map());
    }
    const { version } = platform.put('instance', name, value);
    await waitFor('the list to reach every entry', () =>
      listEntries(this).every((e) => e.configuration.revision() >= version),
    );
  },
);

When(
  'engine {string} tells {string} that it is leaving',
  function (this: MembershipWorld, engine: string, at: string) {
    simulateLeavingReport(getEntry(this, at), engine);
  },
);

Then(
  '{string} is leaving at every member entry',
  async function (this: MembershipWorld, name: string) {
    await waitFor('the leaving mark at every entry', () =>
      listEntries(this).every((e) => e.context.board.fleet.read().leaving.has(name)),
    );
  },
);

Then(
  '{string} is no longer leaving at any member entry',
  async function (this: MembershipWorld, name: string) {
    await waitFor('the leaving mark to be cleared at every entry', () =>
      listEntries(this).every((e) => !e.context.board.fleet.read().leaving.has(name)),
    );
  },
);

Given(
  '{string} has {int} call in flight at {string}',
  function (this: MembershipWorld, at: string, count: number, target: string) {
    const { writers } = getEntry(this, at).context;
    const attempts = writers.attempts.read();
    writers.attempts.write({ ...attempts, inFlight: new Map([[target, count]]) });
  },
);

Given(
  'member entry {string} is cut off from the other entries',
  function (this: MembershipWorld, name: string) {
    for (const other of getFleet(this).entries.keys()) {
      if (other !== name) getFleet(this).cut(name, other);
    }
  },
);

When(
  'member entry {string} is cut off from the platform as well',
  function (this: MembershipWorld, name: string) {
    getFleet(this).cut(name, 'platform');
  },
);

When('the member entries are connected again', function (this: MembershipWorld) {
  getFleet(this).heal();
});

When(
  'the operator at {string} drains {string}',
  async function (this: MembershipWorld, at: string, target: string) {
    const drained = await getEntry(this, at).operations.drain(target);
    assert(drained.isOk());
  },
);

Then(
  'the drain of {string} waits for {string} at {string}',
  async function (this: MembershipWorld, target: string, names: string, at: string) {
    await waitFor('the drain to wait for exactly these entries', () => {
      const judgement = findDrainJudgement(this, at, target);
      if (judgement?.kind !== 'waiting') return false;
      const holders = judgement.holders.map((h) => (h.kind === 'target' ? target : h.entry));
      return holders.sort().join(', ') === names;
    });
  },
);

Then(
  'the drain of {string} is safe at {string}',
  async function (this: MembershipWorld, target: string, at: string) {
    await waitFor(
      'the drain to be safe',
      () => findDrainJudgement(this, at, target)?.kind === 'safe',
    );
  },
);

Then(
  'member entry {string} stays ready as long as the platform answers',
  async function (this: MembershipWorld, name: string) {
    const { context, membership, configuration } = getEntry(this, name);
    await waitFor('its peers to expire', () => context.board.peers.read().size === 0);
    const heardAt = configuration.platformAt();
    await waitFor('the platform to answer again', () => configuration.platformAt() > heardAt);
    assert.deepEqual(membership.readiness(), { kind: 'ready' });
  },
);

Then(
  'member entry {string} turns its own readiness {word}',
  async function (this: MembershipWorld, name: string, expected: string) {
    const entry = getEntry(this, name);
    await waitFor(`its readiness to be ${expected}`, () => isReady(entry) === (expected === 'on'));
  },
);

When(
  'member entry {string} is replaced under the same name',
  async function (this: MembershipWorld, name: string) {
    const { failureDomain } = getEntry(this, name).context.identity;
    await getEntry(this, name).stop();
    await getFleet(this).startEntry(name, failureDomain);
  },
);

Then(
  'every other member entry knows the new incarnation of {string} and retains it',
  async function (this: MembershipWorld, name: string) {
    const { incarnation } = getEntry(this, name).context.identity;
    const others = listEntries(this).filter((entry) => entry.name !== name);
    const peerSeenBy = (entry: TestEntry) => entry.context.board.peers.read().get(name);
    await waitFor('the new incarnation at every other entry', () =>
      others.every((e) => peerSeenBy(e)?.incarnation === incarnation),
    );
    const firstHeardAt = others.map((entry) => peerSeenBy(entry)?.heardAt ?? 0);
    await waitFor('further digests of the entry', () =>
      others.every((entry, index) => {
        assert.equal(peerSeenBy(entry)?.incarnation, incarnation);
        return (peerSeenBy(entry)?.heardAt ?? 0) > (firstHeardAt[index] ?? 0);
      }),
    );
  },
);

When(
  'member entry {string} announces its stop and stops',
  async function (this: MembershipWorld, name: string) {
    const entry = getEntry(this, name);
    entry.membership.announceStopping();
    assert.equal(await entry.membership.whenDigestDelivered(HANDOVER_TIMEOUT_MS), true);
    await entry.stop();
  },
);

Then(
  'a change made at {string} is accepted though {string} is still listed',
  async function (this: MembershipWorld, at: string, stopped: string) {
    const { operations, context } = getEntry(this, at);
    const change = { kind: 'model' as const, name: 'm', value: { replicas: 1 }, deleted: false };
    const { version } = (await operations.apply(change))._unsafeUnwrap().object;
    const { signal } = new AbortController();
    const acceptance = await operations.acceptance(version, ACCEPTANCE_TIMEOUT_MS, signal);
    assert.deepEqual(acceptance, { kind: 'accepted' });
    assert.equal(context.board.fleet.read().instances.get(stopped)?.state, 'live');
  },
);

Then(
  '{int} member entries watch the platform',
  async function (this: MembershipWorld, count: number) {
    await waitFor(`${count} entries to watch`, () => listWatchers(this).length === count);
  },
);

When('the member entries that watch the platform are lost', async function (this: MembershipWorld) {
  await Promise.all(listWatchers(this).map((entry) => entry.stop()));
});

Then('a change at the platform reaches every member entry', async function (this: MembershipWorld) {
  const { version } = getFleet(this).platform.put('model', 'm', { replicas: 3 });
  await waitFor('the change at every entry', () =>
    listEntries(this).every((e) => e.configuration.revision() >= version),
  );
});
