/**
 * Orders the requests that are queued until a target has capacity, and finds those to refuse.
 *
 * Under overload, first-in, first-out would delay every request past its target time. Last-in,
 * first-out among the requests that can still be on time lets most of them start on time; the
 * others are served when the load falls, or refused early. Where 60 requests come and 30 can be
 * served a second, with 150 ms to spare, the first order serves fewer than 10 in 100 on time, the
 * second more than 80.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A queued request with the properties that determine its position. */
export interface WaitingRequest {
  /** Requests with a lower rank are served first. */
  rank: number;
  /** Whose share of the room it takes; absent if room is not shared between workspaces. */
  workspace?: string;
  /** Time of arrival. */
  since: Milliseconds;
  /** Latest time to send the request for its answer to start within the target time. */
  onTimeUntil: Milliseconds;
  /** Latest time to send the request for its answer to start before its caller gives up. */
  worthUntil: Milliseconds;
}

/** Number of requests sent for a model since its queue was last empty. */
export interface QueueThroughput {
  since: Milliseconds;
  sent: number;
}

/** Minimum time to measure the throughput; shorter measurements are not significant. */
const MIN_OBSERVATION_MS: Milliseconds = 1_000;
/**
 * Factor by which the throughput is assumed to exceed the measured one. Errs towards queueing: a
 * request that is refused too early can't be served any more if the load falls or replicas are
 * added, while one that is queued for too long is only refused later.
 */
const THROUGHPUT_SAFETY_FACTOR = 2;

/**
 * Sorts `waiting` by rank; then requests that can be on time, newest first; then the late requests,
 * oldest first, since the callers of the oldest give up soonest.
 */
export function orderQueue<Waiting extends WaitingRequest>(
  waiting: Iterable<Waiting>,
  now: Milliseconds,
): Waiting[] {
  return [...waiting].sort((a, b) => a.rank - b.rank || compareTurns(a, b, now));
}

/** Compares two requests of the same rank; negative if `a` is sent first. */
export function compareTurns(a: WaitingRequest, b: WaitingRequest, now: Milliseconds): number {
  if (isLate(a, now) !== isLate(b, now)) return Number(isLate(a, now)) - Number(isLate(b, now));
  return isLate(a, now) ? a.since - b.since : b.since - a.since;
}

/** Whether the answer can no longer start within the target time. */
function isLate({ onTimeUntil }: WaitingRequest, now: Milliseconds): boolean {
  return now > onTimeUntil;
}

/** The measured rate of sends; undefined if it was not measured for long enough. */
export function measuredRate(
  { since, sent }: QueueThroughput,
  now: Milliseconds,
): number | undefined {
  const observedMs = now - since;
  return observedMs < MIN_OBSERVATION_MS ? undefined : Math.max(1, sent) / observedMs;
}

/**
 * Returns the requests of `ordered` that won't be sent before their callers give up: their time has
 * passed, or it will pass before they are sent at the measured throughput.
 */
export function listUnservable<Waiting extends WaitingRequest>(
  ordered: readonly Waiting[],
  now: Milliseconds,
  throughput: QueueThroughput,
): Waiting[] {
  const sentPerMs = measuredRate(throughput, now) ?? Infinity;
  return ordered.filter(({ worthUntil }, index) => {
    const remainingMs = worthUntil - now;
    return remainingMs <= 0 || index > THROUGHPUT_SAFETY_FACTOR * sentPerMs * remainingMs;
  });
}
