/**
 * Admission of requests by this entry's share of their workspace's limits.
 *
 * Requests and tokens a second are token buckets that hold one second's worth; concurrent requests
 * are counted. A request that costs more tokens than a full bucket holds is admitted when the
 * bucket is full and leaves a debt, which keeps the rate over time and still serves long prompts.
 */
import type { WorkspaceShare } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { Admission, AdmissionRequest } from './types.js';

const MS_PER_SECOND = 1_000;
/** Told when the rate is 0: nothing can be admitted until the share grows. */
const NO_SHARE_RETRY_MS = 5_000;
const LEAST_RETRY_MS = 50;
const MOST_RETRY_MS = 3_600_000;
/** Weight of the newest request in the mean span between two that end. */
const LEARNING_RATE = 0.1;

interface Bucket {
  level: number;
  filledAt: Milliseconds;
}

interface WorkspaceUse {
  requests: Bucket;
  tokens: Bucket;
  concurrent: number;
  /** Mean span between two requests that end. */
  releaseIntervalMs: Milliseconds;
  releasedAt: Milliseconds;
  share: WorkspaceShare;
}

/** The memory of the admission decision: a plain object, changed in place, owned by one shell. */
export interface LimitState {
  workspaces: Map<string, WorkspaceUse>;
}

/**
 * Limits that nothing has been drawn from.
 *
 * @example const state = createLimitState();
 */
export function createLimitState(): LimitState {
  return { workspaces: new Map() };
}

/**
 * Admits a request or refuses it with the time after which, by this entry's share, there is room
 * for it. That time holds exactly for the rates when nothing else is admitted meanwhile; for
 * concurrent requests it is the mean time between two that end.
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
  const use = openUse(state, request.workspace, current, now);
  if (use.concurrent >= current.concurrentRequests) {
    return refuse(request, 'concurrent requests', concurrencyWait(use, current));
  }
  const requestsWait = bucketWait(use.requests, 1, current.requestsPerSecond);
  const tokensWait = bucketWait(use.tokens, request.tokens, current.tokensPerSecond);
  if (requestsWait > 0 && requestsWait >= tokensWait) {
    return refuse(request, 'requests per second', requestsWait);
  }
  if (tokensWait > 0) return refuse(request, 'tokens per second', tokensWait);
  use.concurrent += 1;
  use.requests.level -= 1;
  use.tokens.level -= request.tokens;
  return { kind: 'admitted' };
}

/**
 * Ends an admission. Tokens that were reserved and not used are given back; those used beyond the
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
  const use = state.workspaces.get(workspace);
  if (!use || use.concurrent === 0) return;
  learnReleases(use, now);
  use.concurrent -= 1;
  const full = capacityOf(use.share.tokensPerSecond);
  use.tokens.level = Math.min(full, use.tokens.level + reservedTokens - usedTokens);
}

/** The share in force at `now`: what is left of it once it has lapsed. */
export function shareAt(share: WorkspaceShare, now: Milliseconds): WorkspaceShare {
  const { lapse } = share;
  return lapse && now >= lapse.at ? lapse.share : share;
}

function openUse(
  state: LimitState,
  workspace: string,
  share: WorkspaceShare,
  now: Milliseconds,
): WorkspaceUse {
  const known = state.workspaces.get(workspace);
  if (known) {
    fill(known.requests, known.share.requestsPerSecond, share.requestsPerSecond, now);
    fill(known.tokens, known.share.tokensPerSecond, share.tokensPerSecond, now);
    known.share = share;
    return known;
  }
  const use: WorkspaceUse = {
    requests: { level: capacityOf(share.requestsPerSecond), filledAt: now },
    tokens: { level: capacityOf(share.tokensPerSecond), filledAt: now },
    concurrent: 0,
    releaseIntervalMs: 0,
    releasedAt: now,
    share,
  };
  state.workspaces.set(workspace, use);
  return use;
}

/** Fills for the time since the last look at the lower of the two rates: the change's time is unknown. */
function fill(bucket: Bucket, before: number, after: number, now: Milliseconds): void {
  const span = Math.max(0, now - bucket.filledAt);
  const earned = (span * Math.min(before, after)) / MS_PER_SECOND;
  bucket.level = Math.min(capacityOf(after), bucket.level + earned);
  bucket.filledAt = Math.max(now, bucket.filledAt);
}

/** One second's worth, and at least one unit, so that a rate below one a second can be used. */
function capacityOf(rate: number): number {
  return rate > 0 ? Math.max(1, rate) : 0;
}

function bucketWait(bucket: Bucket, cost: number, rate: number): Milliseconds {
  const needed = Math.min(cost, capacityOf(rate));
  if (rate <= 0) return cost > 0 ? NO_SHARE_RETRY_MS : 0;
  if (bucket.level >= needed) return 0;
  return Math.ceil(((needed - bucket.level) / rate) * MS_PER_SECOND);
}

function concurrencyWait(use: WorkspaceUse, share: WorkspaceShare): Milliseconds {
  if (share.concurrentRequests < 1) return NO_SHARE_RETRY_MS;
  return Math.ceil(use.releaseIntervalMs);
}

function learnReleases(use: WorkspaceUse, now: Milliseconds): void {
  const span = now - use.releasedAt;
  use.releaseIntervalMs += LEARNING_RATE * (span - use.releaseIntervalMs);
  use.releasedAt = now;
}

function refuse(request: AdmissionRequest, what: string, wait: Milliseconds): Admission {
  const retryAfterMs = Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, wait));
  const values = { name: request.workspace, what };
  const failure = createFailure('limitExceeded', values, retryAfterMs);
  return { kind: 'refused', failure, retryAfterMs };
}
