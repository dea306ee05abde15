/**
 * Retry budgets: token buckets that limit the retries per target and per workspace.
 *
 * Each request adds a fraction of a token to the buckets of its target and its workspace; each retry
 * takes one token from both. Prevents retries from amplifying an overload.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Tokens added to each bucket by one request. */
const TOKENS_PER_REQUEST = 0.1;
/** Tokens added per second up to INITIAL_TOKENS, so that a single failure can always be retried. */
const TOKENS_PER_SECOND = 0.2;
const MAX_TOKENS = 20;
const INITIAL_TOKENS = 3;
/** Maximum number of buckets per map; beyond it, the least recently used one is evicted. */
const MAX_BUCKETS = 4_096;
const MS_PER_SECOND = 1_000;

interface Bucket {
  tokens: number;
  refilledAt: Milliseconds;
}

/** The buckets of the retry decision. Mutable; has a single owner. */
export interface RetryState {
  targets: Map<string, Bucket>;
  workspaces: Map<string, Bucket>;
}

/**
 * Creates empty state; each bucket is created on first use.
 *
 * @example const state = createRetryState();
 */
export function createRetryState(): RetryState {
  return { targets: new Map(), workspaces: new Map() };
}

/**
 * Credits the budgets for the first attempt of a request. Not called for retries.
 *
 * @example recordRequest(retryState, candidate.replica, 'gates', clock.now());
 */
export function recordRequest(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): void {
  creditRequest(refillBucket(state.targets, target, now));
  creditRequest(refillBucket(state.workspaces, workspace, now));
}

/** Takes one retry from both budgets; returns `false` and takes nothing when either is exhausted. */
export function takeRetry(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): boolean {
  const buckets = [
    refillBucket(state.targets, target, now),
    refillBucket(state.workspaces, workspace, now),
  ];
  if (buckets.some((bucket) => bucket.tokens < 1)) return false;
  for (const bucket of buckets) bucket.tokens -= 1;
  return true;
}

/** Time until both budgets hold a retry again without further requests. */
export function budgetWaitMs(
  state: RetryState,
  target: string,
  workspace: string,
  now: Milliseconds,
): Milliseconds {
  const lowest = Math.min(
    refillBucket(state.targets, target, now).tokens,
    refillBucket(state.workspaces, workspace, now).tokens,
  );
  return Math.ceil((Math.max(0, 1 - lowest) / TOKENS_PER_SECOND) * MS_PER_SECOND);
}

function creditRequest(bucket: Bucket): void {
  bucket.tokens = Math.min(MAX_TOKENS, bucket.tokens + TOKENS_PER_REQUEST);
}

function refillBucket(buckets: Map<string, Bucket>, name: string, now: Milliseconds): Bucket {
  const existing = buckets.get(name);
  const bucket = existing ?? { tokens: INITIAL_TOKENS, refilledAt: now };
  const earned = (Math.max(0, now - bucket.refilledAt) * TOKENS_PER_SECOND) / MS_PER_SECOND;
  // Time refills the bucket only up to INITIAL_TOKENS; beyond that, only requests add tokens.
  if (bucket.tokens < INITIAL_TOKENS)
    bucket.tokens = Math.min(INITIAL_TOKENS, bucket.tokens + earned);
  bucket.refilledAt = Math.max(now, bucket.refilledAt);
  buckets.delete(name);
  buckets.set(name, bucket);
  evictOldest(buckets);
  return bucket;
}

function evictOldest(buckets: Map<string, Bucket>): void {
  if (buckets.size <= MAX_BUCKETS) return;
  const [oldest] = buckets.keys();
  if (oldest !== undefined) buckets.delete(oldest);
}
