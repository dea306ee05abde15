/**
 * Compares the dispatcher with usual ways of routing before engines on manual time, and holds it to
 * bounds. Writes `bench/out/routing-model.json`; ends with code 1 when a bound is passed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import type { BalancerName } from './routing/balancers.js';
import { runScenario, type RunResult, type Scenario } from './routing/run.js';
import type { Workload } from './routing/workload.js';

const OUT = 'bench/out/routing-model.json';
const BALANCERS: readonly BalancerName[] = [
  'roundRobin',
  'leastOutstanding',
  'twoChoices',
  'dispatcher',
];
const SPAN_MS = 120_000;
const SEEDS = [11, 12, 13];
const EVEN: Omit<Workload, 'seed'> = { rate: 90, spanMs: SPAN_MS, prompts: 'even' };
const SKEWED: Omit<Workload, 'seed'> = { rate: 60, spanMs: SPAN_MS, prompts: 'skewed' };
const FLOOD = { at: 20_000, part: 2 };

interface Case {
  name: string;
  workload: Omit<Workload, 'seed'>;
  reportLagMs: number;
  slowness?: number;
  /** Most that the dispatcher's p95 may be of the best other's. */
  bound: number;
}

const CASES: readonly Case[] = [
  { name: 'even', workload: EVEN, reportLagMs: 500, bound: 1.05 },
  { name: 'even, late reports', workload: EVEN, reportLagMs: 2_000, bound: 1.05 },
  { name: 'even, slow engine', workload: EVEN, reportLagMs: 500, slowness: 4, bound: 1.05 },
  { name: 'skewed', workload: SKEWED, reportLagMs: 500, bound: 0.75 },
  { name: 'skewed, late reports', workload: SKEWED, reportLagMs: 2_000, bound: 0.75 },
  { name: 'skewed, slow engine', workload: SKEWED, reportLagMs: 500, slowness: 4, bound: 0.75 },
];
/** Most that a flooding workspace may add to the others' p95. */
const FLOOD_BOUND = 1.1;

interface Outcome {
  name: string;
  ratio: number;
  bound: number;
  results: Readonly<Record<string, RunResult>>;
}

/** The mean over the seeds, figure by figure. */
function measure(
  scenario: Omit<Scenario, 'workload'>,
  workload: Case['workload'],
  name: BalancerName,
): RunResult {
  const results = SEEDS.map((seed) =>
    runScenario({ ...scenario, workload: { ...workload, seed } }, name),
  );
  const mean = (of: (result: RunResult) => number): number =>
    results.reduce((sum, result) => sum + of(result), 0) / results.length;
  return {
    answered: mean((result) => result.answered),
    refused: mean((result) => result.refused),
    p50Ms: mean((result) => result.p50Ms),
    p95Ms: mean((result) => result.p95Ms),
    p99Ms: mean((result) => result.p99Ms),
    othersP95Ms: mean((result) => result.othersP95Ms),
    prefilledPart: mean((result) => result.prefilledPart),
  };
}

function compare(one: Case): Outcome {
  const scenario = {
    engines: 24,
    entries: 8,
    reportLagMs: one.reportLagMs,
    slowness: one.slowness,
  };
  const results: Partial<Record<BalancerName, RunResult>> = {};
  for (const name of BALANCERS) results[name] = measure(scenario, one.workload, name);
  const others = BALANCERS.filter((name) => name !== 'dispatcher');
  const best = Math.min(...others.map((name) => results[name]?.p95Ms ?? Number.NaN));
  const ratio = (results.dispatcher?.p95Ms ?? Number.NaN) / best;
  return { name: one.name, ratio, bound: one.bound, results };
}

function flood(name: string, workload: Case['workload']): Outcome {
  const scenario = { engines: 24, entries: 8, reportLagMs: 500 };
  const calm = measure(scenario, workload, 'dispatcher');
  const flooded = measure(scenario, { ...workload, flood: FLOOD }, 'dispatcher');
  const ratio = flooded.othersP95Ms / calm.othersP95Ms;
  return { name, ratio, bound: FLOOD_BOUND, results: { flooded, calm } };
}

function print({ name, ratio, bound, results }: Outcome): void {
  console.log(
    `${name}: ratio ${ratio.toFixed(3)}, bound ${bound}${ratio <= bound ? '' : '  FAILED'}`,
  );
  for (const [balancer, result] of Object.entries(results)) {
    const { p50Ms, p95Ms, p99Ms, othersP95Ms, prefilledPart, refused } = result;
    const figures = [p50Ms, p95Ms, p99Ms, othersP95Ms]
      .map((figure) => figure.toFixed(0))
      .join(' / ');
    console.log(
      `  ${balancer.padEnd(16)} p50/p95/p99/others ${figures} ms, prefilled ${prefilledPart.toFixed(2)}, refused ${refused.toFixed(0)}`,
    );
  }
}

const outcomes = CASES.map((one) => {
  const outcome = compare(one);
  print(outcome);
  return outcome;
});
for (const [name, workload] of [
  ['flood, even', EVEN],
  ['flood, skewed', SKEWED],
] as const) {
  const outcome = flood(name, workload);
  print(outcome);
  outcomes.push(outcome);
}
mkdirSync('bench/out', { recursive: true });
writeFileSync(OUT, `${JSON.stringify({ outcomes }, undefined, 2)}\n`);
if (outcomes.some(({ ratio, bound }) => !(ratio <= bound))) process.exitCode = 1;
