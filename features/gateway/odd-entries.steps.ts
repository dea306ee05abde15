/**
 * Entries and plans of another writer with values that no engine or gateway writes, read by a gateway.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import type { LogLine } from './site.js';
import type { GatewayWorld } from './world.js';

type Json = Record<string, unknown>;

const ODD = 'odd-engine';
const LEVELS = 100_000;
/** Nobody listens there. */
const UNUSED_ADDRESS = '127.0.0.1:9';
const LATEST_CHANGE_MS = 2_000;
const UNCALLABLE_ADDRESSES = ['256.1.1.1:8080', '1.2.3.4.5:8080', 'xn--a:8080', '0x100000000:80'];
const FAILURES: ReadonlySet<unknown> = new Set([
  'unexpectedError',
  'planUnread',
  'planUnreadable',
  'planNotWritten',
  'storeLost',
]);

/** What stands in the store's answers for texts that `JSON.stringify` can't make. */
const RAW_VALUES: Readonly<Record<string, string>> = {
  '"raw:nested"': '['.repeat(LEVELS) + ']'.repeat(LEVELS),
  '"raw:infinite"': '1e400',
  '"raw:inexact"': '9007199254740993',
};

function withRawValues(text: string): string {
  return Object.entries(RAW_VALUES).reduce((raw, [mark, by]) => raw.replaceAll(mark, by), text);
}

interface OddObject {
  name?: string;
  metadata?: Json;
  spec?: Json;
}

const ODDITIES: Readonly<Record<string, OddObject>> = {
  'a domain of 100000 characters': { spec: { domain: 'd'.repeat(100_000) } },
  'a domain that is half a character': { spec: { domain: '\ud800' } },
  'the highest epoch': {
    spec: { group: { name: 'odd', epoch: Number.MAX_SAFE_INTEGER, rank: 0, state: 'open' } },
  },
  'an address that is no number of four parts': { spec: { address: '256.1.1.1:8080' } },
  'an address in no alphabet': { spec: { address: 'xn--a:8080' } },
  'an id of 60000 characters': { name: 'i'.repeat(60_000) },
  'a million characters of staged models': { spec: { staged: ['s'.repeat(1_000_000)] } },
  '100000 arrays in each other as its group': { spec: { group: 'raw:nested' } },
  '100000 arrays in each other as unknown field': { spec: { other: 'raw:nested' } },
  'a number of slots beyond all numbers': { spec: { slots: 'raw:infinite' } },
  'a start beyond all exact numbers': { spec: { born: 'raw:inexact' } },
  'a cold time beyond all numbers': { spec: { cold_remaining_ms: 'raw:infinite' } },
  'a revision beyond all exact numbers': { metadata: { revision: 'raw:inexact' } },
  'a revision beyond all numbers': { metadata: { revision: 'raw:infinite' } },
  'finalizers that are objects': { metadata: { finalizers: [{ a: 'raw:nested' }] } },
  'the name of a prototype': { name: '__proto__' },
};

Given(
  /^another writer adds an entry of an engine with (.*)$/,
  function (this: GatewayWorld, what: string) {
    const odd = ODDITIES[what];
    assert.ok(odd, what);
    const { site } = this;
    const sound = site.store.read('servers', site.servers[0]?.options.id ?? '') as Json;
    const name = odd.name ?? ODD;
    site.store.putRaw('servers', name, {
      metadata: { name, revision: 1, ...odd.metadata },
      spec: { ...sound, address: UNUSED_ADDRESS, group: null, ...odd.spec },
    });
  },
);

Given('a gateway that is ready and reads it', async function (this: GatewayWorld) {
  const plan = this.site.planGateway(await this.site.store.openView(withRawValues));
  this.gateway = await this.site.launch(plan);
  await this.site.waitUntilReady(this.gateway);
});

Then(
  '{int} groups of different epochs are open in the end',
  async function (this: GatewayWorld, groups: number) {
    await this.site.waitForOpenGroups(groups);
    const epochs = this.site.listOpen().map(({ membership }) => membership?.epoch);
    assert.equal(new Set(epochs).size, groups, epochs.join());
    assert.ok(epochs.every(Number.isSafeInteger), epochs.join());
  },
);

Then('the gateway has logged no failure of its own or of the store', function (this: GatewayWorld) {
  const failures = this.gateway.lines.filter(({ name }) => FAILURES.has(name));
  assert.equal(failures.length, 0, JSON.stringify(failures).slice(0, 1_000));
});

Then(
  'a change of an engine is in force within the usual time',
  async function (this: GatewayWorld) {
    const id = this.site.servers[0]?.options.id ?? '';
    const entry = this.site.store.read('servers', id) as Json;
    this.site.store.put('servers', id, { ...entry, state: 'draining' });
    const isKnown = ({ name, server, leaving }: LogLine): boolean =>
      name === 'serverChanged' && server === id && leaving === true;
    await waitFor('the change', () => this.gateway.lines.some(isKnown), LATEST_CHANGE_MS);
  },
);

When(
  "another writer adds entries whose addresses can't be called",
  async function (this: GatewayWorld) {
    const { store, servers } = this.site;
    const sound = store.read('servers', servers[0]?.options.id ?? '') as Json;
    UNCALLABLE_ADDRESSES.forEach((address, index) => {
      store.put('servers', `odd-${index}`, { ...sound, address });
    });
    await waitFor('the gateway to know', () =>
      this.gateway.lines.some(({ server }) => server === `odd-${UNCALLABLE_ADDRESSES.length - 1}`),
    );
  },
);

Then(
  '{int} requests are answered, and the gateway has logged each of the entries once',
  async function (this: GatewayWorld, requests: number) {
    for (let index = 0; index < requests; index += 1) {
      const answer = await this.site.request(this.gateway, { path: '/list/slots' });
      assert.equal(answer.status, 200, answer.body);
    }
    const logged = this.gateway.lines.filter(({ name }) => name === 'serverEntryRejected');
    const ids = UNCALLABLE_ADDRESSES.map((_, index) => `odd-${index}`);
    assert.deepEqual(logged.map(({ server }) => server).sort(), ids);
  },
);

const ODD_PLANS: Readonly<Record<string, unknown>> = {
  'a text': 'a text',
  'the highest epoch': { lastEpoch: Number.MAX_SAFE_INTEGER, groups: [] },
  '100000 arrays in each other as its groups': { lastEpoch: 3, groups: 'raw:nested' },
};

Given(
  /^another writer has left (.*) in place of a plan$/,
  function (this: GatewayWorld, what: string) {
    const { store, servers } = this.site;
    const { service, domain } = store.read('servers', servers[0]?.options.id ?? '') as Json;
    store.put('group-plans', `${String(service)}.${String(domain)}`, ODD_PLANS[what]);
  },
);

Then(
  'the gateway has logged {string} at most {int} times',
  function (this: GatewayWorld, event: string, most: number) {
    const logged = this.gateway.lines.filter(({ name }) => name === event);
    assert.ok(logged.length <= most, JSON.stringify(logged.slice(0, 3)));
  },
);
