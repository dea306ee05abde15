/**
 * Batches writes to the platform, limits the call rate and backs off after failures.
 *
 * The platform limits calls, not writes. An idle entry sends a write immediately; under load the
 * next batch waits until the entry's share of {@link PLATFORM_CALLS_PER_SECOND} allows it. After
 * one failed call claims stay queued. After further failures they are refused while the backoff
 * lasts or a call is in flight, so that an outage doesn't leave a claim with an unknown result for
 * each request.
 */
import { MAX_BATCH_WRITES } from '../../adapters/platform/protocol.js';
import type { PlatformWrite } from '../../adapters/platform/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import {
  INITIAL_BACKOFF_MS,
  MAX_BACKOFF_MS,
  MAX_BATCH_CHARACTERS,
  MAX_BATCHES_IN_FLIGHT,
  MAX_FAILURES_BEFORE_REFUSAL,
  MAX_WAITING_WRITES,
  PLATFORM_CALLS_PER_SECOND,
} from './constants.js';

const MS_PER_SECOND = 1_000;

/** A write queued for a batch. */
export interface WaitingWrite {
  write: PlatformWrite;
  urgency: 'claim' | 'settlement';
  /** Length of its JSON-encoded value, in characters. */
  characters: number;
}

/** Batching state of one entry. */
export interface Batching {
  waiting: WaitingWrite[];
  inFlight: number;
  lastSentAt: Milliseconds;
  /** Consecutive failed calls. */
  failures: number;
  /** End of the current backoff; no call is sent before. */
  pausedUntil: Milliseconds;
}

/** What to do with the queued writes. */
export type BatchPlan =
  | { kind: 'send'; batch: readonly WaitingWrite[] }
  | { kind: 'wait'; until: Milliseconds }
  /** The queue is empty, or a call in flight must complete first. */
  | { kind: 'idle' };

/** Whether a new claim may be queued, or the retry delay if it is refused. */
export type ClaimAdmission = { kind: 'join' } | { kind: 'refuse'; retryAfterMs: Milliseconds };

/** Creates an empty queue without backoff. */
export function createBatching(): Batching {
  return {
    waiting: [],
    inFlight: 0,
    lastSentAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    pausedUntil: Number.NEGATIVE_INFINITY,
  };
}

/** Decides whether a claim may be queued at `now`. */
export function admitClaim(batching: Batching, now: Milliseconds): ClaimAdmission {
  const refuse: ClaimAdmission = { kind: 'refuse', retryAfterMs: INITIAL_BACKOFF_MS };
  if (batching.waiting.length >= MAX_WAITING_WRITES) return refuse;
  if (batching.failures <= MAX_FAILURES_BEFORE_REFUSAL) return { kind: 'join' };

  const pauseMs = batching.pausedUntil - now;
  if (pauseMs > 0) return { kind: 'refuse', retryAfterMs: Math.ceil(pauseMs) };
  // Until a call succeeds, only one batch at a time is sent as a probe.
  return batching.inFlight > 0 ? refuse : { kind: 'join' };
}

/**
 * Takes the next batch out of `batching.waiting` if one may be sent at `now`; claims go first.
 *
 * @param liveEntries number of live entries, including this one.
 */
export function planBatch(batching: Batching, liveEntries: number, now: Milliseconds): BatchPlan {
  if (batching.waiting.length === 0) return { kind: 'idle' };
  const maxInFlight = batching.failures > 0 ? 1 : MAX_BATCHES_IN_FLIGHT;
  if (batching.inFlight >= maxInFlight) return { kind: 'idle' };
  const interval = (MS_PER_SECOND * liveEntries) / PLATFORM_CALLS_PER_SECOND;
  const earliestSendAt = Math.max(batching.pausedUntil, batching.lastSentAt + interval);
  if (now < earliestSendAt) return { kind: 'wait', until: earliestSendAt };

  const batch = takeBatch(batching);
  batching.inFlight += 1;
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
  const batched = new Set(batch);
  batching.waiting = batching.waiting.filter((waiting) => !batched.has(waiting));
  return batch;
}

/** Records that a platform call succeeded and ends the backoff. */
export function recordBatchSuccess(batching: Batching): void {
  batching.inFlight -= 1;
  batching.failures = 0;
  batching.pausedUntil = Number.NEGATIVE_INFINITY;
}

/**
 * Records that a platform call failed and starts a backoff. Returns the queued claims that must be
 * refused; none after a single failure.
 *
 * @param retryAfterMs retry delay requested by the platform.
 */
export function recordBatchFailure(
  batching: Batching,
  now: Milliseconds,
  random: Random,
  retryAfterMs: Milliseconds = 0,
): readonly WaitingWrite[] {
  batching.inFlight -= 1;
  // Concurrent batches that fail together count as one failure.
  if (now < batching.pausedUntil) return [];
  const maxBackoff = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** batching.failures);
  batching.failures += 1;
  // Half of the backoff is jitter, which keeps entries from retrying in sync.
  const backoff = (maxBackoff / 2) * (1 + random.fraction());
  batching.pausedUntil = now + Math.max(backoff, Math.min(retryAfterMs, MAX_BACKOFF_MS));
  if (batching.failures <= MAX_FAILURES_BEFORE_REFUSAL) return [];

  const refused = batching.waiting.filter(({ urgency }) => urgency === 'claim');
  batching.waiting = batching.waiting.filter(({ urgency }) => urgency === 'settlement');
  return refused;
}
