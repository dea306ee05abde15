/**
 * Cold backend servers, on a simulated fleet without network.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createRandom } from '../../src/core/random/index.js';
import { ColdTraffic, largestSecond, PROFILE, type TrafficDraw } from './cold-traffic.js';
import { LEAD_MS, QuotaFleet, type Disturbance } from './quota-fleet.js';
import { COLD_BOUNDS } from './quota-gateway.js';

interface ColdDraw extends TrafficDraw {
  disturbances: Disturbance[];
  seed: number;
}

interface ColdWorld {
  runs: { arrivals: readonly number[]; draw: ColdDraw }[];
}

const SEED = 1_702;
const TRAFFIC_MS = 18_000;
const LAST_EVENT_MS = 14_000;
/** By then all gateways of an undisturbed fleet count each other. */
const FIRST_COLD_MS = 4_000;
const MAX_GATEWAYS = 300;
const MIN_DOMAINS = 3;
/** Gateways of one failure domain; in much larger ones they time out at their hub before its next exchange. */
const MAX_DOMAIN_SIZE = 34;
/** Fewer arrivals than this show little of the bound; one gateway alone sends about 2 a second. */
const LEAST_ARRIVALS = { ofAll: 20, ofOne: 6 };
const MS_PER_SECOND = 1_000;
/** Cold for this long in the undisturbed fleets, after the news is there. */
const STEADY_COLD_MS = 14_000;
const STEADY_FROM_MS = 4_000;

const at = fc.nat({ max: LAST_EVENT_MS });
const forMs = fc.integer({ min: 500, max: 8_000 });
const gateways = fc.uniqueArray(fc.nat({ max: MAX_GATEWAYS - 1 }), {
  minLength: 1,
  maxLength: MAX_GATEWAYS,
});
const cutsStore = fc.boolean();
const downMs = fc.integer({ min: 100, max: 2_000 });

const coldDraw: fc.Arbitrary<ColdDraw> = fc.record({
  periods: fc
    .array(
      fc.record({
        at: fc.integer({ min: FIRST_COLD_MS, max: LAST_EVENT_MS }),
        kind: fc.constantFrom('start' as const, 'turn' as const),
        coldMs: fc.integer({ min: 1_000, max: 12_000 }),
        inEntries: fc.boolean(),
      }),
      { minLength: 1, maxLength: 5 },
    )
    .map((periods) => periods.sort((a, b) => a.at - b.at)),
  cuts: fc.array(fc.record({ at, forMs, gateways, isRelayed: fc.boolean() }), { maxLength: 3 }),
  isOneSided: fc.constantFrom(false, false, true),
  maxAnswerMs: fc.constantFrom(40, 200, 1_500),
  disturbances: fc.array(
    fc.oneof(
      fc.record({ kind: fc.constant('restart' as const), at, gateways, downMs }),
      fc.record({ kind: fc.constant('freeze' as const), at, gateways, forMs }),
      fc.record({ kind: fc.constant('cut' as const), at, gateways, forMs, cutsStore }),
      fc.record({ kind: fc.constant('isolate' as const), at, gateways, forMs, cutsStore }),
      fc.record({ kind: fc.constant('replace' as const), at, gateways }),
      fc.record({ kind: fc.constant('join' as const), at, count: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ kind: fc.constant('storeOutage' as const), at, forMs }),
    ),
    { maxLength: 4 },
  ),
  seed: fc.nat({ max: 1_000_000 }),
});

function runColdFleet(size: number, draw: ColdDraw): readonly number[] {
  const random = createRandom(draw.seed);
  const domains = Math.max(MIN_DOMAINS, Math.ceil(size / MAX_DOMAIN_SIZE));
  const fleet = new QuotaFleet(size, 0, 0, draw.disturbances, random, domains);
  const traffic = new ColdTraffic(draw, random);
  fleet.onTick = (running) => {
    traffic.play(running, fleet.now - LEAD_MS);
  };
  fleet.run(LEAD_MS + TRAFFIC_MS);
  return traffic.arrivals;
}

When(
  '{int} gateways send all that they may to a server that turns cold in {int} fleets with restarts, cuts and late news',
  { timeout: 120_000 },
  function (this: ColdWorld, size: number, fleets: number) {
    const draws = fc.sample(coldDraw, { numRuns: fleets, seed: SEED });
    this.runs = draws.map((draw) => ({ arrivals: runColdFleet(size, draw), draw }));
    const used = this.runs.filter(
      ({ arrivals, draw }) =>
        arrivals.length >= (draw.isOneSided ? LEAST_ARRIVALS.ofOne : LEAST_ARRIVALS.ofAll),
    );
    assert.ok(used.length > fleets / 2, `only ${used.length} of ${fleets} fleets used the server`);
  },
);

When(
  '{int} undisturbed gateways send all that they may to a cold server',
  { timeout: 60_000 },
  function (this: ColdWorld, size: number) {
    const period = { at: STEADY_FROM_MS, kind: 'start', coldMs: STEADY_COLD_MS } as const;
    const draw: ColdDraw = {
      periods: [{ ...period, inEntries: true }],
      cuts: [],
      isOneSided: false,
      maxAnswerMs: 200,
      disturbances: [],
      seed: SEED,
    };
    this.runs = [{ arrivals: runColdFleet(size, draw), draw }];
  },
);

Then(
  'no second has more requests than {float} times the rate and {int}',
  function (this: ColdWorld, overrun: number, slack: number) {
    assert.deepEqual(COLD_BOUNDS, { overrun, slack });
    const allowed = PROFILE.perSecond * overrun + slack;
    const exceeded = this.runs
      .map(({ arrivals, draw }) => ({ most: largestSecond(arrivals), draw }))
      .filter(({ most }) => most > allowed);
    assert.equal(exceeded.length, 0, JSON.stringify(exceeded[0]));
  },
);

Then('it gets at least {float} of its rate', function (this: ColdWorld, least: number) {
  for (const { arrivals } of this.runs) {
    const use = arrivals.length / ((PROFILE.perSecond * STEADY_COLD_MS) / MS_PER_SECOND);
    assert.ok(use >= least, `it got ${use}`);
  }
});
