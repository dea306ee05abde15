import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer } from './site.js';
import { KEY, MODEL } from './stand-ins/configuration.js';
import { lastAnswer, type GatewayWorld, type RunningStream } from './world.js';

const EVENT_GAP_MS = 40;

async function openEngineSite(world: GatewayWorld, engines: number): Promise<void> {
  world.site = new Site();
  world.answers = [];
  await world.site.open();
  for (let index = 0; index < engines; index += 1) {
    await world.site.addServer({
      id: `engine-${index}`,
      service: 'models',
      domain: 'fabric-1',
      gapMs: EVENT_GAP_MS,
    });
  }
  world.site.configure();
}

Given(
  /^a site with (\d+) engines and a ready gateway with (\d+) open groups?$/,
  async function (this: GatewayWorld, engines: string, groups: string) {
    await openEngineSite(this, Number(engines));
    this.gateway = await this.site.startGateway();
    await this.site.waitUntilReady(this.gateway);
    await this.site.waitForOpenGroups(Number(groups));
  },
);

Given(
  'a site with {int} engines and no groups',
  async function (this: GatewayWorld, engines: number) {
    await openEngineSite(this, engines);
  },
);

/** Starts a stream and resolves when its response headers have arrived. */
async function beginStream(world: GatewayWorld): Promise<RunningStream> {
  const [host, port] = world.gateway.callers.split(':');
  const id = world.site.nextId();
  const outgoing = httpRequest({
    host,
    port,
    method: 'POST',
    path: '/chat/talk',
    headers: {
      host: 'passes.example',
      'Attempt-Id': id,
      'Deadline-Ms': '6000',
      Authorization: `Bearer ${KEY}`,
      Model: MODEL,
      'Token-Count': '100,50',
    },
  });
  outgoing.end('{}');
  const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
  const answer = collect(incoming);
  return { id, outgoing, incoming, answer };
}

async function collect(incoming: IncomingMessage): Promise<Answer> {
  let body = '';
  try {
    for await (const chunk of incoming) body += String(chunk);
  } catch {
    // An aborted response has `complete` set to false.
  }
  const { statusCode: status = 0, headers, complete: whole } = incoming;
  return { status, headers, body, whole };
}

function readEventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

Given(
  'each engine that serves now cuts its streams after {int} events',
  function (this: GatewayWorld, events: number) {
    for (const engine of this.site.listOpen()) engine.fault = { kind: 'cutStream', events };
  },
);

Given('the engines answer without a length', function (this: GatewayWorld) {
  for (const engine of this.site.servers) engine.fault = { kind: 'unframed' };
});

Given('a caller begins a stream', async function (this: GatewayWorld) {
  this.stream = await beginStream(this);
});

When('the cutting engines serve well again', async function (this: GatewayWorld) {
  await waitFor(
    'the request at its first engine',
    () => this.site.listServersThatRan(this.stream.id).length > 0,
  );
  const [first] = this.site.listServersThatRan(this.stream.id);
  for (const engine of this.site.servers) {
    if (engine.options.id !== first) engine.fault = { kind: 'none' };
  }
});

When('the engine of that stream goes silent', async function (this: GatewayWorld) {
  await waitFor(
    'the request at its engine',
    () => this.site.listServersThatRan(this.stream.id).length > 0,
  );
  const [first] = this.site.listServersThatRan(this.stream.id);
  const engine = this.site.servers.find(({ options }) => options.id === first);
  assert.ok(engine);
  engine.fault = { kind: 'stall' };
});

Then(
  'the caller gets {int} events in order in one whole answer',
  async function (this: GatewayWorld, events: number) {
    const answer = await this.stream.answer;
    const expected = Array.from({ length: events }, (_, index) => index + 1);
    assert.deepEqual(readEventIds(answer.body), expected, answer.body);
    assert.equal(answer.status, 200);
    assert.ok(answer.whole);
    assert.ok(!/data: par(?!t|$)/.test(answer.body));
  },
);

Then('the stream went on after event {int}', function (this: GatewayWorld, event: number) {
  const arrivals = this.site.journal.filter(({ id, ran }) => id === this.stream.id && ran);
  assert.deepEqual(
    arrivals.map(({ headers }) => headers['last-event-id']),
    [undefined, String(event)],
  );
});

When(
  'a caller asks for the stream after event {int}',
  async function (this: GatewayWorld, event: number) {
    const headers = { 'Last-Event-Id': String(event) };
    const ask = { method: 'POST', path: '/chat/talk', headers, body: '{}' };
    this.answers = [await this.site.request(this.gateway, ask)];
  },
);

Then(
  'the caller gets events {int} to {int}',
  function (this: GatewayWorld, from: number, to: number) {
    const expected = Array.from({ length: to - from + 1 }, (_, index) => from + index);
    assert.deepEqual(readEventIds(lastAnswer(this).body), expected);
    assert.ok(lastAnswer(this).whole);
  },
);

When(
  'the gateway is killed after {int} events',
  async function (this: GatewayWorld, count: number) {
    let events = 0;
    this.stream.incoming.on('data', () => {
      events += 1;
    });
    await waitFor(`${count} events`, () => events >= count);
    this.gateway.signal('SIGKILL');
  },
);

Then('the caller sees that the stream is not whole', async function (this: GatewayWorld) {
  const { body, whole } = await this.stream.answer;
  assert.equal(whole, false, body);
});

When('the caller leaves', function (this: GatewayWorld) {
  this.stream.outgoing.destroy();
});

Then('no request is in flight at the gateway', async function (this: GatewayWorld) {
  await waitFor('the end of the request', () =>
    this.gateway.lines.some(
      (line) =>
        line.name === 'requestEnded' &&
        line.request === this.stream.id &&
        line.outcome === 'callerGone',
    ),
  );
  const answer = await this.site.request(this.gateway, { path: '/metrics' }, this.gateway.metrics);
  assert.match(answer.body, /^yuccasail_requests_in_flight 0$/m);
});
