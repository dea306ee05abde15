/**
 * Graceful shutdown of gateways: the responses that callers get, and the logs.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { explainRequest } from '../../src/cli/explain/findings.js';
import { parseLines } from '../../src/cli/explain/log-lines.js';
import { Site, type Answer, type RequestOptions, type GatewayProcess } from './site.js';
import { KEY } from './stand-ins/configuration.js';
import type { GatewayWorld } from './world.js';

/** One request of a caller with its response; undefined when the connection closed without one. */
interface Attempt {
  id: string;
  answer: Answer | undefined;
}

interface StoppingWorld extends GatewayWorld {
  attempts: Attempt[];
  otherGateway: GatewayProcess;
  /** A request whose body is partly sent. */
  outgoing: ClientRequest;
  halfSent: Promise<Attempt>;
}

const EVENT_GAP_MS = 100;
/** Longer than any stream of these scenarios. */
const DEADLINE_MS = 7_000;
/** Tolerance around the end of the grace period, for late timers on a busy machine. */
const GRACE_TOLERANCE_MS = 500;
const END_EVENTS: ReadonlySet<unknown> = new Set([
  'requestAnswered',
  'requestEnded',
  'requestRefusedAtDoor',
]);
const STREAM_REQUEST = {
  method: 'POST',
  path: '/chat/talk',
  headers: { 'Deadline-Ms': String(DEADLINE_MS) },
  body: '{}',
};

async function openStreamSite(world: StoppingWorld, takesMs: number): Promise<void> {
  world.site = new Site();
  world.answers = [];
  world.attempts = [];
  await world.site.open();
  for (let index = 0; index < 2; index += 1) {
    await world.site.addServer({
      id: `engine-${index}`,
      service: 'models',
      domain: 'fabric-1',
      gapMs: EVENT_GAP_MS,
      events: takesMs / EVENT_GAP_MS,
    });
  }
  world.site.configure({ route: { timeout_ms: DEADLINE_MS } });
}

async function launchReadyGateway(site: Site, graceMs: number): Promise<GatewayProcess> {
  const gateway = await site.launch({ ...site.planGateway(), graceMs });
  await site.waitUntilReady(gateway);
  return gateway;
}

/** Sends a request and records its response, or that there was none. */
async function ask(
  world: StoppingWorld,
  request: RequestOptions,
  gateway = world.gateway,
): Promise<Answer | undefined> {
  const id = world.site.nextId();
  const answer = await world.site.request(gateway, request).catch(() => undefined);
  world.attempts.push({ id, answer });
  return answer;
}

/** Sends SIGTERM and resolves when the shutdown has started. */
async function startShutdown(gateway: GatewayProcess): Promise<void> {
  gateway.signal('SIGTERM');
  await waitFor('the gateway to stop', () =>
    gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
}

Given(
  'a site whose streams take {int} ms and a ready gateway with a grace of {int} ms',
  async function (this: StoppingWorld, takesMs: number, graceMs: number) {
    await openStreamSite(this, takesMs);
    this.gateway = await launchReadyGateway(this.site, graceMs);
    await this.site.waitForOpenGroups(1);
  },
);

When(
  'a caller asks for a stream on its kept connection {int} ms after the gateway is told to stop',
  async function (this: StoppingWorld, ms: number) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await ask(this, { path: '/nothing/here', agent });
    await startShutdown(this.gateway);
    await sleep(ms);
    await ask(this, { ...STREAM_REQUEST, agent });
    agent.destroy();
  },
);

function isRetryableRefusal({ status, whole, headers }: Answer): boolean {
  return (
    whole && status === 503 && headers.connection === 'close' && Number(headers['retry-after']) >= 0
  );
}

Then(
  'the caller has a whole answer, or a promise that its request did not run',
  function (this: StoppingWorld) {
    const last = this.attempts.at(-1);
    assert.ok(last?.answer);
    if (isRetryableRefusal(last.answer))
      assert.deepEqual(this.site.listServersThatRan(last.id), []);
    else assert.ok(last.answer.whole && last.answer.status === 200, JSON.stringify(last.answer));
  },
);

/** Stops all gateways and returns all of their log lines. */
async function readLogs({ site }: StoppingWorld): Promise<GatewayProcess['lines']> {
  for (const gateway of site.gateways) gateway.signal('SIGTERM');
  await Promise.all(site.gateways.map(({ exited }) => exited));
  return site.gateways.flatMap(({ lines }) => lines);
}

Then('each id that a caller saw has one end in the log', async function (this: StoppingWorld) {
  const lines = await readLogs(this);
  for (const { id, answer } of this.attempts) {
    const own = lines.filter(({ request }) => request === id);
    // A connection that closed before the request was read leaves no log lines.
    if (answer === undefined && own.length === 0) continue;
    const ends = own.filter(({ name }) => END_EVENTS.has(name));
    assert.equal(ends.length, 1, `${id} has the lines ${JSON.stringify(own)}`);
  }
});

Given('another ready gateway', async function (this: StoppingWorld) {
  this.otherGateway = await this.site.startGateway();
  await this.site.waitUntilReady(this.otherGateway);
});

When(
  'a caller reads a stream, and its gateway is told to stop',
  async function (this: StoppingWorld) {
    this.lastId = this.site.nextId();
    const asked = ask(this, STREAM_REQUEST);
    await waitFor(
      'the stream at its engine',
      () => this.site.listServersThatRan(this.lastId).length > 0,
    );
    await startShutdown(this.gateway);
    await asked;
  },
);

Then(
  'the stream is broken off when the grace is nearly over, with the reason in the log',
  async function (this: StoppingWorld) {
    const answer = this.attempts[0]?.answer;
    assert.ok(answer && !answer.whole);
    await this.gateway.exited;
    const end = this.gateway.lines.find(
      ({ name, request }) => name === 'requestEnded' && request === this.lastId,
    );
    assert.equal(end?.outcome, 'cut');
    assert.equal(end.reason, 'the gateway stopped');
    assert.ok(Math.abs(Number(end.graceLeftMs)) < GRACE_TOLERANCE_MS, String(end.graceLeftMs));
  },
);

Then('the rest of the stream comes from the other gateway', async function (this: StoppingWorld) {
  const before = readEventIds(this.attempts[0]?.answer?.body ?? '');
  const headers = { ...STREAM_REQUEST.headers, 'Last-Event-Id': String(before.at(-1)) };
  const rest = await ask(this, { ...STREAM_REQUEST, headers }, this.otherGateway);
  assert.ok(rest?.whole);
  const events = this.site.servers[0]?.options.events ?? 0;
  const all = Array.from({ length: events }, (_, index) => index + 1);
  assert.deepEqual([...before, ...readEventIds(rest.body)], all);
});

Then('explaining it tells {string}', async function (this: StoppingWorld, cause: string) {
  await this.gateway.exited;
  const text = this.gateway.lines.map((line) => JSON.stringify(line)).join('\n');
  assert.equal(explainRequest(this.lastId, parseLines(text)).cause, cause);
});

/** Ids of complete events. */
function readEventIds(body: string): number[] {
  const whole = body.slice(0, body.lastIndexOf('\n\n') + 1);
  return [...whole.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

Given(
  'a site whose plain server takes {int} ms and a ready gateway with a grace of {int} ms',
  async function (this: StoppingWorld, takesMs: number, graceMs: number) {
    this.site = new Site();
    this.attempts = [];
    await this.site.open();
    await this.site.addServer({ id: 'plain-0', service: 'app', gapMs: takesMs });
    this.site.configure({ route: { timeout_ms: DEADLINE_MS } });
    this.gateway = await launchReadyGateway(this.site, graceMs);
  },
);

When(
  'a caller asks for {string}, and the gateway is told to stop while its server works',
  async function (this: StoppingWorld, path: string) {
    this.lastId = this.site.nextId();
    const asked = ask(this, { path, headers: STREAM_REQUEST.headers });
    await waitFor(
      'the request at its server',
      () => this.site.listServersThatRan(this.lastId).length > 0,
    );
    await startShutdown(this.gateway);
    await asked;
  },
);

Then(
  'the caller has a whole answer that says that the request may have run',
  function (this: StoppingWorld) {
    const answer = this.attempts[0]?.answer;
    assert.ok(answer?.whole);
    assert.equal(answer.status, 502);
    assert.equal(answer.headers.connection, 'close');
    assert.match(answer.body, /"conclusion":"unknown"/);
  },
);

const BODY_START = 'half';
const BODY_REST = 'rest';

When(
  'a caller sends half of a body to {string}, and the gateway is told to stop',
  async function (this: StoppingWorld, path: string) {
    const [host, port] = this.gateway.callers.split(':');
    this.lastId = 'half-sent';
    this.outgoing = httpRequest({
      host,
      port,
      method: 'POST',
      path,
      headers: {
        host: 'passes.example',
        'Attempt-Id': this.lastId,
        'Deadline-Ms': String(DEADLINE_MS),
        'Content-Length': String(BODY_START.length + BODY_REST.length),
        Authorization: `Bearer ${KEY}`,
      },
    });
    this.halfSent = readResponse(this.lastId, this.outgoing);
    this.outgoing.write(BODY_START);
    await once(this.outgoing, 'socket');
    // A response on a later connection shows that the gateway has read the first part of the body.
    await this.site.request(this.gateway, { path: '/nothing/here' });
    await startShutdown(this.gateway);
  },
);

async function readResponse(id: string, outgoing: ClientRequest): Promise<Attempt> {
  try {
    const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
    let body = '';
    for await (const chunk of incoming) body += String(chunk);
    const { statusCode: status = 0, headers, complete: whole } = incoming;
    return { id, answer: { status, headers, body, whole } };
  } catch {
    return { id, answer: undefined };
  }
}

When('the caller sends the rest', async function (this: StoppingWorld) {
  this.outgoing.end(BODY_REST);
  this.attempts.push(await this.halfSent);
});

When('the caller sends no more', async function (this: StoppingWorld) {
  this.attempts.push(await this.halfSent);
});

When('the caller leaves within its body', async function (this: StoppingWorld) {
  this.outgoing.destroy();
  this.attempts.push(await this.halfSent);
});

Then('its request is answered and runs once', function (this: StoppingWorld) {
  const answer = this.attempts[0]?.answer;
  assert.ok(answer?.whole);
  assert.equal(answer.status, 200);
  assert.equal(this.site.listServersThatRan(this.lastId).length, 1);
});

Then('its request is refused with a promise in time', async function (this: StoppingWorld) {
  const answer = this.attempts[0]?.answer;
  assert.ok(answer && isRetryableRefusal(answer), JSON.stringify(answer));
  assert.deepEqual(this.site.listServersThatRan(this.lastId), []);
  const end = (await readLogs(this)).find(({ request }) => request === this.lastId);
  assert.equal(end?.name, 'requestRefusedAtDoor');
  assert.equal(end.kind, 'stopping');
  assert.equal(typeof end.leftMs, 'number');
});

Then('its request does not run', function (this: StoppingWorld) {
  assert.equal(this.attempts[0]?.answer, undefined);
  assert.deepEqual(this.site.listServersThatRan(this.lastId), []);
});

const CALLER_REQUESTS = [
  { path: '/list/1' },
  { path: '/check/1' },
  { method: 'POST', path: '/check/2', body: BODY_START },
  STREAM_REQUEST,
  STREAM_REQUEST,
] as const satisfies readonly RequestOptions[];
/** Pause between two requests of a caller; keeps the log below its rate limit. */
const REQUEST_INTERVAL_MS = 60;

Given(
  'a site with streams and calls, and {int} ready gateways with a grace of {int} ms',
  async function (this: StoppingWorld, gateways: number, graceMs: number) {
    await openStreamSite(this, 1_000);
    await this.site.addServer({ id: 'plain-0', service: 'app', gapMs: 50 });
    await Promise.all(
      Array.from({ length: gateways }, () => launchReadyGateway(this.site, graceMs)),
    );
    await this.site.waitForOpenGroups(1);
  },
);

/** Sends requests on one connection and moves to the next gateway when it is closed. */
async function askContinuously(
  world: StoppingWorld,
  request: RequestOptions,
  signal: AbortSignal,
): Promise<void> {
  const { gateways } = world.site;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let turn = 0;
  while (!signal.aborted) {
    const answer = await ask(world, { ...request, agent }, gateways[turn % gateways.length]);
    if (answer?.headers.connection !== 'keep-alive') turn += 1;
    await sleep(REQUEST_INTERVAL_MS);
  }
  agent.destroy();
}

When(
  'callers keep asking, and {int} of the gateways stop {int} ms apart, with a change meanwhile',
  async function (this: StoppingWorld, count: number, apartMs: number) {
    const { site } = this;
    const done = new AbortController();
    const callers = CALLER_REQUESTS.map((request) => askContinuously(this, request, done.signal));
    await waitFor(
      'answers to all callers',
      () => this.attempts.length > 3 * CALLER_REQUESTS.length,
    );
    const stopped = site.gateways.slice(0, count);
    for (const gateway of stopped) {
      await startShutdown(gateway);
      for (const each of site.gateways) each.signal('SIGHUP');
      site.configure({ version: 3 + site.store.calls, route: { timeout_ms: DEADLINE_MS } });
      await sleep(apartMs);
    }
    await Promise.all(stopped.map(({ exited }) => exited));
    done.abort();
    await Promise.all(callers);
  },
);

Then('every answer was whole, and a good one or a promise', function (this: StoppingWorld) {
  const answers = this.attempts.flatMap(({ answer }) => answer ?? []);
  assert.ok(answers.some(({ status }) => status === 200));
  for (const answer of answers) {
    const isGood = answer.whole && answer.status === 200;
    assert.ok(isGood || isRetryableRefusal(answer), JSON.stringify(answer));
  }
});

Then(
  'what had no answer or a promise never ran, and no call ran twice',
  async function (this: StoppingWorld) {
    await readLogs(this);
    for (const { id, answer } of this.attempts) {
      const runs = this.site.listServersThatRan(id);
      if (answer?.status === 200) assert.equal(runs.length, 1, id);
      else assert.deepEqual(runs, [], `${id}: ${JSON.stringify(answer)}`);
    }
  },
);
