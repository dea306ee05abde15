/**
 * Evacuations of failure domains, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RpcListener } from '../../src/adapters/peers/index.js';
import type { EvacuationState } from '../../src/controllers/evacuation/index.js';
import type { Digest } from '../../src/controllers/peering/index.js';
import {
  createPeerClient,
  createPeerListener,
  type PeerClient,
} from '../../src/gateway/peers/rpc.js';
import { encodeRelayOrder } from '../../src/gateway/relay/relay-messages.js';
import { nextAddress } from '../support/ports.js';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer, type GatewayPlan, type GatewayProcess } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { EngineStandIn, EngineFault } from './stand-ins/engine.js';
import type { StoreFault } from './stand-ins/store.js';
import type { GatewayWorld } from './world.js';

interface EvacuatingWorld extends GatewayWorld {
  plan: GatewayPlan;
  /** Gateways that follow evacuations. */
  followers: GatewayProcess[];
  /** Orders of each engine before the event of the scenario. */
  ordersBefore: Map<EngineStandIn, number>;
  restarted: EngineStandIn[];
  otherHub: RpcListener;
  peerClient: PeerClient;
  /** What the other hub was told apart from exchanges. */
  notices: EvacuationState[];
}

const KIND = 'evacuations';
const EVACUATE_MS = 5_000;
const LIST = { path: '/list/x' };
/** Nothing listens there. */
const NO_STORE = '127.0.0.1:1';
const NO_FAULT: EngineFault = { kind: 'none' };

function parseNames(text: string): string[] {
  return text.split(',');
}

async function openSite(world: EvacuatingWorld, domains: string): Promise<void> {
  world.site = new Site();
  world.followers = [];
  await world.site.open();
  for (const zone of parseNames(domains))
    await world.site.addServer({ id: `plain-${zone}`, service: 'app', zone });
  world.site.configure();
}

async function startGateway(world: EvacuatingWorld, evacuateMs?: number): Promise<void> {
  world.plan = {
    ...world.site.planGateway(),
    ...(evacuateMs !== undefined && { evacuateMs }),
  };
  world.gateway = await world.site.launch(world.plan);
  if (evacuateMs !== undefined) world.followers.push(world.gateway);
}

/** Whether the last that `gateway` logged of the failure domain is that it is evacuated. */
function isKnownEvacuated({ lines }: GatewayProcess, domain: string): boolean {
  const last = lines.findLast(
    ({ name, failureDomain }) =>
      (name === 'evacuationBegan' || name === 'evacuationEnded') && failureDomain === domain,
  );
  return last?.name === 'evacuationBegan';
}

async function waitUntilKnown(
  { followers }: EvacuatingWorld,
  domain: string,
  isEvacuated: boolean,
): Promise<void> {
  await waitFor(`all gateways to know of ${domain}`, () =>
    followers.every((gateway) => isKnownEvacuated(gateway, domain) === isEvacuated),
  );
}

function hasLogged({ lines }: GatewayProcess, event: string): boolean {
  return lines.some(({ name }) => name === event);
}

/** Asks the current gateway; returns the answer and the servers that the request reached. */
async function ask(world: EvacuatingWorld): Promise<{ answer: Answer; reached: string[] }> {
  const { site, gateway } = world;
  world.lastId = site.nextId();
  const answer = await site.request(gateway, LIST);
  const arrivals = site.journal.filter(({ id }) => id === world.lastId);
  return { answer, reached: arrivals.map(({ server }) => server) };
}

Given(
  'a gateway that follows evacuations and plain servers in {string}',
  async function (this: EvacuatingWorld, domains: string) {
    await openSite(this, domains);
    await startGateway(this, EVACUATE_MS);
    await this.site.waitUntilReady(this.gateway);
  },
);

Given(
  'a gateway that does not follow evacuations and plain servers in {string}',
  async function (this: EvacuatingWorld, domains: string) {
    await openSite(this, domains);
    await startGateway(this);
    await this.site.waitUntilReady(this.gateway);
  },
);

Given(
  'plain servers in {string} and a store that does not answer for evacuations',
  async function (this: EvacuatingWorld, domains: string) {
    await openSite(this, domains);
    this.site.store.silentKinds.add(KIND);
  },
);

Given(
  'a gateway that follows evacuations and {int} engines each in {string} with open replicas',
  async function (this: EvacuatingWorld, engines: number, domains: string) {
    await openSite(this, domains);
    for (const zone of parseNames(domains)) {
      for (let index = 0; index < engines; index += 1) {
        const id = `engine-${zone}-${index}`;
        await this.site.addServer({ id, service: 'models', zone, domain: `fabric-${zone}` });
      }
    }
    await startGateway(this, EVACUATE_MS);
    await this.site.waitForOpenGroups((parseNames(domains).length * engines) / 2);
  },
);

Given('another gateway that does not follow evacuations', async function (this: EvacuatingWorld) {
  const plan = { ...this.site.planGateway(), seeds: [this.plan.peers] };
  await this.site.waitUntilReady(await this.site.launch(plan));
  await waitFor('the first to hear of it', () => hasLogged(this.gateway, 'peerHeard'));
});

Given('{string} has/have been evacuated', function (this: EvacuatingWorld, domains: string) {
  for (const domain of parseNames(domains)) this.site.store.put(KIND, domain, { reason: 'test' });
});

When(
  '{string} is evacuated and the gateways know it',
  async function (this: EvacuatingWorld, domain: string) {
    this.site.store.put(KIND, domain, {});
    await waitUntilKnown(this, domain, true);
  },
);

When(
  'an object {string} that can not be decoded is put and the gateways know it',
  async function (this: EvacuatingWorld, domain: string) {
    this.site.store.putRaw(KIND, domain, { metadata: { name: domain, revision: 'x' }, spec: 3 });
    await waitUntilKnown(this, domain, true);
  },
);

When(
  'the evacuation of {string} ends and the gateways know it',
  async function (this: EvacuatingWorld, domain: string) {
    this.site.store.remove(KIND, domain);
    await waitUntilKnown(this, domain, false);
  },
);

When(
  'the store is {word} and the evacuation of {string} ends',
  async function (this: EvacuatingWorld, fault: StoreFault, domain: string) {
    this.site.store.fault = fault;
    // Ends waiting watches, which would still bring the change.
    this.site.store.compact();
    await waitFor('the gateway to notice', () => hasLogged(this.gateway, 'storeLost'));
    this.site.store.remove(KIND, domain);
  },
);

When(
  'the store answers and the gateways know that {string} is not evacuated',
  async function (this: EvacuatingWorld, domain: string) {
    this.site.store.fault = 'none';
    await waitUntilKnown(this, domain, false);
  },
);

When('the store is copied', function (this: EvacuatingWorld) {
  this.site.store.saveCopy();
});

When(
  /^the store is restored and the gateways know that "(.+)" is (not )?evacuated$/,
  async function (this: EvacuatingWorld, domain: string, not: string | null) {
    this.site.store.restoreCopy();
    await waitUntilKnown(this, domain, not === null);
  },
);

When(
  'a gateway with a bound of {int} ms starts and has the configuration and the servers',
  async function (this: EvacuatingWorld, evacuateMs: number) {
    await startGateway(this, evacuateMs);
    await waitFor('the configuration and the servers', () =>
      ['servingConfigurationTaken', 'serverAppeared'].every((name) =>
        hasLogged(this.gateway, name),
      ),
    );
  },
);

When('the store answers for evacuations', function (this: EvacuatingWorld) {
  this.site.store.silentKinds.clear();
});

When('another gateway starts that only hears of the first', async function (this: EvacuatingWorld) {
  const seeds = [this.plan.peers];
  const plan = { ...this.site.planGateway(NO_STORE), seeds, evacuateMs: EVACUATE_MS };
  this.gateway = await this.site.launch(plan);
  this.followers.push(this.gateway);
});

When('an engine in each failure domain restarts', async function (this: EvacuatingWorld) {
  const engines = this.site.servers.filter(({ membership }) => membership !== undefined);
  this.ordersBefore = new Map(engines.map((engine) => [engine, engine.orders.length]));
  const zones = [...new Set(engines.map(({ options }) => options.zone))];
  this.restarted = zones.flatMap(
    (zone) =>
      engines.find(({ options, membership }) => options.zone === zone && membership?.rank === 1) ??
      [],
  );
  assert.equal(this.restarted.length, zones.length);
  for (const engine of this.restarted) {
    await engine.restart();
    this.ordersBefore.set(engine, 0);
  }
});

Then(
  '{int} requests are answered in {string} only',
  async function (this: EvacuatingWorld, count: number, domain: string) {
    for (let index = 0; index < count; index += 1) {
      const { answer, reached } = await ask(this);
      assert.equal(answer.status, 200, answer.body);
      assert.deepEqual(reached, [`plain-${domain}`]);
    }
  },
);

Then('{string} gets requests again', async function (this: EvacuatingWorld, domain: string) {
  await waitFor('a request', async () => (await ask(this)).reached.includes(`plain-${domain}`));
});

Then('both get requests', async function (this: EvacuatingWorld) {
  for (const server of this.site.servers) {
    for (const other of this.site.servers)
      other.fault = other === server ? NO_FAULT : { kind: 'refuse' };
    await waitFor('a request', async () => (await ask(this)).reached.includes(server.options.id));
  }
});

Then(
  'a request is refused as {string} without having waited',
  async function (this: EvacuatingWorld, kind: string) {
    const { answer, reached } = await ask(this);
    assert.equal(answer.status, 503);
    assert.deepEqual(reached, []);
    assert.ok(answer.body.includes(kind), answer.body);
    const isEnd = ({ name, request }: GatewayProcess['lines'][number]): boolean =>
      name === 'requestEnded' && request === this.lastId;
    await waitFor('its end in the log', () => this.gateway.lines.some(isEnd));
    const own = this.gateway.lines.filter(({ request }) => request === this.lastId);
    assert.ok(!own.some(({ name }) => name === 'requestWaits'));
  },
);

Then('it is not ready and a request to it does not run', async function (this: EvacuatingWorld) {
  const ready = await this.site.request(this.gateway, { path: '/readyz' }, this.gateway.readiness);
  assert.equal(ready.status, 503);
  const { answer, reached } = await ask(this);
  assert.equal(answer.status, 503);
  assert.deepEqual(reached, []);
});

Then('the gateway becomes ready', async function (this: EvacuatingWorld) {
  await this.site.waitUntilReady(this.gateway);
});

Then('it has logged {string}', async function (this: EvacuatingWorld, event: string) {
  await waitFor(event, () => hasLogged(this.gateway, event));
});

/** Orders since the event of the scenario to the engines in a failure domain. */
function countOrders({ ordersBefore }: EvacuatingWorld, zone: string): number {
  return [...ordersBefore]
    .filter(([{ options }]) => options.zone === zone)
    .reduce((sum, [{ orders }, before]) => sum + orders.length - before, 0);
}

Then(
  'the replica in {string} is formed again and no engine in {string} got an order',
  async function (this: EvacuatingWorld, formed: string, evacuated: string) {
    const inFormed = this.restarted.find(({ options }) => options.zone === formed);
    await waitFor('a new replica', () =>
      ['open', 'ready'].includes(inFormed?.membership?.state ?? ''),
    );
    assert.equal(countOrders(this, evacuated), 0);
  },
);

Then('an open replica remains in {string}', function (this: EvacuatingWorld, zone: string) {
  assert.ok(this.site.listOpen().some(({ options }) => options.zone === zone));
});

Then(
  'the engine that restarted in {string} gets orders again',
  async function (this: EvacuatingWorld, zone: string) {
    const engine = this.restarted.find(({ options }) => options.zone === zone);
    await waitFor('an order', () => (engine?.orders.length ?? 0) > 0);
  },
);

/** Of a gateway in a failure domain of its own, which is therefore its hub. */
function createForeignDigest(name: string, address: string): Digest {
  return {
    name,
    address,
    failureDomain: 'elsewhere',
    incarnation: '1',
    storeReachable: false,
    stopping: false,
    hasServed: false,
    configurationVersion: 0,
    fleetRevision: 0,
    load: [],
    suspicions: [],
  };
}

Given('the hub of another failure domain', async function (this: EvacuatingWorld) {
  const address = nextAddress();
  const digest = createForeignDigest('another-hub', address);
  this.notices = [];
  this.otherHub = createPeerListener(address, {
    exchange: () => digest,
    catchUp: () => ({}),
    applyFleetUpdate: () => undefined,
    applySuspicions: () => undefined,
    applyQuarantineNews: () => undefined,
    applyEvacuations: (state) => {
      this.notices.push(state);
    },
    applyConfigurationNotice: () => undefined,
    reportFreshness: () => digest,
    checkServer: () => Promise.resolve({ kind: 'unknown' }),
  });
  (await this.otherHub.listen())._unsafeUnwrap();
  this.peerClient = createPeerClient();
  await this.peerClient.exchange(this.plan.peers, digest);
});

After(async function (this: Partial<EvacuatingWorld>) {
  await this.peerClient?.close();
  await this.otherHub?.close();
});

Then('the other hub is told of it apart from exchanges', async function (this: EvacuatingWorld) {
  await waitFor('a notice', () => this.notices.some(({ domains }) => domains.includes('north')));
});

When(
  'the other hub tells apart from exchanges that {string} is evacuated',
  async function (this: EvacuatingWorld, domain: string) {
    const known = this.notices.at(-1);
    assert.ok(known);
    const state = { revision: known.revision + 1, domains: [...known.domains, domain] };
    await this.peerClient.sendEvacuations(this.plan.peers, state);
  },
);

Then(
  'the gateways know that {string} is evacuated',
  async function (this: EvacuatingWorld, domain: string) {
    await waitUntilKnown(this, domain, true);
  },
);

async function askToRelay(world: EvacuatingWorld, domain: string): Promise<IncomingMessage> {
  const [host, port] = world.plan.peers.split(':');
  const requestId = world.site.nextId();
  const order = { server: `plain-${domain}`, requestId, requiresNewConnection: false };
  const own = Object.entries(exampleHeaders(requestId)).flat();
  const headers = [...encodeRelayOrder(order), ...own];
  const outgoing = httpRequest({ host, port, method: 'GET', path: LIST.path, headers });
  outgoing.end();
  const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
  incoming.resume();
  return incoming;
}

Then(
  'the first gateway refuses to relay to {string} and relays to {string}',
  async function (this: EvacuatingWorld, evacuated: string, other: string) {
    const refused = await askToRelay(this, evacuated);
    assert.equal(refused.statusCode, 502);
    assert.match(String(refused.headers['yuccasail-relay']), /unavailable.*evacuated/);
    assert.equal((await askToRelay(this, other)).statusCode, 200);
    const reached = new Set(this.site.journal.map(({ server }) => server));
    assert.deepEqual([...reached], [`plain-${other}`]);
  },
);

Then(
  'it has not called the store for evacuations, and its digests have none',
  async function (this: EvacuatingWorld) {
    assert.ok(!this.site.store.calledKinds.has(KIND));
    const client = createPeerClient();
    const digest = await client.exchange(this.plan.peers, {
      ...createForeignDigest('asks', NO_STORE),
      evacuations: { revision: 9, domains: ['north', 'south'], ageMs: 0 },
    });
    await client.close();
    assert.ok(!('evacuations' in digest));
    const { answer } = await ask(this);
    assert.equal(answer.status, 200);
  },
);
