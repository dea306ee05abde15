/**
 * Limits that are divided between gateways, on a simulated fleet without network.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createRandom } from '../../src/core/random/index.js';
import { BOUNDS, LEAD_MS, QuotaFleet, worstUse, type Disturbance } from './quota-model.js';

interface QuotaWorld {
  /** The fullest window of each fleet, as a fraction of what the bounds allow there. */
  worstUses: number[];
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
    this.worstUses = draws.map((draw) => runFleet(size, draw));
  },
);

When(
  '{int} gateways retry all that they may in 1 undisturbed fleet',
  { timeout: 60_000 },
  function (this: QuotaWorld, size: number) {
    const draw = { requestsPerTick: 15, failureRate: 0.9, disturbances: [], seed: SEED };
    this.worstUses = [runFleet(size, draw)];
  },
);

Then('no window has more retries than the budget allows', function (this: QuotaWorld) {
  const exceeded = this.worstUses.filter((use) => use > 1);
  assert.deepEqual(exceeded, [], `${exceeded.length} of ${this.worstUses.length} fleets`);
});

Then(
  'the fullest window has at least {float} of the retries that the budget allows',
  function (this: QuotaWorld, least: number) {
    for (const use of this.worstUses) assert.ok(use >= least, `only ${use}`);
  },
);
