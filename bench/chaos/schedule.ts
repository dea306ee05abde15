/**
 * Which faults come when: drawn from a seed, so that a run can be repeated.
 *
 * A draw names its target by a number; which instance that is depends on what runs by then.
 */
import { createRandom, type Random } from '../../src/core/random/index.js';

/** Which way of a link swallows its bytes. */
export type CutWay = 'toTarget' | 'toSource' | 'both';

/** What is done. Those with `forMs` are undone after that span; spans are in milliseconds. */
export type Fault =
  | { kind: 'killEngine'; target: number; forMs: number }
  | { kind: 'freezeEngine'; target: number; forMs: number }
  | { kind: 'cutEngine'; target: number; way: CutWay; forMs: number }
  | { kind: 'cutDomain'; target: number; forMs: number }
  | { kind: 'drainEngine'; target: number; forMs: number }
  | { kind: 'spoilCompletion'; target: number; fault: CompletionFaultKind }
  | { kind: 'killEntry'; target: number; forMs: number }
  | { kind: 'freezeEntry'; target: number; forMs: number }
  | { kind: 'cutEntry'; target: number; way: CutWay; forMs: number }
  | { kind: 'outage'; mode: 'refuse' | 'hang' | 'reset'; forMs: number }
  | { kind: 'loseAnswers'; count: number }
  | { kind: 'oldCopy'; forMs: number }
  | { kind: 'raceOperators'; target: number }
  | { kind: 'spoilCall'; target: number; fault: CallFaultKind };

export type CompletionFaultKind = (typeof COMPLETION_FAULTS)[number];
export type CallFaultKind = (typeof CALL_FAULTS)[number];

/** A fault and when it begins, counted from the start of the faults. */
export interface ScheduledFault {
  atMs: number;
  fault: Fault;
}

const COMPLETION_FAULTS = [
  ...(['dieBeforeEnd', 'noEnd', 'cutAfter', 'duplicate', 'gap', 'foreignChunk'] as const),
  ...(['wrongAttempt', 'afterEnd', 'resetBeforeAnswer', 'garbage', 'hang'] as const),
] as const;
const CALL_FAULTS = [
  ...(['hangBeforeRun', 'hangAfterRun', 'resetBeforeRun', 'resetAfterRun', 'truncate'] as const),
] as const;
const WAYS = ['toTarget', 'toSource', 'both'] as const;
const OUTAGES = ['refuse', 'hang', 'reset'] as const;
const KINDS = [
  ...(['killEngine', 'killEngine', 'freezeEngine', 'freezeEngine', 'cutEngine'] as const),
  ...(['cutDomain', 'drainEngine', 'spoilCompletion', 'spoilCompletion', 'killEntry'] as const),
  ...(['freezeEntry', 'freezeEntry', 'cutEntry', 'cutEntry', 'outage', 'outage'] as const),
  ...(['loseAnswers', 'loseAnswers', 'oldCopy', 'raceOperators', 'spoilCall'] as const),
] as const;

const SECOND_MS = 1_000;
const SHORTEST_GAP_MS = 100;
const GAP_SPREAD_MS = 600;
const SHORTEST_FAULT_MS = 200;
/** With the shortest, beyond the lease of a domain's owner and the span after which peers forget. */
const FAULT_SPREAD_MS = 3_800;
const TARGETS = 1_000;
const MOST_LOST_ANSWERS = 4;

/** The faults of `seed` over `seconds`, in the order of their begin. */
export function drawSchedule(seed: number, seconds: number): ScheduledFault[] {
  const random = createRandom(seed);
  const schedule: ScheduledFault[] = [];
  let atMs = SHORTEST_GAP_MS;
  while (atMs < seconds * SECOND_MS) {
    schedule.push({ atMs, fault: drawFault(random) });
    atMs += SHORTEST_GAP_MS + random.below(GAP_SPREAD_MS);
  }
  return schedule;
}

function drawFault(random: Random): Fault {
  const kind = pick(random, KINDS);
  const target = random.below(TARGETS);
  const forMs = SHORTEST_FAULT_MS + random.below(FAULT_SPREAD_MS);
  switch (kind) {
    case 'killEngine':
    case 'freezeEngine':
    case 'cutDomain':
    case 'drainEngine':
    case 'killEntry':
    case 'freezeEntry':
      return { kind, target, forMs };
    case 'cutEngine':
    case 'cutEntry':
      return { kind, target, forMs, way: pick(random, WAYS) };
    case 'spoilCompletion':
      return { kind, target, fault: pick(random, COMPLETION_FAULTS) };
    case 'spoilCall':
      return { kind, target, fault: pick(random, CALL_FAULTS) };
    case 'outage':
      return { kind, forMs, mode: pick(random, OUTAGES) };
    case 'oldCopy':
      return { kind, forMs };
    case 'loseAnswers':
      return { kind, count: 1 + random.below(MOST_LOST_ANSWERS) };
    case 'raceOperators':
      return { kind, target };
  }
}

function pick<Value>(random: Random, values: readonly [Value, ...Value[]]): Value {
  return values[random.below(values.length)] ?? values[0];
}
