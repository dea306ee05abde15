/**
 * How many sendings beyond the first of each request an entry may make to a service.
 *
 * Guards against repeats that multiply an overload. All entries together may repeat a part of the
 * requests plus a fixed number in each window; each entry earns the part from its own requests and
 * takes an equal share of the fixed number, so that the sum holds without a word between them.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** The operator's bound, for all entries together. */
export interface RepeatBounds {
  /** Repeats allowed for each request. */
  ratio: number;
  windowMs: Milliseconds;
  /** Repeats allowed in a window beyond that. */
  slack: number;
}

/** Part of the bound that is used: counts of a window lag behind, and entries come and go. */
const USED_PART = 0.85;
const SLICES = 10;

interface Slice {
  /** Number of the slice since the origin of the clock. */
  index: number;
  requests: number;
  repeats: number;
}

/** Counts of one service in the last window. Changed in place, owned by one shell. */
export class RepeatBudget {
  private slices: Slice[] = [];

  constructor(private readonly bounds: RepeatBounds) {}

  /** Counts the first sending of a request. */
  recordRequest(now: Milliseconds): void {
    this.current(now).requests += 1;
  }

  /** Takes one repeat; false, and nothing taken, when none is left. `entries` share the slack. */
  take(now: Milliseconds, entries: number): boolean {
    if (!this.hasLeft(now, entries)) return false;
    this.current(now).repeats += 1;
    return true;
  }

  /** Whether a repeat is left. */
  hasLeft(now: Milliseconds, entries: number): boolean {
    this.current(now);
    const newest = this.slices.at(-1)?.index ?? 0;
    const inWindow = this.slices.filter(({ index }) => index > newest - SLICES);
    const requests = sum(inWindow, 'requests');
    // One slice more: a window that slides holds the end of it as well as all of the newest.
    const repeats = sum(this.slices, 'repeats');
    const { ratio, slack } = this.bounds;
    const most = USED_PART * (ratio * requests + slack / Math.max(1, entries));
    return repeats + 1 <= most;
  }

  private current(now: Milliseconds): Slice {
    const index = Math.floor(now / (this.bounds.windowMs / SLICES));
    this.slices = this.slices.filter((slice) => slice.index >= index - SLICES);
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, repeats: 0 };
    this.slices.push(created);
    return created;
  }
}

function sum(slices: readonly Slice[], count: 'requests' | 'repeats'): number {
  return slices.reduce((total, slice) => total + slice[count], 0);
}
