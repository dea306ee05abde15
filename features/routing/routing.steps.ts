/**
 * Steps for the dispatcher and the selection of service instances, with simulated time.
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
import { getConclusion } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { ENTRY_LOCATION, makeCandidate, makePrefixes, makeRequest, makeView } from './fixtures.js';
import { simulateRouting, MAX_QUEUE_LENGTH, type RoutingHistory } from './history.js';

const SEED = 20_262;
const QUEUE_LENGTH = 1_000;

interface RoutingWorld {
  histories: RoutingHistory[];
  state: DispatchState;
  view: DispatchView;
  now: number;
  actions: DispatchAction[];
  requests: WaitingRequest[];
  failingCalls: number;
}

const createSeededRandom = (): ReturnType<typeof createRandom> => createRandom(SEED);

function resetWorld(world: RoutingWorld, candidates: readonly Candidate[]): void {
  world.state = createDispatchState();
  world.view = makeView(candidates);
  world.now = 0;
  world.actions = [];
  world.requests = [];
}

function offer(world: RoutingWorld, ticket: string, rest: Partial<WaitingRequest> = {}): void {
  const request = makeRequest(ticket, world.now, rest);
  assert.ok(offerRequest(world.state, request, QUEUE_LENGTH, weightOf(request)).isOk());
  world.requests.push(request);
}

function weightOf({ workspace }: WaitingRequest): number {
  return workspace === 'heavy' ? 3 : 1;
}

function runDispatch(world: RoutingWorld): DispatchAction[] {
  const { actions } = dispatch(world.state, world.view, world.now, createSeededRandom());
  world.actions.push(...actions);
  return [...actions];
}

function routeRequest(world: RoutingWorld, ticket: string, rest: Partial<WaitingRequest>): string {
  offer(world, ticket, rest);
  const action = runDispatch(world).find((action) => action.ticket === ticket);
  assert.ok(action?.kind === 'send');
  return action.candidate.replica;
}

Given(
  '{int} random histories of requests, ends, withdrawals and changing replicas',
  function (this: RoutingWorld, runs: number) {
    this.histories = [];
    const property = fc.property(fc.integer(), (seed) => {
      this.histories.push(simulateRouting(seed));
    });
    fc.assert(property, { seed: SEED, numRuns: runs });
  },
);

Then(
  'each offered ticket was sent, refused, withdrawn or still waits, and only one of these',
  function (this: RoutingWorld) {
    for (const { offered, outcomes, state } of this.histories) {
      for (const ticket of offered.keys()) {
        assert.notEqual(outcomes.has(ticket), state.waiting.has(ticket), ticket);
      }
    }
    const kinds = new Set(this.histories.flatMap((history) => [...history.outcomes.values()]));
    assert.deepEqual([...kinds].sort(), ['refuse', 'send', 'withdrawn']);
  },
);

Then('no queue was longer than its bound', function (this: RoutingWorld) {
  const longest = Math.max(...this.histories.map((history) => history.longestQueue));
  assert.equal(longest, MAX_QUEUE_LENGTH);
});

Then('nothing was sent to an excluded replica or past its deadline', function (this: RoutingWorld) {
  // `simulateRouting` checks this for each send.
  assert.ok(this.histories.some(({ outcomes }) => [...outcomes.values()].includes('send')));
});

Given('a dispatcher with two replicas', function (this: RoutingWorld) {
  resetWorld(this, [makeCandidate('r0', 0), makeCandidate('r1', 0)]);
});

const RECHECK_MS = 100;

interface RetryWorld extends RoutingWorld {
  retryTicket: string;
  retryOutcome: { action: DispatchAction; afterMs: number } | undefined;
  othersTo: Set<string>;
}

When(
  'a retry that may not go to r0 arrives while r1 is away for {int} ms',
  function (this: RetryWorld, awayMs: number) {
    const start = this.now;
    this.retryTicket = `retry-${awayMs}`;
    this.retryOutcome = undefined;
    this.othersTo = new Set();
    this.view = makeView([makeCandidate('r0', this.now)]);
    offer(this, this.retryTicket, { excluded: ['r0'], mayHaveRun: true });
    for (let afterMs = 0; afterMs <= awayMs; afterMs += RECHECK_MS) {
      this.now = start + afterMs;
      const candidates = [makeCandidate('r0', this.now)];
      if (afterMs === awayMs) candidates.push(makeCandidate('r1', this.now));
      this.view = makeView(candidates);
      const action = runDispatch(this).find(({ ticket }) => ticket === this.retryTicket);
      if (action) this.retryOutcome ??= { action, afterMs };
      if (afterMs < awayMs) {
        const other = `${this.retryTicket}-other-${afterMs}`;
        this.othersTo.add(routeRequest(this, other, {}));
        reportEnd(this.state, other, { kind: 'completed', outputTokens: 10 }, this.now);
      }
    }
  },
);

Then('the retry is sent to r1', function (this: RetryWorld) {
  const action = this.retryOutcome?.action;
  assert.ok(action?.kind === 'send');
  assert.equal(action.candidate.replica, 'r1');
});

Then(
  'the retry is refused, and was not before {int} ms',
  function (this: RetryWorld, earliestMs: number) {
    assert.equal(this.retryOutcome?.action.kind, 'refuse');
    assert.ok(this.retryOutcome.afterMs >= earliestMs);
  },
);

Then('other requests were sent to r0 meanwhile', function (this: RetryWorld) {
  assert.deepEqual([...this.othersTo], ['r0']);
});

/** Makes `replica` refuse a request. */
function refuseAt(world: RoutingWorld, replica: string, retryAfterMs: number): void {
  const other = replica === 'r0' ? 'r1' : 'r0';
  const ticket = `refused-by-${replica}`;
  assert.equal(routeRequest(world, ticket, { excluded: [other] }), replica);
  reportEnd(world.state, ticket, { kind: 'refused', retryAfterMs }, world.now);
}

When(
  'one of them refuses a request and says to come back in {int} ms',
  function (this: RoutingWorld, retryAfterMs: number) {
    refuseAt(this, 'r0', retryAfterMs);
  },
);

When(
  'both of them refuse a request and say to come back in {int} ms',
  function (this: RoutingWorld, retryAfterMs: number) {
    for (const replica of ['r0', 'r1']) refuseAt(this, replica, retryAfterMs);
  },
);

Then(
  '{int} requests within {int} ms go to the other one',
  function (this: RoutingWorld, requests: number, ms: number) {
    for (let sent = 0; sent < requests; sent += 1) {
      this.now = Math.floor((ms * sent) / (requests - 1));
      const ticket = `t${sent}`;
      assert.equal(routeRequest(this, ticket, {}), 'r1');
      reportEnd(this.state, ticket, { kind: 'completed', outputTokens: 10 }, this.now);
    }
  },
);

Then('after {int} ms the first one gets requests again', function (this: RoutingWorld, ms: number) {
  this.now = ms;
  assert.equal(routeRequest(this, 'back', { excluded: ['r1'] }), 'r0');
});

Then(
  'a request with a deadline in {int} ms is refused at once',
  function (this: RoutingWorld, ms: number) {
    offer(this, 'late', { deadlineAt: this.now + ms });
    const action = runDispatch(this).find(({ ticket }) => ticket === 'late');
    assert.equal(action?.kind, 'refuse');
  },
);

Then(
  'a request with a deadline in {int} ms is sent after {int} ms',
  function (this: RoutingWorld, deadlineMs: number, ms: number) {
    offer(this, 'patient', { deadlineAt: this.now + deadlineMs });
    assert.deepEqual(runDispatch(this), []);
    this.now += ms - 1;
    assert.deepEqual(runDispatch(this), []);
    this.now += 1;
    assert.equal(runDispatch(this)[0]?.kind, 'send');
  },
);

Given('a dispatcher whose model has no replica', function (this: RoutingWorld) {
  resetWorld(this, []);
});

When(
  'a request waits {int} ms and the replica comes back',
  function (this: RoutingWorld, durationMs: number) {
    offer(this, 'first');
    assert.deepEqual(runDispatch(this), []);
    this.now += durationMs;
    assert.deepEqual(runDispatch(this), []);
    this.view = makeView([makeCandidate('r0', this.now)]);
    runDispatch(this);
  },
);

Then('the request is sent', function (this: RoutingWorld) {
  assert.equal(this.actions.at(-1)?.kind, 'send');
});

When('the replica is away for {int} ms', function (this: RoutingWorld, durationMs: number) {
  this.view = makeView([]);
  offer(this, 'second');
  runDispatch(this);
  this.now += durationMs;
  runDispatch(this);
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
  resetWorld(this, []);
  offer(this, 'first');
  for (let turn = 0; turn < 6; turn += 1) {
    offer(this, `turn-${turn}`);
    this.view = makeView([makeCandidate('r0', this.now, { running: 1, batchSize: 1 })]);
    const [sent, ...rest] = runDispatch(this);
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
    runDispatch(this);
    assert.equal(this.actions.length, 1);
    assert.equal(this.actions.at(-1)?.ticket, 'late');
  },
);

When('a request that may have run waits until it is refused', function (this: RoutingWorld) {
  offer(this, 'again', { mayHaveRun: true });
  runDispatch(this);
  this.now += 10_000;
  runDispatch(this);
});

Then('its failure does not say that it was not run', function (this: RoutingWorld) {
  const action = this.actions.at(-1);
  assert.ok(action?.kind === 'refuse');
  assert.equal(getConclusion(action.failure), 'unknown');
});

function offerMany(
  world: RoutingWorld,
  counts: readonly { count: number; rest: Partial<WaitingRequest> }[],
): void {
  resetWorld(world, []);
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
  // Only a few batch slots become free at a time.
  while (this.actions.length < count) {
    this.now += 100;
    this.view = makeView([makeCandidate('r0', this.now, { running: 6, batchSize: 8 })]);
    for (const { kind, ticket } of runDispatch(this)) {
      assert.equal(kind, 'send');
      reportEnd(this.state, ticket, { kind: 'completed' }, this.now);
    }
  }
  const byTicket = new Map(this.requests.map((request) => [request.ticket, request]));
  this.requests = this.actions
    .slice(0, count)
    .flatMap((action) => byTicket.get(action.ticket) ?? []);
});

Then(
  '{int} of those sent are of the other workspace',
  function (this: RoutingWorld, count: number) {
    assert.equal(this.requests.filter(({ workspace }) => workspace === 'other').length, count);
  },
);

Then(
  'between {int} and {int} of those sent are of the workspace with weight 3',
  function (this: RoutingWorld, min: number, max: number) {
    const count = this.requests.filter(({ workspace }) => workspace === 'heavy').length;
    assert.ok(count >= min && count <= max, `${count} are of weight 3`);
  },
);

Then('the first sent is a gate request', function (this: RoutingWorld) {
  assert.equal(this.requests[0]?.class, 'gate');
});

Then(
  'between {int} and {int} of those sent are batch requests',
  function (this: RoutingWorld, min: number, max: number) {
    const count = this.requests.filter((request) => request.class === 'batch').length;
    assert.ok(count >= min && count <= max, `${count} are batch requests`);
  },
);

const PROMPT = { promptTokens: 1_100, prefixes: makePrefixes('shared', 16) };

Given('two idle replicas, one of which was sent a prompt before', function (this: RoutingWorld) {
  resetWorld(this, [makeCandidate('r0', 0), makeCandidate('r1', 0)]);
  this.requests = [];
  const replica = routeRequest(this, 'before', PROMPT);
  this.now += 2_000;
  reportEnd(this.state, 'before', { kind: 'completed' }, this.now);
  this.view = makeView([makeCandidate('r0', this.now), makeCandidate('r1', this.now)]);
  // The ticket of this placeholder is the name of the replica.
  this.requests = [makeRequest(replica, 0)];
});

Then('the same prompt is routed to it again', function (this: RoutingWorld) {
  assert.equal(routeRequest(this, 'again', PROMPT), this.requests[0]?.ticket);
  this.now += 2_000;
  reportEnd(this.state, 'again', { kind: 'completed' }, this.now);
});

When(
  'that replica reports {int} prompt tokens that wait',
  function (this: RoutingWorld, pendingPromptTokens: number) {
    const busyReplica = this.requests[0]?.ticket;
    const load = { running: 4, pendingPromptTokens };
    this.view = makeView(
      ['r0', 'r1'].map((replica) =>
        makeCandidate(replica, this.now, replica === busyReplica ? load : {}),
      ),
    );
  },
);

Then('the same prompt is routed to the other', function (this: RoutingWorld) {
  assert.notEqual(routeRequest(this, 'third', PROMPT), this.requests[0]?.ticket);
});

const STORED_EVENT = { kind: 'stored' as const, tokens: 64 };

Given('a replica whose cache events said that it holds a prefix', function (this: RoutingWorld) {
  resetWorld(this, []);
  recordCacheEvents(this.state, 'r0', {
    incarnation: 'one',
    oldest: 1,
    events: [{ ...STORED_EVENT, sequence: 1, prefixHash: 'held' }],
  });
  assert.ok(this.state.replicasByPrefix.has('held'));
});

Then('a gap in its cache events makes the dispatcher forget it', function (this: RoutingWorld) {
  recordCacheEvents(this.state, 'r0', {
    incarnation: 'one',
    oldest: 1,
    events: [{ ...STORED_EVENT, sequence: 3, prefixHash: 'later' }],
  });
  assert.ok(!this.state.replicasByPrefix.has('held') && this.state.replicasByPrefix.has('later'));
});

Then('a new incarnation makes the dispatcher forget it', function (this: RoutingWorld) {
  recordCacheEvents(this.state, 'r0', { incarnation: 'two', oldest: 1, events: [] });
  assert.equal(this.state.replicasByPrefix.size, 0);
});

Given(
  'two idle replicas, one of which owes a first token for {int} seconds',
  function (this: RoutingWorld, seconds: number) {
    resetWorld(this, [makeCandidate('r0', 0), makeCandidate('r1', 0)]);
    const pausedReplica = routeRequest(this, 'owed', {});
    this.now += seconds * 1_000;
    this.view = makeView([makeCandidate('r0', this.now), makeCandidate('r1', this.now)]);
    // The ticket of this placeholder is the name of the replica.
    this.requests = [makeRequest(pausedReplica, 0)];
  },
);

Then(
  'the next {int} requests are routed to the other',
  function (this: RoutingWorld, count: number) {
    const pausedReplica = this.requests[0]?.ticket;
    for (let index = 0; index < count; index += 1) {
      this.now += 100;
      const replica = routeRequest(this, `next-${index}`, {});
      reportEnd(this.state, `next-${index}`, { kind: 'completed' }, this.now);
      assert.notEqual(replica, pausedReplica);
    }
  },
);

Given('three service instances of which one fails all its calls', function (this: RoutingWorld) {
  resetWorld(this, []);
  this.failingCalls = 0;
});

When('{int} calls are routed to service instances', function (this: RoutingWorld, calls: number) {
  const candidates = ['app-1', 'app-2', 'app-3'].map((instance) => ({
    instance,
    address: '127.0.0.1:1',
    location: ENTRY_LOCATION,
  }));
  const random = createSeededRandom();
  for (let call = 0; call < calls; call += 1) {
    this.now += 20;
    const outstanding = new Map([
      ['app-2', 1],
      ['app-3', 1],
    ]);
    const chosen = chooseInstance(
      this.state,
      candidates,
      outstanding,
      ENTRY_LOCATION,
      [],
      this.now,
      random,
    );
    assert.ok(chosen);
    const isFailing = chosen.instance === 'app-1';
    if (isFailing) this.failingCalls += 1;
    reportInstanceEnd(this.state, chosen.instance, isFailing ? 'failed' : 'served', this.now);
  }
});

Then(
  'at most {int} of them went to the failing instance',
  function (this: RoutingWorld, max: number) {
    assert.ok(
      this.failingCalls > 0 && this.failingCalls <= max,
      `${this.failingCalls} calls failed`,
    );
  },
);
