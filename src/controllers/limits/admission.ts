/**
 * Admission control based on this entry's share of a workspace's limits.
 *
 * Request and token rates are enforced by token buckets with a capacity of one second; concurrent
 * requests are counted. A request that costs more tokens than the capacity is admitted once the
 * bucket is full and leaves a negative level, so that long prompts are served within the rate.
 */
import type { WorkspaceShare } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { Admission, AdmissionRequest } from './types.js';

const MS_PER_SECOND = 1_000;
/** Retry delay when the share is 0 and nothing can be admitted until it grows. */
const NO_SHARE_RETRY_MS = 5_000;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 3_600_000;
/** Weight of the newest sample in the moving average of the release interval. */
const RELEASE_INTERVAL_SMOOTHING = 0.1;

interface TokenBucket {
  level: number;
  filledAt: Milliseconds;
}

interface WorkspaceUsage {
  requests: TokenBucket;
  tokens: TokenBucket;
  concurrent: number;
  /** Moving average of the time between two releases. */
  releaseIntervalMs: Milliseconds;
  releasedAt: Milliseconds;
  share: WorkspaceShare;
}

/** Mutable state of admission control, by workspace. */
export interface LimitState {
  workspaces: Map<string, WorkspaceUsage>;
}

/**
 * Creates a state without any usage.
 *
 * @example const state = createLimitState();
 */
export function createLimitState(): LimitState {
  return { workspaces: new Map() };
}

/**
 * Admits a request, or refuses it with a retry delay. For rates, the request will be admitted after
 * the delay if nothing else is admitted in between; for concurrent requests, the delay is the mean
 * time between releases.
 *
 * @example admitRequest(state, { workspace: 'gates', tokens: 900 }, share, clock.now()).kind
 */
export function admitRequest(
  state: LimitState,
  request: AdmissionRequest,
  share: WorkspaceShare,
  now: Milliseconds,
): Admission {
  const current = shareAt(share, now);
  const usage = refreshUsage(state, request.workspace, current, now);
  if (usage.concurrent >= current.concurrentRequests) {
    return refuse(request, 'concurrent requests', concurrencyWait(usage, current));
  }
  const requestsWait = bucketWait(usage.requests, 1, current.requestsPerSecond);
  const tokensWait = bucketWait(usage.tokens, request.tokens, current.tokensPerSecond);
  if (requestsWait > 0 && requestsWait >= tokensWait) {
    return refuse(request, 'requests per second', requestsWait);
  }
  if (tokensWait > 0) return refuse(request, 'tokens per second', tokensWait);
  usage.concurrent += 1;
  usage.requests.level -= 1;
  usage.tokens.level -= request.tokens;
  return { kind: 'admitted' };
}

/**
 * Releases an admitted request. Unused reserved tokens are returned to the bucket; tokens beyond the
 * reservation are charged.
 *
 * @example releaseRequest(state, 'gates', 412, clock.now(), 900);
 */
export function releaseRequest(
  state: LimitState,
  workspace: string,
  usedTokens: number,
  now: Milliseconds,
  reservedTokens = usedTokens,
): void {
  const usage = state.workspaces.get(workspace);
  if (!usage || usage.concurrent === 0) return;
  updateReleaseInterval(usage, now);
  usage.concurrent -= 1;
  const capacity = bucketCapacity(usage.share.tokensPerSecond);
  usage.tokens.level = Math.min(capacity, usage.tokens.level + reservedTokens - usedTokens);
}

/** The share in force at `now`: the fallback share once the full one has expired. */
export function shareAt(share: WorkspaceShare, now: Milliseconds): WorkspaceShare {
  const { lapse } = share;
  return lapse && now >= lapse.at ? lapse.share : share;
}

function refreshUsage(
  state: LimitState,
  workspace: string,
  share: WorkspaceShare,
  now: Milliseconds,
): WorkspaceUsage {
  const existing = state.workspaces.get(workspace);
  if (existing) {
    refill(existing.requests, existing.share.requestsPerSecond, share.requestsPerSecond, now);
    refill(existing.tokens, existing.share.tokensPerSecond, share.tokensPerSecond, now);
    existing.share = share;
    return existing;
  }
  const usage: WorkspaceUsage = {
    requests: { level: bucketCapacity(share.requestsPerSecond), filledAt: now },
    tokens: { level: bucketCapacity(share.tokensPerSecond), filledAt: now },
    concurrent: 0,
    releaseIntervalMs: 0,
    releasedAt: now,
    share,
  };
  state.workspaces.set(workspace, usage);
  return usage;
}

/** Refills at the lower of both rates, because it is unknown when the rate changed in between. */
function refill(bucket: TokenBucket, previousRate: number, rate: number, now: Milliseconds): void {
  const span = Math.max(0, now - bucket.filledAt);
  const earned = (span * Math.min(previousRate, rate)) / MS_PER_SECOND;
  bucket.level = Math.min(bucketCapacity(rate), bucket.level + earned);
  bucket.filledAt = Math.max(now, bucket.filledAt);
}

/** One second's worth, but at least one unit, so that rates below one per second are usable. */
function bucketCapacity(rate: number): number {
  return rate > 0 ? Math.max(1, rate) : 0;
}

function bucketWait(bucket: TokenBucket, cost: number, rate: number): Milliseconds {
  const needed = Math.min(cost, bucketCapacity(rate));
  if (rate <= 0) return cost > 0 ? NO_SHARE_RETRY_MS : 0;
  if (bucket.level >= needed) return 0;
  return Math.ceil(((needed - bucket.level) / rate) * MS_PER_SECOND);
}

function concurrencyWait(usage: WorkspaceUsage, share: WorkspaceShare): Milliseconds {
  if (share.concurrentRequests < 1) return NO_SHARE_RETRY_MS;
  return Math.ceil(usage.releaseIntervalMs);
}

function updateReleaseInterval(usage: WorkspaceUsage, now: Milliseconds): void {
  const span = now - usage.releasedAt;
  usage.releaseIntervalMs += RELEASE_INTERVAL_SMOOTHING * (span - usage.releaseIntervalMs);
  usage.releasedAt = now;
}

function refuse(request: AdmissionRequest, what: string, wait: Milliseconds): Admission {
  const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait));
  const values = { name: request.workspace, what };
  const failure = createFailure('limitExceeded', values, retryAfterMs);
  return { kind: 'refused', failure, retryAfterMs };
}
