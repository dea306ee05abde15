/**
 * Remembers when the own process was late, so that what it read late is not blamed on a server.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Lateness of a timer that does not distort a measured time. */
const HARMLESS_MS: Milliseconds = 20;
const MAX_REMEMBERED = 128;

interface LateTick {
  at: Milliseconds;
  lateMs: Milliseconds;
}

/** The recent late ticks of a regular timer. Mutable; has a single owner. */
export class LateTicks {
  private readonly ticks: LateTick[] = [];

  record(lateMs: Milliseconds, now: Milliseconds): void {
    if (lateMs <= HARMLESS_MS) return;
    this.ticks.push({ at: now, lateMs });
    if (this.ticks.length > MAX_REMEMBERED) this.ticks.shift();
  }

  /** Whether the process was late at any time between `since` and now; `overdueMs` is the next tick's lateness. */
  wasLate(since: Milliseconds, overdueMs: Milliseconds): boolean {
    return overdueMs > HARMLESS_MS || (this.ticks.at(-1)?.at ?? -Infinity) >= since;
  }
}
