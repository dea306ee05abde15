/**
 * Load of half to three times the capacity and back, on real entries before stand-ins of engines.
 * Writes `bench/out/overload.json`; ends with code 1 when a bound is passed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { Callers, type Answer } from './overload/load.js';
import { startSite, type OverloadSite } from './overload/site.js';

const OUT = 'bench/out/overload.json';
const DEADLINE_MS = 2_500;
const PHASE_MS = 7_000;
const CAPACITY_CALLERS = 48;
const CAPACITY_MS = 5_000;
const COME_BACK_EVERY = 5;
const FACTORS = [0.5, 1, 2, 3];
const AFTER = 0.5;
const MS_PER_SECOND = 1_000;

/** Least goodput at three times the capacity, of its peak. */
const GOODPUT_BOUND = 0.9;
/** Most that a refusal takes for 99 of 100, of the deadline. */
const REFUSAL_BOUND = 0.1;
/** Most retries, of all requests: what budgets earn. */
const RETRY_BOUND = 0.1;
/** Least part served of those that come back, of the part served of all in the same phase. */
const COME_BACK_BOUND = 0.8;
/** Longest time until everything is served again after the overload, in deadlines. */
const RECOVERY_BOUND = 2;

interface Phase {
  factor: number;
  asked: number;
  goodput: number;
  late: number;
  broken: number;
  refused: Record<string, number>;
  refusalP99Ms: number;
  refusalMaxMs: number;
  wholeP95Ms: number;
  comeBack: { asked: number; served: number };
  withoutRetryAfter: number;
}

interface Bound {
  name: string;
  value: number;
  bound: number;
  isLeast: boolean;
}

function measurePhase(factor: number, answers: readonly Answer[]): Phase {
  const whole = answers.filter(({ kind }) => kind === 'whole');
  const refused = answers.filter(({ kind }) => kind === 'refused');
  const back = answers.flatMap(({ comeBack }) => comeBack ?? []);
  const kinds: Record<string, number> = {};
  for (const { failure, status } of refused) {
    const name = `${failure} ${status}`;
    kinds[name] = (kinds[name] ?? 0) + 1;
  }
  const refusalMs = refused.map(({ tookMs }) => tookMs);
  return {
    factor,
    asked: answers.length,
    goodput: (whole.length * MS_PER_SECOND) / PHASE_MS,
    late: answers.filter(({ kind }) => kind === 'late').length,
    broken: answers.filter(({ kind }) => kind === 'broken').length,
    refused: kinds,
    refusalP99Ms: percentile(refusalMs, 0.99),
    refusalMaxMs: percentile(refusalMs, 1),
    wholeP95Ms: percentile(
      whole.map(({ tookMs }) => tookMs),
      0.95,
    ),
    comeBack: { asked: back.length, served: back.filter(({ kind }) => kind === 'whole').length },
    withoutRetryAfter: refused.filter(({ retryAfterMs }) => retryAfterMs === undefined).length,
  };
}

function percentile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** The span after `from` until which something that was asked for was not served. */
function recoveryMs(answers: readonly Answer[], from: number): number {
  const failed = answers.filter(({ kind }) => kind !== 'whole').map(({ at }) => at - from);
  return Math.max(0, ...failed);
}

/** Attempts that are not the first of their request, and all first ones. */
function countAttempts({ engines }: OverloadSite): { first: number; further: number } {
  const attempts = engines.flatMap((engine) => [...engine.journal().attempts]);
  const first = attempts.filter(({ attempt }) => attempt.endsWith('.1')).length;
  return { first, further: attempts.length - first };
}

async function run(site: OverloadSite): Promise<boolean> {
  const callers = new Callers(site.entries, DEADLINE_MS);
  await callers.measureCapacity(CAPACITY_CALLERS, MS_PER_SECOND);
  const capacity = await callers.measureCapacity(CAPACITY_CALLERS, CAPACITY_MS);
  const phases: Phase[] = [];
  // Whoever comes back does so while the next phase runs, as callers do.
  const running: Promise<Answer[]>[] = [];
  for (const factor of FACTORS) {
    running.push(callers.run(capacity * factor, PHASE_MS, COME_BACK_EVERY));
    await new Promise((resolve) => setTimeout(resolve, PHASE_MS));
  }
  const endedAt = performance.now();
  const after = await callers.run(capacity * AFTER, PHASE_MS, COME_BACK_EVERY);
  for (const [index, answers] of (await Promise.all(running)).entries()) {
    phases.push(measurePhase(FACTORS[index] ?? 0, answers));
  }
  phases.push(measurePhase(AFTER, after));
  await callers.close();
  const attempts = countAttempts(site);
  const bounds = listBounds(phases, attempts, recoveryMs(after, endedAt));
  print(capacity, phases, bounds);
  mkdirSync('bench/out', { recursive: true });
  const result = { capacity, deadlineMs: DEADLINE_MS, phases, attempts, bounds };
  writeFileSync(OUT, `${JSON.stringify(result, undefined, 2)}\n`);
  return bounds.every(isKept);
}

function listBounds(
  phases: readonly Phase[],
  attempts: { first: number; further: number },
  recovery: number,
): Bound[] {
  const overload = phases.filter(({ factor }) => factor >= 2);
  const peak = Math.max(...phases.map(({ goodput }) => goodput));
  const worst = phases.find(({ factor }) => factor === Math.max(...FACTORS));
  const refusal = Math.max(...overload.map(({ refusalP99Ms }) => refusalP99Ms));
  const comeBack = overload.map((phase) => {
    const served = phase.comeBack.served / Math.max(1, phase.comeBack.asked);
    return served / ((phase.goodput * PHASE_MS) / MS_PER_SECOND / phase.asked);
  });
  return [
    least('goodput at 3x, of its peak', (worst?.goodput ?? 0) / peak, GOODPUT_BOUND),
    most('refusal p99, of the deadline', refusal / DEADLINE_MS, REFUSAL_BOUND),
    most('retries, of first attempts', attempts.further / attempts.first, RETRY_BOUND),
    least('served on coming back, of served', Math.min(...comeBack), COME_BACK_BOUND),
    most('recovery, in deadlines', recovery / DEADLINE_MS, RECOVERY_BOUND),
  ];
}

function least(name: string, value: number, bound: number): Bound {
  return { name, value, bound, isLeast: true };
}

function most(name: string, value: number, bound: number): Bound {
  return { name, value, bound, isLeast: false };
}

function isKept({ value, bound, isLeast }: Bound): boolean {
  return isLeast ? value >= bound : value <= bound;
}

function print(capacity: number, phases: readonly Phase[], bounds: readonly Bound[]): void {
  console.log(`capacity ${capacity.toFixed(1)} answers a second`);
  for (const phase of phases) console.log(JSON.stringify(phase));
  for (const bound of bounds) {
    const sign = bound.isLeast ? 'at least' : 'at most';
    const verdict = isKept(bound) ? '' : '  FAILED';
    console.log(`${bound.name}: ${bound.value.toFixed(3)}, ${sign} ${bound.bound}${verdict}`);
  }
}

const site = await startSite();
const isWithinBounds = await run(site);
await site.stop();
if (!isWithinBounds) process.exitCode = 1;
