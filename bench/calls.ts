/**
 * Calls that may run only once: what each way of keeping their records asks of the platform, adds
 * to a call, and refuses when the platform or an entry fails. Exits with 1 on a missed bound.
 *
 *     npm run bench:calls
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { offerLoad, type Load, type LoadEvent, type LoadResult } from './calls/load.js';
import { createMeteredPlatform, type PlatformLimits } from './calls/metered-platform.js';
import { createShardedWay } from './calls/sharded-way.js';
import { createBatchedWay, createUnbatchedWay, type Way } from './calls/ways.js';
import type { Platform } from '../src/adapters/platform/index.js';

interface Case {
  name: string;
  entries: number;
  create: (platform: Platform, entries: number) => Way;
  counts: PlatformLimits['counts'];
  writesPerSecond: number;
  load: Load;
}

interface Bound {
  name: string;
  value: number;
  most: number;
}

/** The platform takes several hundred writes a second and answers in milliseconds. */
const WRITES_PER_SECOND = 400;
const LATENCY_MS = 4;
const ENTRIES = 9;
/** Room for other writers of the platform, as a share of its rate. */
const MOST_SHARE_OF_RATE = 0.6;
const MOST_OF_UNBATCHED = 0.2;
const UNLIMITED = 'unbatched, platform without limit';
const UNLIMITED_PER_SECOND = 1_000_000;
const MOST_ADDED_P99_MS = 150;
const MOST_RECOVERY_MS = 2_000;
const OUT = new URL('out/', import.meta.url);

const STEADY = createLoad(8, []);
const OUTAGE = createLoad(24, [
  { atSeconds: 4, kind: 'platformDown' },
  { atSeconds: 14, kind: 'platformUp' },
]);
const DEATH = createLoad(12, [{ atSeconds: 4, kind: 'kill' }]);
const DEATH_IN_OUTAGE = createLoad(8, [
  { atSeconds: 4, kind: 'platformDown' },
  { atSeconds: 6, kind: 'kill' },
]);

const CASES: readonly Case[] = [
  createCase('unbatched', createUnbatchedWay, STEADY),
  { ...createCase(UNLIMITED, createUnbatchedWay, STEADY), writesPerSecond: UNLIMITED_PER_SECOND },
  createCase('batched', createBatchedWay, STEADY),
  createCase('sharded', createShardedWay, STEADY),
  { ...createCase('batched, each write counted', createBatchedWay, STEADY), counts: 'writes' },
  { ...createCase('batched, 36 entries', createBatchedWay, STEADY), entries: 36 },
  createCase('batched, outage of 10 s', createBatchedWay, OUTAGE),
  createCase('sharded, outage of 10 s', createShardedWay, OUTAGE),
  createCase('batched, an entry dies', createBatchedWay, DEATH),
  createCase('sharded, an entry dies', createShardedWay, DEATH),
  createCase('batched, an entry dies in an outage', createBatchedWay, DEATH_IN_OUTAGE),
  createCase('sharded, an entry dies in an outage', createShardedWay, DEATH_IN_OUTAGE),
];

function createLoad(seconds: number, events: readonly LoadEvent[]): Load {
  return { perSecond: 1_000, seconds, serviceMs: 20, answerBytes: 400, events };
}

function createCase(name: string, create: Case['create'], load: Load): Case {
  return {
    name,
    entries: ENTRIES,
    create,
    counts: 'calls',
    writesPerSecond: WRITES_PER_SECOND,
    load,
  };
}

async function runCase(one: Case): Promise<LoadResult> {
  const { entries, create, counts, writesPerSecond, load } = one;
  const limits = { writesPerSecond, latencyMs: LATENCY_MS, counts };
  const platform = createMeteredPlatform(limits);
  return offerLoad(create(platform.platform, entries), platform, load);
}

function listBounds(results: ReadonlyMap<string, LoadResult>): Bound[] {
  const get = (name: string): LoadResult => {
    const result = results.get(name);
    if (!result) throw new Error(`no case ${name}`);
    return result;
  };
  const batched = get('batched');
  const all = [...results.values()];
  const sum = (pick: (result: LoadResult) => number): number =>
    all.reduce((total, result) => total + pick(result), 0);
  return [
    { name: 'second runs', value: sum((one) => one.secondRuns), most: 0 },
    { name: 'false "not run"', value: sum((one) => one.falseNotRun), most: 0 },
    { name: 'refused, batched', value: batched.refused, most: 0 },
    {
      name: 'platform calls for an answer, batched to unbatched',
      value: batched.platformCallsPerAnswer / get(UNLIMITED).platformCallsPerAnswer,
      most: MOST_OF_UNBATCHED,
    },
    {
      name: "share of the platform's rate, batched",
      value: batched.platformCallsPerSecond / WRITES_PER_SECOND,
      most: MOST_SHARE_OF_RATE,
    },
    { name: 'added p99 in ms, batched', value: batched.addedMs.p99, most: MOST_ADDED_P99_MS },
    {
      name: 'ms from the end of an outage to an answer',
      value: get('batched, outage of 10 s').recoveryMs ?? Number.POSITIVE_INFINITY,
      most: MOST_RECOVERY_MS,
    },
  ];
}

const results = new Map<string, LoadResult>();
for (const one of CASES) {
  const result = await runCase(one);
  results.set(one.name, result);
  console.log(JSON.stringify({ case: one.name, ...result }));
}
const bounds = listBounds(results);
for (const bound of bounds) {
  console.log(`${bound.value <= bound.most ? 'ok    ' : 'MISSED'} ${bound.name}: ${bound.value}`);
}
mkdirSync(OUT, { recursive: true });
writeFileSync(
  new URL('calls.json', OUT),
  `${JSON.stringify({ cases: Object.fromEntries(results), bounds }, null, 2)}\n`,
);
process.exit(bounds.every(({ value, most }) => value <= most) ? 0 : 1);
