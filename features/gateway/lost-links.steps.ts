/**
 * Gateways as processes that lose their links to backend servers.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { explainRequest } from '../../src/cli/explain/findings.js';
import { parseLines } from '../../src/cli/explain/log-lines.js';
import type { LinkLoss } from './gateway-links.js';
import { LinkedSite } from './linked-site.js';
import type { Answer, GatewayProcess } from './site.js';
import type { GatewayWorld } from './world.js';

/** A request of a caller, sent once. */
interface Attempt {
  id: string;
  path: string;
  gateway: GatewayProcess;
  /** Time since the last event of the scenario. */
  afterMs: number;
  tookMs: number;
  /** Undefined when the connection closed without an answer. */
  answer: Answer | undefined;
}

export interface LinkWorld extends GatewayWorld {
  site: LinkedSite;
  /** The attempts since the last event. */
  attempts: Attempt[];
  earlier: Attempt[];
  cutGateways: GatewayProcess[];
  eventAt: number;
}

const MS_PER_SECOND = 1_000;
const SEND_INTERVAL_MS = 15;
const ENGINES = 8;
const PLAIN_SERVERS = 3;
const EVENTS = 10;
const PATHS = ['/list/x', '/check/x', '/chat/x', '/chat/y'];
/** Requests that may fail at a gateway for reasons of their own, such as a retry that is denied. */
const SERVED_SHARE = 0.9;

Given(
  'a site with {int} gateways that each have links of their own',
  async function (this: LinkWorld, gateways: number) {
    this.site = new LinkedSite(gateways);
    this.attempts = [];
    this.earlier = [];
    this.cutGateways = [];
    await this.site.open();
    for (let index = 0; index < ENGINES; index += 1) {
      const domain = `fabric-${index % 2}`;
      await this.site.addServer({
        id: `engine-${index}`,
        service: 'models',
        domain,
        events: EVENTS,
      });
    }
    for (let index = 0; index < PLAIN_SERVERS; index += 1)
      await this.site.addServer({ id: `plain-${index}`, service: 'app' });
    this.site.configure();
    await this.site.startGateways();
    await this.site.waitForOpenGroups(ENGINES / 2);
  },
);

/** Sends one request and records its answer. */
export async function send(world: LinkWorld, gateway: GatewayProcess, path: string): Promise<void> {
  const sentAt = performance.now();
  const id = world.site.nextId();
  const { eventAt } = world;
  const answer = await world.site.request(gateway, { path }).catch(() => undefined);
  const tookMs = performance.now() - sentAt;
  world.attempts.push({ id, path, gateway, afterMs: sentAt - eventAt, tookMs, answer });
}

/** Sends requests of all kinds to the gateways in turn, and waits for their answers. */
async function sendInTurn(world: LinkWorld, seconds: number): Promise<void> {
  world.earlier.push(...world.attempts);
  world.attempts = [];
  world.eventAt = performance.now();
  const { gateways } = world.site;
  const pending: Promise<void>[] = [];
  const count = (seconds * MS_PER_SECOND) / SEND_INTERVAL_MS;
  for (let sent = 0; sent < count; sent += 1) {
    await sleep(Math.max(0, world.eventAt + sent * SEND_INTERVAL_MS - performance.now()));
    const gateway = gateways[sent % gateways.length];
    const path = PATHS[Math.floor(sent / gateways.length) % PATHS.length];
    if (gateway && path) pending.push(send(world, gateway, path));
  }
  await Promise.all(pending);
}

When(
  'callers send requests of all kinds to the gateways in turn for {int} s',
  async function (this: LinkWorld, seconds: number) {
    await sendInTurn(this, seconds);
  },
);

When(
  /^(\d+) gateways lose all links, (silent|reset|refused), while callers go on for (\d+) s$/,
  async function (this: LinkWorld, count: string, loss: LinkLoss, seconds: string) {
    this.cutGateways = this.site.gateways.slice(0, Number(count));
    await this.site.cut(Number(count), loss);
    await sendInTurn(this, Number(seconds));
  },
);

When(
  /^(\d+) gateways lose the links to "([^"]+)", (silent|reset|refused), while callers go on for (\d+) s$/,
  async function (
    this: LinkWorld,
    count: string,
    service: string,
    loss: LinkLoss,
    seconds: string,
  ) {
    this.cutGateways = this.site.gateways.slice(0, Number(count));
    await this.site.cut(Number(count), loss, service);
    await sendInTurn(this, Number(seconds));
  },
);

When(
  'the links are back while callers go on for {int} s',
  async function (this: LinkWorld, seconds: number) {
    await this.site.restore();
    await sendInTurn(this, seconds);
  },
);

When(
  'a server of each service is silent for a second while callers go on for {int} s',
  async function (this: LinkWorld, seconds: number) {
    const [plain] = this.site.servers.filter(({ options }) => options.domain === undefined);
    const [engine] = this.site.listOpen();
    const silent = [plain, engine].filter((server) => server !== undefined);
    for (const server of silent) server.fault = { kind: 'stall' };
    await Promise.all([
      sendInTurn(this, seconds),
      sleep(MS_PER_SECOND).then(() => {
        for (const server of silent) server.fault = { kind: 'none' };
      }),
    ]);
  },
);

function isServed({ answer }: Attempt): boolean {
  return answer?.status === 200 && answer.whole;
}

function servedShare(attempts: readonly Attempt[]): number {
  assert.ok(attempts.length > 0);
  return attempts.filter(isServed).length / attempts.length;
}

function listFrom({ attempts }: LinkWorld, seconds: number): Attempt[] {
  return attempts.filter(({ afterMs }) => afterMs >= seconds * MS_PER_SECOND);
}

function isCut({ cutGateways }: LinkWorld, { gateway }: Attempt): boolean {
  return cutGateways.includes(gateway);
}

Then(
  'from {int} s on the gateways with lost links serve 9 in 10 of what the others serve at the first attempt',
  function (this: LinkWorld, from: number) {
    const attempts = listFrom(this, from);
    const others = servedShare(attempts.filter((attempt) => !isCut(this, attempt)));
    for (const gateway of this.cutGateways) {
      const share = servedShare(attempts.filter((attempt) => attempt.gateway === gateway));
      assert.ok(share >= SERVED_SHARE * others, `${share} at a gateway with lost links, ${others}`);
    }
  },
);

Then('the others serve 9 in 10 of their requests', function (this: LinkWorld) {
  const share = servedShare(this.attempts.filter((attempt) => !isCut(this, attempt)));
  assert.ok(share >= SERVED_SHARE, `they served ${share}`);
});

Then(
  'from {int} s on all gateways serve 9 in 10 of their requests',
  function (this: LinkWorld, from: number) {
    const share = servedShare(listFrom(this, from));
    assert.ok(share >= SERVED_SHARE, `they served ${share}`);
  },
);

Then('no call ran twice, and none that was refused has run', function (this: LinkWorld) {
  for (const { id, path, answer } of [...this.earlier, ...this.attempts]) {
    if (path !== '/check/x') continue;
    const runs = this.site.listServersThatRan(id).length;
    assert.ok(runs <= 1, `${id} ran ${runs} times`);
    if (answer?.status === 503) assert.equal(runs, 0, `${id} was refused and ran`);
  }
});

/** The body of each stream. */
export function wholeStream(): string {
  return Array.from({ length: EVENTS }, (_, index) => index + 1)
    .map((event) => `id: ${event}\ndata: token ${event}\n\n`)
    .join('');
}

Then('each stream that was answered is whole', function (this: LinkWorld) {
  for (const attempt of this.attempts) {
    if (!attempt.path.startsWith('/chat/') || !isServed(attempt)) continue;
    assert.equal(attempt.answer?.body, wholeStream());
  }
});

function listRelayed({ site }: LinkWorld, since: number): Readonly<Record<string, unknown>>[] {
  const lines = site.gateways.flatMap((gateway) => gateway.lines);
  return lines.filter(({ name, heardAt }) => name === 'requestRelayed' && Number(heardAt) >= since);
}

Then(
  'from {int} s on all requests go over links of their own gateway',
  function (this: LinkWorld, from: number) {
    const relayed = listRelayed(this, this.eventAt + from * MS_PER_SECOND);
    assert.equal(relayed.length, 0);
  },
);

Then(
  'only requests to {string} go over links of other gateways',
  function (this: LinkWorld, service: string) {
    const ids = this.site.servers.filter(({ options }) => options.service === service);
    const relayed = listRelayed(this, this.eventAt);
    const known = new Set<unknown>(ids.map(({ options }) => options.id));
    assert.ok(relayed.length > 0);
    assert.ok(relayed.every(({ server }) => known.has(server)));
  },
);

Then('no sound server was taken for failed', function (this: LinkWorld) {
  const lines = this.site.gateways.flatMap((gateway) => gateway.lines);
  const wrong = lines.filter(
    ({ name, lost }) =>
      name === 'serverEndedUnderRequests' ||
      name === 'serverLost' ||
      name === 'suspicionLearned' ||
      (name === 'groupExamined' && lost !== ''),
  );
  assert.deepEqual(wrong, []);
});

Then(
  'explaining each of them that is logged tells {string}',
  function (this: LinkWorld, cause: string) {
    const text = this.site.gateways.flatMap(({ lines }) =>
      lines.map((line) => JSON.stringify(line)),
    );
    const logged = parseLines(text.join('\n'));
    const causes = listFrom(this, 3).map(({ id }) => explainRequest(id, logged).cause);
    const told = causes.filter((each) => each !== 'notLogged');
    assert.ok(told.length > 0);
    assert.deepEqual([...new Set(told)], [cause]);
  },
);

Then('no gateway has lost a link', function (this: LinkWorld) {
  const lines = this.site.gateways.flatMap((gateway) => gateway.lines);
  assert.deepEqual(
    lines.filter(({ name }) => name === 'linkLost'),
    [],
  );
});

Then(
  'from {int} s on all requests are refused within {int} ms',
  function (this: LinkWorld, from: number, mostMs: number) {
    for (const { id, answer, tookMs } of listFrom(this, from)) {
      assert.equal(answer?.status, 503, id);
      assert.ok(tookMs <= mostMs, `${id} after ${tookMs} ms`);
    }
  },
);

When('all but one of them end without a word', function (this: GatewayWorld) {
  for (const server of this.site.servers.slice(1)) server.crash();
});
