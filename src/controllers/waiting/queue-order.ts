/**
 * Who goes first of the requests that wait for a target with room, and who waits in vain.
 *
 * Pattern: more comes for seconds than can be served. First come, first served then makes everybody
 * late: where 60 come and 30 can be served a second, with 150 ms to spare, fewer than 10 in 100 of those
 * that are served in ten seconds are in time. Newest first among those that can still be in time it is
 * more than 80 in 100, and the others are answered late when the load falls, or told at once when to
 * come back.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** One that waits, with what decides its turn. */
export interface WaitingRequest {
  /** Lower goes first. */
  rank: number;
  since: Milliseconds;
  /** Sent until then, its answer still begins in time. */
  onTimeUntil: Milliseconds;
  /** Sent later, its answer begins when its caller has left. */
  worthUntil: Milliseconds;
}

/** What was sent of a model since a line of it began. */
export interface LinePace {
  since: Milliseconds;
  sent: number;
}

/** Less says nothing of the pace. */
const LEAST_OBSERVED_MS: Milliseconds = 1_000;
/**
 * Multiples of the pace that the turns are reckoned with: lines end when replicas open or the load
 * falls, and one that is refused too soon is lost for certain, while one that waits too long is merely
 * told later.
 */
const PACE_MARGIN = 2;

/**
 * `waiting` in the order of their turns: by rank; then those that can be in time, newest first; then
 * the others, oldest first, since all of them are late alike and the oldest leave soonest.
 */
export function orderLine<Waiting extends WaitingRequest>(
  waiting: Iterable<Waiting>,
  now: Milliseconds,
): Waiting[] {
  const isLate = ({ onTimeUntil }: WaitingRequest): boolean => now > onTimeUntil;
  return [...waiting].sort((a, b) => {
    if (a.rank !== b.rank) return a.rank - b.rank;
    if (isLate(a) !== isLate(b)) return Number(isLate(a)) - Number(isLate(b));
    return isLate(a) ? a.since - b.since : b.since - a.since;
  });
}

/**
 * Those of `ordered` that won't be served while it is worth anything: their time is over, or at the
 * pace so far their turn comes after it. They are refused at once and told when to come back.
 */
export function listHopeless<Waiting extends WaitingRequest>(
  ordered: readonly Waiting[],
  now: Milliseconds,
  { since, sent }: LinePace,
): Waiting[] {
  const observedMs = now - since;
  const perMs = observedMs < LEAST_OBSERVED_MS ? Infinity : Math.max(1, sent) / observedMs;
  return ordered.filter(({ worthUntil }, index) => {
    const leftMs = worthUntil - now;
    return leftMs <= 0 || index > PACE_MARGIN * perMs * leftMs;
  });
}
