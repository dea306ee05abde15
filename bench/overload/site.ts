/**
 * Three entries before four engines, all in this process, with real listeners on loopback.
 */
import { createHash } from 'node:crypto';
import type { ResultAsync } from 'neverthrow';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { createEntry, type RunningEntry } from '../../src/entry/index.js';
import { OBJECT_SCHEMAS } from '../../src/objects/index.js';
import { createEngineStandIn, type EngineStandIn } from '../../src/stand-ins/engine/index.js';
import { createPlatformStandIn, type PlatformStandIn } from '../../src/stand-ins/platform/index.js';

export const MODEL = 'pass-assistant';
export const WORKSPACES = ['gate', 'market', 'helpline'] as const;
const ENTRIES = 3;
const ENGINES = 4;
const ENGINE = { decodeMsPerToken: 20, batchSize: 8, prefillMsPerToken: 0.2 };
const LOOPBACK = '127.0.0.1:0';
/** Above all load: the limits are not what this benchmark is about. */
const PLENTY = { requestsPerSecond: 1e5, tokensPerSecond: 1e8, concurrentRequests: 1e5 };

export interface OverloadSite {
  /** `host:port` of the callers' listener of each entry. */
  entries: readonly string[];
  engines: readonly EngineStandIn[];
  stop(): Promise<void>;
}

/** The key by which callers of `workspace` are known. */
export function keyOf(workspace: string): string {
  return `${workspace}-key`;
}

/** Starts everything and waits until every entry is ready and every replica is whole. */
export async function startSite(): Promise<OverloadSite> {
  const platform = await unwrap(createPlatformStandIn({ address: LOOPBACK }));
  putConfiguration(platform);
  const engines: EngineStandIn[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    engines.push(await startEngine(platform, `engine-${index}`));
  }
  const entries: RunningEntry[] = [];
  for (let index = 0; index < ENTRIES; index += 1) {
    entries.push(await startEntry(platform, `entry-${index}`));
  }
  const isWhole = (): boolean =>
    engines.every((engine) => engine.journal().states.at(-1)?.state === 'ready');
  while (!isWhole()) await new Promise((resolve) => setTimeout(resolve, 50));
  return {
    entries: entries.map((entry) => entry.callersAddress),
    engines,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all(engines.map((engine) => engine.stop()));
      await platform.stop();
    },
  };
}

function putConfiguration(platform: PlatformStandIn): void {
  const model = { selector: [], replicaSize: 1, replicas: ENGINES };
  platform.put('model', MODEL, OBJECT_SCHEMAS.model.parse(model));
  for (const name of WORKSPACES) {
    const keyHashes = [createHash('sha256').update(keyOf(name)).digest('hex')];
    const workspace = { keyHashes, limits: PLENTY };
    platform.put('workspace', name, OBJECT_SCHEMAS.workspace.parse(workspace));
  }
}

async function startEngine(platform: PlatformStandIn, instance: string): Promise<EngineStandIn> {
  const engine = await unwrap(createEngineStandIn({ instance, ...ENGINE }));
  platform.put('instance', instance, {
    role: 'engine',
    address: engine.address,
    state: 'live',
    region: 'west',
    failureDomain: 'west-1',
    fabricDomain: 'fabric-1',
    labels: {},
  });
  return engine;
}

async function startEntry(platform: PlatformStandIn, name: string): Promise<RunningEntry> {
  const settings = entrySettingsSchema.parse({
    name,
    region: 'west',
    failureDomain: 'west-1',
    listen: { callers: LOOPBACK, operators: LOOPBACK, peers: LOOPBACK },
    platform: { address: platform.address },
    logLevel: 'error',
    stopping: { balancerMs: 50 },
  });
  const entry = (await createEntry(settings))._unsafeUnwrap();
  platform.put('instance', name, {
    role: 'entry',
    address: entry.callersAddress,
    peerAddress: entry.peersAddress,
    state: 'live',
    region: 'west',
    failureDomain: 'west-1',
    labels: {},
  });
  return entry;
}

async function unwrap<Value>(started: ResultAsync<Value, { message: string }>): Promise<Value> {
  const result = await started;
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}
