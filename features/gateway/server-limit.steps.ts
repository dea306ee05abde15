/**
 * Request rates that backend servers name, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer, type GatewayProcess } from './site.js';
import type { Arrival, EngineStandIn } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

/** A site in which one server is observed. */
export interface ServerWorld extends GatewayWorld {
  path: string;
  observed: EngineStandIn;
  sentFrom: number;
  replies: Promise<Answer>[];
  /** The gateway that each request was sent to, by the id of the request. */
  senders: Map<string, GatewayProcess>;
}

const MS_PER_SECOND = 1_000;
/** Requests that a server gets at most beyond one and a half times its limit. */
const SLACK = 5;

Given(
  /^a site with (\d+) servers of (calls|streams) and (\d+) ready gateways$/,
  async function (this: ServerWorld, servers: string, what: string, gateways: string) {
    this.replies = [];
    this.senders = new Map();
    this.path = what === 'calls' ? '/list/x' : '/chat/x';
    this.site = new Site();
    await this.site.open();
    for (let index = 0; index < Number(servers); index += 1) {
      const kind = what === 'calls' ? { service: 'app' } : { service: 'models', domain: 'domain' };
      await this.site.addServer({ id: `server-${index}`, ...kind });
    }
    this.site.configure();
    const plans = Array.from({ length: Number(gateways) }, () => this.site.planGateway());
    const started = await Promise.all(plans.map((plan) => this.site.launch(plan)));
    for (const gateway of started) await this.site.waitUntilReady(gateway);
    await waitFor('the gateways to hear each other', () =>
      started.every(({ lines }) => countHeard(lines) >= plans.length - 1),
    );
    if (what === 'streams') await this.site.waitForOpenGroups(Number(servers) / 2);
  },
);

function countHeard(lines: readonly Readonly<Record<string, unknown>>[]): number {
  return lines.filter(({ name }) => name === 'peerHeard').length;
}

Given(
  'the first of them that serves names a limit of {int} request(s) a second',
  function (this: ServerWorld, limit: number) {
    const [first = this.site.servers[0]] = this.site.listOpen();
    assert.ok(first);
    this.observed = first;
    first.namedLimit = String(limit);
  },
);

/** Sends requests to the gateways in turn. */
export async function sendRequests(
  world: ServerWorld,
  perSecond: number,
  seconds: number,
): Promise<void> {
  world.sentFrom = performance.now();
  for (let sent = 0; sent < perSecond * seconds; sent += 1) {
    const dueAt = world.sentFrom + (sent * MS_PER_SECOND) / perSecond;
    await sleep(Math.max(0, dueAt - performance.now()));
    const gateway = world.site.gateways[sent % world.site.gateways.length];
    if (gateway) {
      world.senders.set(world.site.nextId(), gateway);
      const reply = world.site.request(gateway, { path: world.path });
      // Requests that are still in flight when the scenario fails are cut off.
      reply.catch(() => undefined);
      world.replies.push(reply);
    }
  }
}

When(
  'callers send {int} requests a second to the gateways in turn for {int} s',
  async function (this: ServerWorld, perSecond: number, seconds: number) {
    await sendRequests(this, perSecond, seconds);
  },
);

When('it names no limit any more', function (this: ServerWorld) {
  this.observed.namedLimit = undefined;
});

/** Requests that the observed server received since `after`. */
export function listArrivals({ site, observed }: ServerWorld, after: number): Arrival[] {
  return site.journal.filter(({ server, at }) => server === observed.options.id && at >= after);
}

Then(
  'from {int} s on it gets at most {int} requests in any {int} s',
  function (this: ServerWorld, from: number, most: number, seconds: number) {
    assert.equal(most, 1.5 * seconds * Number(this.observed.namedLimit) + SLACK);
    const times = listArrivals(this, this.sentFrom + from * MS_PER_SECOND).map(({ at }) => at);
    const counts = times.map(
      (start) => times.filter((at) => at >= start && at < start + seconds * MS_PER_SECOND).length,
    );
    assert.ok(Math.max(0, ...counts) <= most, `it got ${Math.max(...counts)}`);
  },
);

Then('it still gets requests', function (this: ServerWorld) {
  const [first] = listArrivals(this, this.sentFrom);
  assert.ok(first && listArrivals(this, first.at + MS_PER_SECOND).length > 0);
});

Then('all requests were answered', async function (this: ServerWorld) {
  const answers = await Promise.all(this.replies);
  const failed = answers.filter(({ status, whole }) => status !== 200 || !whole);
  assert.equal(failed.length, 0, `${failed.length} of ${answers.length}`);
});

Then(
  'it gets {int} of {int} requests of callers within {int} s again',
  async function (this: ServerWorld, least: number, requests: number, seconds: number) {
    const after = performance.now();
    await sendRequests(this, requests / seconds, seconds);
    await Promise.all(this.replies);
    const { length } = listArrivals(this, after);
    assert.ok(length >= least, `it got ${length}`);
  },
);

When('callers send {int} requests at once', function (this: ServerWorld, requests: number) {
  const [gateway] = this.site.gateways;
  assert.ok(gateway);
  for (let sent = 0; sent < requests; sent += 1)
    this.replies.push(this.site.request(gateway, { path: this.path }));
});
