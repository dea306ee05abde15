/**
 * Lists settled call records and removes those past the retention, at a slow and steady pace.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { MAX_BATCH_WRITES } from '../../adapters/platform/protocol.js';
import {
  createUnlisted,
  listDueHours,
  MAX_LISTED_RECORDS,
  nameHour,
  noteSettled,
  planRemoval,
  takeUnlisted,
  type KeyAge,
  type ListedRecord,
} from '../../controllers/calls/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { callIndexSchema, type CallIndex, type StoredObject } from '../../objects/index.js';
import type { EntryContext, Part } from '../types.js';

const LIST_EVERY_MS = 60_000;
const COLLECT_EVERY_MS = 600_000;
/** Wait after each removing call, so that the platform is left to the callers. */
const PACE_MS = 200;
const KIND = 'call-index';

/** Milliseconds since 1970. */
export type WallClock = () => Milliseconds;

/** Keeps the platform free of old call records. */
export interface RecordCollector extends Part {
  /** A record was settled at `version`. */
  note(name: string, version: number, age: KeyAge): void;
  /** Lists what was noted; what can't be listed is kept for the next time. */
  list(): Promise<void>;
  /** Removes what is due and owned by this entry. */
  collect(): Promise<void>;
}

type CollectorContext = Pick<EntryContext, 'identity' | 'board' | 'logger' | 'platform'>;

type WriteEnd = 'written' | 'conflict' | 'failed';

/** One series of lists: the next number, and whether its hour names it. */
interface Series {
  prefix: string;
  next: number;
  named: boolean;
  /** The records of the list whose writing has not succeeded yet. */
  pending: ListedRecord[] | undefined;
}

/**
 * The collector of one entry.
 *
 * @example const collector = createRecordCollector(context, Date.now); collector.start();
 */
export function createRecordCollector(
  context: CollectorContext,
  wallClock: WallClock,
): RecordCollector {
  const { identity, board, logger, platform } = context;
  const unlisted = createUnlisted();
  const series = new Map<number, Series>();
  const done = new Set<number>();
  const timers: NodeJS.Timeout[] = [];
  let stopping = false;
  let busy: Promise<void> = Promise.resolve();

  function retentionMs(): Milliseconds {
    return board.configuration.read().policy.callRecordRetentionMs;
  }

  async function list(): Promise<void> {
    for (const hour of new Set([...series.keys(), ...unlisted.byHour.keys()])) {
      while (hasUnlisted(hour) && (await listSome(hour)));
    }
  }

  function hasUnlisted(hour: number): boolean {
    return unlisted.byHour.has(hour) || series.get(hour)?.pending !== undefined;
  }

  async function listSome(hour: number): Promise<boolean> {
    const current = series.get(hour) ?? createSeries(hour);
    series.set(hour, current);
    current.named ||= await nameSeries(hour, current.prefix);
    if (!current.named) return false;
    current.pending ??= takeUnlisted(unlisted, hour, MAX_LISTED_RECORDS);
    const value: CallIndex = { kind: 'list', records: current.pending };
    const end = await writeIndex(`${current.prefix}.${current.next}`, 0, value);
    if (end === 'failed') return false;
    // A conflict is with this very list: its answer was lost, and nobody else writes this series.
    current.next += 1;
    current.pending = undefined;
    return true;
  }

  async function nameSeries(hour: number, prefix: string): Promise<boolean> {
    const read = await platform.read(KIND, nameHour(hour));
    if (read.isErr()) return false;
    const index = read.value && readIndex(read.value);
    const named = index?.kind === 'hour' ? index.series : [];
    if (named.includes(prefix)) return true;
    const value: CallIndex = { kind: 'hour', series: [...named, prefix] };
    return (await writeIndex(nameHour(hour), read.value?.version ?? 0, value)) === 'written';
  }

  async function writeIndex(name: string, expected: number, value: CallIndex): Promise<WriteEnd> {
    const nonce = randomUUID();
    const result = await platform.write({ kind: KIND, name, expected, nonce, value });
    return result.isOk() ? result.value.kind : 'failed';
  }

  async function collect(): Promise<void> {
    const live = [identity.name, ...board.peers.read().keys()];
    for (const hour of listDueHours(wallClock(), identity.name, live, done)) {
      if (stopping) return;
      if (await collectHour(hour)) done.add(hour);
    }
  }

  async function collectHour(hour: number): Promise<boolean> {
    const read = await platform.read(KIND, nameHour(hour));
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
      const read = await platform.read(KIND, `${prefix}.${number}`);
      if (read.isErr()) return false;
      if (read.value === undefined) return true;
      const index = readIndex(read.value);
      if (index?.kind !== 'list') continue;
      if (!(await remove(index.records))) return false;
      if (!(await deleteIndex(read.value))) return false;
    }
  }

  async function remove(records: readonly ListedRecord[]): Promise<boolean> {
    for (let from = 0; from < records.length; from += MAX_BATCH_WRITES) {
      if (stopping) return false;
      const some = records.slice(from, from + MAX_BATCH_WRITES);
      const result = await platform.writeBatch(some.map((one) => planRemoval(one, randomUUID())));
      if (result.isErr()) return false;
      await sleep(PACE_MS);
    }
    logger.log('callRecordsCollected', { records: records.length });
    return true;
  }

  async function deleteIndex({ name, version: expected }: StoredObject): Promise<boolean> {
    const write = { kind: KIND, name, expected, nonce: randomUUID(), deleted: true } as const;
    const result = await platform.write({ ...write, value: null });
    return result.isOk() && result.value.kind === 'written';
  }

  /** One task at a time: both work on the same objects. */
  function queue(task: () => Promise<void>): Promise<void> {
    busy = busy.then(task);
    return busy;
  }

  return {
    note: (name, version, age) => {
      noteSettled(unlisted, { name, version }, age, wallClock(), retentionMs());
    },
    list: () => queue(list),
    collect: () => queue(collect),
    start: () => {
      timers.push(setInterval(() => void queue(list), LIST_EVERY_MS));
      timers.push(setInterval(() => void queue(collect), COLLECT_EVERY_MS));
    },
    stop: async () => {
      stopping = true;
      for (const timer of timers) clearInterval(timer);
      await queue(list);
    },
  };
}

function createSeries(hour: number): Series {
  return { prefix: `${hour}-${randomUUID()}`, next: 0, named: false, pending: undefined };
}

function readIndex(stored: StoredObject): CallIndex | undefined {
  const parsed = callIndexSchema.safeParse(stored.value);
  return parsed.success ? parsed.data : undefined;
}
