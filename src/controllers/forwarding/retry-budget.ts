/**
 * Limits the retries that a gateway sends to a service.
 *
 * Prevents retries from amplifying an overload. All gateways together may retry a fraction of the
 * requests plus a fixed number per window. Each gateway applies the fraction to its own requests and
 * takes its share of the fixed number.
 *
 * The window is that of the servers. A retry that waits behind a broken link may arrive much later than
 * it was sent, so it counts from when it was sent until a window after it was settled.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** The configured retry limits, for all gateways together. */
export interface RetryBounds {
  /** Retries allowed per request. */
  ratio: number;
  windowMs: Milliseconds;
  /** Additional retries allowed per window. */
  slack: number;
}

/** Fraction of the limit in use; allows for retries and requests that arrive late. */
const SAFETY_FACTOR = 0.9;
const SLICES_PER_WINDOW = 10;

/** The state of a budget, as logged with a denied retry. */
export interface RetryUsage {
  /** Requests in the window. */
  requests: number;
  /** Unsettled retries and those settled in the window. */
  retries: number;
  /** Retries that may be in the window at most. */
  limit: number;
}

interface Slice {
  /** Number of slices since the clock's origin. */
  index: number;
  requests: number;
  /** Retries that were settled. */
  retries: number;
}

/** Request and retry counts of one service in a sliding window. Mutable; has a single owner. */
export class RetryBudget {
  private slices: Slice[] = [];
  private unsettled = 0;

  constructor(private readonly bounds: RetryBounds) {}

  /** Counts the first attempt of a request. */
  recordRequest(now: Milliseconds): void {
    this.currentSlice(now).requests += 1;
  }

  /**
   * Takes one retry, to be settled later; returns false when none is left. `share` is the usable part
   * of the slack.
   */
  take(now: Milliseconds, share: number): boolean {
    if (!this.hasLeft(now, share)) return false;
    this.unsettled += 1;
    return true;
  }

  /** Records that a retry has arrived, or never will. */
  settle(now: Milliseconds): void {
    this.unsettled -= 1;
    this.currentSlice(now).retries += 1;
  }

  /** Whether a retry is left. */
  hasLeft(now: Milliseconds, share: number): boolean {
    const { retries, limit } = this.usage(now, share);
    return retries + 1 <= limit;
  }

  usage(now: Milliseconds, share: number): RetryUsage {
    this.currentSlice(now);
    const newestIndex = this.slices.at(-1)?.index ?? 0;
    const inWindow = this.slices.filter(({ index }) => index > newestIndex - SLICES_PER_WINDOW);
    const requests = sum(inWindow, 'requests');
    // Includes one more slice: a sliding window overlaps the oldest slice and all of the newest.
    const retries = this.unsettled + sum(this.slices, 'retries');
    const { ratio, slack } = this.bounds;
    const limit = SAFETY_FACTOR * (ratio * requests + slack * share);
    return { requests, retries, limit };
  }

  private currentSlice(now: Milliseconds): Slice {
    const index = Math.floor(now / (this.bounds.windowMs / SLICES_PER_WINDOW));
    this.slices = this.slices.filter((slice) => slice.index >= index - SLICES_PER_WINDOW);
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, retries: 0 };
    this.slices.push(created);
    return created;
  }
}

function sum(slices: readonly Slice[], count: 'requests' | 'retries'): number {
  return slices.reduce((total, slice) => total + slice[count], 0);
}
