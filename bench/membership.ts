/**
 * What digests cost an entry, and how soon a change is in force and accepted, by fleet size.
 *
 *     npm run bench:membership
 *
 * All entries run in this process, over loopback, with the default settings. Bytes are those that
 * an entry wrote to the others, HTTP included. Bounds: the bytes stay within the budget of 2 KB a
 * second at every size, and a change is in force at every entry within 6 s.
 */
import { createTestFleet, type TestEntry, type TestFleet } from '../features/support/entries.js';
import { waitFor } from '../features/support/waiting.js';

const SIZES = [3, 9, 27];
const FAILURE_DOMAINS = 3;
const SETTLE_MS = 8_000;
const MEASURED_MS = 8_000;
const CHANGES = 3;
const MOST_BYTES_PER_SECOND = 2_000;
const MOST_IN_FORCE_MS = 6_000;
const DEFAULTS = { digestEveryMs: 500, forgetMs: 10_000, bytesPerSecond: 1_500 };
const SECOND = 1_000;

interface Measurement {
  entries: number;
  bytesPerSecond: { mean: number; most: number };
  /** Of one core, for one entry. */
  processorPercent: number;
  inForceMs: number[];
  acceptedMs: number[];
}

async function measure(size: number): Promise<Measurement> {
  const fleet = await createTestFleet({ membership: DEFAULTS });
  for (let index = 0; index < size; index += 1) {
    await fleet.startEntry(`entry-${index}`, `domain-${index % FAILURE_DOMAINS}`);
  }
  const entries = [...fleet.entries.values()];
  await waitFor('all to be ready', () =>
    entries.every((entry) => entry.membership.readiness().kind === 'ready'),
  );
  await pause(SETTLE_MS);
  const cost = await measureCost(entries);
  const times = await measureChanges(fleet, entries);
  await fleet.stop();
  return { entries: size, ...cost, ...times };
}

async function measureCost(entries: readonly TestEntry[]) {
  const before = entries.map((entry) => entry.sentBytes());
  const startedAt = performance.now();
  const processor = process.cpuUsage();
  await pause(MEASURED_MS);
  const used = process.cpuUsage(processor);
  const seconds = (performance.now() - startedAt) / SECOND;
  const rates = entries.map((entry, i) => (entry.sentBytes() - (before[i] ?? 0)) / seconds);
  const processorSeconds = (used.user + used.system) / 1e6;
  return {
    bytesPerSecond: {
      mean: Math.round(rates.reduce((sum, rate) => sum + rate, 0) / rates.length),
      most: Math.round(Math.max(...rates)),
    },
    processorPercent: round((100 * processorSeconds) / seconds / entries.length),
  };
}

async function measureChanges(fleet: TestFleet, entries: readonly TestEntry[]) {
  const inForceMs: number[] = [];
  const acceptedMs: number[] = [];
  for (let change = 1; change <= CHANGES; change += 1) {
    const startedAt = performance.now();
    const { version } = fleet.platform.put('model', 'm', { replicas: change });
    const accepted = entries[0]?.operations.acceptance(
      version,
      MEASURED_MS * 2,
      new AbortController().signal,
    );
    await waitFor('the change everywhere', () =>
      entries.every((entry) => entry.configuration.revision() >= version),
    );
    inForceMs.push(Math.round(performance.now() - startedAt));
    if ((await accepted)?.kind === 'accepted') {
      acceptedMs.push(Math.round(performance.now() - startedAt));
    }
  }
  return { inForceMs, acceptedMs };
}

/** Least-squares slope of the mean bytes a second over the number of entries. */
function fitSlope(measurements: readonly Measurement[]): number {
  const n = measurements.length;
  const meanX = measurements.reduce((sum, m) => sum + m.entries, 0) / n;
  const meanY = measurements.reduce((sum, m) => sum + m.bytesPerSecond.mean, 0) / n;
  let covariance = 0;
  let variance = 0;
  for (const { entries, bytesPerSecond } of measurements) {
    covariance += (entries - meanX) * (bytesPerSecond.mean - meanY);
    variance += (entries - meanX) ** 2;
  }
  return covariance / variance;
}

function pause(span: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, span));
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const measurements: Measurement[] = [];
for (const size of SIZES) {
  const measurement = await measure(size);
  measurements.push(measurement);
  console.log(JSON.stringify(measurement));
}
console.log(JSON.stringify({ bytesPerSecondPerEntryAdded: round(fitSlope(measurements)) }));
const isWithinBounds = measurements.every(
  ({ bytesPerSecond, inForceMs }) =>
    bytesPerSecond.most <= MOST_BYTES_PER_SECOND && Math.max(...inForceMs) <= MOST_IN_FORCE_MS,
);
console.log(isWithinBounds ? 'within bounds' : 'OUT OF BOUNDS');
process.exitCode = isWithinBounds ? 0 : 1;
