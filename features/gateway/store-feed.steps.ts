/**
 * Faults of the store around a configuration change, and how soon the change is active.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import { waitFor } from '../support/waiting.js';
import type { Answer, GatewayPlan, GatewayProcess } from './site.js';
import type { StoreFault } from './stand-ins/store.js';
import { openSite, type GatewayWorld } from './world.js';

const LIST = { path: '/list/slots' };
const FAILURE_DOMAINS = ['north', 'south', 'east'];
const SLOW_ANSWER_DELAY_MS = 800;
/** Gateways that start together each follow the store until they have heard of the others. */
const STARTUP_MS = 2_500;

/** Gateways that each reach the store through their own proxy. */
interface FeedWorld extends GatewayWorld {
  plans: GatewayPlan[];
  links: Proxy[];
}

/** Refusals of requests that the configuration does not allow. */
interface RefusalWorld extends GatewayWorld {
  refusals: Refusals[];
}

After(async function (this: Partial<FeedWorld>) {
  for (const link of this.links ?? []) await link.stop();
});

Given(
  'a site with {int} plain server and {int} ready gateways',
  async function (this: GatewayWorld, servers: number, gateways: number) {
    await openSite(this, servers);
    this.site.configure();
    const started = Array.from({ length: gateways }, () => this.site.startGateway());
    await waitUntilConnected(this, await Promise.all(started));
  },
);

Given(
  'a site with {int} plain server and {int} ready gateways in {int} failure domains',
  async function (this: FeedWorld, servers: number, gateways: number, domains: number) {
    await openSite(this, servers);
    this.site.configure();
    await waitUntilConnected(this, await launchWithLinks(this, gateways, domains));
  },
);

/** Starts gateways that each reach the store over a link of their own. */
async function launchWithLinks(
  world: FeedWorld,
  gateways: number,
  domains: number,
): Promise<GatewayProcess[]> {
  world.links = [];
  world.plans = [];
  for (let index = 0; index < gateways; index += 1) {
    const link = await createProxy({ listen: '127.0.0.1:0', target: world.site.store.address });
    world.links.push(link._unsafeUnwrap());
    const failureDomain = FAILURE_DOMAINS[index % domains] ?? '';
    const plan = world.site.planGateway(world.links.at(-1)?.address);
    const seeds = world.plans.slice(0, domains).map(({ peers }) => peers);
    world.plans.push({ ...plan, failureDomain, seeds });
  }
  return Promise.all(world.plans.map((plan) => world.site.launch(plan)));
}

Given(
  'a site with {int} gateways in {int} failure domains, each with one that follows the store',
  async function (this: FeedWorld, gateways: number, domains: number) {
    await openSite(this, 1);
    this.site.configure();
    for (const gateway of await launchWithLinks(this, gateways, domains))
      await this.site.waitUntilReady(gateway);
    await sleep(STARTUP_MS);
    await waitFor(
      'one of each domain to follow',
      () => this.site.gateways.filter(isFollowing).length === domains,
    );
  },
);

When(
  /^(all gateways of one failure domain|all gateways but those that follow|those that follow) (are turned away by|hear nothing of) the store for (\d+) ms$/,
  async function (this: FeedWorld, who: string, how: string, ms: string) {
    const [first] = this.plans;
    const isMeant = (gateway: GatewayProcess, index: number): boolean => {
      if (who === 'all gateways of one failure domain')
        return this.plans[index]?.failureDomain === first?.failureDomain;
      return isFollowing(gateway) === (who === 'those that follow');
    };
    const links = this.site.gateways.flatMap((gateway) => {
      const index = this.plans.findIndex(({ callers }) => callers === gateway.callers);
      return isMeant(gateway, index) ? (this.links[index] ?? []) : [];
    });
    assert.ok(links.length > 0);
    const fault: ProxyControl =
      how === 'hear nothing of' ? { cut: 'both' } : { refuse: true, resetAll: true };
    for (const link of links) await link.control(fault);
    await sleep(Number(ms));
  },
);

async function waitUntilConnected(world: GatewayWorld, gateways: GatewayProcess[]): Promise<void> {
  for (const gateway of gateways) await world.site.waitUntilReady(gateway);
  await waitFor('the gateways to know each other', () =>
    gateways.every(({ lines }) => countLines(lines, 'peerHeard') >= gateways.length - 1),
  );
}

function countLines(lines: GatewayProcess['lines'], event: string): number {
  return lines.filter(({ name }) => name === event).length;
}

When('the store is silent for {int} ms', async function (this: FeedWorld, ms: number) {
  await failStore(this, 'silent', ms);
});

When('the store turns everybody away for {int} ms', async function (this: FeedWorld, ms: number) {
  await failStore(this, 'down', ms);
});

When('the store resets connections for {int} ms', async function (this: FeedWorld, ms: number) {
  await failStore(this, 'reset', ms);
});

When('the store drops its history for {int} ms', async function (this: FeedWorld, ms: number) {
  this.site.store.compact();
  await sleep(ms);
  this.site.store.compact();
});

When(
  'the store is cut off from half of them for {int} ms',
  async function (this: FeedWorld, ms: number) {
    await failLinks(halfOf(this.links), { cut: 'both' }, { cut: 'none' }, ms);
  },
);

When(
  'the store turns half of them away for {int} ms',
  async function (this: FeedWorld, ms: number) {
    await failLinks(halfOf(this.links), { refuse: true, resetAll: true }, { refuse: false }, ms);
  },
);

When('the store can not be heard for {int} ms', async function (this: FeedWorld, ms: number) {
  await failLinks(this.links, { cut: 'toSource' }, { cut: 'none' }, ms);
});

When('the store does not hear for {int} ms', async function (this: FeedWorld, ms: number) {
  await failLinks(this.links, { cut: 'toTarget' }, { cut: 'none' }, ms);
});

When('the store answers 800 ms late for {int} ms', async function (this: FeedWorld, ms: number) {
  await failLinks(
    this.links,
    { toSource: { delayMs: SLOW_ANSWER_DELAY_MS } },
    { toSource: { delayMs: 0 } },
    ms,
  );
});

When(
  'the store is silent, and half of them start anew for {int} ms',
  async function (this: FeedWorld, ms: number) {
    const { site } = this;
    site.store.fault = 'silent';
    const stopping = halfOf(site.gateways);
    for (const gateway of stopping) gateway.signal('SIGKILL');
    await Promise.all(stopping.map(({ exited }) => exited));
    site.gateways.splice(
      0,
      site.gateways.length,
      ...site.gateways.filter((g) => !stopping.includes(g)),
    );
    await Promise.all([sleep(ms), ...halfOf(this.plans).map((plan) => site.launch(plan))]);
    site.store.fault = 'none';
  },
);

async function failStore({ site }: GatewayWorld, fault: StoreFault, ms: number): Promise<void> {
  site.store.fault = fault;
  await sleep(ms);
  site.store.fault = 'none';
}

async function failLinks(
  links: readonly Proxy[],
  fault: ProxyControl,
  end: ProxyControl,
  ms: number,
): Promise<void> {
  for (const link of links) await link.control(fault);
  await sleep(ms);
  for (const link of links) await link.control(end);
}

function halfOf<Item>(items: readonly Item[]): Item[] {
  return items.slice(0, items.length / 2);
}

When('watches of the store are never answered', function (this: GatewayWorld) {
  this.site.store.fault = 'silentWatches';
});

When(/^the operator revokes the key(?: as the store returns)?$/, function (this: GatewayWorld) {
  this.site.configure({ version: 9, keys: ['another-key'] });
  this.acknowledgedAt = performance.now();
});

Then(
  'every gateway refuses with 401 within {int} ms of the acknowledgement',
  async function (this: GatewayWorld, ms: number) {
    const rejections = await Promise.all(
      this.site.gateways.map((gateway) => waitForRejection(this, gateway)),
    );
    const worst = Math.max(...rejections.map(({ afterMs }) => afterMs));
    const report = `in force everywhere after ${worst} ms: ${JSON.stringify(rejections)}`;
    this.log(report);
    assert.ok(worst <= ms, report);
  },
);

/** When a gateway rejected the key; distinguishes a late gateway from a slow request. */
interface RejectionTiming {
  afterMs: number;
  /** When its log line on the new configuration was read. */
  loggedAfterMs: number;
  longestRequestMs: number;
}

async function waitForRejection(
  { site, acknowledgedAt }: GatewayWorld,
  gateway: GatewayProcess,
): Promise<RejectionTiming> {
  let longestRequestMs = 0;
  await waitFor('the rejection', async () => {
    const sentAt = performance.now();
    const { status } = await site.request(gateway, LIST);
    longestRequestMs = Math.max(longestRequestMs, Math.round(performance.now() - sentAt));
    return status === 401;
  });
  const afterMs = Math.round(performance.now() - acknowledgedAt);
  const activation = gateway.lines.findLast(({ name }) => name === 'servingConfigurationTaken');
  const loggedAfterMs = Math.round(Number(activation?.heardAt) - acknowledgedAt);
  return { afterMs, loggedAfterMs, longestRequestMs };
}

Then(
  "the proof of every gateway's configuration stays younger than {int} ms for {int} ms",
  async function (this: GatewayWorld, youngerMs: number, forMs: number) {
    const endAt = performance.now() + forMs;
    while (performance.now() < endAt) {
      for (const gateway of this.site.gateways) {
        const { body } = await this.site.request(gateway, { path: '/metrics' }, gateway.metrics);
        const age = /belief_age_seconds\{subject="configuration".*\} (\S+)/.exec(body)?.[1];
        assert.ok(Number(age) * 1_000 < youngerMs, `the proof is ${String(age)} s old`);
      }
      await sleep(100);
    }
  },
);

Then('one gateway of each failure domain follows the store', function (this: FeedWorld) {
  const domains = new Set(this.plans.map(({ failureDomain }) => failureDomain));
  assert.equal(this.site.gateways.filter(isFollowing).length, domains.size);
});

Given(
  'one gateway of each failure domain has come to follow the store',
  async function (this: FeedWorld) {
    await waitFor(
      'the others to stop following',
      () =>
        this.site.gateways.filter(isFollowing).length ===
        new Set(this.plans.map(({ failureDomain }) => failureDomain)).size,
    );
  },
);

function isFollowing({ lines }: GatewayProcess): boolean {
  return countLines(lines, 'followingBegan') > countLines(lines, 'followingEnded');
}

When('one that does not follow is cut off from the store', async function (this: FeedWorld) {
  const gateway = this.site.gateways.find((one) => !isFollowing(one));
  assert.ok(gateway);
  this.gateway = gateway;
  const index = this.plans.findIndex(({ callers }) => callers === gateway.callers);
  await this.links[index]?.control({ cut: 'both' });
});

Then(
  'it knows within {int} ms that it does not reach the store',
  async function (this: FeedWorld, ms: number) {
    const { lines } = this.gateway;
    await waitFor('the loss', () => countLines(lines, 'storeLost') > 0, ms);
  },
);

When('the store drops its history and the first server goes', function (this: FeedWorld) {
  const [server] = this.site.servers;
  assert.ok(server);
  server.crash();
  this.site.store.remove('servers', server.options.id);
  this.site.store.compact();
});

Then(
  'every gateway knows within {int} ms that it has gone',
  async function (this: FeedWorld, ms: number) {
    await waitFor(
      'all to know',
      () => this.site.gateways.every(({ lines }) => countLines(lines, 'serverGone') > 0),
      ms,
    );
  },
);

interface Refusals {
  unknownRoute: Answer;
  unknownKey: Answer;
}

async function askForRefusals({ site }: GatewayWorld): Promise<Refusals[]> {
  return Promise.all(
    site.gateways.map(async (gateway) => ({
      unknownRoute: await site.request(gateway, { path: '/nowhere/x' }),
      unknownKey: await site.request(gateway, {
        ...LIST,
        headers: { Authorization: 'Bearer unknown' },
      }),
    })),
  );
}

When(
  'the store is silent for {int} ms while requests come without a known route and key',
  async function (this: RefusalWorld, ms: number) {
    this.site.store.fault = 'silent';
    await sleep(ms);
    this.refusals = await askForRefusals(this);
    this.site.store.fault = 'none';
  },
);

Then(
  /^they are refused with (404 and 401|503 and a time to return), and from the store's return on with 404 and 401 again$/,
  async function (this: RefusalWorld, statuses: string) {
    for (const { unknownRoute, unknownKey } of this.refusals) {
      if (statuses === '404 and 401') {
        assert.deepEqual([unknownRoute.status, unknownKey.status], [404, 401]);
        continue;
      }
      for (const { status, headers } of [unknownRoute, unknownKey]) {
        assert.equal(status, 503);
        assert.ok(Number(headers['retry-after']) > 0);
      }
    }
    await waitFor('definite refusals', async () => {
      const refusals = await askForRefusals(this);
      return refusals.every(
        ({ unknownRoute, unknownKey }) => unknownRoute.status === 404 && unknownKey.status === 401,
      );
    });
  },
);
