/**
 * When writes that wait go to the platform together, and when the platform is left alone.
 *
 * The platform counts calls, not writes. After a quiet span a write goes at once; under load the
 * next batch waits until the entry's share of {@link PLATFORM_CALLS_PER_SECOND} allows it. After one
 * failed call claims wait for a second try; after more they are refused at once until a call
 * succeeds: otherwise an outage would leave one claim of unknown fate behind for each request.
 */
import { MAX_BATCH_WRITES } from '../../adapters/platform/protocol.js';
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import {
  FIRST_BACKOFF_MS,
  MAX_BACKOFF_MS,
  MAX_BATCH_CHARACTERS,
  MAX_BATCHES_UNDER_WAY,
  MAX_WAITING_WRITES,
  PLATFORM_CALLS_PER_SECOND,
  TOLERATED_FAILURES,
} from './constants.js';

const MS_PER_SECOND = 1_000;

/** A write that waits for its batch. */
export interface WaitingWrite {
  write: PlatformWrite;
  urgency: 'claim' | 'settlement';
  /** Length of its value, in characters of JSON. */
  characters: number;
}

/** The batching of one entry. */
export interface Batching {
  waiting: WaitingWrite[];
  underWay: number;
  lastSentAt: Milliseconds;
  /** Calls that failed since the last good one. */
  failures: number;
  /** No call before; claims are refused until then. */
  pausedUntil: Milliseconds;
}

/** What to do with the writes that wait. */
export type BatchPlan =
  | { kind: 'send'; batch: readonly WaitingWrite[] }
  | { kind: 'wait'; until: Milliseconds }
  /** Nothing waits, or a call under way must end first. */
  | { kind: 'idle' };

/** Whether a new claim may join, or how long to stay away. */
export type ClaimAdmission = { kind: 'join' } | { kind: 'refuse'; retryAfterMs: Milliseconds };

/** Nothing waits and the platform is taken to be well. */
export function createBatching(): Batching {
  return {
    waiting: [],
    underWay: 0,
    lastSentAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    pausedUntil: Number.NEGATIVE_INFINITY,
  };
}

/** Whether a claim may wait for a batch at `now`. */
export function admitClaim(batching: Batching, now: Milliseconds): ClaimAdmission {
  const refuse: ClaimAdmission = { kind: 'refuse', retryAfterMs: FIRST_BACKOFF_MS };
  if (batching.waiting.length >= MAX_WAITING_WRITES) return refuse;
  if (batching.failures <= TOLERATED_FAILURES) return { kind: 'join' };

  const pause = batching.pausedUntil - now;
  if (pause > 0) return { kind: 'refuse', retryAfterMs: Math.ceil(pause) };
  // Until a call succeeds again, one batch at a time tries the platform.
  return batching.underWay > 0 ? refuse : { kind: 'join' };
}

/**
 * The batch to send at `now`; its writes leave `batching.waiting`. Claims go before settlements.
 *
 * @param entries live entries, this one included.
 */
export function planBatch(batching: Batching, entries: number, now: Milliseconds): BatchPlan {
  if (batching.waiting.length === 0) return { kind: 'idle' };
  const limit = batching.failures > 0 ? 1 : MAX_BATCHES_UNDER_WAY;
  if (batching.underWay >= limit) return { kind: 'idle' };
  const interval = (MS_PER_SECOND * entries) / PLATFORM_CALLS_PER_SECOND;
  const until = Math.max(batching.pausedUntil, batching.lastSentAt + interval);
  if (now < until) return { kind: 'wait', until };

  const batch = takeBatch(batching);
  batching.underWay += 1;
  batching.lastSentAt = now;
  return { kind: 'send', batch };
}

function takeBatch(batching: Batching): WaitingWrite[] {
  const claims = batching.waiting.filter(({ urgency }) => urgency === 'claim');
  const settlements = batching.waiting.filter(({ urgency }) => urgency === 'settlement');
  const batch: WaitingWrite[] = [];
  let characters = 0;
  for (const waiting of [...claims, ...settlements]) {
    const fits = batch.length === 0 || characters + waiting.characters <= MAX_BATCH_CHARACTERS;
    if (!fits || batch.length >= MAX_BATCH_WRITES) break;
    batch.push(waiting);
    characters += waiting.characters;
  }
  const taken = new Set(batch);
  batching.waiting = batching.waiting.filter((waiting) => !taken.has(waiting));
  return batch;
}

/** Notes that a call to the platform ended well. */
export function noteBatchTaken(batching: Batching): void {
  batching.underWay -= 1;
  batching.failures = 0;
  batching.pausedUntil = Number.NEGATIVE_INFINITY;
}

/**
 * Notes that a call to the platform failed. Returns the claims that still wait and are to be
 * refused now, as they never left this process; none after a single failure.
 *
 * @param retryAfterMs what the platform asked for, if anything.
 */
export function noteBatchFailed(
  batching: Batching,
  now: Milliseconds,
  random: Random,
  retryAfterMs: Milliseconds = 0,
): readonly WaitingWrite[] {
  batching.underWay -= 1;
  // Batches that were under way together fail together: that is one failure, not several.
  if (now < batching.pausedUntil) return [];
  const ceiling = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** batching.failures);
  batching.failures += 1;
  // Half fixed, half random, so that entries do not return to the platform in step.
  const backoff = (ceiling / 2) * (1 + random.fraction());
  batching.pausedUntil = now + Math.max(backoff, Math.min(retryAfterMs, MAX_BACKOFF_MS));
  if (batching.failures <= TOLERATED_FAILURES) return [];

  const refused = batching.waiting.filter(({ urgency }) => urgency === 'claim');
  batching.waiting = batching.waiting.filter(({ urgency }) => urgency === 'settlement');
  return refused;
}
