/**
 * In-process fakes of the platform and the engines.
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

/** Stores one domain plan in memory and injects failures. */
export interface FakePlatform extends Platform {
  plan(): DomainPlan | undefined;
  /** Called after each successful write; the response waits for the returned promise. */
  onWritten: (plan: DomainPlan) => Promise<void> | undefined;
  /** Blocks the open watches: each fails after its wait time without a response. */
  blockWatches(): void;
  /** Number of open watches. */
  countWatches(): number;
  /** Number of upcoming writes that succeed but whose response is lost. */
  responsesToLose: number;
}

export function createFakePlatform(): FakePlatform {
  let stored: StoredObject | undefined;
  const waitingWatches = new Set<() => void>();
  /** Number of calls of `blockWatches`. */
  let blockCount = 0;
  let openWatches = 0;
  const list = (since: number) => {
    const objects = stored !== undefined && stored.version > since ? [stored] : [];
    return { objects, revision: stored?.version ?? 0 };
  };
  const unused = (): ResultAsync<never, PlatformFailure> =>
    errAsync(createFailure('platformUnavailable', { reason: 'not part of this test' }));
  const fake: FakePlatform = {
    responsesToLose: 0,
    countWatches: () => openWatches,
    blockWatches: () => {
      blockCount += 1;
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
      for (const wake of waitingWatches) wake();
      waitingWatches.clear();
      if (fake.responsesToLose > 0) {
        fake.responsesToLose -= 1;
        return errAsync(createFailure('platformOutcomeUnknown', { reason: 'answer lost' }));
      }
      const delay = fake.onWritten(domainPlanSchema.parse(value)) ?? Promise.resolve();
      return ResultAsync.fromSafePromise(delay.then(() => ({ kind: 'written', object }) as const));
    },
    watch: (_kinds, since, waitMs, signal) => {
      const timerAbort = new AbortController();
      const timerSignal = signal ? AbortSignal.any([signal, timerAbort.signal]) : timerAbort.signal;
      const blockCountAtStart = blockCount;
      const changed = new Promise<void>((resolve) => {
        if (waitMs === 0 || list(since).objects.length > 0) resolve();
        waitingWatches.add(resolve);
        signal?.addEventListener('abort', () => {
          resolve();
        });
      });
      const respond = async () => {
        openWatches += 1;
        const timeout = sleep(waitMs, undefined, { signal: timerSignal }).catch(() => undefined);
        await Promise.race([changed, timeout]);
        openWatches -= 1;
        if (blockCount === blockCountAtStart) {
          timerAbort.abort();
          return ok(list(since));
        }
        await timeout;
        return err(createFailure('platformUnavailable', { reason: 'no answer' }));
      };
      return new ResultAsync(respond());
    },
  };
  return fake;
}

/** An order sent to an engine. */
export interface RecordedOrder {
  entry: string;
  instance: string;
  order: Order;
}

/** The health and replicas parts of an entry. */
export interface FakeEntry {
  context: EntryContext;
  health: HealthPart;
  replicas: ReplicasPart;
}

const failUnusedCall = (): never => {
  throw new Error('not part of this test');
};

function createFakeEngines(
  entry: string,
  world: EngineWorld,
  sentOrders: RecordedOrder[],
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
      sentOrders.push({ entry, instance, order });
      if (world.order(instance, order, now())) return report(instance);
      return errAsync(createFailure('orderRefused', { name: instance, reason: 'fenced' }));
    },
    checkProcess: failUnusedCall,
    complete: failUnusedCall,
    cancel: failUnusedCall,
    cacheEvents: failUnusedCall,
  };
}

/** Short enough for leases to expire within a scenario. */
const LEASE_MS = 600;

/** Creates an entry without peers, so that it ranks itself first as owner. */
export function createFakeEntry(
  name: string,
  platform: Platform,
  world: EngineWorld,
  sentOrders: RecordedOrder[],
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
  const engines = createFakeEngines(name, world, sentOrders, () => clock.now());
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
