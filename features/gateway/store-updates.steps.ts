import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { Answer } from './site.js';
import type { GatewayWorld } from './world.js';

const LIST = { path: '/list/slots' };
/** Three heartbeats, after which the store removes an entry that is not renewed. */
const ENTRY_LAPSE_MS = 3_600;

When('the operator revokes the key in a newer version', function (this: GatewayWorld) {
  this.site.configure({ version: 9, keys: ['another-key'] });
});

Then(
  'a caller is refused with 401 within {int} ms',
  async function (this: GatewayWorld, ms: number) {
    await waitFor(
      'the refusal',
      async () => (await this.site.request(this.gateway, LIST)).status === 401,
      ms,
    );
  },
);

When(
  'the store returns a version below the active one without the key',
  async function (this: GatewayWorld) {
    const revision = this.site.store.calls;
    this.site.configure({ version: 1, keys: ['another-key'] });
    await waitFor('the next watch', () => this.site.store.calls > revision);
  },
);

When('the store returns an invalid configuration', function (this: GatewayWorld) {
  this.site.store.put('config', 'main', { version: 9, routes: 'none' });
});

Then('a caller is still served', async function (this: GatewayWorld) {
  assert.equal((await this.site.request(this.gateway, LIST)).status, 200);
});

When(
  'the store is down and returns without its entries, and these come back',
  async function (this: GatewayWorld) {
    const { store, servers } = this.site;
    const asked: Promise<Answer>[] = [];
    const timer = setInterval(() => {
      asked.push(this.site.request(this.gateway, LIST));
    }, 50);
    try {
      store.fault = 'down';
      store.compact();
      await waitFor('the gateway to notice', () =>
        this.gateway.lines.some(({ name }) => name === 'storeLost'),
      );
      await sleep(ENTRY_LAPSE_MS);
      for (const { options } of servers) store.remove('servers', options.id);
      store.fault = 'none';
      await waitFor('the gateway to reach the store', () => {
        const regained = this.gateway.lines.filter(({ name }) => name === 'storeRegained');
        return regained.length > 1;
      });
      for (const server of servers) server.report();
      await waitFor('a few more answers', () => asked.length > 20);
    } finally {
      clearInterval(timer);
    }
    this.answers = await Promise.all(asked);
  },
);

Then('every caller was served meanwhile', function (this: GatewayWorld) {
  for (const { status, body } of this.answers) assert.equal(status, 200, body);
});

When('the first server announces that it is leaving', function (this: GatewayWorld) {
  this.site.servers[0]?.drain();
});

Then(
  'no request reaches it later than {int} ms after that',
  async function (this: GatewayWorld, ms: number) {
    const id = this.site.servers[0]?.options.id;
    await waitFor(
      'the gateway to know',
      () => this.gateway.lines.some((line) => line.server === id && line.leaving === true),
      ms,
    );
    const before = this.site.journal.length;
    for (let index = 0; index < 10; index += 1) await this.site.request(this.gateway, LIST);
    const misrouted = this.site.journal.slice(before).filter(({ server }) => server === id);
    assert.equal(misrouted.length, 0);
  },
);

When(
  'the store drops its history and a second server appears',
  async function (this: GatewayWorld) {
    this.site.store.compact();
    await this.site.addServer({ id: 'plain-late', service: 'app' });
  },
);

Then('requests reach the second server', async function (this: GatewayWorld) {
  await waitFor('a request there', async () => {
    await this.site.request(this.gateway, LIST);
    return this.site.journal.some(({ server }) => server === 'plain-late');
  });
});

When(
  'the gateway is told to stop while a request is under way',
  async function (this: GatewayWorld) {
    this.lastId = this.site.nextId();
    const pending = this.site.request(this.gateway, { path: '/check/in' });
    await waitFor(
      'the request at its server',
      () => this.site.listServersThatRan(this.lastId).length > 0,
    );
    this.gateway.signal('SIGTERM');
    this.answers = [await pending];
  },
);

Then(
  'the gateway ends by itself with code {int}',
  async function (this: GatewayWorld, code: number) {
    assert.equal(await this.gateway.exited, code);
  },
);

When(
  'the gateway is told to stop while {int} callers ask on open connections',
  async function (this: GatewayWorld, callers: number) {
    this.answers = [];
    const agent = new Agent({ keepAlive: true, maxSockets: callers });
    let hasEnded = false;
    void this.gateway.exited.then(() => {
      hasEnded = true;
    });
    const requestRepeatedly = async (): Promise<void> => {
      while (!hasEnded) {
        // A connection that is refused or closed without an answer carried no request.
        const answer = await this.site
          .request(this.gateway, { ...LIST, agent })
          .catch(() => undefined);
        if (answer) this.answers.push(answer);
        else await nextTurn();
      }
    };
    const running = Array.from({ length: callers }, requestRepeatedly);
    await waitFor('some answers', () => this.answers.length > 2 * callers);
    this.gateway.signal('SIGTERM');
    await Promise.all(running);
    agent.destroy();
  },
);

Then('no answer was broken off', function (this: GatewayWorld) {
  for (const { status, whole, body } of this.answers) {
    assert.equal(status, 200, body);
    assert.ok(whole);
  }
});
