/**
 * Streams that are gone on with, repeats, queues and lapsed entries, driven without sockets.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { keepLatest } from '../../src/core/collections/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  estimateStream,
  EventStream,
  expireVanished,
  type FleetChange,
  latestBeginning,
  listChanges,
  planStop,
  RepeatBudget,
  SlownessTable,
  type RequestTime,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { createServer } from './planning-model.js';

interface DecisionWorld {
  outcomes: boolean[];
  repeats: { at: number; requests: number; repeats: number }[][];
  fleet: ServingFleet;
  /** Answers of a kept value, and what they should be. */
  asked: { expected: string; given: string }[];
  made: number;
  counts: number[];
  arrivals: StopArrival[];
  slowness: SlownessTable;
}

/** A request that arrives after the signal, at the moment 0. */
interface StopArrival extends RequestTime {
  at: number;
  isBegun: boolean;
}

const SEED = 7_411;

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
const RETURN_AT = 1_000;
const GONE_AT = 3_000;

Given('a fleet of {int} backend servers', function (this: DecisionWorld, servers: number) {
  const listed = Array.from({ length: servers }, (_, index) => createServer(`i-${index}`));
  this.fleet = applyFleetChanges(EMPTY_FLEET, listChanges(EMPTY_FLEET, listed), 5, 0, 0);
});

When(
  'one of them drains, one ends, and one says again what it has said before',
  function (this: DecisionWorld) {
    const changes: FleetChange[] = [
      { kind: 'present', server: { ...createServer('i-0'), leaving: true } },
      { kind: 'absent', id: 'i-1' },
      { kind: 'present', server: createServer('i-2') },
    ];
    this.fleet = applyFleetChanges(this.fleet, changes, 6, 0, 0);
  },
);

Then('the fleet names just the two that are not what they were', function (this: DecisionWorld) {
  assert.deepEqual(this.fleet.changed, ['i-0', 'i-1']);
});

Then(
  'once what vanished in an outage counts as gone the fleet names just that',
  function (this: DecisionWorld) {
    const vanishing: FleetChange[] = [{ kind: 'absent', id: 'i-3' }];
    const vanished = applyFleetChanges(this.fleet, vanishing, 7, RETURN_AT, GONE_AT);
    assert.deepEqual(vanished.changed, []);
    assert.deepEqual(expireVanished(vanished, GONE_AT).changed, ['i-3']);
  },
);

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

const STOP_GRACE_MS = 8_000;
/** What is left of the grace by then goes into closing. */
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
        return { ...request, isBegun: at <= latestBeginning(plan, request) };
      });
  },
);

Then('none that is begun outlasts the grace', function (this: DecisionWorld) {
  const begun = this.arrivals.filter(({ isBegun }) => isBegun);
  assert.ok(begun.length > 0 && begun.length < this.arrivals.length);
  for (const { at, answerBy, expectedMs, isRepeatable } of begun) {
    const endAt = Math.min(answerBy, at + (isRepeatable ? 1.25 : 2) * expectedMs);
    assert.ok(endAt <= LAST_ANSWER_MS, `begun at ${at}, ends at ${endAt}`);
  }
});

Then(
  'none is refused whose answer is due before the grace is over',
  function (this: DecisionWorld) {
    const refused = this.arrivals.filter(({ isBegun }) => !isBegun);
    assert.ok(refused.every(({ answerBy }) => answerBy > LAST_ANSWER_MS));
  },
);

const SLOW_KIND = 'models small';

When(
  'a stream estimated at {int} ms took {int} ms',
  function (this: DecisionWorld, estimateMs: number, tookMs: number) {
    this.slowness = new SlownessTable();
    this.slowness.record(SLOW_KIND, estimateMs, tookMs, 0);
    // A quick one afterwards takes nothing back.
    this.slowness.record(SLOW_KIND, estimateMs, estimateMs / 2, 0);
  },
);

Then(
  'the next is expected to take {int} times its estimate, and {float} times {int} ms later',
  function (this: DecisionWorld, times: number, later: number, afterMs: number) {
    assert.equal(this.slowness.slownessOf(SLOW_KIND, 0), times);
    assert.equal(this.slowness.slownessOf(SLOW_KIND, afterMs), later);
    assert.equal(this.slowness.slownessOf('others', 0), 1);
  },
);

Then('an estimate without the most output tokens is infinite', () => {
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
  assert.equal(estimateStream(route, profile, model, 1_000, 0), Infinity);
  // Reading takes 1000 / 50, each of 100 tokens 8 + 0.2 x 10, and the model half of that.
  assert.equal(estimateStream(route, profile, model, 1_000, 100), 300 + 510);
});

When(
  /^what follows from two values is asked for with (.+)$/,
  function (this: DecisionWorld, pairs: string) {
    let made = 0;
    const join = keepLatest((one: string, other: string) => {
      made += 1;
      return `${one} ${other}`;
    });
    this.asked = [...pairs.matchAll(/"(\w) (\w)"/g)].map(([, one = '', other = '']) => ({
      expected: `${one} ${other}`,
      given: join(one, other),
    }));
    this.made = made;
  },
);

Then(
  'it was made {int} times, and was each time what follows from the values asked with',
  function (this: DecisionWorld, times: number) {
    assert.equal(this.made, times);
    assert.deepEqual(
      this.asked.map(({ given }) => given),
      this.asked.map(({ expected }) => expected),
    );
  },
);
