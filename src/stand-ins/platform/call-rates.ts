/**
 * The stand-in's call limits and call counts: reads and writes a second.
 *
 * A batch is one write call, and a watch is one read call however long it waits.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';

/** The sorts of call that are counted. */
export type CallSort = 'list' | 'read' | 'write' | 'batch' | 'watch';

/** Calls since the start, refused ones included, by sort. */
export interface CallCounters extends Record<CallSort, number> {
  /** Calls that were answered with 429. */
  refused: number;
}

export interface CallRates {
  readsPerSecond: number;
  writesPerSecond: number;
}

export interface CallMeter {
  counters: CallCounters;
  setRates(rates: Partial<CallRates>): void;
  /** Counts a call; the wait until one is free when there are too many, else 0. */
  admit(sort: CallSort): Milliseconds;
}

interface Bucket {
  perSecond: number;
  tokens: number;
  filledAt: Milliseconds;
}

const SECOND_MS = 1_000;

/** Two token buckets, each of which holds one second's calls. */
export function createCallMeter(rates: CallRates, clock: Clock): CallMeter {
  const reads = createBucket(rates.readsPerSecond, clock.now());
  const writes = createBucket(rates.writesPerSecond, clock.now());
  const counters = { list: 0, read: 0, write: 0, batch: 0, watch: 0, refused: 0 };
  return {
    counters,
    setRates: ({ readsPerSecond, writesPerSecond }) => {
      Object.assign(reads, createBucket(readsPerSecond ?? reads.perSecond, clock.now()));
      Object.assign(writes, createBucket(writesPerSecond ?? writes.perSecond, clock.now()));
    },
    admit: (sort) => {
      counters[sort] += 1;
      const isWrite = sort === 'write' || sort === 'batch';
      const waitMs = takeToken(isWrite ? writes : reads, clock.now());
      if (waitMs > 0) counters.refused += 1;
      return waitMs;
    },
  };
}

function createBucket(perSecond: number, now: Milliseconds): Bucket {
  return { perSecond, tokens: perSecond, filledAt: now };
}

function takeToken(bucket: Bucket, now: Milliseconds): Milliseconds {
  const refill = ((now - bucket.filledAt) / SECOND_MS) * bucket.perSecond;
  bucket.tokens = Math.min(bucket.tokens + refill, Math.max(bucket.perSecond, 1));
  bucket.filledAt = now;
  if (bucket.tokens < 1) return ((1 - bucket.tokens) / bucket.perSecond) * SECOND_MS;
  bucket.tokens -= 1;
  return 0;
}
