/**
 * Callers that leave while their requests are in different states, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { LinkedSite } from './linked-site.js';
import type { GatewayProcess, LogLine } from './site.js';
import { cutOff, type RelayWorld } from './relay.steps.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { Arrival, Pace } from './stand-ins/engine.js';

/** A caller with its own connection and the requests that it has sent there. */
interface Caller {
  state: string;
  socket: Socket;
  ids: readonly string[];
}

interface DepartureWorld extends RelayWorld {
  leavers: Caller[];
  /** Callers opened so far, for unique ids. */
  opened: number;
  leftAt: number;
  /** When the callers left, by the id of their requests. */
  leftTimes: Map<string, number>;
  /** When the link was restored or the process went on. */
  resumedAt: number;
  sentIds: readonly string[];
}

/** Why requests are given up while a link is out. */
type GiveUp = 'callers have left' | 'deadlines have passed' | 'others have taken over';

interface CallerPlan {
  paths: readonly string[];
  /** Sends the next request only when the previous one was answered. */
  inTurn?: boolean;
  /** Does not read what it gets. */
  isDeaf?: boolean;
  /** Sends only the first half of the body. */
  isHalfSent?: boolean;
  /** Requests that reach a server before the caller leaves. */
  running: number;
}

const GATEWAYS = 2;
const ENGINES = 4;
const PLAIN_SERVERS = 2;
/** Longer than the scenario. */
const LONG_MS = 5_000;
const GAP_MS = 40;
const LARGE_EVENT_BYTES = 65_536;
const BODY_BYTES = 2_000;
/** Time for each request to get into its state. */
const SETTLE_MS = 350;
/** A request that its server does not answer is sent elsewhere from then on. */
const SENT_ELSEWHERE_MS = 980;
const TRY_MS = 600;
const POLL_MS = 20;
/** Longer than other pauses of the scenario. */
const PAUSE_MS = 500;

/** A server's refusal that comes while the gateway is held up. */
const LATE_REFUSAL: Pace = { refuses: true, refuseAfterMs: 900 };
const PACES: Readonly<Record<string, Pace>> = {
  '/list/slow': { firstMs: LONG_MS },
  '/list/quick': { firstMs: 5 },
  '/check/slow': { firstMs: LONG_MS },
  '/list/late-refusal': LATE_REFUSAL,
  '/chat/late-refusal': LATE_REFUSAL,
  '/chat/late-head': { headMs: LONG_MS },
  '/chat/late-event': { firstMs: LONG_MS },
  '/chat/events': { events: LONG_MS / GAP_MS, gapMs: GAP_MS },
  '/chat/flood': { events: LONG_MS, gapMs: 2, eventBytes: LARGE_EVENT_BYTES },
};

const PLANS: Readonly<Record<string, CallerPlan>> = {
  'waits for the answer': { paths: ['/list/slow'], running: 1 },
  'is the second on its connection': {
    paths: ['/list/quick', '/list/slow'],
    inTurn: true,
    running: 1,
  },
  'was refused by one server': { paths: ['/list/refused'], running: 1 },
  'was refused by one engine': { paths: ['/chat/refused'], running: 1 },
  'has sent half of its body': { paths: ['/check/slow'], isHalfSent: true, running: 0 },
  'waits for the head of a stream': { paths: ['/chat/late-head'], running: 1 },
  'waits for the first event': { paths: ['/chat/late-event'], running: 1 },
  'receives events': { paths: ['/chat/events'], running: 1 },
  'does not read its events': { paths: ['/chat/flood'], isDeaf: true, running: 1 },
  'is behind another stream on its connection': {
    paths: ['/chat/events', '/chat/late-event'],
    running: 2,
  },
  'is behind two others on its connection': {
    paths: ['/list/slow', '/list/slow', '/chat/events'],
    running: 3,
  },
};

const DEPARTURES: Readonly<Record<string, (socket: Socket) => void>> = {
  'close their connection': (socket) => socket.destroy(),
  'reset their connection': (socket) => socket.resetAndDestroy(),
  'end their side': (socket) => socket.end(),
};

After(function (this: Partial<DepartureWorld>) {
  for (const { socket } of this.leavers ?? []) socket.destroy();
});

/** A pace for each path; the first server that gets the refused one refuses it. */
function createPaces(): (path: string) => Pace {
  const refused = new Set<string>();
  return (path) => {
    if (!path.endsWith('/refused')) return PACES[path] ?? {};
    const refuses = !refused.has(path);
    refused.add(path);
    return { refuses, firstMs: LONG_MS };
  };
}

Given(
  /^a site with slow servers, and a gateway that reaches them (itself|over another gateway)$/,
  async function (this: DepartureWorld, how: string) {
    this.site = new LinkedSite(GATEWAYS);
    this.attempts = [];
    this.earlier = [];
    this.leavers = [];
    this.cutGateways = [];
    this.opened = 0;
    await this.site.open();
    for (let index = 0; index < ENGINES; index += 1)
      await this.site.addServer({ id: `engine-${index}`, service: 'models', domain: 'fabric-0' });
    for (let index = 0; index < PLAIN_SERVERS; index += 1)
      await this.site.addServer({ id: `plain-${index}`, service: 'app' });
    this.site.configure({ route: { timeout_ms: LONG_MS } });
    await this.site.startGateways();
    await this.site.waitForOpenGroups(ENGINES / 2);
    if (how !== 'itself') await cutOff(this, 1);
    const paceOf = createPaces();
    for (const { options } of this.site.servers) options.paceOf = paceOf;
  },
);

function formatRequest(id: string, path: string, deadlineMs = LONG_MS): string {
  const method = path.startsWith('/list/') ? 'GET' : 'POST';
  const headers = Object.entries(exampleHeaders(id, deadlineMs)).map(([name, value]) => [
    name,
    value,
  ]);
  if (method === 'POST') headers.push(['Content-Length', String(BODY_BYTES)]);
  const lines = headers.map(([name, value]) => `${name}: ${value}`);
  const body = method === 'POST' ? 'b'.repeat(BODY_BYTES) : '';
  return [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n');
}

async function openCaller(world: DepartureWorld, state: string): Promise<Caller> {
  const plan = PLANS[state];
  const [gateway] = world.site.gateways;
  assert.ok(plan && gateway, state);
  const [host, port] = gateway.callers.split(':');
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  world.opened += 1;
  const ids = plan.paths.map(
    (_, index) => `${state.replaceAll(' ', '-')}-${world.opened}-${index}`,
  );
  const requests = plan.paths.map((path, index) => formatRequest(ids[index] ?? '', path));
  if (!plan.isDeaf) socket.on('data', () => undefined);
  if (plan.isHalfSent) socket.write(requests.join('').slice(0, -BODY_BYTES / 2));
  else if (plan.inTurn) {
    for (const request of requests) {
      socket.write(request);
      if (request !== requests.at(-1)) await once(socket, 'data');
    }
  } else socket.write(requests.join(''));
  return { state, socket, ids };
}

/** Ids of this caller's requests that a server works on. */
function listWorkedOn({ site }: DepartureWorld, { ids }: Caller): string[] {
  return ids.filter((id) => site.servers.some(({ working }) => working.has(id)));
}

function areInTheirStates(world: DepartureWorld): boolean {
  return world.leavers.every(
    (caller) => listWorkedOn(world, caller).length === PLANS[caller.state]?.running,
  );
}

/** Returns false if the requests did not get into their states together, as on a busy machine. */
async function openCallers(world: DepartureWorld, states: readonly string[]): Promise<boolean> {
  for (const { socket } of world.leavers) socket.destroy();
  await waitFor('the servers to be free', () =>
    world.site.servers.every(({ working }) => working.size === 0),
  );
  const paceOf = createPaces();
  for (const { options } of world.site.servers) options.paceOf = paceOf;
  const openedAt = performance.now();
  world.leavers = await Promise.all(states.map((state) => openCaller(world, state)));
  const giveUpAt = performance.now() + TRY_MS;
  while (!areInTheirStates(world) && performance.now() < giveUpAt) await sleep(POLL_MS);
  await sleep(SETTLE_MS);
  return areInTheirStates(world) && performance.now() - openedAt < SENT_ELSEWHERE_MS;
}

When(
  /^callers (.+) whose requests are in these states$/,
  async function (this: DepartureWorld, how: string, states: DataTable) {
    const leave = DEPARTURES[how];
    assert.ok(leave);
    const names = states.raw().flat();
    await waitFor('all requests to be in their states at once', () => openCallers(this, names));
    this.leftAt = performance.now();
    for (const { socket } of this.leavers) leave(socket);
  },
);

Then(
  'within {int} ms no server works on any of them, and no more have reached one',
  async function (this: DepartureWorld, ms: number) {
    await sleep(ms);
    const left = this.leavers.flatMap((caller) =>
      listWorkedOn(this, caller).map((id) => `${caller.state}: ${id}`),
    );
    assert.deepEqual(left, []);
    const late = this.site.journal.filter(({ at, id }) => at > this.leftAt && id.includes('-'));
    const ids = new Set(this.leavers.flatMap((caller) => caller.ids));
    assert.deepEqual(
      late.filter(({ id }) => ids.has(id)).map(({ id }) => id),
      [],
    );
  },
);

Then(
  'the log tells for how long its attempt had no answer, how late the process was when it was sent, and when it was written',
  async function (this: DepartureWorld) {
    const [gateway] = this.site.gateways;
    const id = this.leavers[0]?.ids[0];
    const find = (name: string): LogLine | undefined =>
      gateway?.lines.find((line) => line.name === name && line.request === id);
    const ended = await waitFor('the end in the log', () => find('requestEnded'));
    assert.ok(Number(ended.unansweredMs) >= SETTLE_MS, JSON.stringify(ended));
    assert.equal(typeof find('requestSent')?.lateMs, 'number');
    assert.equal(typeof find('requestSent')?.unreadMs, 'number');
    assert.equal(typeof find('attemptEnded')?.writtenAfterMs, 'number');
  },
);

When(
  'the gateway stands still for {int} ms, in which {int} callers ask and leave',
  async function (this: DepartureWorld, ms: number, count: number) {
    const [gateway] = this.site.gateways;
    assert.ok(gateway);
    gateway.signal('SIGSTOP');
    const state = 'waits for the answer';
    const opened = Array.from({ length: count }, () => openCaller(this, state));
    this.leavers = await Promise.all(opened);
    await sleep(ms);
    for (const { socket } of this.leavers) socket.destroy();
    await sleep(SETTLE_MS);
    this.leftAt = performance.now();
    gateway.signal('SIGCONT');
  },
);

Then(
  'at most {int} of their requests have reached a server {int} ms after it went on',
  async function (this: DepartureWorld, most: number, ms: number) {
    await sleep(ms);
    const reached = this.site.journal.filter(({ at }) => at > this.leftAt);
    this.log(`${reached.length} have reached a server`);
    assert.ok(reached.length <= most, `${reached.length} have reached a server`);
  },
);

Then(
  'the log tells that the gateway used little processor time in its pause',
  async function (this: DepartureWorld) {
    const [gateway] = this.site.gateways;
    const paused = await waitFor('the pause in the log', () =>
      gateway?.lines.find(
        ({ name, lateMs }) => name === 'gatewayPaused' && Number(lateMs) > PAUSE_MS,
      ),
    );
    assert.ok(Number(paused.ownMs) < Number(paused.lateMs) / 2, JSON.stringify(paused));
  },
);

const SLOW_PATHS: Readonly<Record<string, string>> = {
  lookups: '/list/slow',
  calls: '/check/slow',
  streams: '/chat/late-head',
};
const QUICK_PATHS: Readonly<Record<string, string>> = {
  lookups: '/list/quick',
  calls: '/check/quick',
  streams: '/chat/quick',
};
/** Without further arrivals for this long, nothing is being sent. */
const QUIET_MS = 100;
const HELD_UP_MS = 1_000;
const AFTER_LEAVING_MS = 700;
/** Longer than a server may be silent in the settings of the site. */
const TAKEN_OVER_MS = 2_000;
const SHORT_DEADLINE_MS = 600;
const DELIVERY_MS = 1_000;

async function askAll(
  world: DepartureWorld,
  paths: readonly string[],
  deadlineMs = LONG_MS,
): Promise<Socket[]> {
  const sockets = await connectCallers(world, paths.length);
  ask(world, sockets, paths, deadlineMs);
  return sockets;
}

/** Opens connections of callers to the first gateway. */
async function connectCallers({ site }: DepartureWorld, count: number): Promise<Socket[]> {
  const [gateway] = site.gateways;
  assert.ok(gateway);
  const [host, port] = gateway.callers.split(':');
  const opened = Array.from({ length: count }, async () => {
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    socket.on('data', () => undefined);
    await once(socket, 'connect');
    return socket;
  });
  return Promise.all(opened);
}

function ask(
  world: DepartureWorld,
  sockets: readonly Socket[],
  paths: readonly string[],
  deadlineMs: number,
): void {
  world.sentIds = paths.map((_, index) => `ask-${world.opened}-${index}`);
  world.opened += 1;
  sockets.forEach((socket, index) => {
    const { [index]: id = '' } = world.sentIds;
    socket.write(formatRequest(id, paths[index] ?? '', deadlineMs));
  });
}

/** Sends quick requests, after which connections are kept. */
async function openKeptConnections(
  world: DepartureWorld,
  kind: string,
  count: number,
): Promise<void> {
  const path = QUICK_PATHS[kind] ?? '';
  const sockets = await askAll(
    world,
    Array.from({ length: count }, () => path),
  );
  await Promise.all(sockets.map((socket) => once(socket, 'data')));
  await sleep(SETTLE_MS);
  for (const socket of sockets) socket.destroy();
}

When(
  /^a link is out while (\d+) callers send (lookups|calls|streams), and it is restored after (.+)$/,
  async function (this: DepartureWorld, count: string, kind: string, why: GiveUp) {
    // The one that sends to servers.
    const gateway = this.cutGateways.length;
    const paths = Array.from({ length: Number(count) }, () => SLOW_PATHS[kind] ?? '');
    await openKeptConnections(this, kind, paths.length);
    await this.site.setOutage(gateway, 'both');
    const deadlineMs = why === 'deadlines have passed' ? SHORT_DEADLINE_MS : LONG_MS;
    const sockets = await askAll(this, paths, deadlineMs);
    await sleep(why === 'others have taken over' ? TAKEN_OVER_MS : PATIENCE_MS);
    if (why !== 'deadlines have passed') for (const socket of sockets) socket.destroy();
    await sleep(AFTER_LEAVING_MS);
    this.resumedAt = performance.now();
    await this.site.setOutage(gateway, 'none');
    await sleep(DELIVERY_MS);
    for (const socket of sockets) socket.destroy();
  },
);

/** Ids of requests that a gateway sent after `since`, by its own clock: lines may be written later. */
function listSentAfter({ site, sentIds }: DepartureWorld, since: number): string[] {
  return site.gateways.flatMap(({ lines }) => {
    const offsets = lines.map(({ heardAt, at }) => Number(heardAt) - Number(at));
    const startedAt = Math.min(...offsets);
    return lines
      .filter(({ name, at }) => name === 'requestSent' && Number(at) + startedAt > since)
      .map(({ request }) => String(request))
      .filter((id) => sentIds.includes(id));
  });
}

/** Requests of which their gateway says that it sent them at least once. */
function countSent({ site, sentIds }: DepartureWorld): number {
  const ends = site.gateways
    .flatMap(({ lines }) => lines)
    .filter(({ request, sends }) => sentIds.includes(String(request)) && Number(sends) > 0);
  return new Set(ends.map(({ request }) => request)).size;
}

function listReachedAfter({ site, sentIds }: DepartureWorld, since: number): string[] {
  return site.journal
    .filter(({ at, id }) => at > since && sentIds.includes(id))
    .map(({ id, server }) => `${id} at ${server}`);
}

Then(
  'their requests had been sent, and none reaches a server from then on',
  function (this: DepartureWorld) {
    assert.equal(countSent(this), this.sentIds.length);
    assert.deepEqual(listReachedAfter(this, this.resumedAt), []);
  },
);

/** A process that is stopped while it sends a request finishes that when it goes on. */
async function waitUntilQuiet(world: DepartureWorld): Promise<void> {
  let arrived = 0;
  await waitFor('requests to be under way', async () => {
    const before = arrived;
    await sleep(QUIET_MS);
    arrived = listReachedAfter(world, 0).length;
    return before > 0 && arrived === before;
  });
}

function findHeld({ site }: DepartureWorld, held: string): GatewayProcess {
  const gateway = site.gateways[held === 'the gateway' ? 0 : 1];
  assert.ok(gateway);
  return gateway;
}

/** Has all callers ask at once and returns as soon as the first of their requests has reached a server. */
async function askUntilFirstArrival(
  world: DepartureWorld,
  gateway: GatewayProcess,
  paths: readonly string[],
): Promise<Socket[]> {
  const sockets = await connectCallers(world, paths.length);
  await sleep(SETTLE_MS);
  gateway.signal('SIGSTOP');
  ask(world, sockets, paths, LONG_MS);
  await sleep(SETTLE_MS);
  gateway.signal('SIGCONT');
  while (listReachedAfter(world, 0).length === 0) await nextTurn();
  return sockets;
}

When(
  /^(the gateway|the other gateway) stands still as it begins to send (lookups|calls) of (\d+) callers that leave$/,
  async function (this: DepartureWorld, held: string, kind: string, count: string) {
    const gateway = findHeld(this, held);
    const paths = Array.from({ length: Number(count) }, () => SLOW_PATHS[kind] ?? '');
    await openKeptConnections(this, kind, paths.length);
    await waitFor('the gateway to be stopped as it begins to send', async () => {
      const sockets = await askUntilFirstArrival(this, gateway, paths);
      gateway.signal('SIGSTOP');
      for (const socket of sockets) socket.destroy();
      await sleep(AFTER_LEAVING_MS);
      const isInTime = listReachedAfter(this, 0).length < paths.length / 2;
      this.resumedAt = performance.now();
      gateway.signal('SIGCONT');
      await sleep(DELIVERY_MS);
      return isInTime;
    });
  },
);

Then(
  'at most {int} of their requests reach a server after it went on',
  function (this: DepartureWorld, most: number) {
    const late = listReachedAfter(this, this.resumedAt);
    this.log(`${late.length} have reached a server`);
    assert.ok(late.length <= most, `${late.length} have reached a server`);
  },
);

When(
  /^(the gateway|the other gateway) stands still while (lookups|streams) of (\d+) callers that leave are under way$/,
  async function (this: DepartureWorld, held: string, kind: string, count: string) {
    const path = kind === 'lookups' ? '/list/late-refusal' : '/chat/late-refusal';
    const paths = Array.from({ length: Number(count) }, () => path);
    await openKeptConnections(this, kind, paths.length);
    const gateway = findHeld(this, held);
    const sockets = await askAll(this, paths);
    await waitUntilQuiet(this);
    gateway.signal('SIGSTOP');
    await sleep(HELD_UP_MS);
    for (const socket of sockets) socket.destroy();
    await sleep(AFTER_LEAVING_MS);
    this.resumedAt = performance.now();
    gateway.signal('SIGCONT');
    await sleep(DELIVERY_MS);
  },
);

Then(
  'none of their requests is sent or reaches a server after it went on',
  function (this: DepartureWorld) {
    assert.ok(countSent(this) > 0, 'requests must have been under way');
    assert.deepEqual(listSentAfter(this, this.resumedAt - AFTER_LEAVING_MS / 2), []);
    assert.deepEqual(listReachedAfter(this, this.resumedAt), []);
  },
);

/** A fifth of a core, in turns that are short beside the limits of the scenario. */
const RUN_MS = 15;
const STOP_MS = 60;
/** How long callers wait before they leave. */
const PATIENCE_MS = 400;

When(
  'the gateway has a fifth of a core, and {int} callers a second ask and leave for {int} s',
  { timeout: 60_000 },
  async function (this: DepartureWorld, rate: number, seconds: number) {
    this.leftTimes = new Map();
    await askBesideThrottle(this, findHeld(this, 'the gateway'), rate, seconds);
  },
);

/** Callers ask and leave at `rate` a second while `gateway` has a fifth of a core. */
async function askBesideThrottle(
  world: DepartureWorld,
  gateway: GatewayProcess,
  rate: number,
  seconds: number,
): Promise<void> {
  const endsAt = performance.now() + seconds * 1_000;
  const callers: Promise<void>[] = [];
  const throttled = throttle(gateway, endsAt + PATIENCE_MS + 3 * SETTLE_MS);
  const beganAt = performance.now();
  for (let sent = 0; performance.now() < endsAt;) {
    const due = ((performance.now() - beganAt) / 1_000) * rate;
    for (; sent < due; sent += 1) callers.push(askAndLeave(world));
    await sleep(POLL_MS);
  }
  await Promise.all(callers);
  await throttled;
}

async function throttle(gateway: GatewayProcess, until: number): Promise<void> {
  while (performance.now() < until) {
    gateway.signal('SIGSTOP');
    await sleep(STOP_MS);
    gateway.signal('SIGCONT');
    await sleep(RUN_MS);
  }
}

async function askAndLeave(world: DepartureWorld): Promise<void> {
  const { socket, ids } = await openCaller(world, 'waits for the first event');
  await sleep(PATIENCE_MS);
  for (const id of ids) world.leftTimes.set(id, performance.now());
  socket.destroy();
}

/** When the gateway sent a request and heard of its caller's leaving, and when the server stopped, after the leaving. */
function traceDeparture({ site, leftTimes }: DepartureWorld, run: Arrival): string {
  const leftAt = leftTimes.get(run.id) ?? 0;
  const [gateway] = site.gateways;
  const lines = gateway?.lines ?? [];
  const startedAt = Math.min(...lines.map(({ heardAt, at }) => Number(heardAt) - Number(at)));
  const told = lines
    .filter(({ request }) => request === run.id)
    .map(({ name, at, lateMs = '-', unreadMs = '-' }) => {
      const sinceMs = Math.round(Number(at) + startedAt - leftAt);
      return `${String(name)} ${sinceMs} (late ${String(lateMs)}, unread ${String(unreadMs)})`;
    });
  const stoppedMs = Math.round((run.stoppedAt ?? Infinity) - leftAt);
  return `${run.id}: arrived ${Math.round(run.at - leftAt)}, ${told.join(', ')}, stopped ${stoppedMs}`;
}

Then(
  'at most a quarter of the runs go on for more than {int} ms after their callers have left',
  function (this: DepartureWorld, ms: number) {
    const runs = this.site.journal.filter(({ id, ran }) => ran && this.leftTimes.has(id));
    const late = runs.filter(
      ({ id, stoppedAt = Infinity }) => stoppedAt > (this.leftTimes.get(id) ?? 0) + ms,
    );
    this.log(`${late.length} of ${runs.length} runs of ${this.leftTimes.size} requests went on`);
    assert.ok(runs.length > 0, 'requests must have reached servers');
    const traces = late.map((run) => traceDeparture(this, run)).join('\n');
    assert.ok(
      late.length <= runs.length / 4,
      `${late.length} of ${runs.length} went on\n${traces}`,
    );
  },
);

Then(
  'at most {int} requests reach a server more than {int} ms after their callers have left',
  function (this: DepartureWorld, most: number, ms: number) {
    const late = this.site.journal.filter(
      ({ id, at }) => at > (this.leftTimes.get(id) ?? Infinity) + ms,
    );
    assert.ok(late.length <= most, `${late.length} have reached a server`);
  },
);
