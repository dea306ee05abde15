/**
 * The site of development mode: stand-ins for all outside systems and three entries, in one process.
 */
import { createEntry } from '../../entry/index.js';
import type { Failure } from '../../core/errors/index.js';
import { entrySettingsSchema, type EntrySettings } from '../../core/settings/index.js';
import { OBJECT_SCHEMAS } from '../../objects/index.js';
import { createEngineStandIn } from '../../stand-ins/engine/index.js';
import { createPlatformStandIn, type PlatformStandIn } from '../../stand-ins/platform/index.js';
import { createServiceStandIn } from '../../stand-ins/service/index.js';
import type { ResultAsync } from 'neverthrow';
import {
  ENGINE_LABELS,
  EXAMPLE_FAILURE_DOMAINS,
  listExampleEngines,
  listExampleObjects,
  SERVICE_LABELS,
  type ExampleEngine,
} from './example-objects.js';

/** One entry of the site. */
export interface SiteEntry {
  name: string;
  callersAddress: string;
  operatorsAddress: string;
}

/** A running site. */
export interface Site {
  platformAddress: string;
  entries: readonly SiteEntry[];
  /** Entries first, gracefully; then the stand-ins. */
  stop(): Promise<void>;
}

interface Stoppable {
  stop: () => Promise<void>;
}

const LOOPBACK = '127.0.0.1:0';
const REGION = 'west-java';
const SERVICE_INSTANCE = 'pass-office-1';
const DECODE_MS_PER_TOKEN = 15;
/** There is no balancer in front to wait for. */
const BALANCER_MS = 50;

/** Starts everything. Throws when an address on loopback can't be bound. */
export async function startSite(): Promise<Site> {
  const platform = await unwrap(createPlatformStandIn({ address: LOOPBACK }));
  for (const { kind, name, value } of listExampleObjects()) {
    platform.put(kind, name, OBJECT_SCHEMAS[kind].parse(value));
  }
  const backends: Stoppable[] = [await startService(platform)];
  for (const engine of listExampleEngines()) backends.push(await startEngine(platform, engine));
  const entries: (SiteEntry & Stoppable)[] = [];
  for (const failureDomain of EXAMPLE_FAILURE_DOMAINS) {
    entries.push(await startEntry(platform, failureDomain));
  }
  return {
    platformAddress: platform.address,
    entries,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all(backends.map((backend) => backend.stop()));
      await platform.stop();
    },
  };
}

async function startService(platform: PlatformStandIn): Promise<Stoppable> {
  const service = await unwrap(createServiceStandIn({ instance: SERVICE_INSTANCE }));
  platform.put('instance', SERVICE_INSTANCE, {
    role: 'service',
    address: service.address,
    state: 'live',
    region: REGION,
    failureDomain: EXAMPLE_FAILURE_DOMAINS[0],
    labels: SERVICE_LABELS,
  });
  return service;
}

async function startEngine(platform: PlatformStandIn, engine: ExampleEngine): Promise<Stoppable> {
  const { name, fabricDomain, failureDomain } = engine;
  const started = await unwrap(
    createEngineStandIn({ instance: name, decodeMsPerToken: DECODE_MS_PER_TOKEN }),
  );
  platform.put('instance', name, {
    role: 'engine',
    address: started.address,
    state: 'live',
    region: REGION,
    failureDomain,
    fabricDomain,
    labels: ENGINE_LABELS,
  });
  return started;
}

async function startEntry(
  platform: PlatformStandIn,
  failureDomain: string,
): Promise<SiteEntry & Stoppable> {
  const name = `entry-${failureDomain}`;
  const entry = await unwrap(createEntry(createSettings(name, failureDomain, platform.address)));
  platform.put('instance', name, {
    role: 'entry',
    address: entry.callersAddress,
    peerAddress: entry.peersAddress,
    state: 'live',
    region: REGION,
    failureDomain,
    labels: {},
  });
  const { callersAddress, operatorsAddress } = entry;
  return { name, callersAddress, operatorsAddress, stop: () => entry.stop() };
}

function createSettings(name: string, failureDomain: string, platform: string): EntrySettings {
  return entrySettingsSchema.parse({
    name,
    region: REGION,
    failureDomain,
    listen: { callers: LOOPBACK, operators: LOOPBACK, peers: LOOPBACK },
    platform: { address: platform },
    logLevel: 'warn',
    stopping: { balancerMs: BALANCER_MS },
  });
}

async function unwrap<Value>(started: ResultAsync<Value, Failure<'unreachable'>>): Promise<Value> {
  const result = await started;
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}
