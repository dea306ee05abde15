/**
 * Retry budgets: how many retries a backend server and a workspace may cause.
 *
 * Each request puts a fraction of a token into two buckets, its target's and its workspace's; each
 * retry takes a whole one out of both. Guards against retries that multiply an overload: without a
 * bound, callers that are refused once come back three times and keep the backend server down.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Retries earned by one request. */
const TOKENS_PER_REQUEST = 0.1;
/** Retries that a quiet bucket earns in one second, so that a single failure can be retried. */
const TOKENS_PER_SECOND = 0.2;
const MOST_TOKENS = 20;
const START_TOKENS = 3;
/** Buckets kept; beyond it the one used least recently is dropped. */
const MAX_BUCKETS = 4_096;
const MS_PER_SECOND = 1_000;

interface Bucket {
  tokens: number;
  filledAt: Milliseconds;
}

/** The memory of the retry decision: a plain object, changed in place and owned by one shell. */
export interface RetryState {
  targets: Map<string, Bucket>;
  workspaces: Map<string, Bucket>;
}

/**
 * Budgets that nothing has been drawn from.
 *
 * @example const state = createRetryState();
 */
export function createRetryState(): RetryState {
  return { targets: new Map(), workspaces: new Map() };
}

/**
 * Counts the first sending of a request, which earns part of a retry. Not called for retries.
 *
 * @example recordRequest(retryState, candidate.replica, 'gates', clock.now());
 */
export function recordRequest(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): void {
  earn(openBucket(state.targets, target, now));
  earn(openBucket(state.workspaces, workspace, now));
}

/** Takes one retry out of both budgets; `false`, and nothing taken, when either is spent. */
export function drawRetry(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): boolean {
  const buckets = [
    openBucket(state.targets, target, now),
    openBucket(state.workspaces, workspace, now),
  ];
  if (buckets.some((bucket) => bucket.tokens < 1)) return false;
  for (const bucket of buckets) bucket.tokens -= 1;
  return true;
}

/** How long until both budgets hold a retry again, from their own earnings alone. */
export function budgetWaitMs(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): Milliseconds {
  const least = Math.min(
    openBucket(state.targets, target, now).tokens,
    openBucket(state.workspaces, workspace, now).tokens,
  );
  return Math.ceil((Math.max(0, 1 - least) / TOKENS_PER_SECOND) * MS_PER_SECOND);
}

function earn(bucket: Bucket): void {
  bucket.tokens = Math.min(MOST_TOKENS, bucket.tokens + TOKENS_PER_REQUEST);
}

function openBucket(buckets: Map<string, Bucket>, name: string, now: Milliseconds): Bucket {
  const known = buckets.get(name);
  const bucket = known ?? { tokens: START_TOKENS, filledAt: now };
  const earned = (Math.max(0, now - bucket.filledAt) * TOKENS_PER_SECOND) / MS_PER_SECOND;
  // Time alone fills up to the start; only requests earn more.
  if (bucket.tokens < START_TOKENS) bucket.tokens = Math.min(START_TOKENS, bucket.tokens + earned);
  bucket.filledAt = Math.max(now, bucket.filledAt);
  buckets.delete(name);
  buckets.set(name, bucket);
  dropOldest(buckets);
  return bucket;
}

function dropOldest(buckets: Map<string, Bucket>): void {
  if (buckets.size <= MAX_BUCKETS) return;
  const [oldest] = buckets.keys();
  if (oldest !== undefined) buckets.delete(oldest);
}
