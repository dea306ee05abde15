/**
 * The platform and the engines in this process, at the interfaces that the entries use.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type { EngineWorld } from '../../bench/plan/engine-world.js';
import type { Engines, Order } from '../../src/adapters/engines/index.js';
import type { Platform, PlatformFailure, WriteOutcome } from '../../src/adapters/platform/index.js';
import { createBoard } from '../../src/board/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { createHealthPart, type HealthPart } from '../../src/entry/health/index.js';
import { createReplicasPart, type ReplicasPart } from '../../src/entry/replicas/index.js';
import type { EntryContext } from '../../src/entry/types.js';
import {
  domainPlanSchema,
  modelSchema,
  type DomainPlan,
  type StoredObject,
} from '../../src/objects/index.js';

/** One domain plan in memory, with the ways in which a write can go wrong. */
export interface FakePlatform extends Platform {
  plan(): DomainPlan | undefined;
  /** Called with each write that took effect; its answer waits for what is returned. */
  onWritten: (plan: DomainPlan) => Promise<void> | undefined;
  /** The watches under way bring nothing any more; each fails when its wait is over. */
  silenceWatches(): void;
  /** Watches under way. */
  watching(): number;
  /** So many further answers to writes are lost after their effect. */
  losesAnswers: number;
}

export function createFakePlatform(): FakePlatform {
  let stored: StoredObject | undefined;
  const waiting = new Set<() => void>();
  /** How often the watches under way were silenced. */
  let silences = 0;
  let watching = 0;
  const list = (since: number) => {
    const objects = stored !== undefined && stored.version > since ? [stored] : [];
    return { objects, revision: stored?.version ?? 0 };
  };
  const unused = (): ResultAsync<never, PlatformFailure> =>
    errAsync(createFailure('platformUnavailable', { reason: 'not part of this test' }));
  const fake: FakePlatform = {
    losesAnswers: 0,
    watching: () => watching,
    silenceWatches: () => {
      silences += 1;
    },
    onWritten: () => undefined,
    plan: () => (stored === undefined ? undefined : domainPlanSchema.parse(stored.value)),
    onReturn: () => () => undefined,
    list: unused,
    writeBatch: unused,
    read: () => okAsync(stored),
    write: ({ kind, name, expected, nonce, value }) => {
      if ((stored?.version ?? 0) !== expected) {
        return okAsync<WriteOutcome>({ kind: 'conflict', current: stored });
      }
      const object = { kind, name, version: expected + 1, nonce, deleted: false, value };
      stored = object;
      for (const wake of waiting) wake();
      waiting.clear();
      if (fake.losesAnswers > 0) {
        fake.losesAnswers -= 1;
        return errAsync(createFailure('platformOutcomeUnknown', { reason: 'answer lost' }));
      }
      const held = fake.onWritten(domainPlanSchema.parse(value)) ?? Promise.resolve();
      return ResultAsync.fromSafePromise(held.then(() => ({ kind: 'written', object }) as const));
    },
    watch: (_kinds, since, waitMs, signal) => {
      const ended = new AbortController();
      const end = signal ? AbortSignal.any([signal, ended.signal]) : ended.signal;
      const sentIn = silences;
      const changed = new Promise<void>((resolve) => {
        if (waitMs === 0 || list(since).objects.length > 0) resolve();
        waiting.add(resolve);
        signal?.addEventListener('abort', () => {
          resolve();
        });
      });
      const answer = async () => {
        watching += 1;
        const overWait = sleep(waitMs, undefined, { signal: end }).catch(() => undefined);
        await Promise.race([changed, overWait]);
        watching -= 1;
        if (silences === sentIn) {
          ended.abort();
          return ok(list(since));
        }
        await overWait;
        return err(createFailure('platformUnavailable', { reason: 'no answer' }));
      };
      return new ResultAsync(answer());
    },
  };
  return fake;
}

/** An order as an engine received it. */
export interface JournaledOrder {
  entry: string;
  instance: string;
  order: Order;
}

/** Two entries' worth of parts over one platform and one set of engines. */
export interface FakeEntry {
  context: EntryContext;
  health: HealthPart;
  replicas: ReplicasPart;
}

const unusedCall = (): never => {
  throw new Error('not part of this test');
};

function createFakeEngines(
  entry: string,
  world: EngineWorld,
  journal: JournaledOrder[],
  now: () => number,
): Engines {
  const find = (address: string): string => {
    const found = [...world.engines.values()].find(({ instance }) => instance.address === address);
    return found?.name ?? '';
  };
  const report = (name: string) => {
    world.settle(now());
    const answer = world.report(name, now());
    if (answer !== undefined) return okAsync(answer);
    return errAsync(createFailure('unreachable', { name, reason: 'down' }));
  };
  return {
    health: (address) => report(find(address)),
    order: (address, order) => {
      const instance = find(address);
      journal.push({ entry, instance, order });
      if (world.order(instance, order, now())) return report(instance);
      return errAsync(createFailure('orderRefused', { name: instance, reason: 'fenced' }));
    },
    complete: unusedCall,
    cancel: unusedCall,
    cacheEvents: unusedCall,
  };
}

/** Short, so that scenarios see leases lapse. In milliseconds. */
const LEASE_MS = 600;

/** An entry that hears no other, so it takes itself for the first choice of owner. */
export function createFakeEntry(
  name: string,
  platform: Platform,
  world: EngineWorld,
  journal: JournaledOrder[],
  leaseMs = LEASE_MS,
): FakeEntry {
  const clock = createSystemClock();
  const board = createBoard();
  const address = '127.0.0.1:0';
  const settings = entrySettingsSchema.parse({
    name,
    failureDomain: 'domain-a',
    listen: { callers: address, operators: address, peers: address },
    platform: { address },
    replicas: { leaseMs, orderTimeoutMs: 50, planEveryMs: 20 },
    health: { probeEveryMs: 20, probeTimeoutMs: 20, freshMs: 400 },
  });
  const identity = {
    name,
    incarnation: `${name}-start-1`,
    address,
    peerAddress: address,
    region: 'default',
    failureDomain: 'domain-a',
  };
  const engines = createFakeEngines(name, world, journal, () => clock.now());
  const instances = new Map([...world.engines.values()].map((one) => [one.name, one.instance]));
  board.fleet.write({ revision: 1, instances, leaving: new Set() });
  const value = modelSchema.parse({ replicas: 1, replicaSize: 3 });
  const models = new Map([['pass', { version: 1, value }]]);
  board.configuration.write({ ...board.configuration.read(), models });
  const random = createRandom(1);
  const logger = silentLogger;
  const context: EntryContext = {
    ...{ identity, settings, board, writers: board, clock, random, logger, platform, engines },
  };
  const health = createHealthPart(context);
  const replicas = createReplicasPart(context, {
    keepReport: (report, askedAt) => {
      health.keepReport(report, askedAt);
    },
  });
  return { context, health, replicas };
}
