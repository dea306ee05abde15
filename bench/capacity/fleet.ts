/**
 * A platform and engines in this process, and entries as processes of their own.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createEngineStandIn, type EngineStandIn } from '../../src/stand-ins/engine/index.js';
import { createPlatformStandIn, type PlatformStandIn } from '../../src/stand-ins/platform/index.js';
import type { DomainPlan } from '../../src/objects/index.js';
import { waitFor } from '../../features/support/waiting.js';
import { startMeasured, type MeasuredProcess } from './measured-process.js';

/** The size of one fleet. */
export interface FleetSize {
  entries: number;
  engines: number;
  /** Spread over the failure domains, which are as many. */
  fabricDomains: number;
  failureDomains: number;
  /** Lines of the settings' `health` table that are not the defaults. */
  health?: string;
}

export interface BenchFleet {
  platform: PlatformStandIn;
  engines: readonly EngineStandIn[];
  entries: readonly MeasuredProcess[];
  stop(): Promise<void>;
}

/** Another build of the program can be measured, for one against the other. */
const PROGRAM = process.env.YUCCASAIL_PROGRAM ?? 'dist/yuccasail.mjs';
const MODEL = 'assistant';
const REPLICA_SIZE = 4;
const ANY = '127.0.0.1:0';
/** Members look at each other rarely: that traffic is the engines' own and is not measured. */
const MEMBER_CHECK_MS = 1_000;
const PLENTY_PER_SECOND = 100_000;
const START_TIMEOUT_MS = 90_000;

/** Starts a fleet and waits until all replicas are whole and all entries are ready. */
export async function startFleet(size: FleetSize): Promise<BenchFleet> {
  const started = await createPlatformStandIn({
    address: ANY,
    readsPerSecond: PLENTY_PER_SECOND,
    writesPerSecond: PLENTY_PER_SECOND,
  });
  const platform = started._unsafeUnwrap();
  const engines = await startEngines(size, platform);
  const replicas =
    size.fabricDomains * Math.floor(size.engines / size.fabricDomains / REPLICA_SIZE);
  platform.put('model', MODEL, { replicaSize: REPLICA_SIZE, replicas });
  platform.put('policy', 'default', { fencingChecked: [] });
  const folder = await mkdtemp(join(tmpdir(), 'yuccasail-capacity-'));
  const entries: MeasuredProcess[] = [];
  const seeds: string[] = [];
  for (let index = 0; index < size.entries; index += 1) {
    const failureDomain = `site-${index % size.failureDomains}`;
    const file = join(folder, `entry-${index}.toml`);
    await writeFile(
      file,
      renderSettings(index, failureDomain, platform.address, seeds, size.health),
    );
    const entry = await startMeasured([PROGRAM, 'entry', '--settings', file], true);
    entries.push(entry);
    const { callers, peers } = entry.announced.listening as Record<string, string>;
    if (seeds.length < 2 && peers !== undefined) seeds.push(peers);
    const value = { role: 'entry', address: callers, peerAddress: peers, failureDomain };
    platform.put('instance', `entry-${index}`, value);
  }
  await waitFor(
    'all replicas to be whole',
    () => countWhole(platform) >= replicas,
    START_TIMEOUT_MS,
  );
  return {
    platform,
    engines,
    entries,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all(engines.map((engine) => engine.stop()));
      await platform.stop();
      await rm(folder, { recursive: true, force: true });
    },
  };
}

function startEngines(size: FleetSize, platform: PlatformStandIn): Promise<EngineStandIn[]> {
  const starts = Array.from({ length: size.engines }, async (_, index) => {
    const instance = `engine-${index}`;
    const memberCheckMs = MEMBER_CHECK_MS;
    const created = await createEngineStandIn({ instance, memberCheckMs, memberTimeoutMs: 900 });
    const engine = created._unsafeUnwrap();
    platform.put('instance', instance, {
      role: 'engine',
      address: engine.address,
      failureDomain: `site-${(index % size.fabricDomains) % size.failureDomains}`,
      fabricDomain: `fabric-${index % size.fabricDomains}`,
    });
    return engine;
  });
  return Promise.all(starts);
}

function countWhole(platform: PlatformStandIn): number {
  const plans = new Map<string, DomainPlan>();
  for (const { object } of platform.journal()) {
    if (object.kind === 'domain-plan') plans.set(object.name, object.value as DomainPlan);
  }
  const replicas = [...plans.values()].flatMap((plan) => plan.replicas);
  return replicas.filter(({ phase }) => phase === 'whole').length;
}

/** All spans but those of `health` are the defaults: they are what is measured. */
function renderSettings(
  index: number,
  failureDomain: string,
  platform: string,
  seeds: readonly string[],
  health = '',
): string {
  return `
name = "entry-${index}"
failureDomain = "${failureDomain}"
peers = ${JSON.stringify(seeds)}
[listen]
callers = "${ANY}"
operators = "${ANY}"
peers = "${ANY}"
[platform]
address = "${platform}"
[health]
${health}
`;
}
