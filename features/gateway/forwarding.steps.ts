import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { EngineFault } from './stand-ins/engine.js';
import { lastAnswer, openSite, type GatewayWorld } from './world.js';

async function startReadyGateway(world: GatewayWorld): Promise<void> {
  world.gateway = await world.site.startGateway();
  await world.site.waitUntilReady(world.gateway);
}

Given(
  'a site with {int} plain server(s) and a ready gateway',
  async function (this: GatewayWorld, servers: number) {
    await openSite(this, servers);
    this.site.configure();
    await startReadyGateway(this);
  },
);

Given(
  'a site with {int} plain server that takes {int} ms and a ready gateway',
  async function (this: GatewayWorld, servers: number, gapMs: number) {
    await openSite(this, servers, gapMs);
    this.site.configure();
    await startReadyGateway(this);
  },
);

Given(
  'a site with {int} plain server and no configuration',
  async function (this: GatewayWorld, servers: number) {
    await openSite(this, servers);
  },
);

Given('a gateway', async function (this: GatewayWorld) {
  this.gateway = await this.site.startGateway();
});

const FAULTS: Readonly<Record<string, EngineFault>> = {
  'loses its answers': { kind: 'loseAnswer' },
  refuses: { kind: 'refuse' },
  'sends answers of another request': { kind: 'foreignAnswer' },
  'resets answers without a length': { kind: 'resetUnframed' },
  'answers without a length': { kind: 'unframed' },
  'encodes its answers': { kind: 'encode' },
  fails: { kind: 'fail' },
  'says nothing': { kind: 'stall' },
};

function findFault(what: string): EngineFault {
  const fault = FAULTS[what];
  if (!fault) throw new Error(`unknown server fault: ${what}`);
  return fault;
}

Given(/^each server (.*)$/, function (this: GatewayWorld, what: string) {
  for (const server of this.site.servers) server.fault = findFault(what);
});

Given(
  /^the first server (loses its answers|refuses)$/,
  function (this: GatewayWorld, what: string) {
    const [first] = this.site.servers;
    assert.ok(first);
    first.fault = findFault(what);
  },
);

Given('the first server has ended', async function (this: GatewayWorld) {
  const [first] = this.site.servers;
  assert.ok(first);
  first.crash();
  this.site.store.remove('servers', first.options.id);
  await waitFor('the gateway to notice the lost server', () =>
    this.gateway.lines.some(({ name }) => name === 'serverGone'),
  );
});

When('a caller asks for {string}', async function (this: GatewayWorld, path: string) {
  this.lastId = this.site.nextId();
  this.answers = [await this.site.request(this.gateway, { path })];
});

When(
  '{int} callers ask for {string}',
  async function (this: GatewayWorld, count: number, path: string) {
    this.answers = [];
    for (let index = 0; index < count; index += 1) {
      this.answers.push(await this.site.request(this.gateway, { path }));
    }
  },
);

When(
  'a caller with the key {string} asks for {string}',
  async function (this: GatewayWorld, key: string, path: string) {
    const headers = { Authorization: `Bearer ${key}` };
    this.answers = [await this.site.request(this.gateway, { path, headers })];
  },
);

Then('the answer is {int}', function (this: GatewayWorld, status: number) {
  assert.equal(lastAnswer(this).status, status, lastAnswer(this).body);
});

Then('the answer is {int} and signed', function (this: GatewayWorld, status: number) {
  assert.equal(lastAnswer(this).status, status, lastAnswer(this).body);
  assert.ok(lastAnswer(this).headers['response-seal']);
});

Then(
  'the answer is {int}, whole and signed by the server that ran it',
  async function (this: GatewayWorld, status: number) {
    const answer = this.answers.at(-1) ?? (await this.pending);
    assert.equal(answer.status, status, answer.body);
    assert.ok(answer.whole);
    const [server] = this.site.listServersThatRan(this.lastId);
    assert.equal(answer.headers['response-seal'], `seal-${server}`);
    assert.equal(answer.body, `answer to ${this.lastId}`);
  },
);

Then('the answer is {int} with a time to come back', function (this: GatewayWorld, status: number) {
  const answer = lastAnswer(this);
  assert.equal(answer.status, status, answer.body);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

Then('the answer is {int}, whole and has a length', function (this: GatewayWorld, status: number) {
  const { headers, body, ...answer } = lastAnswer(this);
  assert.equal(answer.status, status, body);
  assert.equal(answer.whole, true);
  assert.equal(headers['content-length'], String(body.length));
  assert.equal(headers['transfer-encoding'], undefined);
  assert.equal(body, 'answer');
});

Then('each answer is {int} and whole', function (this: GatewayWorld, status: number) {
  for (const answer of this.answers) {
    assert.equal(answer.status, status, answer.body);
    assert.ok(answer.whole);
  }
});

Then('the answer does not contain {string}', function (this: GatewayWorld, text: string) {
  assert.ok(!lastAnswer(this).body.includes(text));
});

Then(
  'the server got the workspace {string} and no key',
  function (this: GatewayWorld, workspace: string) {
    const [arrival] = this.site.journal;
    assert.equal(arrival?.headers.tenant, workspace);
    assert.equal(arrival.headers.authorization, undefined);
  },
);

Then(
  'the server got the path {string} and a deadline below {int}',
  function (this: GatewayWorld, path: string, below: number) {
    const [arrival] = this.site.journal;
    assert.equal(arrival?.path, path);
    const deadline = Number(arrival.headers['deadline-ms']);
    assert.ok(deadline > 0 && deadline < below, String(deadline));
  },
);

Then('the request ran once', function (this: GatewayWorld) {
  assert.equal(this.site.listServersThatRan(this.lastId).length, 1);
});

Then('the request did not run', function (this: GatewayWorld) {
  assert.equal(this.site.listServersThatRan(this.lastId).length, 0);
});

Then('the request ran at {int} servers', function (this: GatewayWorld, servers: number) {
  assert.equal(new Set(this.site.listServersThatRan(this.lastId)).size, servers);
});

Then('no request ran twice', function (this: GatewayWorld) {
  const ids = this.site.journal.filter(({ ran }) => ran).map(({ id }) => id);
  assert.equal(new Set(ids).size, ids.length, ids.join(' '));
});

Then('the gateway is not ready', async function (this: GatewayWorld) {
  const { readiness } = this.gateway;
  const answer = await this.site.request(this.gateway, { path: '/readyz' }, readiness);
  assert.equal(answer.status, 503);
});

Then('the gateway has logged {string}', async function (this: GatewayWorld, name: string) {
  await waitFor(`the line ${name}`, () => this.gateway.lines.some((line) => line.name === name));
});
