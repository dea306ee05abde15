/**
 * The ways to make calls run only once that are weighed against each other: a record for each call,
 * written in batches (the product's own) or one by one. The third is in `sharded-way.ts`.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { okAsync } from 'neverthrow';
import type { Platform, PlatformWrite } from '../../src/adapters/platform/index.js';
import { createBoard, type Peer } from '../../src/board/index.js';
import {
  beginCall,
  nameRecord,
  stepCall,
  type CallEvent,
  type CallContext,
  type CallStep,
  type OnceCall,
  type OnceCalls,
  type OnceOutcome,
  type SendOutcome,
} from '../../src/controllers/calls/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createOnceCalls } from '../../src/entry/calls/index.js';
import type { EntryContext } from '../../src/entry/types.js';

/** One way over several entries. */
export interface Way {
  /** By entry. */
  calls: readonly OnceCalls[];
  /** Nothing of the entry reaches the platform any more. */
  kill(entry: number): void;
  /** Claims made by the entry, or kept by it, that stand in the platform without an outcome. */
  countOpenClaims(entry: number): number;
}

const RETRY_MS = 250;

/** The product's own. */
export function createBatchedWay(platform: Platform, entries: number): Way {
  return createRecordWay(platform, entries, (link, index) =>
    createOnceCalls(createContext(link, index, entries)),
  );
}

/** The same state machine with one call to the platform for each write, at once. */
export function createUnbatchedWay(platform: Platform, entries: number): Way {
  return createRecordWay(platform, entries, createDirectCalls);
}

function createRecordWay(
  platform: Platform,
  entries: number,
  createCalls: (platform: Platform, index: number) => OnceCalls,
): Way {
  const dead = new Set<number>();
  const openClaims = Array.from({ length: entries }, () => new Set<string>());
  const watch = (entry: number, writes: readonly PlatformWrite[]): void => {
    for (const { name, value } of writes) {
      const { state } = value as { state: { kind: string } };
      if (state.kind === 'claimed') openClaims[entry]?.add(name);
      else openClaims[entry]?.delete(name);
    }
  };
  const connect = (entry: number): Platform => ({
    ...platform,
    writeBatch: (writes) => {
      if (dead.has(entry)) return okAsync([]);
      return platform.writeBatch(writes).map((outcomes) => {
        watch(
          entry,
          writes.filter((_, index) => outcomes[index]?.kind === 'written'),
        );
        return outcomes;
      });
    },
  });
  return {
    calls: openClaims.map((_, index) => createCalls(connect(index), index)),
    kill: (entry) => {
      dead.add(entry);
    },
    countOpenClaims: (entry) => openClaims[entry]?.size ?? 0,
  };
}

function createContext(platform: Platform, index: number, entries: number): EntryContext {
  const writers = createBoard();
  const names = Array.from({ length: entries }, (_, other) => `entry-${other}`);
  const peers = names.filter((_, other) => other !== index);
  writers.peers.write(new Map(peers.map((name) => [name, { name, incarnation: '1' } as Peer])));
  return {
    identity: { name: `entry-${index}`, incarnation: '1' },
    settings: { calls: { unheardClaimMs: 60_000 } },
    board: writers,
    writers,
    clock: createSystemClock(),
    random: createRandom(index + 1),
    logger: silentLogger,
    platform,
  } as unknown as EntryContext;
}

function createDirectCalls(platform: Platform, index: number): OnceCalls {
  const clock = createSystemClock();
  const facts = (): CallContext => ({
    now: clock.now(),
    claimant: { entry: `entry-${index}`, incarnation: '1' },
    createNonce: randomUUID,
    isClaimantLost: () => false,
  });

  function run(call: OnceCall, send: () => Promise<SendOutcome>): Promise<OnceOutcome> {
    return new Promise((resolve) => {
      let progress = beginCall(nameRecord(call), call, facts()).progress;
      const handle = (event: CallEvent): void => {
        perform(stepCall(progress, event, facts()));
      };
      const perform = (step: CallStep): void => {
        progress = step.progress;
        for (const action of step.actions) {
          if (action.kind === 'write') void write(platform, action.write).then(handle);
          if (action.kind === 'send') {
            void send().then((outcome) => {
              handle({ kind: 'sendEnded', outcome });
            });
          }
          if (action.kind === 'answer') resolve(action.outcome);
          if (action.kind === 'retryLater') {
            void sleep(RETRY_MS).then(() => {
              handle({ kind: 'retryDue' });
            });
          }
        }
      };
      perform(beginCall(nameRecord(call), call, facts()));
    });
  }
  return { run };
}

async function write(platform: Platform, write: PlatformWrite): Promise<CallEvent> {
  const { nonce } = write;
  const result = await platform.writeBatch([write]);
  if (result.isErr())
    return { kind: 'writeFailed', nonce, failure: result.error, mayTakeEffect: false };
  const [outcome] = result.value;
  return outcome?.kind === 'written'
    ? { kind: 'written', nonce, version: outcome.object.version }
    : { kind: 'conflict', nonce, current: outcome?.current };
}
