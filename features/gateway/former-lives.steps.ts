/**
 * What gateways remember of servers that start again under their ids, driven without sockets.
 */
import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
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
import type { EngineCalls, ProbeOutcome } from '../../src/gateway/backends/short-call.js';
import { createLossFinder, type LossFinder } from '../../src/gateway/groups/losses.js';
import { createBackends, type Backends } from '../../src/gateway/requests/backends.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, ServingService } from '../../src/ports/index.js';
import { createServer, createView } from './planning-model.js';

interface FormerLivesWorld {
  clock: ManualClock;
  fleet: WritableSection<ServingFleet>;
  backends: Backends;
  engine: BackendServer;
  lastModels: (string | undefined)[];
  losses: LossFinder;
  endProbes: () => void;
  plan: GroupPlan;
  group: readonly BackendServer[];
}

const ID = 'server-1';
const SERVICE: ServingService = { name: 'app', maxConnections: 10 };
const FIRST_START = 1_700_000_000_000;
const NOBODY: ReadonlySet<string> = new Set();

function plainServer(startedAt: number): BackendServer {
  return { ...createServer(ID), service: SERVICE.name, startedAt };
}

function hear(fleet: ServingFleet, server: BackendServer): ServingFleet {
  const revision = fleet.revision + 1;
  return applyFleetChanges(fleet, [{ kind: 'present', server }], revision, 0, 0);
}

/** The parts of a gateway's context that its view of the backend servers needs. */
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
      peerLoad: createSection({ byServer: new Map(), unheard: 0 }),
    },
  };
  return context as unknown as GatewayContext;
}

Given(
  'a backend server that failed, stands still and has {int} requests under way',
  function (this: FormerLivesWorld, requests: number) {
    this.clock = createManualClock(1_000);
    this.fleet = createSection(hear(EMPTY_FLEET, plainServer(FIRST_START)));
    this.backends = createBackends(createContext(this.clock, this.fleet));
    for (let sent = 0; sent < requests; sent += 1) this.backends.sent(ID);
    this.backends.progressed(ID);
    this.backends.answered(ID, true);
    this.backends.suspect(ID, 'nothing came from it');
    assert.equal(this.backends.choose(SERVICE, undefined, NOBODY), undefined);
  },
);

When('it starts again under its id', function (this: FormerLivesWorld) {
  this.clock.advance(100);
  this.fleet.write(hear(this.fleet.read(), plainServer(FIRST_START - 1)));
});

function checkFresh({ backends }: FormerLivesWorld): void {
  const chosen = backends.choose(SERVICE, undefined, NOBODY);
  assert.equal(chosen?.failing, 0);
  assert.equal(chosen.inFlight, 0);
  assert.equal(backends.lastProgress(ID), Number.NEGATIVE_INFINITY);
  assert.deepEqual([...backends.inFlight()], []);
  assert.deepEqual(backends.suspicions.listAll(0), []);
}

Then('it is chosen, and nothing counts against it', function (this: FormerLivesWorld) {
  checkFresh(this);
});

Then(
  'news of the {int} requests change nothing of that, nor does an older finding of a peer',
  function (this: FormerLivesWorld, requests: number) {
    this.clock.advance(50);
    assert.equal(this.backends.learnSuspicion(ID, 100, 1_000), false);
    for (let ended = 0; ended < requests; ended += 1) {
      // The order of a request's run: what its sending showed is told after its end.
      this.backends.progressed(ID);
      this.backends.ended(ID);
      this.backends.answered(ID, true);
      this.backends.suspect(ID, 'nothing came from it');
      checkFresh(this);
    }
  },
);

Then(
  'once they have ended, its own failures and requests count',
  async function (this: FormerLivesWorld) {
    await nextTurn();
    this.backends.sent(ID);
    this.backends.answered(ID, true);
    const chosen = this.backends.choose(SERVICE, undefined, NOBODY);
    assert.equal(chosen?.inFlight, 1);
    assert.ok(chosen.failing > 0);
    assert.equal(this.backends.learnSuspicion(ID, 10, 1_000), true);
  },
);

Given(
  'an engine that was last ready in a replica of {string}',
  function (this: FormerLivesWorld, model: string) {
    this.engine = { ...createServer(ID, { model, staged: [] }), startedAt: FIRST_START };
  },
);

When(
  'it is heard of again in the same life, and then in another',
  function (this: FormerLivesWorld) {
    const same = { ...createServer(ID, { staged: [] }), startedAt: FIRST_START };
    let fleet = hear(EMPTY_FLEET, this.engine);
    this.lastModels = [same, { ...same, startedAt: FIRST_START + 1 }].map((server) => {
      fleet = hear(fleet, server);
      return fleet.servers.get(ID)?.engine?.lastModel;
    });
  },
);

Then(
  'its last model is {string} first, and then none',
  function (this: FormerLivesWorld, model: string) {
    assert.deepEqual(this.lastModels, [model, undefined]);
  },
);

const MEMBERS: readonly GroupMember[] = ['silent', 'slow'].map((id) => ({
  id,
  address: '10.0.0.1:80',
  startedAt: FIRST_START,
}));

Given(
  'a replica whose members are probed, one silent and one slow',
  function (this: FormerLivesWorld) {
    let end: () => void = () => undefined;
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    const probe = async ({ id }: GroupMember): Promise<ProbeOutcome> => {
      await ended;
      return id === 'silent' ? { kind: 'silent' } : { kind: 'answers', pace: 5 };
    };
    const calls = { probe } as unknown as EngineCalls;
    this.endProbes = end;
    this.losses = createLossFinder(
      createContext(createManualClock(), createSection(EMPTY_FLEET)),
      calls,
    );
    const members = [...MEMBERS];
    this.losses.examine({ name: 'g', epoch: 1, model: 'small', members, closing: 'no' }, 0);
  },
);

When('both start again before the probes end', async function (this: FormerLivesWorld) {
  this.endProbes();
  await nextTurn();
  await nextTurn();
  assert.equal(this.losses.lost.size, 1);
  assert.equal(this.losses.slow.size, 1);
  const lives = MEMBERS.map(({ id }) => `${id} ${FIRST_START + 1}`);
  this.losses.keepOnly(new Set(lives), new Set(['g']));
});

Then('neither is lost or slow', function (this: FormerLivesWorld) {
  assert.equal(this.losses.lost.size, 0);
  assert.equal(this.losses.slow.size, 0);
});

Given(
  'a planned group whose member has started again, and says that it has joined the group',
  function (this: FormerLivesWorld) {
    const members = ['head', 'member'].map((id) => ({
      id,
      address: '10.0.0.1:80',
      startedAt: FIRST_START,
    }));
    const group = { name: 'g', epoch: 1, model: 'small', members, closing: 'no' as const };
    this.plan = { lastEpoch: 1, groups: [group] };
    this.group = ['head', 'member'].map((id, rank) => ({
      ...createServer(id, { membership: { group: 'g', epoch: 1, rank, state: 'ready' } }),
      startedAt: rank === 0 ? FIRST_START : FIRST_START + 1,
    }));
  },
);

Then(
  'the next plan takes the group apart, and no order before that forms it',
  function (this: FormerLivesWorld) {
    const view = createView(this.group, { targets: [] });
    assert.deepEqual(listOrders(this.plan, view), []);
    const next = revisePlan(this.plan, view);
    assert.equal(next.groups[0]?.closing, 'preempt');
    const orders = listOrders(next, view).map(({ to, order }) => `${order.kind} ${to.id}`);
    assert.deepEqual(orders, ['leave head', 'leave member']);
  },
);

Then('a plan that names no lives is left as it is', function (this: FormerLivesWorld) {
  const groups = this.plan.groups.map((group) => ({
    ...group,
    members: group.members.map(({ id, address }) => ({ id, address })),
  }));
  const plan = { ...this.plan, groups };
  assert.equal(revisePlan(plan, createView(this.group, { targets: [] })), plan);
});
