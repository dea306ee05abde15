/**
 * The store is restored from a copy that is some seconds old.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { platform } from '../../platform/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createObjectStore, type ObjectStore } from '../../src/gateway/store/client.js';
import { waitFor } from '../support/waiting.js';
import type { Answer, GatewayProcess } from './site.js';
import type { EngineStandIn } from './stand-ins/engine.js';
import { StoreStandIn } from './stand-ins/store.js';
import { openSite, type GatewayWorld } from './world.js';

interface CopyWorld extends GatewayWorld {
  /** Broken invariants of replicas. */
  breaches: string[];
  expectedServer: EngineStandIn;
  /** Doesn't rewrite its entry after the restore until a step makes it do so. */
  silentServer?: EngineStandIn;
  store: StoreStandIn;
  client: ObjectStore;
  readRevision: number;
}

const LIST = { path: '/list/slots' };
const REQUEST_INTERVAL_MS = 30;
const DOMAIN_SIZE = 4;
const PLAN_KIND = 'group-plans';
const GATEWAY_KIND = 'gateways';
const REWRITE_WITHIN_MS = 1_500;
const STORE_TIMEOUT_MS = 1_000;

After(async function (this: Partial<CopyWorld>) {
  await this.client?.close();
  this.store?.close();
});

function firstServer({ site }: GatewayWorld): EngineStandIn {
  const [first] = site.servers;
  assert.ok(first);
  return first;
}

function requestAll({ site }: GatewayWorld): Promise<Answer[]> {
  return Promise.all(site.gateways.map((gateway) => site.request(gateway, LIST)));
}

function countRequests({ site }: GatewayWorld, server: EngineStandIn): number {
  return site.journal.filter((arrival) => arrival.server === server.options.id).length;
}

async function waitForEvent(world: GatewayWorld, event: string): Promise<void> {
  await waitFor(event, () =>
    world.site.gateways.every(({ lines }) => lines.some(({ name }) => name === event)),
  );
}

async function isSentTo(
  { site }: GatewayWorld,
  gateway: GatewayProcess,
  server: EngineStandIn,
): Promise<boolean> {
  const id = site.nextId();
  await site.request(gateway, LIST);
  return site.listServersThatRan(id).includes(server.options.id);
}

Given(
  'the store keeps a copy, and the servers write {int} times after that',
  async function (this: CopyWorld, times: number) {
    const { site } = this;
    site.store.saveCopy();
    for (let index = 0; index < times; index += 1) {
      for (const server of site.servers) server.report();
    }
    await sleep(500);
  },
);

Given(
  'the store keeps a copy, and the first server announces that it is leaving',
  async function (this: CopyWorld) {
    this.site.store.saveCopy();
    this.silentServer = firstServer(this);
    this.silentServer.drain();
    await waitForEvent(this, 'serverChanged');
  },
);

Given('the store keeps a copy, and the first server goes', async function (this: CopyWorld) {
  this.site.store.saveCopy();
  this.silentServer = firstServer(this);
  this.site.store.remove('servers', this.silentServer.options.id);
  await waitForEvent(this, 'serverGone');
});

Given('the store keeps a copy, and the operator revokes the key', async function (this: CopyWorld) {
  this.site.store.saveCopy();
  this.site.configure({ version: 9, keys: ['another-key'] });
  await waitFor('the key to be gone', async () =>
    (await requestAll(this)).every(({ status }) => status === 401),
  );
});

Given(
  'a site with {int} engines and {int} ready gateways, with a copy of the store from before the first replica',
  async function (this: CopyWorld, engines: number, gateways: number) {
    await openSite(this, 0);
    const fleet = new Map<string, EngineStandIn>();
    this.breaches = [];
    for (let index = 0; index < engines; index += 1) {
      const domain = `domain-${Math.floor(index / DOMAIN_SIZE)}`;
      const engine = { id: `engine-${index}`, service: 'models', domain };
      fleet.set(
        engine.id,
        await this.site.addServer({ ...engine, fleet, breaches: this.breaches }),
      );
    }
    this.site.configure();
    this.site.store.saveCopy();
    for (let index = 0; index < gateways; index += 1) await this.site.startGateway();
    await this.site.waitForOpenGroups(engines / 2);
    await sleep(500);
    this.groupsBefore = listGroups(this);
  },
);

Given(
  'a site with {int} plain server and {int} ready gateways, with a copy of the store from before the first',
  async function (this: CopyWorld, servers: number, gateways: number) {
    await openSite(this, servers);
    this.site.configure();
    this.site.store.saveCopy();
    for (let index = 0; index < gateways; index += 1) {
      await this.site.waitUntilReady(await this.site.startGateway());
    }
  },
);

When(
  'the gateways are killed, and {int} others start as the store is restored from the copy',
  async function (this: CopyWorld, gateways: number) {
    const { site } = this;
    for (const gateway of site.gateways) gateway.signal('SIGKILL');
    await Promise.all(site.gateways.map(({ exited }) => exited));
    site.store.restoreCopy();
    void rewriteEntries(this);
    await Promise.all(Array.from({ length: gateways }, () => site.startGateway()));
  },
);

Then('no engine has joined another replica while its own was open', function (this: CopyWorld) {
  assert.deepEqual(this.breaches, []);
});

When(
  'the store is unavailable for {int} ms and is restored from the copy',
  async function (this: CopyWorld, ms: number) {
    const { store } = this.site;
    store.fault = 'down';
    await sleep(ms);
    store.restoreCopy();
    store.fault = 'none';
    void rewriteEntries(this);
  },
);

When(
  "the store is unavailable for {int} ms and is restored from the copy with the server's new entry",
  async function (this: CopyWorld, ms: number) {
    const { store } = this.site;
    this.expectedServer = firstServer(this);
    store.fault = 'down';
    await sleep(ms);
    store.restoreCopy();
    this.expectedServer.report();
    store.fault = 'none';
  },
);

/** Makes all servers except the silent one rewrite their entries, one after the other. */
async function rewriteEntries({ site, silentServer }: CopyWorld): Promise<void> {
  for (const server of site.servers) {
    await sleep(REWRITE_WITHIN_MS / site.servers.length);
    if (server !== silentServer) server.report();
  }
}

When('a server is added', async function (this: CopyWorld) {
  this.expectedServer = await this.site.addServer({ id: 'plain-new', service: 'app', gapMs: 5 });
});

When('the first server starts again', async function (this: CopyWorld) {
  this.expectedServer = firstServer(this);
  await this.expectedServer.restart();
});

When('the first server writes again', function (this: CopyWorld) {
  this.expectedServer = firstServer(this);
  this.expectedServer.report();
});

When('the operator writes a later version that has the key', function (this: CopyWorld) {
  this.site.configure({ version: 11 });
});

async function expectRequests(world: CopyWorld, withinMs: number): Promise<void> {
  for (const gateway of world.site.gateways) {
    await waitFor(
      'a request there',
      () => isSentTo(world, gateway, world.expectedServer),
      withinMs,
    );
  }
}

Then('every gateway sends to it within {int} ms', async function (this: CopyWorld, ms: number) {
  await expectRequests(this, ms);
});

Then(
  '{int} ms later every gateway sends to it within {int} ms',
  async function (this: CopyWorld, delayMs: number, ms: number) {
    await sleep(delayMs);
    await expectRequests(this, ms);
  },
);

Then(
  'for {int} ms nothing is sent to the first server',
  async function (this: CopyWorld, ms: number) {
    const before = countRequests(this, firstServer(this));
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
      await requestAll(this);
      await sleep(REQUEST_INTERVAL_MS);
    }
    assert.equal(countRequests(this, firstServer(this)) - before, 0);
  },
);

Then('for {int} ms every gateway refuses with 401', async function (this: CopyWorld, ms: number) {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt) {
    const answers = await requestAll(this);
    assert.deepEqual(
      answers.map(({ status }) => status),
      answers.map(() => 401),
    );
    await sleep(REQUEST_INTERVAL_MS);
  }
});

Then(
  'every gateway answers with 200 within {int} ms',
  async function (this: CopyWorld, ms: number) {
    await waitFor(
      'the key to be back',
      async () => (await requestAll(this)).every(({ status }) => status === 200),
      ms,
    );
  },
);

Then(
  'for {int} ms the same {int} groups are open',
  async function (this: CopyWorld, ms: number, groups: number) {
    assert.equal(this.groupsBefore.length, groups);
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
      assert.deepEqual(listGroups(this), this.groupsBefore);
      await sleep(REQUEST_INTERVAL_MS);
    }
  },
);

Then('the store has them in its plans again', function (this: CopyWorld) {
  const planned = ['models.domain-0', 'models.domain-1'].flatMap((name) => {
    const plan = this.site.store.read(PLAN_KIND, name) as
      { groups: { name: string }[] } | undefined;
    return plan?.groups.map((group) => group.name) ?? [];
  });
  assert.deepEqual(planned.sort(), this.groupsBefore);
});

Then(
  'the store names the {int} gateways within {int} ms',
  async function (this: CopyWorld, gateways: number, ms: number) {
    const names = Array.from({ length: gateways }, (_, index) => `gateway-${index}`);
    await waitFor(
      'the entries',
      () => names.every((name) => this.site.store.read(GATEWAY_KIND, name) !== undefined),
      ms,
    );
  },
);

Given(
  'a client of the store that has read an object, and another that overtakes it after the return',
  async function (this: CopyWorld) {
    this.store = new StoreStandIn();
    await this.store.listen();
    this.client = createObjectStore({
      address: this.store.address,
      codec: platform.store,
      timeoutMs: STORE_TIMEOUT_MS,
      clock: createSystemClock(),
      onCall: () => undefined,
      onOutcome: () => undefined,
      onFirstEra: () => undefined,
      onRestore: () => undefined,
    });
    this.store.put('kind', 'object', 'first');
    this.store.saveCopy();
    this.store.put('kind', 'object', 'of the lost history');
    const read = (await this.client.read('kind', 'object'))._unsafeUnwrap();
    this.readRevision = read?.revision ?? 0;
    this.store.restoreCopy();
    this.store.put('kind', 'object', 'of the new history');
    await this.client.list('kind');
  },
);

Then(
  'the write of the first on condition of what it has read changes nothing',
  async function (this: CopyWorld) {
    const written = await this.client.write('kind', 'object', 'overtaken', this.readRevision);
    assert.equal(written._unsafeUnwrap().kind, 'conflict');
    assert.equal(this.store.read('kind', 'object'), 'of the new history');
  },
);

function listGroups({ site }: GatewayWorld): string[] {
  return site
    .listOpen()
    .flatMap(({ membership }) => membership?.name ?? [])
    .sort();
}

Then(
  'the header {string} means the era {int}',
  function (this: CopyWorld, header: string, era: number) {
    const headers = header === '' ? {} : { 'store-era': header };
    assert.equal(platform.store.decodeEra(headers), era);
    assert.equal(platform.store.decodeEra({ 'store-era': [header, header] }), 0);
  },
);
