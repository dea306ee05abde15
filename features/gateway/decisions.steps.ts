import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  applyFleetChanges,
  listChanges,
  EMPTY_FLEET,
  EventStream,
  expireVanished,
  QueueLimit,
  RepeatBudget,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import {
  EMPTY_PLAN,
  listOrders,
  revisePlan,
  splitDomains,
  splitLoads,
  type DomainCapacity,
  type DomainTargets,
  type DomainView,
  type DueOrder,
  type GroupPlan,
} from '../../src/controllers/groups/index.js';
import type {
  BackendServer,
  EngineProfile,
  GroupModel,
  MembershipState,
} from '../../src/ports/index.js';

const LARGE: GroupModel = { name: 'large', size: 4, pace: 1, share: 0.5, loadMs: 16, warmMs: 2 };
const SMALL: GroupModel = { name: 'small', size: 2, pace: 0.6, share: 0.5, loadMs: 12, warmMs: 1 };
const PROFILE: EngineProfile = {
  models: [LARGE, SMALL],
  slots: 12,
  stride: 5,
  stepMs: 8,
  stepPerRequestMs: 0.1,
  promptTokensPerMs: 46,
  promptChunk: 2_048,
  loadsAtOnce: 7,
  loadsPerSecond: 5,
  formMs: 300,
};
const SEED = 7_411;
const STATES: readonly MembershipState[] = ['joining', 'ready', 'open', 'closing', 'broken'];

/** One round: the plan before and after, what was seen, and the orders. */
interface PlannedRound {
  before: GroupPlan;
  after: GroupPlan;
  view: DomainView;
  orders: DueOrder[];
}

interface DecisionWorld {
  rounds: PlannedRound[];
  view: DomainView;
  outcomes: boolean[];
  repeats: { at: number; requests: number; repeats: number }[][];
  domains: DomainCapacity[];
  split: DomainTargets;
  fleet: ServingFleet;
  counts: number[];
  limit: QueueLimit;
}

function createServer(id: string, engine: Partial<BackendServer['engine']> = {}): BackendServer {
  return {
    id,
    service: 'models',
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'north',
    slots: 12,
    leaving: false,
    engine: { fabricDomain: 'fabric', staged: ['small', 'large'], ...engine },
  };
}

function createView(
  servers: readonly BackendServer[],
  other: Partial<DomainView> = {},
): DomainView {
  return {
    profile: PROFILE,
    targets: [
      { model: LARGE, groups: 1 },
      { model: SMALL, groups: 2 },
    ],
    servers: new Map(servers.map((server) => [server.id, server])),
    lost: new Set(),
    slow: new Set(),
    staging: new Map(),
    loadSlots: 2,
    beforeTraffic: false,
    failed: new Set(),
    ...other,
  };
}

/** What one instance reports of the plan in a round, drawn from `draw`. */
function drawServer(id: string, plan: GroupPlan, draw: () => number): BackendServer {
  const group = plan.groups.find(({ members }) => members.some((member) => member.id === id));
  const staged = [['small'], ['large'], [], ['small', 'large']][draw() % 4] ?? [];
  const leaving = draw() % 12 === 0;
  const kind = draw() % 5;
  const state = STATES[draw() % STATES.length] ?? 'ready';
  const common = { staged, lastModel: draw() % 2 === 0 ? 'small' : 'large' };
  if (kind === 0) return { ...createServer(id, common), leaving };
  const known = group ?? { name: 'unknown', epoch: 1, members: [] };
  const rank = group ? group.members.findIndex((member) => member.id === id) : 0;
  if (kind === 1 && !group) {
    const membership = { group: known.name, epoch: known.epoch, rank, state };
    return { ...createServer(id, { ...common, membership }), leaving };
  }
  if (!group) return { ...createServer(id, common), leaving };
  const membership = { group: group.name, epoch: group.epoch, rank, state };
  return { ...createServer(id, { ...common, membership }), leaving };
}

const ROUNDS = 6;
const INSTANCES = 11;

function planDomain(draws: readonly number[]): PlannedRound[] {
  let next = 0;
  const draw = (): number => {
    next += 1;
    return draws[next % draws.length] ?? 0;
  };
  const rounds: PlannedRound[] = [];
  let plan = EMPTY_PLAN;
  for (let round = 0; round < ROUNDS; round += 1) {
    const ids = Array.from({ length: INSTANCES }, (_, index) => `i-${index}`);
    const servers = ids.filter(() => draw() % 9 !== 0).map((id) => drawServer(id, plan, draw));
    const view = createView(servers, {
      lost: new Set(ids.filter(() => draw() % 10 === 0)),
      slow: new Set(ids.filter(() => draw() % 8 === 0)),
    });
    const after = revisePlan(plan, view);
    rounds.push({ before: plan, after, view, orders: listOrders(after, view) });
    plan = after;
  }
  return rounds;
}

When(
  '{int} random fabric domains are planned for several rounds',
  function (this: DecisionWorld, domains: number) {
    const draws = fc.array(fc.nat({ max: 10_000 }), { minLength: 300, maxLength: 400 });
    this.rounds = fc.sample(draws, { numRuns: domains, seed: SEED }).flatMap(planDomain);
    const formed = this.rounds.filter(({ before, after }) => after.lastEpoch > before.lastEpoch);
    const opened = this.rounds.flatMap(({ orders }) => orders).filter(isOpen);
    assert.ok(formed.length > domains && opened.length > 0, 'the draws must reach what is checked');
  },
);

function isOpen({ order }: DueOrder): boolean {
  return order.kind === 'open';
}

Then('no plan has an instance in two groups', function (this: DecisionWorld) {
  for (const { after } of this.rounds) {
    const ids = after.groups.flatMap(({ members }) => members.map(({ id }) => id));
    assert.equal(new Set(ids).size, ids.length);
  }
});

Then(
  'each new group has the size of its model and members that reported no group',
  function (this: DecisionWorld) {
    for (const { before, after, view } of this.rounds) {
      const known = new Set(before.groups.map(({ name }) => name));
      for (const group of after.groups.filter(({ name }) => !known.has(name))) {
        assert.equal(group.members.length, group.model === 'large' ? 4 : 2);
        for (const { id } of group.members) {
          assert.equal(view.servers.get(id)?.engine?.membership, undefined);
          assert.ok(!view.lost.has(id) && view.servers.get(id)?.leaving === false);
        }
      }
    }
  },
);

Then(
  'a head is told to open only when every member is ready in just this forming',
  function (this: DecisionWorld) {
    for (const { after, view, orders } of this.rounds) {
      for (const { to, order } of orders) {
        if (order.kind !== 'open') continue;
        const group = after.groups.find(({ name }) => name === order.group);
        assert.ok(group);
        assert.equal(group.members[0]?.id, to.id);
        for (const { id } of group.members) {
          const membership = view.servers.get(id)?.engine?.membership;
          assert.equal(membership?.state, 'ready');
          assert.equal(membership.group, order.group);
          assert.equal(membership.epoch, order.epoch);
        }
      }
    }
  },
);

Given(
  'a domain whose plan is empty and an instance that is ready in an unknown group',
  function (this: DecisionWorld) {
    const membership = { group: 'gone', epoch: 4, rank: 0, state: 'ready' as const };
    this.view = createView([createServer('i-1', { membership }), createServer('i-2')]);
  },
);

Given(
  'a domain where {int} idle instances have the weights of {string} and {int} have none',
  function (this: DecisionWorld, idle: number, model: string, bare: number) {
    const servers = [
      ...Array.from({ length: idle }, (_, i) => createServer(`idle-${i}`, { staged: [model] })),
      ...Array.from({ length: bare }, (_, i) => createServer(`bare-${i}`, { staged: [] })),
    ];
    this.view = createView(servers, { loadSlots: bare });
  },
);

Then(
  'the weights of {string} are brought to {int} of them',
  function (this: DecisionWorld, model: string, loads: number) {
    const orders = this.rounds.flatMap((round) => round.orders).map(({ order }) => order);
    const staged = orders.filter((order) => order.kind === 'stage').map((order) => order.model);
    assert.deepEqual(staged, new Array(loads).fill(model));
  },
);

const demands = fc.uniqueArray(
  fc.record({ domain: fc.string({ minLength: 1, maxLength: 3 }), bare: fc.nat({ max: 12 }) }),
  { selector: ({ domain }) => domain, minLength: 1, maxLength: 12 },
);

Then(
  'whatever instances lack weights, all domains together load at most what it bears',
  function () {
    const property = fc.property(demands, fc.integer({ min: 1, max: 30 }), (wanted, atOnce) => {
      const slots = [...splitLoads(wanted, atOnce).values()];
      assert.equal(
        slots.reduce((sum, count) => sum + count, 0),
        atOnce,
      );
    });
    fc.assert(property, { seed: SEED });
  },
);

Then(
  'a domain gets as many as it has instances without weights before another gets more',
  function () {
    const property = fc.property(demands, fc.integer({ min: 1, max: 30 }), (wanted, atOnce) => {
      const slots = splitLoads(wanted, atOnce);
      const served = wanted.map(({ domain, bare }) => (slots.get(domain) ?? 0) - bare);
      const isShort = served.some((surplus) => surplus < 0);
      assert.ok(!isShort || served.every((surplus) => surplus <= 0));
    });
    fc.assert(property, { seed: SEED });
  },
);

Given(
  'a service whose targets take {int} requests, and a gateway that has been refused at one with {int}',
  function (this: DecisionWorld, _places: number, inFlight: number) {
    this.limit = new QueueLimit();
    this.limit.recordRefusal({ inFlight, slots: 12, tookMs: 2 }, 0);
  },
);

Then(
  'it sends nothing to a target with {int}, and sends to one with {int}',
  function (this: DecisionWorld, full: number, free: number) {
    assert.equal(this.limit.isFull(full, 0), true);
    assert.equal(this.limit.isFull(free, 0), false);
  },
);

Then(
  'after {int} seconds without a refusal it tries one with {int} again',
  function (this: DecisionWorld, seconds: number, inFlight: number) {
    assert.equal(this.limit.isFull(inFlight, 0), true);
    assert.equal(this.limit.isFull(inFlight, seconds * 1_000), false);
  },
);

Then(
  'a refusal at a target with free slots, or after a second, changes nothing',
  function (this: DecisionWorld) {
    this.limit.recordRefusal({ inFlight: 3, slots: 12, tookMs: 2 }, 0);
    this.limit.recordRefusal({ inFlight: 20, slots: 12, tookMs: 1_000 }, 0);
    assert.equal(this.limit.isFull(35, 0), false);
  },
);

When('the domain is planned', function (this: DecisionWorld) {
  const after = revisePlan(EMPTY_PLAN, this.view);
  const orders = listOrders(after, this.view);
  this.rounds = [{ before: EMPTY_PLAN, after, view: this.view, orders }];
});

Then(
  'the instance is told to leave and is in no group of the plan',
  function (this: DecisionWorld) {
    const [round] = this.rounds;
    assert.ok(round);
    assert.deepEqual(round.after.groups, []);
    const leaves = round.orders.filter(({ order }) => order.kind === 'leave');
    assert.deepEqual(
      leaves.map(({ to, order }) => [to.id, order]),
      [['i-1', { kind: 'leave', group: 'gone', epoch: 4 }]],
    );
  },
);

function renderEvents(count: number): string {
  return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: t${index}\n\n`).join(
    '',
  );
}

/** Pushes `text` in pieces of `sizes` and stops after `stopAt` bytes. */
function pushPieces(
  stream: EventStream,
  text: string,
  sizes: readonly number[],
  stopAt: number,
): string {
  const bytes = Buffer.from(text).subarray(0, stopAt);
  let passed = '';
  for (let start = 0, piece = 0; start < bytes.length; piece += 1) {
    const end = start + (sizes[piece % sizes.length] ?? 1);
    const part = stream.push(bytes.subarray(start, end));
    if (part.kind === 'gap') return 'an event is missing';
    passed += part.bytes.toString();
    start = end;
  }
  return passed;
}

When(
  '{int} random streams are cut at random bytes and gone on with',
  function (this: DecisionWorld, streams: number) {
    const cases = fc.tuple(
      fc.integer({ min: 1, max: 40 }),
      fc.nat({ max: 900 }),
      fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1, maxLength: 8 }),
      fc.nat({ max: 3 }),
    );
    this.outcomes = fc
      .sample(cases, { numRuns: streams, seed: SEED })
      .map(([count, cutAt, sizes, back]) => {
        const whole = renderEvents(count);
        const stream = new EventStream();
        const first = pushPieces(stream, whole, sizes, cutAt);
        stream.startRun();
        // The next run may begin a few events early.
        const from = Math.max(0, Number(stream.lastEventId ?? 0) - back);
        const rest = whole.split('\n\n').slice(from).join('\n\n');
        const second = pushPieces(stream, rest, sizes, Infinity);
        return first + second === whole && !stream.isMidEvent;
      });
  },
);

Then('each comes out as it would have uncut', function (this: DecisionWorld) {
  assert.ok(this.outcomes.every(Boolean));
});

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 109 };
const LOAD_STEP_MS = 100;
const LOAD_STEPS = 400;

When(
  '{int} gateways repeat whatever they may in {int} random loads',
  function (this: DecisionWorld, gateways: number, loads: number) {
    const load = fc.array(fc.nat({ max: 30 }), { minLength: 20, maxLength: 60 });
    this.repeats = fc.sample(load, { numRuns: loads, seed: SEED }).map((rates) => {
      const budgets = Array.from({ length: gateways }, () => new RepeatBudget(BOUNDS));
      return Array.from({ length: LOAD_STEPS }, (_, step) => {
        const at = step * LOAD_STEP_MS;
        const requests = rates[step % rates.length] ?? 0;
        let repeats = 0;
        for (let request = 0; request < requests; request += 1) {
          const budget = budgets[request % gateways];
          budget?.recordRequest(at);
          while (budget?.take(at, gateways)) repeats += 1;
        }
        return { at, requests, repeats };
      });
    });
  },
);

Then(
  'no window of {int} ms has more repeats than the bound allows',
  function (this: DecisionWorld, windowMs: number) {
    const steps = windowMs / LOAD_STEP_MS;
    const count = (part: readonly { requests: number }[]): number =>
      part.reduce((sum, { requests }) => sum + requests, 0);
    for (const load of this.repeats) {
      for (let end = steps; end <= load.length; end += 1) {
        const window = load.slice(end - steps, end);
        // Requests count in the window, the one before it or the one half a window before it.
        const before = [0, steps / 2, steps].map((back) =>
          count(load.slice(Math.max(0, end - steps - back), Math.max(0, end - back))),
        );
        const repeats = window.reduce((sum, each) => sum + each.repeats, 0);
        assert.ok(repeats <= BOUNDS.ratio * Math.max(...before) + BOUNDS.slack);
      }
    }
  },
);

Given(
  '{int} domains of {int} instances, and models of 4 and of 2 with equal shares',
  function (this: DecisionWorld, domains: number, instances: number) {
    this.domains = Array.from({ length: domains }, (_, index) => ({
      domain: `fabric-${index}`,
      failureDomain: `zone-${Math.floor(index / 2)}`,
      instances,
      groups: new Map<string, number>(),
    }));
  },
);

When('they are split', function (this: DecisionWorld) {
  this.split = splitDomains(this.domains, PROFILE.models);
});

Then('no domain is promised more instances than it has', function (this: DecisionWorld) {
  for (const { domain, instances } of this.domains) {
    const targets = this.split.get(domain) ?? [];
    const used = targets.reduce((sum, { model, groups }) => sum + model.size * groups, 0);
    assert.ok(used > 0 && used <= instances);
  }
});

Then(
  'the failure domains differ by one group of the large model at most',
  function (this: DecisionWorld) {
    const counts = new Map<string, number>();
    for (const { domain, failureDomain } of this.domains) {
      const target = this.split.get(domain)?.find(({ model }) => model === LARGE);
      counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + (target?.groups ?? 0));
    }
    const most = Math.max(...counts.values());
    assert.ok(most > 0 && most - Math.min(...counts.values()) <= 1, JSON.stringify([...counts]));
  },
);

const RETURN_AT = 1_000;
const GONE_AT = 3_000;

Given('a fleet of {int} backend servers', function (this: DecisionWorld, servers: number) {
  const listed = Array.from({ length: servers }, (_, index) => createServer(`i-${index}`));
  this.fleet = applyFleetChanges(EMPTY_FLEET, listChanges(EMPTY_FLEET, listed), 5, 0, 0);
});

When(
  'the store returns without them and brings {int} back in time',
  function (this: DecisionWorld, back: number) {
    const absent = listChanges(this.fleet, []);
    const empty = applyFleetChanges(this.fleet, absent, 9, RETURN_AT, GONE_AT);
    const returned = Array.from({ length: back }, (_, index) => createServer(`i-${index}`));
    const changes = returned.map((server) => ({ kind: 'present' as const, server }));
    const later = applyFleetChanges(empty, changes, 12, GONE_AT - 1, GONE_AT);
    const before = expireVanished(later, GONE_AT - 1);
    this.counts = [before.servers.size, expireVanished(later, GONE_AT).servers.size];
  },
);

Then(
  'all {int} count until then, and {int} afterwards',
  function (this: DecisionWorld, before: number, after: number) {
    assert.deepEqual(this.counts, [before, after]);
  },
);
