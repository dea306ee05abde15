/**
 * Entries and objects that another writer has left in the store, read by a gateway process.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { MODEL } from './stand-ins/configuration.js';
import type { EngineStandIn } from './stand-ins/engine.js';
import { Site } from './site.js';
import type { GatewayWorld } from './world.js';

const LIST = { path: '/list/slots' };
const REQUEST_COUNT = 12;
const ROUTINE_EVENTS: ReadonlySet<string> = new Set(['requestSent', 'requestAnswered']);
const MAX_REPORTED_EVENTS = 40;
const HUGE = 'x'.repeat(300_000);

/** Items that are not objects, or objects of which at most the name is readable. */
const UNREADABLE_ITEMS: readonly unknown[] = [
  null,
  7,
  'a text',
  [],
  {},
  { metadata: null, spec: {} },
  { metadata: { name: 7, revision: 3 }, spec: {} },
  { metadata: { name: 'nothing-in-it', revision: 'new' } },
  { metadata: { name: 'no-revision' }, spec: { service: 'app' } },
  { metadata: { name: 'huge', revision: 4 }, spec: HUGE },
  { metadata: { name: 'line\nbreak', revision: 4 }, spec: { service: 'app', address: '::' } },
];

async function openWithUnreadableItems(world: GatewayWorld, kind: string): Promise<void> {
  world.site = new Site();
  await world.site.open();
  UNREADABLE_ITEMS.forEach((item, index) => {
    world.site.store.putRaw(kind, `rubbish-${index}`, item);
  });
  world.site.configure();
  await world.site.addServer({ id: 'plain-0', service: 'app' });
}

Given(
  'a site with 1 plain server and objects of every unreadable form among the entries',
  async function (this: GatewayWorld) {
    await openWithUnreadableItems(this, 'servers');
  },
);

Given(
  'a site with 1 plain server and objects of every unreadable form beside the configuration',
  async function (this: GatewayWorld) {
    await openWithUnreadableItems(this, 'config');
  },
);

Given(
  "another writer's entry of an idle engine at the address of the first one",
  function (this: GatewayWorld) {
    const { id } = firstServer(this).options;
    const entry = this.site.store.read('servers', id) as Record<string, unknown>;
    this.site.store.put('servers', 'an-engine', { ...entry, staged: [MODEL] });
  },
);

Given('a gateway that is ready', async function (this: GatewayWorld) {
  this.gateway = await this.site.startGateway();
  await this.site.waitUntilReady(this.gateway);
});

When('a gateway has started and a second server appears', async function (this: GatewayWorld) {
  this.gateway = await this.site.startGateway();
  await this.site.waitUntilReady(this.gateway);
  UNREADABLE_ITEMS.forEach((item, index) => {
    this.site.store.putRaw('servers', `later-rubbish-${index}`, item);
  });
  await this.site.addServer({ id: 'plain-1', service: 'app' });
});

Then('requests reach both servers', async function (this: GatewayWorld) {
  await waitUntilAllServe(this);
});

/** Invalid entries that another writer derives from a valid one. */
const FORGED_ENTRIES: Readonly<Record<string, (entry: Record<string, unknown>) => unknown>> = {
  'the state "paused"': (entry) => ({ ...entry, state: 'paused' }),
  'the state 7': (entry) => ({ ...entry, state: 7 }),
  'no address': (entry) => ({ ...entry, address: undefined }),
  'an address without a port': (entry) => ({ ...entry, address: '127.0.0.1' }),
  'an address with the port 123456': (entry) => ({ ...entry, address: '127.0.0.1:123456' }),
  'a zone of another type': (entry) => ({ ...entry, zone: ['north'] }),
  'no slots': (entry) => ({ ...entry, slots: null }),
  'a start that is no whole number': (entry) => ({ ...entry, born: 'yesterday' }),
  'no start': (entry) => ({ ...entry, born: undefined }),
  nothing: () => undefined,
  'a text': () => 'a text',
};

function firstServer({ site }: GatewayWorld): EngineStandIn {
  const [first] = site.servers;
  assert.ok(first);
  return first;
}

When(
  /^another writer gives the first server (.*)$/,
  async function (this: GatewayWorld, what: string) {
    await waitUntilAllServe(this);
    const { id } = firstServer(this).options;
    const entry = this.site.store.read('servers', id) as Record<string, unknown>;
    const forgeEntry = FORGED_ENTRIES[what];
    assert.ok(forgeEntry, what);
    this.site.store.put('servers', id, forgeEntry(entry));
    await waitFor('the gateway to know', () =>
      this.gateway.lines.some((line) => line.name === 'serverEntryRejected' && line.server === id),
    );
  },
);

Then(
  'no request reaches the first server from the moment at which the gateway knows',
  async function (this: GatewayWorld) {
    const { id } = firstServer(this).options;
    const before = this.site.journal.length;
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
      assert.equal((await this.site.request(this.gateway, LIST)).status, 200);
    }
    const misrouted = this.site.journal.slice(before).filter(({ server }) => server === id);
    assert.equal(misrouted.length, 0);
  },
);

Then(
  'requests reach both servers again once the first server has written its entry',
  async function (this: GatewayWorld) {
    firstServer(this).report();
    await waitUntilAllServe(this);
  },
);

/** Resolves when new requests have reached all servers; a failure reports what the gateway logged. */
async function waitUntilAllServe({ site, gateway }: GatewayWorld): Promise<void> {
  const before = site.journal.length;
  try {
    await waitFor('requests at all servers', async () => {
      await site.request(gateway, LIST);
      const serversReached = new Set(site.journal.slice(before).map(({ server }) => server));
      return serversReached.size === site.servers.length;
    });
  } catch (error) {
    const unusualEvents = gateway.lines.filter(({ name }) => !ROUTINE_EVENTS.has(String(name)));
    throw new Error(JSON.stringify(unusualEvents.slice(0, MAX_REPORTED_EVENTS)), { cause: error });
  }
}
