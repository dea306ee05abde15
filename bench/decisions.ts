/**
 * Compares ways to place requests in drawn deployments, without a network.
 *
 *     npm run bench:decisions -- --deployments 10 --seed 1
 *
 * With --slow, single replicas are 4 to 12 times slower for some seconds, and what gateways learn of it is
 * compared instead.
 */
import { parseArgs } from 'node:util';
import {
  drawingPlacement,
  PLACEMENTS,
  playFleet,
  type FleetOptions,
  type FleetOutcome,
} from './decisions/index.js';
import { createRandom } from '../src/core/random/index.js';

const { values } = parseArgs({
  options: {
    deployments: { type: 'string', default: '10' },
    seed: { type: 'string', default: '1' },
    slow: { type: 'boolean', default: false },
  },
});

const SECONDS = 15;
/** Fraction of the replicas that are slow at a time. */
const SLOW_FRACTION = 0.1;
const SKIPPED_NUMBERS = 20;

/** A deployment whose replicas are between a third and nearly full on average. */
function drawDeployment(seed: number): FleetOptions {
  const random = createRandom(seed);
  // The first numbers of small seeds are alike.
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) random.fraction();
  const between = (low: number, high: number): number => low + random.fraction() * (high - low);
  const slots = Math.round(between(10, 24));
  const replicas = Math.round(between(12, 40));
  const streamMs = between(500, 1_200);
  const fill = between(0.35, 0.8);
  const targetMs = between(150, 500);
  return {
    gateways: 74,
    failureDomains: 3,
    replicas,
    slots,
    requestsPerSecond: (fill * replicas * slots * 1_000) / streamMs,
    streamMs,
    firstEventMs: targetMs / 3,
    targetMs,
    hubIntervalMs: 770,
    crossIntervalMs: 600,
    lossIntervalMs: between(1_000, 6_000),
    repairMs: 2_500,
    noticeMs: 500,
    seconds: SECONDS,
  };
}

/** Spells of 2 to 6 s at single replicas, so that about one in ten is slow. */
function addSlowSpells(options: FleetOptions): FleetOptions {
  const durationMs = 4_000;
  const intervalMs = durationMs / (SLOW_FRACTION * options.replicas);
  return { ...options, slowSpells: { intervalMs, durationMs, minFactor: 4, maxFactor: 12 } };
}

function printOutcome(name: string, outcome: FleetOutcome): void {
  const { onTime, veryLate, unserved, fromSlow } = outcome;
  const shares = [onTime, veryLate, unserved, fromSlow].map((share) => share.toFixed(3)).join(', ');
  console.log(`  ${name}: on time, very late, unserved, from slow ones ${shares}`);
}

const firstSeed = Number(values.seed);
for (let index = 0; index < Number(values.deployments); index += 1) {
  const seed = firstSeed + index;
  const options = drawDeployment(seed);
  const { replicas, slots, requestsPerSecond, targetMs } = options;
  console.log(
    `deployment ${seed}: ${replicas} replicas of ${slots} slots, ` +
      `${requestsPerSecond.toFixed(0)} requests a second, target ${targetMs.toFixed(0)} ms`,
  );
  if (values.slow) {
    const withSpells = addSlowSpells(options);
    for (const learning of ['none', 'own', 'shared', 'exact'] as const)
      printOutcome(`speeds: ${learning}`, playFleet(withSpells, drawingPlacement, seed, learning));
    continue;
  }
  for (const [name, place] of Object.entries(PLACEMENTS))
    printOutcome(name, playFleet(options, place, seed));
}
