/**
 * Gateways that follow the store for others restart, without processes.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { nextAddress } from '../support/ports.js';
import { waitFor } from '../support/waiting.js';
import { entryOf, FollowerGateway, FollowerSite, SERVER_KIND } from './follower-site.js';

interface RestartedWorld {
  followerSite: FollowerSite;
  listRevision: number;
  first: FollowerGateway;
  second: FollowerGateway;
  toldAt: number;
}

/** Longer than two exchanges, so that every gateway has heard of all others. */
const SETTLE_MS = 1_800;
/** Gateways ask the store once again on their own as they start. */
const LATER_START = 2;

After(async function (this: Partial<RestartedWorld>) {
  await this.followerSite?.stop();
});

function removeEntry({ followerSite }: RestartedWorld, name: string): void {
  followerSite.store.remove(SERVER_KIND, name);
}

async function waitForSameServers({ followerSite }: RestartedWorld, ms: number): Promise<void> {
  const { store, gateways } = followerSite;
  const known = (): string => [...gateways.values()].map(describe).join('; ');
  await waitFor(
    'every gateway to know the servers of the store',
    () => [...gateways.values()].every((gateway) => knowsAll(gateway, store.names(SERVER_KIND))),
    ms,
  ).catch((error: unknown) => {
    throw new Error(`the store has ${store.names(SERVER_KIND).join()}: ${known()}`, {
      cause: error,
    });
  });
}

function knowsAll(gateway: FollowerGateway, names: readonly string[]): boolean {
  return gateway.serverNames().join() === names.join();
}

function describe(gateway: FollowerGateway): string {
  return `${gateway.name} ${gateway.serverNames().join()} at ${gateway.fleetSection.read().revision}`;
}

Given(
  '{int} failure domains of {int} gateways each, which know {int} servers',
  async function (this: RestartedWorld, domains: number, _members: number, servers: number) {
    this.followerSite = new FollowerSite();
    const { store } = this.followerSite;
    for (let index = 0; index < servers; index += 1)
      store.put(SERVER_KIND, `server-${index}`, entryOf(`server-${index}`));
    for (let index = 0; index < domains; index += 1)
      await this.followerSite.addDomain(`domain-${index}`);
    await waitForSameServers(this, 5_000);
    await sleep(SETTLE_MS);
  },
);

Given('nothing has happened since', () => undefined);

Given('an entry was removed before that', async function (this: RestartedWorld) {
  removeEntry(this, 'server-0');
  await waitForSameServers(this, 2_000);
});

Given('an entry that can not be read was added', async function (this: RestartedWorld) {
  this.followerSite.store.put(SERVER_KIND, 'server-x', undefined);
  await sleep(SETTLE_MS);
});

Given('a known entry was overwritten by another writer', async function (this: RestartedWorld) {
  this.followerSite.store.put(SERVER_KIND, 'server-0', undefined);
  await sleep(SETTLE_MS);
});

async function restart(world: RestartedWorld, meanwhile: () => void): Promise<void> {
  // What the other gateways did before does not count.
  for (const gateway of world.followerSite.listOthers()) {
    gateway.copies = 0;
    gateway.lists = 0;
  }
  await world.followerSite.restartHubs(meanwhile);
}

When(
  'the followers restart, and meanwhile an older entry is removed',
  async function (this: RestartedWorld) {
    await restart(this, () => {
      removeEntry(this, 'server-1');
    });
  },
);

When(
  'the followers restart, and meanwhile the newest entry is removed',
  async function (this: RestartedWorld) {
    await restart(this, () => {
      removeEntry(this, 'server-3');
    });
  },
);

When(
  'the followers restart, and meanwhile an older entry is removed and another one changes',
  async function (this: RestartedWorld) {
    await restart(this, () => {
      removeEntry(this, 'server-1');
      this.followerSite.store.put(SERVER_KIND, 'server-2', entryOf('server-2', LATER_START));
    });
  },
);

When(
  'the followers restart, and meanwhile an older entry is removed, and one just after that',
  async function (this: RestartedWorld) {
    await restart(this, () => {
      removeEntry(this, 'server-1');
    });
    await waitFor('the lists', () => this.followerSite.listHubs().every(({ lists }) => lists > 0));
    removeEntry(this, 'server-2');
  },
);

When(
  'the followers restart, and meanwhile all entries are removed',
  async function (this: RestartedWorld) {
    await restart(this, () => {
      for (const name of this.followerSite.store.names(SERVER_KIND)) removeEntry(this, name);
    });
  },
);

When('the followers restart, and meanwhile nothing happens', async function (this: RestartedWorld) {
  await restart(this, () => undefined);
});

Then(
  'within {int} ms every gateway knows the servers that the store has',
  async function (this: RestartedWorld, ms: number) {
    await waitForSameServers(this, ms);
  },
);

Then('{int} ms later as well', async function (this: RestartedWorld, ms: number) {
  await sleep(ms);
  await waitForSameServers(this, 1);
});

Then("no gateway's fleet has gone back to an older revision", function (this: RestartedWorld) {
  for (const { revisions, name } of this.followerSite.gateways.values()) {
    const sorted = [...revisions].sort((one, other) => one - other);
    assert.deepEqual(revisions, sorted, name);
  }
});

Then(
  'for {int} ms no other gateway asks a peer for a copy or the store for a list',
  async function (this: RestartedWorld, ms: number) {
    await sleep(ms);
    for (const { name, copies, lists } of this.followerSite.listOthers())
      assert.deepEqual({ name, copies, lists }, { name, copies: 0, lists: 0 });
  },
);

Given(
  'a gateway that is about to list {int} servers',
  function (this: RestartedWorld, servers: number) {
    this.followerSite = new FollowerSite();
    for (let index = 0; index < servers; index += 1)
      this.followerSite.store.put(SERVER_KIND, `server-${index}`, entryOf(`server-${index}`));
  },
);

When(
  'entries of both pages change between the two pages, and the watch is late',
  async function (this: RestartedWorld) {
    const { store } = this.followerSite;
    store.isWatchHeld = true;
    store.duringList = () => {
      this.listRevision = store.revision;
      removeEntry(this, 'server-0');
      store.put(SERVER_KIND, 'server-3', entryOf('server-3', LATER_START));
    };
    await this.followerSite.addDomain('domain-0');
    await waitFor('the list', () =>
      this.followerSite.listHubs().every((hub) => hub.fleetSection.read().revision > 0),
    );
  },
);

Then('its revision is that of the first page', function (this: RestartedWorld) {
  for (const { revisions } of this.followerSite.listHubs())
    assert.ok(
      revisions.every((revision) => revision <= this.listRevision),
      `${revisions.join()} after ${this.listRevision}`,
    );
});

When('the watch is answered', function (this: RestartedWorld) {
  this.followerSite.store.isWatchHeld = false;
});

Then('its revision is that of the last change', async function (this: RestartedWorld) {
  await waitFor('the changes', () =>
    this.followerSite
      .listHubs()
      .every((hub) => knowsAll(hub, this.followerSite.store.names(SERVER_KIND))),
  );
  for (const hub of this.followerSite.listHubs())
    assert.equal(hub.fleetSection.read().revision, this.listRevision + 2);
});

/** A gateway of which only the fleet part is used; its listener and its exchange stay off. */
function createLoneGateway({ followerSite }: RestartedWorld, name: string): FollowerGateway {
  const gateway = new FollowerGateway(followerSite.store, name, nextAddress(), 'domain-0');
  followerSite.gateways.set(name, gateway);
  return gateway;
}

async function listOnce(gateway: FollowerGateway): Promise<void> {
  gateway.fleet.follower.setMode('forDomain');
  await waitFor('the list', () => gateway.fleetSection.read().revision > 0);
}

Given(
  'a gateway that has listed {int} servers',
  async function (this: RestartedWorld, servers: number) {
    this.followerSite = new FollowerSite();
    for (let index = 0; index < servers; index += 1)
      this.followerSite.store.put(SERVER_KIND, `server-${index}`, entryOf(`server-${index}`));
    this.first = createLoneGateway(this, 'first');
    await listOnce(this.first);
    this.first.fleet.follower.setMode('off');
    this.second = createLoneGateway(this, 'second');
  },
);

When(
  'an entry is removed, another one changes, and a second gateway relays its first list',
  async function (this: RestartedWorld) {
    removeEntry(this, 'server-1');
    this.followerSite.store.put(SERVER_KIND, 'server-2', entryOf('server-2', LATER_START));
    this.second.fleet.onUpdate((update) => {
      this.first.fleet.applyUpdate(update);
    });
    await listOnce(this.second);
  },
);

Then('both know the servers that the store has', async function (this: RestartedWorld) {
  await waitForSameServers(this, 100);
  assert.equal(this.first.fleetSection.read().revision, this.second.fleetSection.read().revision);
});

When(
  'an entry is removed, a second gateway lists the others, and relays the next change',
  async function (this: RestartedWorld) {
    removeEntry(this, 'server-1');
    await listOnce(this.second);
    this.second.fleet.onUpdate((update) => {
      this.first.fleet.applyUpdate(update);
    });
    const { revision } = this.followerSite.store.put(
      SERVER_KIND,
      'server-2',
      entryOf('server-2', LATER_START),
    );
    await waitFor('the change', () => this.second.fleetSection.read().revision === revision);
  },
);

Then('the first has not taken the change', function (this: RestartedWorld) {
  const { servers, revision } = this.first.fleetSection.read();
  const isLower = revision < this.second.fleetSection.read().revision;
  assert.deepEqual([servers.has('server-1'), isLower], [true, true]);
});

When(
  'the newest entry is removed, and a second gateway lists the others and gets a copy of the first',
  async function (this: RestartedWorld) {
    removeEntry(this, 'server-3');
    await listOnce(this.second);
    this.second.fleet.applySnapshot(this.first.fleet.snapshot());
  },
);

Then('the second knows the servers that the store has', function (this: RestartedWorld) {
  assert.deepEqual(this.second.serverNames(), this.followerSite.store.names(SERVER_KIND));
});

When(
  'the store is restored from an empty copy, and a second gateway lists it and gets a copy of the first',
  async function (this: RestartedWorld) {
    this.followerSite.store.restoreEmpty();
    this.second.fleet.follower.setMode('forDomain');
    await waitFor('the list', () => this.second.fleetProof.read() !== undefined);
    this.second.fleet.applySnapshot(this.first.fleet.snapshot());
  },
);

Then(
  'the second knows {int} servers, and tells nobody that its list has them',
  function (this: RestartedWorld, servers: number) {
    assert.equal(this.second.serverNames().length, servers);
    assert.equal(this.second.fleet.version().fleetListRevision, undefined);
  },
);

When(
  '{} is removed, and a second gateway lists the others and tells the first how fresh they are',
  async function (this: RestartedWorld, removed: string) {
    removeEntry(this, removed === 'the newest entry' ? 'server-3' : 'server-1');
    await listOnce(this.second);
    this.toldAt = performance.now();
    this.first.fleet.recordProof(this.second.fleet.version(), this.toldAt);
  },
);

Then('the first does not count as fresh from then on', function (this: RestartedWorld) {
  const at = this.first.fleetProof.read()?.at;
  assert.ok(at !== undefined && at < this.toldAt, `proof at ${at}, told at ${this.toldAt}`);
});
