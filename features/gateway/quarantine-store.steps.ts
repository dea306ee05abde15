/**
 * What the quarantine of one gateway tells its entry in the store, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { okAsync } from 'neverthrow';
import { digestSchema, type Digest, type KnownPeer } from '../../src/controllers/peering/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type { EngineCalls } from '../../src/gateway/backends/engine-calls.js';
import { createGatewayRegistration } from '../../src/gateway/peers/registration.js';
import { createQuarantine, type Quarantine } from '../../src/gateway/requests/quarantine.js';
import type { FleetMembers } from '../../src/controllers/quotas/index.js';
import type { ObjectStore } from '../../src/gateway/store/client.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { StoreObject } from '../../src/ports/index.js';
import { waitFor } from '../support/waiting.js';
import { createServer } from './planning-model.js';

interface StoreWorld {
  quarantine: Quarantine;
  clock: ManualClock;
  stored: StoredEntry | undefined;
  writes: number;
  storedEntries: readonly StoreObject[];
  peers: KnownPeer[];
}

/** What the store holds of a gateway. */
interface StoredEntry {
  quarantined: readonly { fingerprint: string }[];
}

const FINGERPRINT = 'x';
const NOW = 1_000;

function createContext(clock = createManualClock(NOW)): GatewayContext {
  const context = {
    board: { fleet: { subscribe: () => undefined } },
    clock,
    incarnation: 'life-1',
    logger: { log: () => undefined },
    metrics: { quarantined: { inc: () => undefined } },
  };
  return context as unknown as GatewayContext;
}

function createObservedQuarantine(world: StoreWorld, context = createContext()): void {
  const calls: Pick<EngineCalls, 'probe'> = { probe: () => Promise.resolve({ kind: 'gone' }) };
  world.writes = 0;
  world.quarantine = createQuarantine(context, calls);
  world.quarantine.onQuarantine(() => {
    world.writes += 1;
  });
}

Given('a gateway under whose request no server has ended', function (this: StoreWorld) {
  createObservedQuarantine(this);
});

Given('a gateway under whose request a server has ended', async function (this: StoreWorld) {
  createObservedQuarantine(this);
  await recordEnd(this);
});

async function recordEnd({ quarantine }: StoreWorld): Promise<void> {
  quarantine.recordBroken([FINGERPRINT], createServer('server-0'));
  await waitFor('the end to be reported', () => quarantine.buildDigest().reports?.length);
}

Given(
  'a gateway that has been told to stop, under whose request a server has ended',
  async function (this: StoreWorld) {
    const context = createContext();
    createObservedQuarantine(this, context);
    const store = {
      write: (_kind: string, _name: string, entry: StoredEntry) => {
        this.stored = entry;
        return okAsync({ kind: 'written', object: { revision: 1 } });
      },
    };
    const registration = createGatewayRegistration({
      context,
      store: store as unknown as ObjectStore,
      self: { name: 'gateway-0', address: '10.0.0.1:9000', failureDomain: 'north' },
      members: { isCounted: true } as unknown as FleetMembers,
      quarantine: this.quarantine,
      onPeer: () => undefined,
    });
    registration.stop();
    await recordEnd(this);
  },
);

When('an answer to the request arrives', function (this: StoreWorld) {
  this.quarantine.recordAnswered([FINGERPRINT], NOW + 1);
});

When('another gateway reports two more ends under it', function (this: StoreWorld) {
  const reports = ['server-1', 'server-2'].map((server) => ({
    kind: 'serverEnded',
    fingerprint: FINGERPRINT,
    server,
    ageMs: 0,
  }));
  this.quarantine.mergeDigest({ name: 'gateway-1', reports } as unknown as Digest);
});

When('another gateway tells of the quarantine', function (this: StoreWorld) {
  const quarantined = [{ fingerprint: FINGERPRINT, ageMs: 100, leftMs: 500_000 }];
  this.quarantine.mergeDigest({ name: 'gateway-1', quarantined } as unknown as Digest);
});

Then(
  'the request is in quarantine, and its gateway has nothing to store',
  function (this: StoreWorld) {
    assert.notEqual(this.quarantine.leftMs([FINGERPRINT]), undefined);
    assert.equal(this.writes, 0);
  },
);

Then('the request is in quarantine, and its gateway is to store that', function (this: StoreWorld) {
  assert.notEqual(this.quarantine.leftMs([FINGERPRINT]), undefined);
  assert.equal(this.writes, 1);
});

Then('its entry in the store names the request', async function (this: StoreWorld) {
  await waitFor('the entry to name it', () => listStored(this).includes(FINGERPRINT));
});

Then('its entry in the store names no request', async function (this: StoreWorld) {
  await waitFor('the entry to name none', () => listStored(this).length === 0);
});

function listStored({ stored }: StoreWorld): string[] {
  return stored?.quarantined.map(({ fingerprint }) => fingerprint) ?? [];
}

Given(
  'a gateway to which a server has closed the connections of {string}, {string} and {string} after their responses',
  function (this: StoreWorld, first: string, second: string, third: string) {
    this.clock = createManualClock(NOW);
    createObservedQuarantine(this, createContext(this.clock));
    for (const request of [first, second, third])
      this.quarantine.recordClosed([request], createServer('server-0'), NOW);
  },
);

When(
  '{int} ms pass, and the server ends under {string}',
  async function (this: StoreWorld, passedMs: number, request: string) {
    this.clock.advance(passedMs);
    this.quarantine.recordBroken([request], createServer('server-0'));
    await waitFor('the end to be reported', () => this.quarantine.buildDigest().reports?.length);
  },
);

Then('the gateway reports the end for {string} alone', function (this: StoreWorld, name: string) {
  const reports = this.quarantine.buildDigest().reports ?? [];
  assert.deepEqual(
    reports.map(({ fingerprint }) => fingerprint),
    [name],
  );
});

const SELF: KnownPeer = { name: 'gateway-0', address: '10.0.0.1:9000', failureDomain: 'north' };
const SOUND: KnownPeer = { ...SELF, name: 'gateway-1', address: '10.0.0.2:9000' };
const HUGE_TEXT = 'x'.repeat(900_000);
const MAX_DIGEST_CHARACTERS = 300_000;

Given(
  "entries of gateways with a huge fingerprint, a huge address, times beyond the calendar and another's name",
  function (this: StoreWorld) {
    const until = Date.now() + 60_000;
    const values = [
      SOUND,
      { quarantined: [{ fingerprint: HUGE_TEXT, since: 0, until }] },
      { ...SOUND, name: 'odd-2', address: HUGE_TEXT },
      { quarantined: [{ fingerprint: 'y', since: -Number.MAX_VALUE, until: Number.MAX_VALUE }] },
      { ...SOUND, address: '256.1.1.1:1' },
    ];
    this.storedEntries = values.map((value, index) => ({
      name: index === 0 ? SOUND.name : `odd-${index}`,
      revision: index + 1,
      value,
    }));
  },
);

When('a gateway registers and reads them', async function (this: StoreWorld) {
  const context = createContext();
  createObservedQuarantine(this, context);
  this.peers = [];
  const store = {
    write: () => okAsync({ kind: 'written', object: { revision: 1 } }),
    list: () => okAsync({ objects: this.storedEntries, more: false, revision: 9 }),
  };
  const members = {
    isCounted: true,
    observeList: () => undefined,
    listForgettable: () => [],
    restoreEntry: () => undefined,
  };
  const registration = createGatewayRegistration({
    context: { ...context, random: createRandom(1) },
    store: store as unknown as ObjectStore,
    self: SELF,
    members: members as unknown as FleetMembers,
    quarantine: this.quarantine,
    onPeer: (peer) => this.peers.push(peer),
  });
  await registration.register();
  registration.close();
});

Then(
  'it knows the sound gateway alone, and its digest is one that others accept',
  function (this: StoreWorld) {
    assert.deepEqual(this.peers, [SOUND]);
    const digest = {
      ...SELF,
      incarnation: 'life-1',
      storeReachable: true,
      stopping: false,
      hasServed: false,
      configurationVersion: 1,
      fleetRevision: 1,
      load: [],
      suspicions: [],
      known: this.peers,
      ...this.quarantine.buildDigest(),
    };
    const message = JSON.stringify(digest);
    assert.ok(message.length <= MAX_DIGEST_CHARACTERS, `${message.length} characters`);
    const read = digestSchema.safeParse(JSON.parse(message));
    assert.ok(read.success, read.error?.message);
  },
);
