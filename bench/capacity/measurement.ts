/**
 * One measurement: a fleet of one size at rest, or under changes of configuration.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { measureDeadMember } from './dead-member.js';
import { startFleet, type BenchFleet, type FleetSize } from './fleet.js';
import { mean, round } from './slopes.js';
import type { Traffic, TrafficCount } from './traffic.js';

/** Rates are a second; those of an entry are means over the entries. */
export interface Measurement extends FleetSize {
  changesPerSecond: number;
  processorPercent: number;
  heapMb: number;
  residentMb: number;
  /** Of the engines' probes, by one entry: probes, and the bytes of both directions. */
  probes: number;
  probeBytes: number;
  /** Calls to the platform by one entry, and the bytes of both directions. */
  platformCalls: number;
  platformBytes: number;
  /** What one entry wrote and read beside: to and from its peers. */
  peerBytesWritten: number;
  peerBytesRead: number;
  /** Calls to the platform by all entries, those that write and those that wait included. */
  allPlatformCalls: number;
  allPlatformWrites: number;
  /** After how long each entry had a replica out of service whose member had died. */
  deadMemberMs: number[];
}

const SETTLE_MS = 7_000;
const MEASURED_MS = 7_000;
const SECOND = 1_000;
const MB = 1_048_576;

/** Starts a fleet, measures it and stops it. */
export async function measureSize(
  traffic: Traffic,
  size: FleetSize,
  changesPerSecond = 0,
): Promise<Measurement> {
  const fleet = await startFleet(size);
  await sleep(SETTLE_MS);
  const measurement = await measureFleet(traffic, fleet, size, changesPerSecond);
  const deadMemberMs = await measureDeadMember(fleet);
  await fleet.stop();
  return { ...measurement, deadMemberMs };
}

async function measureFleet(
  traffic: Traffic,
  fleet: BenchFleet,
  size: FleetSize,
  changesPerSecond: number,
): Promise<Omit<Measurement, 'deadMemberMs'>> {
  const changes = makeChanges(fleet, changesPerSecond);
  const read = () => ({
    at: performance.now(),
    usages: fleet.entries.map((entry) => entry.readUsage()),
    probes: traffic.count((port) => engines.has(port)),
    platform: traffic.count((port) => port === platform),
    counters: fleet.platform.counters(),
  });
  const platform = readPort(fleet.platform.address);
  const engines = new Set(fleet.engines.map(({ address }) => readPort(address)));
  const before = read();
  await sleep(MEASURED_MS);
  const after = read();
  clearInterval(changes);
  const seconds = (after.at - before.at) / SECOND;
  const perEntry = (value: number): number => value / seconds / size.entries;
  const memory = await Promise.all(fleet.entries.map((entry) => entry.readMemory()));
  const probes = subtract(after.probes, before.probes);
  const calls = subtract(after.platform, before.platform);
  const written = after.usages.map(
    (u, at) => u.writtenBytes - (before.usages[at]?.writtenBytes ?? 0),
  );
  const received = after.usages.map((u, at) => u.readBytes - (before.usages[at]?.readBytes ?? 0));
  const processor = after.usages.map(
    (u, at) => u.processorMs - (before.usages[at]?.processorMs ?? 0),
  );
  const sum = (values: readonly number[]): number => mean(values) * values.length;
  const writes = after.counters.write + after.counters.batch;
  return {
    ...size,
    changesPerSecond,
    processorPercent: round(perEntry(sum(processor)) / 10),
    heapMb: round(mean(memory.map(({ heapBytes }) => heapBytes)) / MB),
    residentMb: round(mean(memory.map(({ residentBytes }) => residentBytes)) / MB),
    probes: round(perEntry(probes.calls)),
    probeBytes: round(perEntry(probes.requestBytes + probes.answerBytes)),
    platformCalls: round(perEntry(calls.calls)),
    platformBytes: round(perEntry(calls.requestBytes + calls.answerBytes)),
    peerBytesWritten: round(perEntry(sum(written) - probes.requestBytes - calls.requestBytes)),
    peerBytesRead: round(perEntry(sum(received) - probes.answerBytes - calls.answerBytes)),
    allPlatformCalls: round(calls.calls / seconds),
    allPlatformWrites: round((writes - before.counters.write - before.counters.batch) / seconds),
  };
}

function makeChanges(fleet: BenchFleet, perSecond: number): NodeJS.Timeout | undefined {
  if (perSecond === 0) return undefined;
  let change = 0;
  return setInterval(() => {
    change += 1;
    fleet.platform.put('workspace', `workspace-${change % 10}`, { weight: 1 + change });
  }, SECOND / perSecond);
}

function readPort(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}

function subtract(after: TrafficCount, before: TrafficCount): TrafficCount {
  return {
    calls: after.calls - before.calls,
    requestBytes: after.requestBytes - before.requestBytes,
    answerBytes: after.answerBytes - before.answerBytes,
  };
}
