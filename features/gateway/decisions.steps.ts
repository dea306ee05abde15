/**
 * Resumed streams, repeats, memoized values, vanished entries and stops, tested without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { memoizeLatest } from '../../src/core/collections/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  estimateStreamMs,
  EventStream,
  expireVanished,
  type FleetChange,
  latestStart,
  diffFleet,
  planStop,
  RetryBudget,
  SlownessTable,
  type RequestTime,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { createServer } from './planning-model.js';

interface DecisionWorld {
  outcomes: boolean[];
  repeats: { at: number; requests: number; repeats: number }[][];
  fleet: ServingFleet;
  /** Results of the memoized function, with the expected ones. */
  results: { expected: string; given: string }[];
  computations: number;
  counts: number[];
  arrivals: StopArrival[];
  slowness: SlownessTable;
}

/** A request that arrives during a stop that began at time 0. */
interface StopArrival extends RequestTime {
  at: number;
  isStarted: boolean;
}

const SEED = 7_411;

function renderEvents(count: number): string {
  return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: t${index}\n\n`).join(
    '',
  );
}

/** Pushes the first `stopAt` bytes of `text` in chunks of the given `sizes`. */
function pushChunks(
  stream: EventStream,
  text: string,
  sizes: readonly number[],
  stopAt: number,
): string {
  const bytes = Buffer.from(text).subarray(0, stopAt);
  let output = '';
  for (let start = 0, index = 0; start < bytes.length; index += 1) {
    const end = start + (sizes[index % sizes.length] ?? 1);
    const chunk = stream.push(bytes.subarray(start, end));
    if (chunk.fault !== undefined) return 'an event is missing';
    output += chunk.bytes.toString();
    start = end;
  }
  return output;
}

When(
  '{int} random streams are interrupted at random bytes and resumed',
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
        const first = pushChunks(stream, whole, sizes, cutAt);
        stream.startRun();
        // The next run may begin a few events early.
        const from = Math.max(0, Number(stream.lastEventId ?? 0) - back);
        const rest = whole.split('\n\n').slice(from).join('\n\n');
        const second = pushChunks(stream, rest, sizes, Infinity);
        return first + second === whole && !stream.hasPartialEvent;
      });
  },
);

Then('each is delivered as without an interruption', function (this: DecisionWorld) {
  assert.ok(this.outcomes.every(Boolean));
});

const REPEAT_LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 109 };
const STEP_MS = 100;
const STEPS = 400;

When(
  '{int} gateways repeat as many requests as allowed under {int} random loads',
  function (this: DecisionWorld, gateways: number, loads: number) {
    const load = fc.array(fc.nat({ max: 30 }), { minLength: 20, maxLength: 60 });
    this.repeats = fc.sample(load, { numRuns: loads, seed: SEED }).map((rates) => {
      const budgets = Array.from({ length: gateways }, () => new RetryBudget(REPEAT_LIMITS));
      return Array.from({ length: STEPS }, (_, step) => {
        const at = step * STEP_MS;
        const requests = rates[step % rates.length] ?? 0;
        let repeats = 0;
        for (let request = 0; request < requests; request += 1) {
          const budget = budgets[request % gateways];
          budget?.recordRequest(at);
          while (budget?.take(at, 1 / gateways)) {
            budget.settle(at);
            repeats += 1;
          }
        }
        return { at, requests, repeats };
      });
    });
  },
);

Then(
  'no window of {int} ms has more repeats than the bound allows',
  function (this: DecisionWorld, windowMs: number) {
    const steps = windowMs / STEP_MS;
    const count = (part: readonly { requests: number }[]): number =>
      part.reduce((sum, { requests }) => sum + requests, 0);
    for (const load of this.repeats) {
      for (let end = steps; end <= load.length; end += 1) {
        const window = load.slice(end - steps, end);
        // The bound applies to the most requests in this window, or in one that is half or all of it earlier.
        const before = [0, steps / 2, steps].map((back) =>
          count(load.slice(Math.max(0, end - steps - back), Math.max(0, end - back))),
        );
        const repeats = window.reduce((sum, each) => sum + each.repeats, 0);
        assert.ok(repeats <= REPEAT_LIMITS.ratio * Math.max(...before) + REPEAT_LIMITS.slack);
      }
    }
  },
);
const RETURN_AT = 1_000;
const REMOVED_AT = 3_000;

Given('a fleet of {int} backend servers', function (this: DecisionWorld, servers: number) {
  const listed = Array.from({ length: servers }, (_, index) => createServer(`i-${index}`));
  this.fleet = applyFleetChanges(EMPTY_FLEET, diffFleet(EMPTY_FLEET, listed), 5, 0, 0);
});

When(
  'one of them drains, one ends, and one writes the same entry again',
  function (this: DecisionWorld) {
    const changes: FleetChange[] = [
      { kind: 'present', server: { ...createServer('i-0'), leaving: true } },
      { kind: 'absent', id: 'i-1' },
      { kind: 'present', server: createServer('i-2') },
    ];
    this.fleet = applyFleetChanges(this.fleet, changes, 6, 0, 0);
  },
);

Then('the fleet lists just the two that changed', function (this: DecisionWorld) {
  assert.deepEqual(this.fleet.changed, ['i-0', 'i-1']);
});

Then(
  'once a server that vanished in an outage is removed the fleet lists just that one as changed',
  function (this: DecisionWorld) {
    const vanishing: FleetChange[] = [{ kind: 'absent', id: 'i-3' }];
    const vanished = applyFleetChanges(this.fleet, vanishing, 7, RETURN_AT, REMOVED_AT);
    assert.deepEqual(vanished.changed, []);
    assert.deepEqual(expireVanished(vanished, REMOVED_AT).changed, ['i-3']);
  },
);

When(
  'the store returns without them and {int} reappear in time',
  function (this: DecisionWorld, back: number) {
    const absent = diffFleet(this.fleet, []);
    const empty = applyFleetChanges(this.fleet, absent, 9, RETURN_AT, REMOVED_AT);
    const returned = Array.from({ length: back }, (_, index) => createServer(`i-${index}`));
    const changes = returned.map((server) => ({ kind: 'present' as const, server }));
    const later = applyFleetChanges(empty, changes, 12, REMOVED_AT - 1, REMOVED_AT);
    const before = expireVanished(later, REMOVED_AT - 1);
    this.counts = [before.servers.size, expireVanished(later, REMOVED_AT).servers.size];
  },
);

Then(
  'all {int} are kept until the deadline, and {int} afterwards',
  function (this: DecisionWorld, before: number, after: number) {
    assert.deepEqual(this.counts, [before, after]);
  },
);

const STOP_GRACE_MS = 8_000;
/** The rest of the grace period is reserved for closing. */
const LAST_ANSWER_MS = planStop(0, STOP_GRACE_MS).lastAnswerAt;

When(
  '{int} random requests arrive at random moments of a stop',
  function (this: DecisionWorld, count: number) {
    const requests = fc.record({
      at: fc.nat({ max: STOP_GRACE_MS }),
      waitMs: fc.integer({ min: 1, max: 12_000 }),
      expectedMs: fc.integer({ min: 1, max: 6_000 }),
      isRepeatable: fc.boolean(),
    });
    const plan = planStop(0, STOP_GRACE_MS);
    this.arrivals = fc
      .sample(requests, { numRuns: count, seed: SEED })
      .map(({ at, waitMs, ...rest }) => {
        const request = { ...rest, at, answerBy: at + waitMs };
        return { ...request, isStarted: at <= latestStart(plan, request) };
      });
  },
);

Then('none that is started outlasts the grace period', function (this: DecisionWorld) {
  const started = this.arrivals.filter(({ isStarted }) => isStarted);
  assert.ok(started.length > 0 && started.length < this.arrivals.length);
  for (const { at, answerBy, expectedMs, isRepeatable } of started) {
    const endAt = Math.min(answerBy, at + (isRepeatable ? 1.25 : 2) * expectedMs);
    assert.ok(endAt <= LAST_ANSWER_MS, `started at ${at}, ends at ${endAt}`);
  }
});

Then(
  'none is refused whose answer is due before the grace period ends',
  function (this: DecisionWorld) {
    const refused = this.arrivals.filter(({ isStarted }) => !isStarted);
    assert.ok(refused.every(({ answerBy }) => answerBy > LAST_ANSWER_MS));
  },
);

const SLOW_MODEL_KEY = 'models small';

When(
  'a stream estimated at {int} ms took {int} ms',
  function (this: DecisionWorld, estimateMs: number, tookMs: number) {
    this.slowness = new SlownessTable();
    this.slowness.record(SLOW_MODEL_KEY, estimateMs, tookMs, 0);
    // A faster stream afterwards must not lower the estimate.
    this.slowness.record(SLOW_MODEL_KEY, estimateMs, estimateMs / 2, 0);
  },
);

Then(
  'the next is expected to take {int} times its estimate, and {float} times {int} ms later',
  function (this: DecisionWorld, times: number, later: number, afterMs: number) {
    assert.equal(this.slowness.slownessOf(SLOW_MODEL_KEY, 0), times);
    assert.equal(this.slowness.slownessOf(SLOW_MODEL_KEY, afterMs), later);
    assert.equal(this.slowness.slownessOf('others', 0), 1);
  },
);

Then('an estimate without a maximum number of output tokens is infinite', () => {
  const profile = {
    models: [],
    slots: 10,
    stride: 5,
    stepMs: 8,
    stepPerRequestMs: 0.2,
    promptTokensPerMs: 50,
    promptChunk: 2_048,
    loadsAtOnce: 1,
    loadsPerSecond: 1,
    formMs: 1,
  };
  const model = { name: 'small', size: 2, pace: 0.5, share: 1, loadMs: 1, warmMs: 1 };
  const route = { targetMs: 300 };
  assert.equal(estimateStreamMs(route, profile, model, 1_000, 0), Infinity);
  // The prompt takes 1000 / 50, each of 100 tokens 8 + 0.2 x 10, and the model's pace halves the sum.
  assert.equal(estimateStreamMs(route, profile, model, 1_000, 100), 300 + 510);
});

When(
  /^a memoized function of two values is called with (.+)$/,
  function (this: DecisionWorld, pairs: string) {
    let computations = 0;
    const join = memoizeLatest((one: string, other: string) => {
      computations += 1;
      return `${one} ${other}`;
    });
    this.results = [...pairs.matchAll(/"(\w) (\w)"/g)].map(([, one = '', other = '']) => ({
      expected: `${one} ${other}`,
      given: join(one, other),
    }));
    this.computations = computations;
  },
);

Then(
  'it is computed {int} times, and each result matches its arguments',
  function (this: DecisionWorld, times: number) {
    assert.equal(this.computations, times);
    assert.deepEqual(
      this.results.map(({ given }) => given),
      this.results.map(({ expected }) => expected),
    );
  },
);
