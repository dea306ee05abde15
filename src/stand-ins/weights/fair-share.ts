/**
 * A rate that is shared evenly by all transfers under way. Pure: the caller says what time it is.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Transfers under way and the bytes that each still needs. */
export interface FairShare {
  bytesPerSecond: number;
  remaining: Map<number, number>;
  updatedAt: Milliseconds;
}

const MS_PER_SECOND = 1_000;
/** Less than half a byte is rounding. */
const DONE_BYTES = 0.5;

/** Moves all transfers on to `now`; returns those that are done and forgets them. */
export function advanceShare(share: FairShare, now: Milliseconds): number[] {
  const done: number[] = [];
  let doneAt = nextDone(share);
  while (doneAt !== undefined && doneAt <= now) {
    moveOn(share, doneAt);
    done.push(...takeDone(share));
    doneAt = nextDone(share);
  }
  moveOn(share, now);
  return done;
}

/** When the next transfer is done if none is added; undefined without transfers. */
export function nextDone({
  bytesPerSecond,
  remaining,
  updatedAt,
}: FairShare): Milliseconds | undefined {
  if (remaining.size === 0) return undefined;
  const least = Math.min(...remaining.values());
  return updatedAt + (least * remaining.size * MS_PER_SECOND) / bytesPerSecond;
}

function moveOn(share: FairShare, at: Milliseconds): void {
  const elapsed = at - share.updatedAt;
  const each = (share.bytesPerSecond * elapsed) / MS_PER_SECOND / Math.max(1, share.remaining.size);
  for (const [id, bytes] of share.remaining) share.remaining.set(id, bytes - each);
  share.updatedAt = at;
}

function takeDone(share: FairShare): number[] {
  const done = [...share.remaining].filter(([, bytes]) => bytes <= DONE_BYTES).map(([id]) => id);
  for (const id of done) share.remaining.delete(id);
  return done;
}
