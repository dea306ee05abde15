/**
 * What control costs an entry, and the platform, by the size of the fleet.
 *
 *     npm run bench:capacity
 *
 * Entries are processes of their own with the default settings, before engines and a platform in
 * this process; no caller sends anything. Bounds are ratios and slopes within the run; it exits
 * with 1 on a missed one and writes `bench/out/capacity.json`.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { measureBaselines } from './capacity/baselines.js';
import { checkBounds } from './capacity/bounds.js';
import type { FleetSize } from './capacity/fleet.js';
import { measureSize, type Measurement } from './capacity/measurement.js';
import { fitLine, round, type Line } from './capacity/slopes.js';
import { countTraffic } from './capacity/traffic.js';

type Figure =
  | 'processorPercent'
  | 'heapMb'
  | 'residentMb'
  | 'probeBytes'
  | 'platformBytes'
  | 'peerBytesWritten'
  | 'allPlatformCalls'
  | 'allPlatformWrites';

const FIGURES: readonly Figure[] = [
  'processorPercent',
  'heapMb',
  'residentMb',
  'probeBytes',
  'platformBytes',
  'peerBytesWritten',
  'allPlatformCalls',
  'allPlatformWrites',
];
const MB = 1_048_576;
const OUT = new URL('out/', import.meta.url);
const CHANGES_PER_SECOND = 4;

const SMALL: FleetSize = { entries: 3, engines: 60, fabricDomains: 3, failureDomains: 3 };
/** One of the 20 failure domains of the size designed for, with the spans meant for it. */
const ONE_DOMAIN: FleetSize = {
  entries: 20,
  engines: 84,
  fabricDomains: 1,
  failureDomains: 1,
  health: 'probeEveryMs = 1000\nfreshMs = 6000',
};

const traffic = countTraffic();
const measured: Measurement[] = [];

async function measure(size: FleetSize, changesPerSecond = 0): Promise<Measurement> {
  const measurement = await measureSize(traffic, size, changesPerSecond);
  console.log(JSON.stringify(measurement));
  measured.push(measurement);
  return measurement;
}

function fitFigures(points: readonly Measurement[], by: 'engines' | 'entries' | 'fabricDomains') {
  const lines = FIGURES.map((figure): [Figure, Line] => [
    figure,
    fitLine(points.map((point) => ({ at: point[by], value: point[figure] }))),
  ]);
  return Object.fromEntries(lines);
}

const baselines = await measureBaselines();
const few = await measure({ ...SMALL, engines: 12 });
const small = await measure(SMALL);
const manyEngines = await measure({ ...SMALL, engines: 212 });
const manyDomains = await measure({ ...SMALL, fabricDomains: 12 });
const nineEntries = await measure({ ...SMALL, entries: 9 });
const manyEntries = await measure({ ...SMALL, entries: 18 });
const oneDomain = await measure(ONE_DOMAIN);
const changing = await measure(SMALL, CHANGES_PER_SECOND);

const slopes = {
  engines: fitFigures([few, small, manyEngines], 'engines'),
  fabricDomains: fitFigures([small, manyDomains], 'fabricDomains'),
  entries: fitFigures([small, nineEntries, manyEntries], 'entries'),
  changeProcessorPercent: round(
    (changing.processorPercent - small.processorPercent) / CHANGES_PER_SECOND,
  ),
};
const checks = checkBounds({
  small,
  manyEngines,
  manyDomains,
  nineEntries,
  manyEntries,
  oneDomain,
  bareHeapMb: baselines.bareNode.heapBytes / MB,
});
mkdirSync(OUT, { recursive: true });
const report = { baselines, measured, slopes, checks };
writeFileSync(new URL('capacity.json', OUT), `${JSON.stringify(report, undefined, 2)}\n`);
for (const { what, most, measured: value } of checks) {
  console.log(`${value <= most ? 'ok    ' : 'MISSED'} ${what}: ${round(value)}, at most ${most}`);
}
process.exitCode = checks.every(({ most, measured: value }) => value <= most) ? 0 : 1;
