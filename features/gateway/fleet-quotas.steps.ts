/**
 * Limits that are divided between gateways, on a simulated fleet without network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { RetryBudget } from '../../src/controllers/forwarding/index.js';
import { createRandom } from '../../src/core/random/index.js';
import {
  LEAD_MS,
  QuotaFleet,
  TICK_MS,
  worstUse,
  type Disturbance,
  type TickCount,
} from './quota-fleet.js';
import { BOUNDS } from './quota-gateway.js';

interface QuotaWorld {
  size: number;
  fleet: QuotaFleet;
  /** The fullest window of each fleet, as a fraction of what the bounds allow there. */
  worstUses: { use: number; draw: FleetDraw }[];
  /** The largest excess of each fleet over the limit of a server, in requests. */
  excesses: { excess: number; draw: FleetDraw & LimitDraw }[];
  limit: number;
  budgetRuns: BudgetRun[];
}

interface LimitDraw {
  /** Limits that a server names one after the other; undefined where it names none. */
  limits: (number | undefined)[];
}

interface FleetDraw {
  requestsPerTick: number;
  failureRate: number;
  disturbances: Disturbance[];
  seed: number;
}

const SEED = 3_204;
/** Requests arrive for this long after the lead. */
const TRAFFIC_MS = 45_000;
const LAST_DISTURBANCE_MS = 30_000;
const MAX_DISTURBANCES = 5;
/** The servers become unreachable at the beginning of the traffic, when no retry was sent yet. */
const CUT_AT_MS = 0;
const MAX_GATEWAYS = 195;

const at = fc.nat({ max: LAST_DISTURBANCE_MS });
const forMs = fc.integer({ min: 500, max: 12_000 });
const gateways = fc.uniqueArray(fc.nat({ max: MAX_GATEWAYS - 1 }), {
  minLength: 1,
  maxLength: MAX_GATEWAYS,
});
const cutsStore = fc.boolean();
const downMs = fc.integer({ min: 100, max: 2_000 });

const disturbance: fc.Arbitrary<Disturbance> = fc.oneof(
  fc.record({ kind: fc.constant('restart' as const), at, gateways, downMs }),
  fc.record({ kind: fc.constant('freeze' as const), at, gateways, forMs }),
  fc.record({ kind: fc.constant('cut' as const), at, gateways, forMs, cutsStore }),
  fc.record({ kind: fc.constant('isolate' as const), at, gateways, forMs, cutsStore }),
  fc.record({ kind: fc.constant('replace' as const), at, gateways }),
  fc.record({ kind: fc.constant('join' as const), at, count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('storeOutage' as const), at, forMs }),
);

const fleetDraw: fc.Arbitrary<FleetDraw> = fc.record({
  requestsPerTick: fc.integer({ min: 5, max: 15 }),
  failureRate: fc.constantFrom(0.4, 0.6, 0.9),
  disturbances: fc.array(disturbance, { minLength: 1, maxLength: MAX_DISTURBANCES }),
  seed: fc.nat({ max: 1_000_000 }),
});

function runFleet(size: number, draw: FleetDraw): number {
  const { requestsPerTick, failureRate, disturbances, seed } = draw;
  const random = createRandom(seed);
  const fleet = new QuotaFleet(size, requestsPerTick, failureRate, disturbances, random);
  fleet.run(LEAD_MS + TRAFFIC_MS);
  return worstUse(fleet.counts, BOUNDS);
}

When(
  '{int} gateways retry all that they may in {int} fleets with restarts, freezes, cuts, joins and late digests',
  { timeout: 120_000 },
  function (this: QuotaWorld, size: number, fleets: number) {
    const draws = fc.sample(fleetDraw, { numRuns: fleets, seed: SEED });
    this.worstUses = draws.map((draw) => ({ use: runFleet(size, draw), draw }));
  },
);

/** A surge of refusals, and what happens to gateways shortly after its beginning. */
const surgeDraw = fc.record({
  surgeAt: fc.integer({ min: 4_000, max: 20_000 }),
  losses: fc.array(
    fc.record({
      afterMs: fc.nat({ max: 10_000 }),
      kind: fc.constantFrom('restart' as const, 'replace' as const),
      gateways,
      downMs,
    }),
    { minLength: 1, maxLength: 4 },
  ),
});
type SurgeDraw = typeof surgeDraw extends fc.Arbitrary<infer Draw> ? Draw : never;

function runSurge(size: number, draw: FleetDraw, { surgeAt, losses }: SurgeDraw): number {
  const { requestsPerTick, failureRate, disturbances, seed } = draw;
  const lossesAtTimes = losses.map(({ afterMs, ...loss }) => ({ ...loss, at: surgeAt + afterMs }));
  const random = createRandom(seed);
  const all = [...disturbances, ...lossesAtTimes];
  const fleet = new QuotaFleet(size, requestsPerTick, failureRate, all, random);
  fleet.failureRateAt = (time) => (time < surgeAt ? 0 : failureRate);
  fleet.run(LEAD_MS + TRAFFIC_MS);
  return worstUse(fleet.counts, BOUNDS);
}

When(
  '{int} gateways retry all that they may in {int} fleets that lose gateways shortly after servers have begun to refuse requests',
  { timeout: 120_000 },
  function (this: QuotaWorld, size: number, fleets: number) {
    const draws = fc.sample(fc.tuple(fleetDraw, surgeDraw), { numRuns: fleets, seed: SEED });
    this.worstUses = draws.map(([draw, surge]) => ({ use: runSurge(size, draw, surge), draw }));
  },
);

/** Requests a second at all budgets together. */
const SURGE_DEMAND = 200;
const SURGE_SECONDS = 40;
const MS_PER_REQUEST = 1_000 / SURGE_DEMAND;

When(
  '{int} budgets allow {float} retries a request, a surge begins at {int} s and {int} of them are replaced at {string} s',
  function (
    this: QuotaWorld,
    size: number,
    ratio: number,
    surgeAt: number,
    replaced: number,
    seconds: string,
  ) {
    const bounds = { ratio, windowMs: BOUNDS.windowMs, slack: 0 };
    const budgets = Array.from({ length: size }, () => new RetryBudget(bounds));
    const replacements = seconds
      .split(',')
      .filter(Boolean)
      .map((text) => Number(text) * 1_000);
    const counts = new Map<number, TickCount>();
    for (let sent = 0; sent < SURGE_DEMAND * SURGE_SECONDS; sent += 1) {
      const now = sent * MS_PER_REQUEST;
      for (; replacements[0] !== undefined && replacements[0] <= now; replacements.shift())
        for (let index = 0; index < replaced; index += 1) budgets[index] = new RetryBudget(bounds);
      const tick = Math.floor(now / TICK_MS);
      const count = counts.get(tick) ?? { at: tick * TICK_MS, requests: 0, retries: 0 };
      counts.set(tick, count);
      count.requests += 1;
      const budget = budgets[sent % size];
      budget?.recordRequest(now);
      while (now >= surgeAt * 1_000 && budget?.take(now, 0)) {
        budget.settle(now);
        count.retries += 1;
      }
    }
    const draw = { requestsPerTick: 0, failureRate: 1, disturbances: [], seed: 0 };
    this.worstUses = [{ use: worstUse([...counts.values()], bounds), draw }];
  },
);

const budgetDraw = fc.record({
  ratio: fc.constantFrom(0, 0.001, 0.2, 1, 3),
  windowMs: fc.constantFrom(1, 10, 1_000, 10_000, 86_400_000),
  slack: fc.constantFrom(0, 0.5, 20),
  share: fc.constantFrom(0, 0.01, 0.5, 1),
  /** Times between requests; the clock may stand still and be far ahead afterwards. */
  gapsMs: fc.array(fc.constantFrom(0, 0.1, 3, 40, 900, 5_000, 1e7), {
    maxLength: 60,
    size: 'max',
  }),
});
type BudgetDraw = typeof budgetDraw extends fc.Arbitrary<infer Draw> ? Draw : never;

interface BudgetRun {
  draw: BudgetDraw;
  requestTimes: number[];
  retryTimes: number[];
}

function runBudget(draw: BudgetDraw): BudgetRun {
  const budget = new RetryBudget(draw);
  const requestTimes: number[] = [];
  const retryTimes: number[] = [];
  let now = 0;
  for (const gapMs of draw.gapsMs) {
    now += gapMs;
    budget.recordRequest(now);
    requestTimes.push(now);
    while (budget.take(now, draw.share)) {
      budget.settle(now);
      retryTimes.push(now);
    }
  }
  return { draw, requestTimes, retryTimes };
}

When(
  '{int} budgets are drawn from seed {int} and retry all that they may',
  function (this: QuotaWorld, budgets: number, seed: number) {
    this.budgetRuns = fc.sample(budgetDraw, { numRuns: budgets, seed }).map(runBudget);
  },
);

Then(
  'each kept its fraction of the requests and its fixed part in every window',
  function (this: QuotaWorld) {
    for (const { draw, requestTimes, retryTimes } of this.budgetRuns) {
      const { ratio, windowMs, slack, share } = draw;
      for (const end of retryTimes) {
        const count = (times: readonly number[], fromMs: number): number =>
          times.filter((time) => time > end - fromMs && time <= end).length;
        // The requests of the tenth of a window before it may have allowed the first retries.
        const allowed = ratio * count(requestTimes, 1.1 * windowMs) + slack * share;
        const retries = count(retryTimes, windowMs);
        assert.ok(retries <= allowed, `${retries} of ${allowed}: ${JSON.stringify(draw)}`);
      }
    }
  },
);

Then('those with a ratio and enough requests have allowed retries', function (this: QuotaWorld) {
  const able = this.budgetRuns.filter(
    ({ draw: { ratio, windowMs, gapsMs } }) =>
      ratio >= 0.2 && gapsMs.length >= 30 && windowMs === 86_400_000,
  );
  assert.ok(able.length > 0, 'none of them was drawn');
  for (const { draw, retryTimes } of able) assert.ok(retryTimes.length > 0, JSON.stringify(draw));
});

When(
  '{int} gateways retry all that they may in 1 undisturbed fleet',
  { timeout: 60_000 },
  function (this: QuotaWorld, size: number) {
    const draw = { requestsPerTick: 15, failureRate: 0.9, disturbances: [], seed: SEED };
    this.worstUses = [{ use: runFleet(size, draw), draw }];
  },
);

When(
  '{int} gateways retry all that they may, and what they send is held up for {int} ms',
  { timeout: 60_000 },
  function (this: QuotaWorld, size: number, cutMs: number) {
    const draw = { requestsPerTick: 15, failureRate: 0.9, disturbances: [], seed: SEED };
    const fleet = new QuotaFleet(size, 15, 0.9, [], createRandom(SEED));
    fleet.areServersCut = (time) => time >= CUT_AT_MS && time < CUT_AT_MS + cutMs;
    fleet.run(LEAD_MS + TRAFFIC_MS);
    this.worstUses = [{ use: worstUse(fleet.counts, BOUNDS), draw }];
  },
);

Then('no window has more retries than the budget allows', function (this: QuotaWorld) {
  const exceeded = this.worstUses.filter(({ use }) => use > 1);
  assert.deepEqual(exceeded, [], `${exceeded.length} of ${this.worstUses.length} fleets`);
});

Then(
  'the fullest window has at least {float} of the retries that the budget allows',
  function (this: QuotaWorld, least: number) {
    for (const { use } of this.worstUses) assert.ok(use >= least, `only ${use}`);
  },
);

/** Its number does not matter; the seeds of the fleet are the first ones. */
const DISTURBED_GATEWAY = 4;
const MS_PER_MINUTE = 60_000;
const ROUNDING_ERROR = 1e-9;

Given('{int} gateways that share a limit', function (this: QuotaWorld, size: number) {
  this.size = size;
});

function runWithout(world: QuotaWorld, disturbances: Disturbance[], minutes: number): void {
  world.fleet = new QuotaFleet(world.size, 0, 0, disturbances, createRandom(SEED));
  world.fleet.run(LEAD_MS + minutes * MS_PER_MINUTE);
}

When(
  'one is replaced, and {int} minutes pass',
  { timeout: 60_000 },
  function (this: QuotaWorld, minutes: number) {
    const replacement = { kind: 'replace' as const, at: 0, gateways: [DISTURBED_GATEWAY] };
    runWithout(this, [replacement], minutes);
  },
);

When(
  'one is cut off from the others and the store for {int} minutes, and {int} minutes pass',
  { timeout: 60_000 },
  function (this: QuotaWorld, cutMinutes: number, minutes: number) {
    const forMs = cutMinutes * MS_PER_MINUTE;
    const cut = {
      kind: 'cut' as const,
      at: 0,
      gateways: [DISTURBED_GATEWAY],
      forMs,
      cutsStore: true,
    };
    runWithout(this, [cut], minutes);
  },
);

Then(
  'the shares of all running gateways sum up to 1 again, and never exceeded it',
  function (this: QuotaWorld) {
    assertShares(this.fleet);
  },
);

Then(
  '{int} minutes later they sum up to 1, and never exceeded it',
  function (this: QuotaWorld, minutes: number) {
    this.fleet.run(this.fleet.now + minutes * MS_PER_MINUTE);
    assertShares(this.fleet);
  },
);

function assertShares(fleet: QuotaFleet): void {
  assert.ok(Math.abs(fleet.sumShares() - 1) < ROUNDING_ERROR, `the sum is ${fleet.sumShares()}`);
  assert.ok(fleet.largestSum < 1 + ROUNDING_ERROR, `the sum was ${fleet.largestSum}`);
}

const LIMIT_WINDOW_MS = 4_000;
/** Time from the first naming of a limit until it must be kept. */
const CONTACT_MS = 3_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
const MS_PER_SECOND = 1_000;

const limitDraw: fc.Arbitrary<LimitDraw> = fc.record({
  limits: fc.array(fc.constantFrom(undefined, 0, 0.2, 1, 1.2, 3.5, 12), {
    minLength: 1,
    maxLength: 4,
  }),
});

function runLimitedFleet(size: number, draw: FleetDraw & LimitDraw): QuotaFleet {
  const { disturbances, seed, limits } = draw;
  const fleet = new QuotaFleet(size, 0, 0, disturbances, createRandom(seed));
  const spanMs = TRAFFIC_MS / limits.length;
  fleet.serverLimitAt = (time) => limits[Math.min(limits.length - 1, Math.floor(time / spanMs))];
  fleet.run(LEAD_MS + TRAFFIC_MS);
  return fleet;
}

/** The most requests beyond what is allowed in any window in which a limit has long been named. */
function largestExcess({ limitCounts }: QuotaFleet): number {
  const ticks = LIMIT_WINDOW_MS / TICK_MS;
  let namedSince = Number.POSITIVE_INFINITY;
  let largest = Number.NEGATIVE_INFINITY;
  limitCounts.forEach(({ at: time, perSecond }, index) => {
    if (perSecond === undefined) namedSince = Number.POSITIVE_INFINITY;
    else namedSince = Math.min(namedSince, time);
    const window = limitCounts.slice(Math.max(0, index - ticks + 1), index + 1);
    if (window.length < ticks || time - LIMIT_WINDOW_MS < namedSince + CONTACT_MS) return;
    const sent = window.reduce((sum, count) => sum + count.sent, 0);
    const named = window.reduce((sum, count) => sum + (count.perSecond ?? 0), 0);
    const allowed = (LIMIT_FACTOR * named * TICK_MS) / MS_PER_SECOND + LIMIT_SLACK;
    largest = Math.max(largest, sent - allowed);
  });
  return largest;
}

When(
  '{int} gateways send all that they may to a server with a changing limit in {int} fleets with restarts, freezes, cuts, joins and late digests',
  { timeout: 120_000 },
  function (this: QuotaWorld, size: number, fleets: number) {
    const draws = fc.sample(fc.tuple(fleetDraw, limitDraw), { numRuns: fleets, seed: SEED });
    this.excesses = draws.map(([fleet, limit]) => {
      const draw = { ...fleet, ...limit };
      return { excess: largestExcess(runLimitedFleet(size, draw)), draw };
    });
  },
);

Then(
  'no 4 s have more than 5 requests beyond one and a half times the limit',
  function (this: QuotaWorld) {
    const exceeded = this.excesses.filter(({ excess }) => excess > 0);
    assert.deepEqual(exceeded, [], `${exceeded.length} of ${this.excesses.length} fleets`);
  },
);

When(
  '{int} gateways send all that they may to a server with a limit of {float} requests a second',
  { timeout: 60_000 },
  function (this: QuotaWorld, size: number, limit: number) {
    const draw = { requestsPerTick: 0, failureRate: 0, disturbances: [], seed: SEED };
    this.fleet = runLimitedFleet(size, { ...draw, limits: [limit] });
    this.limit = limit;
  },
);

Then('it gets at least {float} of them', function (this: QuotaWorld, least: number) {
  const sent = this.fleet.limitCounts.reduce((sum, count) => sum + count.sent, 0);
  const named = (this.limit * TRAFFIC_MS) / MS_PER_SECOND;
  assert.ok(sent >= least * named, `it got ${sent} of ${named}`);
});
