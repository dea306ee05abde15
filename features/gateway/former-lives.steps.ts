/**
 * State kept for backend servers that restart under the same id, tested without a network.
 */
import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { FleetMembers } from '../../src/controllers/quotas/index.js';
import { createSection, type WritableSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import {
  listOrders,
  revisePlan,
  type GroupMember,
  type GroupPlan,
} from '../../src/controllers/groups/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type { EngineCalls } from '../../src/gateway/backends/engine-calls.js';
import type { ProbeOutcome } from '../../src/gateway/backends/probe.js';
import { createServerAvailability } from '../../src/gateway/backends/server-availability.js';
import {
  createMemberMonitor,
  type MemberMonitor,
} from '../../src/gateway/groups/member-monitor.js';
import {
  createBackendTracker,
  type BackendTracker,
} from '../../src/gateway/requests/backend-tracker.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, ServingService } from '../../src/ports/index.js';
import { createServer, createView } from './planning-model.js';
import { SOUND_LINKS } from './sound-links.js';

interface RestartWorld {
  clock: ManualClock;
  fleet: WritableSection<ServingFleet>;
  backends: BackendTracker;
  engine: BackendServer;
  lastModels: (string | undefined)[];
  memberMonitor: MemberMonitor;
  completeProbes: () => void;
  plan: GroupPlan;
  group: readonly BackendServer[];
}

const ID = 'server-1';
const SERVICE: ServingService = { name: 'app', maxConnections: 10 };
const FIRST_STARTED_AT = 1_700_000_000_000;
const NO_SERVERS: ReadonlySet<string> = new Set();

function plainServer(startedAt: number): BackendServer {
  return { ...createServer(ID), service: SERVICE.name, startedAt };
}

function applyEntry(fleet: ServingFleet, server: BackendServer): ServingFleet {
  const revision = fleet.revision + 1;
  return applyFleetChanges(fleet, [{ kind: 'present', server }], revision, 0, 0);
}

/** A partial gateway context, with what the tested units need. */
function createContext(clock: ManualClock, fleet: WritableSection<ServingFleet>): GatewayContext {
  const context = {
    clock,
    random: createRandom(1),
    logger: { log: () => undefined },
    metrics: { suspicions: { inc: () => undefined } },
    settings: { failureDomain: 'north', retries: { ratio: 0.2, windowMs: 10_000, slack: 10 } },
    board: {
      fleet,
      peers: createSection(new Map()),
      cutOffServices: createSection<readonly string[]>([]),
      evacuations: createSection(undefined),
      peerLoad: createSection({ byServer: new Map(), unheard: 0 }),
    },
  };
  return context as unknown as GatewayContext;
}

function createTracker({ clock, fleet }: RestartWorld, members: FleetMembers): BackendTracker {
  const context = createContext(clock, fleet);
  return createBackendTracker(context, members, createServerAvailability(context), SOUND_LINKS);
}

Given(
  'a backend server that failed, stalled and has {int} requests in flight',
  function (this: RestartWorld, requests: number) {
    this.clock = createManualClock(1_000);
    this.fleet = createSection(applyEntry(EMPTY_FLEET, plainServer(FIRST_STARTED_AT)));
    const members = new FleetMembers('gateway-0', this.clock.now());
    this.backends = createTracker(this, members);
    for (let sent = 0; sent < requests; sent += 1) this.backends.recordSent(ID);
    this.backends.recordProgress(ID);
    this.backends.recordResult(ID, true);
    this.backends.suspect(ID, 'nothing came from it', 'silent');
    assert.equal(this.backends.choose(SERVICE, undefined, NO_SERVERS), undefined);
  },
);

When('it restarts under the same id', function (this: RestartWorld) {
  this.clock.advance(100);
  this.fleet.write(applyEntry(this.fleet.read(), plainServer(FIRST_STARTED_AT - 1)));
});

function assertNoRecordedState({ backends }: RestartWorld): void {
  const chosen = backends.choose(SERVICE, undefined, NO_SERVERS);
  assert.equal(chosen?.failureRate, 0);
  assert.equal(chosen.inFlight, 0);
  assert.equal(backends.lastProgressAt(ID), Number.NEGATIVE_INFINITY);
  assert.deepEqual([...backends.inFlight()], []);
  assert.deepEqual(backends.suspicions.listAll(0), []);
}

Then('it is selected, with no recorded failures or load', function (this: RestartWorld) {
  assertNoRecordedState(this);
});

Then(
  'late results of the {int} requests do not change that, nor does an older suspicion of a peer',
  function (this: RestartWorld, requests: number) {
    this.clock.advance(50);
    assert.equal(this.backends.adoptPeerSuspicion(ID, 100, 1_000), false);
    for (let ended = 0; ended < requests; ended += 1) {
      // As in a real request, results are reported after its end.
      this.backends.recordProgress(ID);
      this.backends.recordEnded(ID);
      this.backends.recordResult(ID, true);
      this.backends.suspect(ID, 'nothing came from it', 'silent');
      assertNoRecordedState(this);
    }
  },
);

Then(
  'after they have ended, its own failures and requests are counted',
  async function (this: RestartWorld) {
    await nextTurn();
    this.backends.recordSent(ID);
    this.backends.recordResult(ID, true);
    const chosen = this.backends.choose(SERVICE, undefined, NO_SERVERS);
    assert.equal(chosen?.inFlight, 1);
    assert.ok(chosen.failureRate > 0);
    assert.equal(this.backends.adoptPeerSuspicion(ID, 10, 1_000), true);
  },
);

Given(
  'an engine that was last ready in a replica of {string}',
  function (this: RestartWorld, model: string) {
    this.engine = { ...createServer(ID, { model, staged: [] }), startedAt: FIRST_STARTED_AT };
  },
);

When(
  'its entry is updated by the same process, and then by a restarted one',
  function (this: RestartWorld) {
    const same = { ...createServer(ID, { staged: [] }), startedAt: FIRST_STARTED_AT };
    let fleet = applyEntry(EMPTY_FLEET, this.engine);
    this.lastModels = [same, { ...same, startedAt: FIRST_STARTED_AT + 1 }].map((server) => {
      fleet = applyEntry(fleet, server);
      return fleet.servers.get(ID)?.engine?.lastModel;
    });
  },
);

Then(
  'its last model is {string} first, and then none',
  function (this: RestartWorld, model: string) {
    assert.deepEqual(this.lastModels, [model, undefined]);
  },
);

const MEMBERS: readonly GroupMember[] = ['silent', 'slow'].map((id) => ({
  id,
  address: '10.0.0.1:80',
  startedAt: FIRST_STARTED_AT,
}));

Given('a replica whose members are probed, one silent and one slow', function (this: RestartWorld) {
  let complete: () => void = () => undefined;
  const completed = new Promise<void>((resolve) => {
    complete = resolve;
  });
  const probe = async ({ id }: GroupMember): Promise<ProbeOutcome> => {
    await completed;
    return id === 'silent' ? { kind: 'silent' } : { kind: 'answers', pace: 5 };
  };
  const calls = { probe } as unknown as EngineCalls;
  this.completeProbes = complete;
  this.memberMonitor = createMemberMonitor(
    createContext(createManualClock(), createSection(EMPTY_FLEET)),
    calls,
  );
  const members = [...MEMBERS];
  this.memberMonitor.checkGroup({ name: 'g', epoch: 1, model: 'small', members, closing: 'no' }, 0);
});

When('both restart before the probes complete', async function (this: RestartWorld) {
  this.completeProbes();
  await nextTurn();
  await nextTurn();
  assert.equal(this.memberMonitor.lost.size, 1);
  assert.equal(this.memberMonitor.slow.size, 1);
  const incarnationKeys = MEMBERS.map(({ id }) => `${id} ${FIRST_STARTED_AT + 1}`);
  this.memberMonitor.retain(new Set(incarnationKeys), new Set(['g']));
});

Then('neither is lost or slow', function (this: RestartWorld) {
  assert.equal(this.memberMonitor.lost.size, 0);
  assert.equal(this.memberMonitor.slow.size, 0);
});

Given(
  'a planned group whose member has restarted and reports that it has joined the group',
  function (this: RestartWorld) {
    const members = ['head', 'member'].map((id) => ({
      id,
      address: '10.0.0.1:80',
      startedAt: FIRST_STARTED_AT,
    }));
    const group = { name: 'g', epoch: 1, model: 'small', members, closing: 'no' as const };
    this.plan = { lastEpoch: 1, groups: [group] };
    this.group = ['head', 'member'].map((id, rank) => ({
      ...createServer(id, { membership: { group: 'g', epoch: 1, rank, state: 'ready' } }),
      startedAt: rank === 0 ? FIRST_STARTED_AT : FIRST_STARTED_AT + 1,
    }));
  },
);

Then(
  'the next plan disbands the group, and no earlier order forms it',
  function (this: RestartWorld) {
    const view = createView(this.group, { targets: [] });
    assert.deepEqual(listOrders(this.plan, view), []);
    const next = revisePlan(this.plan, view);
    assert.equal(next.groups[0]?.closing, 'preempt');
    const orders = listOrders(next, view).map(({ to, order }) => `${order.kind} ${to.id}`);
    assert.deepEqual(orders, ['leave head', 'leave member']);
  },
);

Then(
  'a plan without start times is marked as formed once, and then left unchanged',
  function (this: RestartWorld) {
    const groups = this.plan.groups.map((group) => ({
      ...group,
      members: group.members.map(({ id, address }) => ({ id, address })),
    }));
    const plan = { ...this.plan, groups };
    const view = createView(this.group, { targets: [] });
    const marked = revisePlan(plan, view);
    // Nothing is known of the answers to orders of the former version.
    const marks = { formed: true, lateJoins: ['head', 'member'] };
    assert.deepEqual(marked, {
      ...plan,
      groups: groups.map((group) => ({ ...group, ...marks })),
      fleetRevision: view.fleetRevision,
    });
    assert.equal(revisePlan(marked, view), marked);
  },
);
