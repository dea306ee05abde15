/**
 * Decisions on lost links and on relays.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { LinkTable, RelayPeers, type RelayPeer } from '../../src/controllers/links/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { platform } from '../../platform/index.js';
import { createEngineCalls, type EngineCalls } from '../../src/gateway/backends/engine-calls.js';
import type { ProbeOutcome } from '../../src/gateway/backends/probe.js';
import type { OrderOutcome } from '../../src/ports/index.js';
import { nextAddress } from '../support/ports.js';

interface LinksWorld {
  table: LinkTable;
  now: number;
  servers: { id: string; service: string }[];
  peers: RelayPeer[];
}

const SERVICE = 'models';
const STEP_MS = 10;
const NOBODY: ReadonlySet<string> = new Set();

function serverAt({ servers }: LinksWorld, index: number): LinksWorld['servers'][number] {
  const server = servers[index];
  assert.ok(server);
  return server;
}

function lose(world: LinksWorld, count: number, afterEach: (index: number) => void): void {
  for (let index = 0; index < count; index += 1) {
    world.now += STEP_MS;
    world.table.recordLost(serverAt(world, index), world.now);
    afterEach(index);
  }
}

Given(
  'the links of a gateway to {int} servers of a service',
  function (this: LinksWorld, servers: number) {
    this.table = new LinkTable();
    this.now = 10_000;
    this.servers = Array.from({ length: servers }, (_, index) => ({
      id: `server-${index}`,
      service: SERVICE,
    }));
  },
);

When(
  'one link after the other is lost, with a sound new connection after each',
  function (this: LinksWorld) {
    const sound = { id: 'another', service: SERVICE };
    lose(this, this.servers.length, () => this.table.recordSound(sound, this.now));
  },
);

When('{int} links are lost in a row', function (this: LinksWorld, links: number) {
  lose(this, links, () => undefined);
});

When(
  '{int} links are lost in a row while old connections bring data',
  function (this: LinksWorld, links: number) {
    lose(this, links, () => {
      this.table.recordHeard(SERVICE, this.now);
    });
  },
);

When(
  '{int} servers answer nobody and the service was last heard {int} ms ago',
  function (this: LinksWorld, servers: number, ms: number) {
    this.table.recordHeard(SERVICE, this.now - ms);
    for (const server of this.servers.slice(0, servers)) this.table.recordSilent(server);
    this.table.cutOffSilent(this.now);
  },
);

When('a check of another server succeeds', function (this: LinksWorld) {
  this.now += 100;
  const change = this.table.recordSound(serverAt(this, this.servers.length - 1), this.now);
  assert.deepEqual(change, { link: false, service: true });
});

When('those servers are gone', function (this: LinksWorld) {
  const gone = new Set(this.servers.slice(0, this.table.lostCount).map(({ id }) => id));
  this.table.retain((id) => !gone.has(id));
});

Then(
  '{int} links are lost and the service is not cut off',
  function (this: LinksWorld, links: number) {
    assert.equal(this.table.lostCount, links);
    assert.ok(!this.table.isCutOff(SERVICE));
  },
);

Then('the links to all servers count as lost', function (this: LinksWorld) {
  assert.ok(this.servers.every((server) => this.table.isLost(server)));
  assert.deepEqual(this.table.listCutOff(), [SERVICE]);
  assert.ok(!this.table.isLost({ id: 'plain', service: 'app' }));
});

Then(/^the service is (cut off|not cut off)$/, function (this: LinksWorld, state: string) {
  assert.equal(this.table.isCutOff(SERVICE), state === 'cut off');
});

Then('all lost links are checked at once, and again a second later', function (this: LinksWorld) {
  assert.equal(this.table.takeDueLinks(this.now).length, this.table.lostCount);
  assert.equal(this.table.takeDueLinks(this.now + 999).length, 0);
  assert.equal(this.table.takeDueLinks(this.now + 1_000).length, this.table.lostCount);
});

Then('a link that a check finds sound is used again', function (this: LinksWorld) {
  const server = serverAt(this, 0);
  assert.ok(this.table.isLost(server));
  this.table.recordSound(server, this.now);
  assert.ok(!this.table.isLost(server));
  assert.ok(this.table.isLost(serverAt(this, 1)));
});

Given(
  '{int} gateways in {int} failure domains, of which {int} are cut off from the service',
  function (this: LinksWorld, gateways: number, domains: number, cutOff: number) {
    this.now = 10_000;
    this.peers = Array.from({ length: gateways }, (_, index) => ({
      name: `gateway-${index}`,
      address: `10.0.0.${index}:1`,
      failureDomain: `domain-${index % domains}`,
      cutOffFrom: index < cutOff ? [SERVICE] : [],
    }));
  },
);

const PREFERRED = ['domain-0', 'domain-1'];

Then(
  '{int} choices fall on gateways that reach it, in the domains of the gateway or the server',
  function (this: LinksWorld, choices: number) {
    const relays = new RelayPeers();
    const random = createRandom(1);
    const query = { service: SERVICE, preferredDomains: PREFERRED, excluded: NOBODY };
    const chosen = new Set<string>();
    for (let each = 0; each < choices; each += 1) {
      const peer = relays.choose(this.peers, query, this.now, random);
      assert.ok(peer?.cutOffFrom.length === 0 && PREFERRED.includes(peer.failureDomain));
      chosen.add(peer.name);
    }
    const fitting = this.peers.filter(
      ({ cutOffFrom, failureDomain }) =>
        cutOffFrom.length === 0 && PREFERRED.includes(failureDomain),
    );
    assert.equal(chosen.size, fitting.length);
  },
);

Then(
  'a gateway that could not relay is chosen again only when no other one is left',
  function (this: LinksWorld) {
    const relays = new RelayPeers();
    const query = { service: SERVICE, preferredDomains: PREFERRED };
    const names: string[] = [];
    for (let peer = this.peers[0]; peer && names.length < this.peers.length;) {
      const next = relays.choose(
        this.peers,
        { ...query, excluded: NOBODY },
        this.now,
        createRandom(names.length),
      );
      if (next === undefined || names.includes(next.name)) break;
      names.push(next.name);
      relays.avoid(next.name, this.now);
      peer = next;
    }
    assert.equal(
      names.length,
      this.peers.filter(({ cutOffFrom }) => cutOffFrom.length === 0).length,
    );
    const tried = { ...query, excluded: new Set(names) };
    assert.equal(relays.choose(this.peers, tried, this.now, createRandom(1)), undefined);
  },
);

Then('no gateway is chosen when all are cut off', function (this: LinksWorld) {
  const peers = this.peers.map((peer) => ({ ...peer, cutOffFrom: [SERVICE] }));
  const query = { service: SERVICE, preferredDomains: PREFERRED, excluded: NOBODY };
  assert.equal(new RelayPeers().choose(peers, query, this.now, createRandom(1)), undefined);
});

interface OrderWorld {
  calls: EngineCalls;
  outcome: OrderOutcome;
}

Given(
  /^an engine that refuses the connections of this gateway, and that other gateways (reach|miss also)$/,
  function (this: OrderWorld, see: string) {
    const confirmed: ProbeOutcome =
      see === 'reach' ? { kind: 'answers', pace: 1 } : { kind: 'gone' };
    this.calls = createEngineCalls({
      codec: platform.orders,
      onProbe: () => undefined,
      availability: { record: () => undefined, cooldownLeftMs: () => 0, isLeaving: () => false },
      links: { probeFromAll: () => Promise.resolve(confirmed) },
    });
  },
);

When('an order is sent to it', async function (this: OrderWorld) {
  const to = { id: 'engine', address: nextAddress(), startedAt: 1 };
  this.outcome = await this.calls.order({ to, order: { kind: 'stage', model: 'small' } });
  await this.calls.close();
});

Then('the outcome of the order is {string}', function (this: OrderWorld, outcome: string) {
  assert.equal(this.outcome.kind, outcome);
});
