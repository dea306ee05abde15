/**
 * Target selection after refusals, without a network and on a manual clock.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createSection, type WritableSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { FleetMembers } from '../../src/controllers/quotas/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createServerAvailability } from '../../src/gateway/backends/server-availability.js';
import {
  createBackendTracker,
  type BackendTracker,
} from '../../src/gateway/requests/backend-tracker.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, ServingService } from '../../src/ports/index.js';
import { createServer } from './planning-model.js';
import { SOUND_LINKS } from './sound-links.js';

interface RefusalWorld {
  clock: ManualClock;
  fleetSection: WritableSection<ServingFleet>;
  backends: BackendTracker;
  ids: string[];
}

const SERVICE: ServingService = { name: 'app', maxConnections: 10 };
const FIRST = 'server-0';
const CHOICES = 60;

function applyEntry(fleet: ServingFleet, server: BackendServer): ServingFleet {
  return applyFleetChanges(fleet, [{ kind: 'present', server }], fleet.revision + 1, 0, 0);
}

/** Whether the first server is among many choices. */
function choosesFirst({ backends }: RefusalWorld, excluded: readonly string[] = []): boolean {
  const choices = Array.from(
    { length: CHOICES },
    () => backends.choose(SERVICE, undefined, new Set(excluded))?.target.server.id,
  );
  return choices.includes(FIRST);
}

Given('a gateway that knows {int} backend servers', function (this: RefusalWorld, count: number) {
  this.ids = Array.from({ length: count }, (_, index) => `server-${index}`);
  this.clock = createManualClock(1_000);
  const plain = this.ids.map((id) => ({ ...createServer(id), service: SERVICE.name }));
  this.fleetSection = createSection(plain.reduce(applyEntry, EMPTY_FLEET));
  const context = {
    clock: this.clock,
    random: createRandom(1),
    logger: { log: () => undefined },
    metrics: {},
    settings: { failureDomain: 'north', retries: { ratio: 0.2, windowMs: 10_000, slack: 10 } },
    board: {
      fleet: this.fleetSection,
      cutOffServices: createSection<readonly string[]>([]),
      evacuations: createSection(undefined),
      peerLoad: createSection({ byServer: new Map(), unheard: 0, isLate: false }),
    },
  } as unknown as GatewayContext;
  const members = new FleetMembers('gateway-0', this.clock.now());
  const availability = createServerAvailability(context);
  this.backends = createBackendTracker(context, members, availability, SOUND_LINKS);
  assert.ok(choosesFirst(this));
});

When('the first refuses a request with {int}', function (this: RefusalWorld, status: number) {
  const server = this.fleetSection.read().servers.get(FIRST);
  assert.ok(server);
  this.backends.recordRefusal(server, status);
});

When('the entry of the first changes', function (this: RefusalWorld) {
  const fleet = this.fleetSection.read();
  const server = fleet.servers.get(FIRST);
  assert.ok(server);
  this.fleetSection.write(applyEntry(fleet, { ...server, address: 'other:1' }));
});

Then(
  'it is not chosen within {int} ms, and is chosen again after {int} ms',
  function (this: RefusalWorld, withinMs: number, endMs: number) {
    assert.ok(!choosesFirst(this));
    this.clock.advance(withinMs);
    assert.ok(!choosesFirst(this));
    this.clock.advance(endMs - withinMs);
    assert.ok(choosesFirst(this));
  },
);

Then('the gateway still chooses it if no other server is left', function (this: RefusalWorld) {
  const server = this.fleetSection.read().servers.get(FIRST);
  assert.ok(server);
  this.backends.recordRefusal(server, 421);
  const others = this.ids.filter((id) => id !== FIRST);
  assert.ok(!choosesFirst(this));
  assert.ok(choosesFirst(this, others));
});

Then('it is chosen again', function (this: RefusalWorld) {
  assert.ok(choosesFirst(this));
});
