/**
 * Steps for the dispatch decision and the choice of service instances, on manual time.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  chooseInstance,
  createDispatchState,
  dispatch,
  offerRequest,
  recordCacheEvents,
  reportEnd,
  reportInstanceEnd,
  type Candidate,
  type DispatchAction,
  type DispatchState,
  type DispatchView,
  type WaitingRequest,
} from '../../src/controllers/routing/index.js';
import { concludeFailure } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { HERE, makeCandidate, makePrefixes, makeRequest, makeView } from './fixtures.js';
import { playRouting, QUEUE_LENGTH, type History } from './history.js';

const SEED = 20_262;
const LONG_QUEUE = 1_000;

interface RoutingWorld {
  histories: History[];
  state: DispatchState;
  view: DispatchView;
  now: number;
  actions: DispatchAction[];
  order: WaitingRequest[];
  failing: number;
}

const random = (): ReturnType<typeof createRandom> => createRandom(SEED);

function begin(world: RoutingWorld, candidates: readonly Candidate[]): void {
  world.state = createDispatchState();
  world.view = makeView(candidates);
  world.now = 0;
  world.actions = [];
  world.order = [];
}

function offer(world: RoutingWorld, ticket: string, rest: Partial<WaitingRequest> = {}): void {
  const request = makeRequest(ticket, world.now, rest);
  assert.ok(offerRequest(world.state, request, LONG_QUEUE, weightOf(request)).isOk());
  world.order.push(request);
}

function weightOf({ workspace }: WaitingRequest): number {
  return workspace === 'heavy' ? 3 : 1;
}

function look(world: RoutingWorld): DispatchAction[] {
  const { actions } = dispatch(world.state, world.view, world.now, random());
  world.actions.push(...actions);
  return [...actions];
}

function routeOne(world: RoutingWorld, ticket: string, rest: Partial<WaitingRequest>): string {
  offer(world, ticket, rest);
  const action = look(world).find((one) => one.ticket === ticket);
  assert.ok(action?.kind === 'send');
  return action.candidate.replica;
}

Given(
  '{int} random histories of requests, ends, withdrawals and changing replicas',
  function (this: RoutingWorld, runs: number) {
    this.histories = [];
    const property = fc.property(fc.integer(), (seed) => {
      this.histories.push(playRouting(seed));
    });
    fc.assert(property, { seed: SEED, numRuns: runs });
  },
);

Then(
  'each offered ticket was sent, refused, withdrawn or still waits, and only one of these',
  function (this: RoutingWorld) {
    for (const { offered, ends, state } of this.histories) {
      for (const ticket of offered.keys()) {
        assert.notEqual(ends.has(ticket), state.waiting.has(ticket), ticket);
      }
    }
    const ends = new Set(this.histories.flatMap((history) => [...history.ends.values()]));
    assert.deepEqual([...ends].sort(), ['refuse', 'send', 'withdrawn']);
  },
);

Then('no queue was longer than its bound', function (this: RoutingWorld) {
  const longest = Math.max(...this.histories.map((history) => history.longestQueue));
  assert.equal(longest, QUEUE_LENGTH);
});

Then('nothing was sent to an excluded replica or past its deadline', function (this: RoutingWorld) {
  // Checked at each sending, in the history.
  assert.ok(this.histories.some(({ ends }) => [...ends.values()].includes('send')));
});

Given('a dispatcher whose model has no replica', function (this: RoutingWorld) {
  begin(this, []);
});

When(
  'a request waits {int} ms and the replica comes back',
  function (this: RoutingWorld, span: number) {
    offer(this, 'first');
    assert.deepEqual(look(this), []);
    this.now += span;
    assert.deepEqual(look(this), []);
    this.view = makeView([makeCandidate('r0', this.now)]);
    look(this);
  },
);

Then('the request is sent', function (this: RoutingWorld) {
  assert.equal(this.actions.at(-1)?.kind, 'send');
});

When('the replica is away for {int} ms', function (this: RoutingWorld, span: number) {
  this.view = makeView([]);
  offer(this, 'second');
  look(this);
  this.now += span;
  look(this);
});

Then(
  /^(?:a waiting request|the late one) is refused as (\w+) with a time to come back$/,
  function (this: RoutingWorld, kind: string) {
    const action = this.actions.at(-1);
    assert.ok(action?.kind === 'refuse');
    assert.equal(action.failure.kind, kind);
    assert.ok((action.failure.retryAfterMs ?? 0) > 0);
  },
);

Given('a dispatcher whose only replica takes one request a second', function (this: RoutingWorld) {
  begin(this, []);
  offer(this, 'first');
  for (let turn = 0; turn < 6; turn += 1) {
    offer(this, `turn-${turn}`);
    this.view = makeView([makeCandidate('r0', this.now, { running: 1, batchSize: 1 })]);
    const [sent, ...rest] = look(this);
    assert.ok(sent && rest.length === 0);
    this.now += 1_000;
    reportEnd(this.state, sent.ticket, { kind: 'completed' }, this.now);
  }
});

When(
  '{int} requests wait and one with a deadline in {int} seconds arrives',
  function (this: RoutingWorld, count: number, seconds: number) {
    this.view = makeView([makeCandidate('r0', this.now, { running: 2, batchSize: 1 })]);
    for (let waiting = this.state.waiting.size; waiting < count; waiting += 1) {
      offer(this, `ahead-${waiting}`);
    }
    offer(this, 'late', { deadlineAt: this.now + seconds * 1_000 });
    this.actions = [];
    look(this);
    assert.equal(this.actions.length, 1);
    assert.equal(this.actions.at(-1)?.ticket, 'late');
  },
);

When('a request that may have run waits until it is refused', function (this: RoutingWorld) {
  offer(this, 'again', { mayHaveRun: true });
  look(this);
  this.now += 10_000;
  look(this);
});

Then('its failure does not say that it was not run', function (this: RoutingWorld) {
  const action = this.actions.at(-1);
  assert.ok(action?.kind === 'refuse');
  assert.equal(concludeFailure(action.failure), 'unknown');
});

function offerMany(
  world: RoutingWorld,
  counts: readonly { count: number; rest: Partial<WaitingRequest> }[],
): void {
  begin(world, []);
  for (const { count, rest } of counts) {
    for (let index = 0; index < count; index += 1) {
      offer(world, `${rest.workspace ?? ''}-${rest.class ?? ''}-${index}`, rest);
    }
  }
}

Given(
  'a dispatcher with {int} waiting requests of one workspace and {int} of another',
  function (this: RoutingWorld, many: number, few: number) {
    offerMany(this, [
      { count: many, rest: { workspace: 'flood' } },
      { count: few, rest: { workspace: 'other' } },
    ]);
  },
);

Given(
  'a dispatcher with {int} waiting requests each of workspaces with weight 1 and weight 3',
  function (this: RoutingWorld, count: number) {
    offerMany(this, [
      { count, rest: { workspace: 'light' } },
      { count, rest: { workspace: 'heavy' } },
    ]);
  },
);

Given(
  'a dispatcher with {int} waiting gate requests and {int} waiting batch requests',
  function (this: RoutingWorld, gate: number, batch: number) {
    offerMany(this, [
      { count: batch, rest: { class: 'batch' } },
      { count: gate, rest: { class: 'gate' } },
    ]);
  },
);

When('{int} requests are sent', function (this: RoutingWorld, count: number) {
  // A few places come free at a time.
  while (this.actions.length < count) {
    this.now += 100;
    this.view = makeView([makeCandidate('r0', this.now, { running: 6, batchSize: 8 })]);
    for (const { kind, ticket } of look(this)) {
      assert.equal(kind, 'send');
      reportEnd(this.state, ticket, { kind: 'completed' }, this.now);
    }
  }
  const byTicket = new Map(this.order.map((request) => [request.ticket, request]));
  this.order = this.actions.slice(0, count).flatMap((action) => byTicket.get(action.ticket) ?? []);
});

Then(
  '{int} of those sent are of the other workspace',
  function (this: RoutingWorld, count: number) {
    assert.equal(this.order.filter(({ workspace }) => workspace === 'other').length, count);
  },
);

Then(
  'between {int} and {int} of those sent are of the workspace with weight 3',
  function (this: RoutingWorld, least: number, most: number) {
    const count = this.order.filter(({ workspace }) => workspace === 'heavy').length;
    assert.ok(count >= least && count <= most, `${count} were`);
  },
);

Then('the first sent is a gate request', function (this: RoutingWorld) {
  assert.equal(this.order[0]?.class, 'gate');
});

Then(
  'between {int} and {int} of those sent are batch requests',
  function (this: RoutingWorld, least: number, most: number) {
    const count = this.order.filter((request) => request.class === 'batch').length;
    assert.ok(count >= least && count <= most, `${count} were`);
  },
);

const PROMPT = { promptTokens: 1_100, prefixes: makePrefixes('shared', 16) };

Given('two idle replicas, one of which was sent a prompt before', function (this: RoutingWorld) {
  begin(this, [makeCandidate('r0', 0), makeCandidate('r1', 0)]);
  this.order = [];
  const replica = routeOne(this, 'before', PROMPT);
  this.now += 2_000;
  reportEnd(this.state, 'before', { kind: 'completed' }, this.now);
  this.view = makeView([makeCandidate('r0', this.now), makeCandidate('r1', this.now)]);
  this.order = [makeRequest(replica, 0)];
});

Then('the same prompt is routed to it again', function (this: RoutingWorld) {
  assert.equal(routeOne(this, 'again', PROMPT), this.order[0]?.ticket);
  this.now += 2_000;
  reportEnd(this.state, 'again', { kind: 'completed' }, this.now);
});

When(
  'that replica reports {int} prompt tokens that wait',
  function (this: RoutingWorld, pendingPromptTokens: number) {
    const busy = this.order[0]?.ticket;
    const load = { running: 4, pendingPromptTokens };
    this.view = makeView(
      ['r0', 'r1'].map((one) => makeCandidate(one, this.now, one === busy ? load : {})),
    );
  },
);

Then('the same prompt is routed to the other', function (this: RoutingWorld) {
  assert.notEqual(routeOne(this, 'third', PROMPT), this.order[0]?.ticket);
});

const EVENT = { kind: 'stored' as const, tokens: 64 };

Given('a replica whose cache events said that it holds a prefix', function (this: RoutingWorld) {
  begin(this, []);
  recordCacheEvents(this.state, 'r0', {
    incarnation: 'one',
    oldest: 1,
    events: [{ ...EVENT, sequence: 1, prefixHash: 'held' }],
  });
  assert.ok(this.state.holders.has('held'));
});

Then('a gap in its cache events makes the dispatcher forget it', function (this: RoutingWorld) {
  recordCacheEvents(this.state, 'r0', {
    incarnation: 'one',
    oldest: 1,
    events: [{ ...EVENT, sequence: 3, prefixHash: 'later' }],
  });
  assert.ok(!this.state.holders.has('held') && this.state.holders.has('later'));
});

Then('a new incarnation makes the dispatcher forget it', function (this: RoutingWorld) {
  recordCacheEvents(this.state, 'r0', { incarnation: 'two', oldest: 1, events: [] });
  assert.equal(this.state.holders.size, 0);
});

Given(
  'two idle replicas, one of which owes a first token for {int} seconds',
  function (this: RoutingWorld, seconds: number) {
    begin(this, [makeCandidate('r0', 0), makeCandidate('r1', 0)]);
    const paused = routeOne(this, 'owed', {});
    this.now += seconds * 1_000;
    this.view = makeView([makeCandidate('r0', this.now), makeCandidate('r1', this.now)]);
    this.order = [makeRequest(paused, 0)];
  },
);

Then(
  'the next {int} requests are routed to the other',
  function (this: RoutingWorld, count: number) {
    const paused = this.order[0]?.ticket;
    for (let index = 0; index < count; index += 1) {
      this.now += 100;
      const replica = routeOne(this, `next-${index}`, {});
      reportEnd(this.state, `next-${index}`, { kind: 'completed' }, this.now);
      assert.notEqual(replica, paused);
    }
  },
);

Given('three service instances of which one fails all its calls', function (this: RoutingWorld) {
  begin(this, []);
  this.failing = 0;
});

When('{int} calls are routed to service instances', function (this: RoutingWorld, calls: number) {
  const candidates = ['app-1', 'app-2', 'app-3'].map((instance) => ({
    instance,
    address: '127.0.0.1:1',
    location: HERE,
  }));
  const source = random();
  for (let call = 0; call < calls; call += 1) {
    this.now += 20;
    const outstanding = new Map([
      ['app-2', 1],
      ['app-3', 1],
    ]);
    const chosen = chooseInstance(this.state, candidates, outstanding, HERE, [], this.now, source);
    assert.ok(chosen);
    const isFailing = chosen.instance === 'app-1';
    if (isFailing) this.failing += 1;
    reportInstanceEnd(this.state, chosen.instance, isFailing ? 'failed' : 'served', this.now);
  }
});

Then(
  'at most {int} of them went to the failing instance',
  function (this: RoutingWorld, most: number) {
    assert.ok(this.failing > 0 && this.failing <= most, `${this.failing} went there`);
  },
);
