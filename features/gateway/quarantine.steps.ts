/**
 * Quarantine of requests that crash backend servers.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type RequestOptions, type GatewayPlan, type GatewayProcess } from './site.js';
import type { Arrival } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface QuarantineWorld extends GatewayWorld {
  path: string;
  plans: GatewayPlan[];
}

/** Servers that a request must crash before it is quarantined. */
const QUARANTINE_THRESHOLD = 3;
const CRASHING_BODY = 'ends whoever runs it';
const RESTART_AFTER_MS = 1_500;
const DOMAIN_SIZE = 4;
const GATEWAY_KIND = 'gateways';

const PATHS: Readonly<Record<string, string>> = {
  calls: '/list/slots',
  streams: '/chat/slots',
};

function createAsk(path: string, body: string): RequestOptions {
  return { method: 'POST', path, body };
}

async function addServer(site: Site, index: number, isEngine: boolean): Promise<void> {
  const id = `server-${index}`;
  const domain = `domain-${Math.floor(index / DOMAIN_SIZE)}`;
  const kind = isEngine ? { service: 'models', domain } : { service: 'app' };
  const server = await site.addServer({ id, ...kind });
  server.fault = { kind: 'endUnder', body: CRASHING_BODY, backAfterMs: RESTART_AFTER_MS };
}

/** Arrivals of the crashing request at servers. */
function listCrashingArrivals({ site }: QuarantineWorld): Arrival[] {
  return site.journal.filter(({ body }) => body === CRASHING_BODY);
}

function hasHeardPeers(gateway: GatewayProcess, others: number): boolean {
  return gateway.lines.filter(({ name }) => name === 'peerHeard').length >= others;
}

async function launchAll(world: QuarantineWorld): Promise<void> {
  const { site, plans } = world;
  site.gateways.length = 0;
  for (const gateway of await Promise.all(plans.map((plan) => site.launch(plan)))) {
    await site.waitUntilReady(gateway);
    await waitFor('the gateways to hear each other', () =>
      hasHeardPeers(gateway, plans.length - 1),
    );
  }
}

Given(
  /^a site with (\d+) servers of (calls|streams) that end under one request, and (\d+) ready gateways?$/,
  async function (this: QuarantineWorld, servers: string, what: string, gateways: string) {
    this.path = PATHS[what] ?? '';
    this.site = new Site();
    await this.site.open();
    for (let index = 0; index < Number(servers); index += 1) {
      await addServer(this.site, index, what === 'streams');
    }
    this.site.configure();
    this.plans = Array.from({ length: Number(gateways) }, () => this.site.planGateway());
    await launchAll(this);
    if (what === 'streams') await this.site.waitForOpenGroups(Number(servers) / 2);
  },
);

Given('the servers lose their answers instead', function (this: QuarantineWorld) {
  for (const server of this.site.servers) server.fault = { kind: 'loseAnswer' };
});

When(
  'its caller sends it every {int} ms for {int} ms, at one gateway after the other',
  async function (this: QuarantineWorld, everyMs: number, forMs: number) {
    const { site, path } = this;
    const asked: Promise<unknown>[] = [];
    for (let index = 0; index < forMs / everyMs; index += 1) {
      const gateway = site.gateways[index % site.gateways.length];
      assert.ok(gateway);
      this.lastId = site.nextId();
      asked.push(site.request(gateway, createAsk(path, CRASHING_BODY)));
      await sleep(everyMs);
    }
    await Promise.allSettled(asked);
  },
);

When('the store knows that it is in quarantine', async function (this: QuarantineWorld) {
  await waitFor('the store to hold the quarantine', () =>
    this.plans.some(({ name }) => {
      const entry = this.site.store.read(GATEWAY_KIND, name) as { quarantined: unknown[] };
      return entry.quarantined.length > 0;
    }),
  );
});

When('all gateways are killed and start again', async function (this: QuarantineWorld) {
  const { gateways } = this.site;
  for (const gateway of gateways) gateway.signal('SIGKILL');
  await Promise.all(gateways.map(({ exited }) => exited));
  await launchAll(this);
});

Then(
  'it reached servers at most {int} times later than {int} ms after the third had ended under it',
  function (this: QuarantineWorld, maxSent: number, toleranceMs: number) {
    const arrivals = listCrashingArrivals(this);
    const ends = arrivals.flatMap(({ endedAt }) => endedAt ?? []).sort((a, b) => a - b);
    const third = ends[QUARANTINE_THRESHOLD - 1];
    assert.ok(third !== undefined, `${ends.length} servers ended`);
    const late = arrivals.filter(({ at }) => at > third + toleranceMs);
    this.log(`${late.length} sendings later than that, ${ends.length} servers ended in all`);
    assert.ok(late.length <= maxSent, `${late.length} sendings more, ${ends.length} ends in all`);
  },
);

Then(
  'it is refused as not run, with a time to come back, at each gateway',
  async function (this: QuarantineWorld) {
    for (const gateway of this.site.gateways) {
      const before = listCrashingArrivals(this).length;
      const answer = await this.site.request(gateway, createAsk(this.path, CRASHING_BODY));
      assert.equal(answer.status, 503, answer.body);
      assert.match(answer.body, /quarantined/);
      assert.ok(Number(answer.headers['retry-after']) > 0);
      assert.equal(listCrashingArrivals(this).length, before);
    }
  },
);

Then(
  'another request of the caller is answered at each gateway',
  async function (this: QuarantineWorld) {
    for (const gateway of this.site.gateways) {
      const answer = await waitFor('an answer', async () => {
        const reply = await this.site.request(gateway, createAsk(this.path, 'ordinary'));
        return reply.status === 200 && reply;
      });
      assert.ok(answer.whole);
    }
  },
);

Then('the last of these sendings reached a server', function (this: QuarantineWorld) {
  assert.ok(this.site.listServersThatRan(this.lastId).length > 0);
});
