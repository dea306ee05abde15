/**
 * Indexes settled call records and removes expired ones at a limited rate.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { MAX_BATCH_WRITES } from '../../adapters/platform/protocol.js';
import {
  createUnlisted,
  listDueHours,
  MAX_LISTED_RECORDS,
  nameHour,
  addSettledRecord,
  planRemoval,
  takeUnlisted,
  type KeyAge,
  type ListedRecord,
} from '../../controllers/calls/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { callIndexSchema, type CallIndex, type StoredObject } from '../../objects/index.js';
import type { EntryContext, Part } from '../types.js';

const LIST_INTERVAL_MS = 60_000;
const COLLECT_INTERVAL_MS = 600_000;
/** Pause after each batch of removals, so that callers have priority at the platform. */
const REMOVAL_PAUSE_MS = 200;
const INDEX_KIND = 'call-index';

/** Milliseconds since 1970. */
export type WallClock = () => Milliseconds;

/** Removes expired call records from the platform. */
export interface RecordCollector extends Part {
  /** Remembers that a record was settled at `version`. */
  trackSettled(name: string, version: number, age: KeyAge): void;
  /** Writes settled records to the index; keeps those that can't be written for the next run. */
  list(): Promise<void>;
  /** Removes expired records of the hours assigned to this entry. */
  collect(): Promise<void>;
}

type CollectorContext = Pick<EntryContext, 'identity' | 'board' | 'logger' | 'platform'>;

type WriteResult = 'written' | 'conflict' | 'failed';

/** A numbered series of record lists that this entry writes for one hour. */
interface ListSeries {
  prefix: string;
  nextNumber: number;
  /** Whether the index object of the hour contains this series. */
  isRegistered: boolean;
  /** Records of the list that has not been written successfully yet. */
  pending: ListedRecord[] | undefined;
}

/**
 * Creates the record collector of one entry.
 *
 * @example const collector = createRecordCollector(context, Date.now); collector.start();
 */
export function createRecordCollector(
  context: CollectorContext,
  wallClock: WallClock,
): RecordCollector {
  const { identity, board, logger, platform } = context;
  const unlisted = createUnlisted();
  const series = new Map<number, ListSeries>();
  const collectedHours = new Set<number>();
  const timers: NodeJS.Timeout[] = [];
  let stopping = false;
  let taskQueue: Promise<void> = Promise.resolve();

  function retentionMs(): Milliseconds {
    return board.configuration.read().policy.callRecordRetentionMs;
  }

  async function list(): Promise<void> {
    for (const hour of new Set([...series.keys(), ...unlisted.byHour.keys()])) {
      while (hasUnlisted(hour) && (await writeNextList(hour)));
    }
  }

  function hasUnlisted(hour: number): boolean {
    return unlisted.byHour.has(hour) || series.get(hour)?.pending !== undefined;
  }

  async function writeNextList(hour: number): Promise<boolean> {
    const current = series.get(hour) ?? createSeries(hour);
    series.set(hour, current);
    current.isRegistered ||= await registerSeries(hour, current.prefix);
    if (!current.isRegistered) return false;
    current.pending ??= takeUnlisted(unlisted, hour, MAX_LISTED_RECORDS);
    const value: CallIndex = { kind: 'list', records: current.pending };
    const result = await writeIndex(`${current.prefix}.${current.nextNumber}`, 0, value);
    if (result === 'failed') return false;
    // Only this entry writes the series, so a conflict means that an earlier attempt succeeded and
    // its answer was lost.
    current.nextNumber += 1;
    current.pending = undefined;
    return true;
  }

  async function registerSeries(hour: number, prefix: string): Promise<boolean> {
    const read = await platform.read(INDEX_KIND, nameHour(hour));
    if (read.isErr()) return false;
    const index = read.value && readIndex(read.value);
    const registered = index?.kind === 'hour' ? index.series : [];
    if (registered.includes(prefix)) return true;
    const value: CallIndex = { kind: 'hour', series: [...registered, prefix] };
    return (await writeIndex(nameHour(hour), read.value?.version ?? 0, value)) === 'written';
  }

  async function writeIndex(
    name: string,
    expected: number,
    value: CallIndex,
  ): Promise<WriteResult> {
    const nonce = randomUUID();
    const result = await platform.write({ kind: INDEX_KIND, name, expected, nonce, value });
    return result.isOk() ? result.value.kind : 'failed';
  }

  async function collect(): Promise<void> {
    const liveEntries = [identity.name, ...board.peers.read().keys()];
    for (const hour of listDueHours(wallClock(), identity.name, liveEntries, collectedHours)) {
      if (stopping) return;
      if (await collectHour(hour)) collectedHours.add(hour);
    }
  }

  async function collectHour(hour: number): Promise<boolean> {
    const read = await platform.read(INDEX_KIND, nameHour(hour));
    if (read.isErr()) return false;
    const index = read.value && readIndex(read.value);
    if (read.value === undefined || index?.kind !== 'hour') return true;
    for (const prefix of index.series) {
      if (!(await collectSeries(prefix))) return false;
    }
    return deleteIndex(read.value);
  }

  async function collectSeries(prefix: string): Promise<boolean> {
    for (let number = 0; ; number += 1) {
      const read = await platform.read(INDEX_KIND, `${prefix}.${number}`);
      if (read.isErr()) return false;
      if (read.value === undefined) return true;
      const index = readIndex(read.value);
      if (index?.kind !== 'list') continue;
      if (!(await removeRecords(index.records))) return false;
      if (!(await deleteIndex(read.value))) return false;
    }
  }

  async function removeRecords(records: readonly ListedRecord[]): Promise<boolean> {
    for (let from = 0; from < records.length; from += MAX_BATCH_WRITES) {
      if (stopping) return false;
      const batch = records.slice(from, from + MAX_BATCH_WRITES);
      const result = await platform.writeBatch(
        batch.map((record) => planRemoval(record, randomUUID())),
      );
      if (result.isErr()) return false;
      await sleep(REMOVAL_PAUSE_MS);
    }
    logger.log('callRecordsCollected', { records: records.length });
    return true;
  }

  async function deleteIndex({ name, version: expected }: StoredObject): Promise<boolean> {
    const write = { kind: INDEX_KIND, name, expected, nonce: randomUUID(), deleted: true } as const;
    const result = await platform.write({ ...write, value: null });
    return result.isOk() && result.value.kind === 'written';
  }

  /** Runs tasks one at a time, since both kinds modify the same objects. */
  function enqueue(task: () => Promise<void>): Promise<void> {
    taskQueue = taskQueue.then(task);
    return taskQueue;
  }

  return {
    trackSettled: (name, version, age) => {
      addSettledRecord(unlisted, { name, version }, age, wallClock(), retentionMs());
    },
    list: () => enqueue(list),
    collect: () => enqueue(collect),
    start: () => {
      timers.push(setInterval(() => void enqueue(list), LIST_INTERVAL_MS));
      timers.push(setInterval(() => void enqueue(collect), COLLECT_INTERVAL_MS));
    },
    stop: async () => {
      stopping = true;
      for (const timer of timers) clearInterval(timer);
      await enqueue(list);
    },
  };
}

function createSeries(hour: number): ListSeries {
  return {
    prefix: `${hour}-${randomUUID()}`,
    nextNumber: 0,
    isRegistered: false,
    pending: undefined,
  };
}

function readIndex(stored: StoredObject): CallIndex | undefined {
  const parsed = callIndexSchema.safeParse(stored.value);
  return parsed.success ? parsed.data : undefined;
}
