/**
 * How late the process is: the time for which its thread was not free for timers and for what arrives.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Span of the worst lateness. */
const WINDOW_MS: Milliseconds = 1_000;

/** The worst lateness of recent ticks. */
export class Lateness {
  private worstMs: Milliseconds = 0;
  private worstAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Records that a tick ran `lateMs` after it was due. */
  record(lateMs: Milliseconds, now: Milliseconds): void {
    const isOver = now - this.worstAt > WINDOW_MS;
    if (!isOver && lateMs < this.worstMs) return;
    this.worstMs = Math.max(0, lateMs);
    this.worstAt = now;
  }

  /** The worst lateness within the last second; counts a tick that has been due since `dueAt`. */
  worst(now: Milliseconds, dueAt: Milliseconds): Milliseconds {
    const recorded = now - this.worstAt > WINDOW_MS ? 0 : this.worstMs;
    return Math.max(recorded, now - dueAt, 0);
  }
}
