/**
 * Requests of every kind that arrive at each moment of a gateway's grace period.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { Pace } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

/** One kind of request. */
interface Kind {
  name: string;
  method: string;
  path: string;
  deadlineMs: number;
  /** Pieces of the body, sent with pauses between them. */
  body: readonly string[];
  isChunked?: boolean;
  /** All of this kind use one connection as long as it stays open. */
  keepsConnection?: boolean;
  /** Each uses a connection that was opened before the signal and has carried no request. */
  usesOpenConnection?: boolean;
}

interface Attempt {
  id: string;
  kind: Kind;
  sentAt: number;
  /** Absent when the connection closed without a head. */
  answer: Answer | undefined;
}

interface GraceWorld extends GatewayWorld {
  attempts: Attempt[];
  signalledAt: number;
}

const SLOW_MS = 1_200;
const ENDLESS_MS = 30_000;
const LONG_MS = 7_000;
const SHORT_MS = 500;
const BODY_PAUSE_MS = 300;
const INTERVAL_MS = 100;
/** Requests are also sent for this long before the signal. */
const LEAD_MS = 300;
/**
 * When a gateway has stopped to begin what may outlast its grace: 2,500 ms after the signal, and a
 * tolerance for a busy machine.
 */
const LAST_LONG_START_MS = 2_500 + 250;
const REFUSE_UNTIL_MS = 1_000;
/** One for each round of requests of a grace period of four seconds. */
const OPEN_CONNECTIONS = 60;

const PLAIN = { method: 'POST', deadlineMs: LONG_MS, body: ['body'] };
const KINDS: readonly Kind[] = [
  { ...PLAIN, name: 'quick', path: '/check/quick' },
  { ...PLAIN, name: 'kept', path: '/check/quick', keepsConnection: true },
  { ...PLAIN, name: 'opened', path: '/check/quick', usesOpenConnection: true },
  { ...PLAIN, name: 'short', path: '/check/endless', deadlineMs: SHORT_MS },
  { ...PLAIN, name: 'slow', path: '/check/slow' },
  { ...PLAIN, name: 'endless', path: '/check/endless' },
  { ...PLAIN, name: 'pieces', path: '/check/quick', body: ['a', 'b', 'c'] },
  { ...PLAIN, name: 'chunks', path: '/check/slow', body: ['a', 'b', 'c'], isChunked: true },
  { ...PLAIN, name: 'safe', path: '/list/slow', method: 'GET', body: [] },
  { ...PLAIN, name: 'stream', path: '/chat/talk' },
];

function paceOf(path: string): Pace {
  if (path.endsWith('/slow')) return { firstMs: SLOW_MS };
  return path.endsWith('/endless') ? { firstMs: ENDLESS_MS } : {};
}

Given(
  'a site with quick, slow and endless answers, and a ready gateway with a grace of {int} ms',
  async function (this: GraceWorld, graceMs: number) {
    this.site = new Site();
    this.attempts = [];
    await this.site.open();
    for (const id of ['plain-0', 'plain-1'])
      await this.site.addServer({ id, service: 'app', gapMs: 20, paceOf });
    for (const id of ['engine-0', 'engine-1'])
      await this.site.addServer({
        id,
        service: 'models',
        domain: 'fabric-1',
        gapMs: 100,
        events: 12,
      });
    this.site.configure({ route: { timeout_ms: LONG_MS, stream_resume: false } });
    this.gateway = await this.site.launch({ ...this.site.planGateway(), graceMs });
    await this.site.waitUntilReady(this.gateway);
    await this.site.waitForOpenGroups(1);
  },
);

/** What a request is sent over; a connection of its own if empty. */
interface Way {
  agent?: Agent | undefined;
  createConnection?: (() => Socket) | undefined;
}

async function openConnections({ gateway }: GraceWorld): Promise<Socket[]> {
  const [host, port] = gateway.callers.split(':');
  const sockets = Array.from({ length: OPEN_CONNECTIONS }, () => connect(Number(port), host));
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  for (const socket of sockets) socket.on('error', () => undefined);
  return sockets;
}

async function send(world: GraceWorld, kind: Kind, id: string, way: Way): Promise<void> {
  const [host, port] = world.gateway.callers.split(':');
  const length = kind.body.join('').length;
  const framing = kind.isChunked ? {} : { 'Content-Length': String(length) };
  const outgoing = httpRequest({
    host,
    port,
    method: kind.method,
    path: kind.path,
    headers: { ...exampleHeaders(id, kind.deadlineMs), ...(length > 0 ? framing : {}) },
    ...way,
  });
  const attempt: Attempt = { id, kind, sentAt: performance.now(), answer: undefined };
  world.attempts.push(attempt);
  const answered = readAnswer(outgoing).then((answer) => (attempt.answer = answer));
  for (const [index, piece] of kind.body.entries()) {
    if (index > 0) await sleep(BODY_PAUSE_MS);
    outgoing.write(piece);
  }
  outgoing.end();
  await answered;
}

async function readAnswer(outgoing: ReturnType<typeof httpRequest>): Promise<Answer | undefined> {
  // Writing may fail before and after the response has begun.
  outgoing.on('error', () => undefined);
  try {
    const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
    const answer = { status: incoming.statusCode ?? 0, headers: incoming.headers, body: '' };
    try {
      for await (const chunk of incoming) answer.body += String(chunk);
    } catch {
      // An interrupted response is reported by `complete` below.
    }
    return { ...answer, whole: incoming.complete };
  } catch {
    return undefined;
  }
}

const EVENTS: Readonly<Record<string, (world: GraceWorld) => Promise<void>>> = {
  'nothing else happens': () => Promise.resolve(),
  'it is told to stop again': async ({ gateway }) => {
    for (let signal = 0; signal < 3; signal += 1) {
      await sleep(800);
      gateway.signal('SIGTERM');
    }
  },
  'its settings and routes change': async ({ gateway, site }) => {
    for (let version = 3; version < 6; version += 1) {
      await sleep(800);
      site.configure({ version, route: { timeout_ms: LONG_MS + version, stream_resume: false } });
      gateway.signal('SIGHUP');
    }
  },
  'its servers refuse at first': async ({ site }) => {
    const plain = site.servers.filter(({ options }) => options.service === 'app');
    for (const server of plain) server.fault = { kind: 'refuse' };
    await sleep(REFUSE_UNTIL_MS);
    for (const server of plain) server.fault = { kind: 'none' };
  },
};

When(
  /^callers send requests of every kind to it until it has exited, and meanwhile (.+)$/,
  async function (this: GraceWorld, name: string) {
    const event = EVENTS[name];
    assert.ok(event);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const opened = await openConnections(this);
    const requests: Promise<void>[] = [];
    const done = new AbortController();
    const sending = (async () => {
      for (let round = 0; !done.signal.aborted; round += 1) {
        for (const kind of KINDS) {
          const socket = kind.usesOpenConnection ? opened.shift() : undefined;
          // A request on a connection that is known to be closed would get no event at all.
          if (socket?.destroyed) continue;
          const way = {
            ...(kind.keepsConnection && { agent }),
            ...(socket && { createConnection: () => socket }),
          };
          requests.push(send(this, kind, `${kind.name}-${round}`, way));
        }
        await sleep(INTERVAL_MS);
      }
    })();
    await sleep(LEAD_MS);
    this.gateway.signal('SIGTERM');
    this.signalledAt = performance.now();
    await waitFor('the gateway to stop', () =>
      this.gateway.lines.some(({ name: line }) => line === 'gatewayStopping'),
    );
    await event(this);
    assert.equal(await this.gateway.exited, 0);
    done.abort();
    await sending;
    await Promise.all(requests);
    agent.destroy();
    for (const socket of opened) socket.destroy();
    this.log(describeOutcomes(this));
  },
);

function describeOutcomes({ attempts, signalledAt }: GraceWorld): string {
  const counts = new Map<string, number>();
  for (const { kind, answer } of attempts) {
    const outcome = answer ? `${answer.status}${answer.whole ? '' : ' cut'}` : 'none';
    const key = `${kind.name} ${outcome}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const last = attempts.filter(({ answer }) => answer).at(-1)?.sentAt ?? 0;
  const lines = [...counts].sort().map(([key, count]) => `${key}: ${count}`);
  return `${lines.join(', ')}; last answered ${Math.round(last - signalledAt)} ms after the signal`;
}

Then(
  'what a caller has no whole answer for never ran, or is a stream that began early',
  function (this: GraceWorld) {
    for (const { id, kind, sentAt, answer } of this.attempts) {
      if (answer?.whole) continue;
      const isEarlyStream =
        kind.name === 'stream' && sentAt < this.signalledAt + LAST_LONG_START_MS;
      if (isEarlyStream) continue;
      const at = Math.round(sentAt - this.signalledAt);
      const runs = this.site.listServersThatRan(id);
      assert.deepEqual(runs, [], `${id}, sent ${at} ms after the signal, has no whole answer`);
    }
  },
);

Then(
  'what was refused with a promise never ran, and nothing ran twice that may run once',
  function (this: GraceWorld) {
    const refused = this.attempts.filter(({ answer }) => answer?.status === 503);
    assert.ok(refused.length > 0);
    for (const { id, answer } of refused) {
      assert.deepEqual(this.site.listServersThatRan(id), [], id);
      assert.ok(Number(answer?.headers['retry-after']) >= 0, id);
    }
    for (const { id, kind } of this.attempts) {
      if (kind.name !== 'safe') assert.ok(this.site.listServersThatRan(id).length <= 1, id);
    }
  },
);

Then(
  'nothing that outlasts the grace was passed on after the balancer had left',
  function (this: GraceWorld) {
    const limit = this.signalledAt + LAST_LONG_START_MS;
    const late = this.site.journal.filter(({ at, id }) => {
      const attempt = this.attempts.find((one) => one.id === id);
      return at > limit && attempt?.kind.deadlineMs === LONG_MS;
    });
    assert.deepEqual(
      late.map(({ id, at }) => `${id} at ${Math.round(at - this.signalledAt)} ms`),
      [],
    );
  },
);
