/**
 * Counts of recent events by key, in which each event loses half of its weight per half-life.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Long enough to hold a share over a wave of load, short enough to follow a change within seconds. */
const HALF_LIFE_MS: Milliseconds = 3_000;
/** Counts below this are dropped, which bounds the table to keys of the last half minute. */
const MIN_COUNT = 0.001;

interface RecentCount {
  count: number;
  at: Milliseconds;
}

/** Decayed counts. Mutable; has a single owner. */
export class RecentCounts {
  private readonly counts = new Map<string, RecentCount>();

  record(key: string, now: Milliseconds): void {
    const count = this.of(key, now) + 1;
    this.counts.set(key, { count, at: now });
  }

  of(key: string, now: Milliseconds): number {
    const recent = this.counts.get(key);
    return recent === undefined ? 0 : recent.count * 0.5 ** ((now - recent.at) / HALF_LIFE_MS);
  }

  /** The counts of all keys; drops those that have become negligible. */
  list(now: Milliseconds): Map<string, number> {
    const current = new Map<string, number>();
    for (const key of [...this.counts.keys()]) {
      const count = this.of(key, now);
      if (count < MIN_COUNT) this.counts.delete(key);
      else current.set(key, count);
    }
    return current;
  }
}
