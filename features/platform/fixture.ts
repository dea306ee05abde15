/**
 * Shared fixture of the platform scenarios: a platform stand-in, an optional proxy and a client.
 */
import {
  createPlatformClient,
  createWatchLoop,
  type ObjectList,
  type Platform,
  type PlatformClient,
  type PlatformFailure,
  type PlatformWrite,
  type WatchLoop,
  type WriteOutcome,
} from '../../src/adapters/platform/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { OBJECT_KINDS, type StoredObject } from '../../src/objects/index.js';
import type { Result } from 'neverthrow';
import { createPlatformStandIn, type PlatformStandIn } from '../../src/stand-ins/platform/index.js';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';

export interface PlatformWorld {
  platform: PlatformStandIn;
  proxy?: Proxy;
  client: PlatformClient;
  outcome?: Result<WriteOutcome, PlatformFailure>;
  outcomes: Result<WriteOutcome, PlatformFailure>[];
  batch?: Result<WriteOutcome[], PlatformFailure>;
  watcher?: Watcher;
  elapsedMs: number;
  /** Results of the calls that were pending when the client was closed. */
  callsDuringClose: { calls: number; failed: number; unhandled: readonly unknown[] };
  /** Times of the calls to a stubbed `watch`. */
  watchCallTimes: number[];
  retryAfterMs: number;
}

/** A watch loop and everything it has reported. */
export interface Watcher {
  loop: WatchLoop;
  lists: ObjectList[];
  seen: Map<string, StoredObject>;
  receivedNames: string[];
  failures: PlatformFailure[];
}

const CALL_TIMEOUT_MS = 250;

export async function openPlatform(world: PlatformWorld, throughProxy: boolean): Promise<void> {
  world.platform = (await createPlatformStandIn({ address: '127.0.0.1:0' }))._unsafeUnwrap();
  let { address } = world.platform;
  if (throughProxy) {
    const opened = await createProxy({
      listen: '127.0.0.1:0',
      target: address,
      control: '127.0.0.1:0',
    });
    world.proxy = opened._unsafeUnwrap();
    address = world.proxy.address;
  }
  world.client = openClient(address);
  world.outcomes = [];
}

export function openClient(address: string, timeoutMs = CALL_TIMEOUT_MS): PlatformClient {
  const random = createRandom(1);
  return createPlatformClient({ address, timeoutMs, random, logger: silentLogger });
}

export async function closePlatform(world: Partial<PlatformWorld>): Promise<void> {
  await world.watcher?.loop.stop();
  await world.client?.close();
  await world.proxy?.stop();
  await world.platform?.stop();
}

export function startWatcher(
  client: Pick<Platform, 'watch' | 'onReturn'>,
  since = 0,
  random: Random = createRandom(2),
): Watcher {
  const watcher = { lists: [], seen: new Map(), receivedNames: [], failures: [] } as Omit<
    Watcher,
    'loop'
  >;
  const loop = createWatchLoop({
    platform: client,
    kinds: OBJECT_KINDS,
    waitMs: 5_000,
    pauseMs: 0,
    random,
    logger: silentLogger,
    since,
    onList: (list) => {
      watcher.lists.push(list);
      for (const object of list.objects) {
        watcher.seen.set(`${object.kind}/${object.name}`, object);
        watcher.receivedNames.push(object.name);
      }
    },
    onFailure: (failure) => watcher.failures.push(failure),
  });
  loop.start();
  return { ...watcher, loop };
}

export function modelWrite(name: string, expected: number, nonce: string): PlatformWrite {
  return { kind: 'model', name, expected, nonce, value: { written: nonce } };
}

/** Counts the writes to `name` that took effect, according to the platform's journal. */
export function countWrites(platform: PlatformStandIn, name: string): number {
  return platform.journal().filter((entry) => entry.object.name === name).length;
}
