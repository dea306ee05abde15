/**
 * Limits the retries that a gateway sends to a service.
 *
 * Prevents retries from amplifying an overload. All gateways together may retry a fraction of the
 * requests plus a fixed number per window. Each gateway applies the fraction to its own requests and
 * takes its share of the fixed number.
 *
 * The fraction can hardly be saved up: what a gateway saves and spends at once would be in the servers'
 * window together with what its next process earns and spends after a restart.
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
/** A gateway with few requests saves up to one retry, or it could never make one. */
const MIN_SAVINGS_LIMIT = 1;

/** The state of a budget, as logged with a denied retry. */
export interface RetryUsage {
  /** Requests in the window. */
  requests: number;
  /** Unsettled retries and those settled in the window. */
  retries: number;
  /** Retries that may be in the window at most. */
  limit: number;
  /** Retries that recent requests allow and that are not used yet. */
  saved: number;
  /** Retries of the window beyond those that requests allowed, and how many of these there may be. */
  extra: number;
  extraLimit: number;
}

interface Slice {
  /** Number of slices since the clock's origin. */
  index: number;
  requests: number;
  /** Retries that were settled. */
  retries: number;
  /** Retries, and parts of them, that were taken from the slack. */
  extra: number;
}

/** Request and retry counts of one service in a sliding window. Mutable; has a single owner. */
export class RetryBudget {
  private slices: Slice[] = [];
  private unsettled = 0;
  private saved = 0;

  constructor(private readonly bounds: RetryBounds) {}

  /** Counts the first attempt of a request. */
  recordRequest(now: Milliseconds): void {
    const slice = this.currentSlice(now);
    slice.requests += 1;
    const earned = SAFETY_FACTOR * this.bounds.ratio;
    this.saved = Math.min(this.saved + earned, this.savingsLimit());
  }

  /**
   * Takes one retry, to be settled later; returns false when none is left. `share` is the usable part
   * of the slack.
   */
  take(now: Milliseconds, share: number): boolean {
    if (!this.hasLeft(now, share)) return false;
    const fromSavings = Math.min(1, this.saved);
    this.saved -= fromSavings;
    this.currentSlice(now).extra += 1 - fromSavings;
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
    const { retries, limit, saved, extra, extraLimit } = this.usage(now, share);
    return retries + 1 <= limit && extra + 1 - Math.min(1, saved) <= extraLimit;
  }

  /**
   * Time until recent requests have earned the next retry; infinite if there were none. An estimate
   * to decide on waiting: only `take` allows a retry.
   */
  waitMs(now: Milliseconds, share: number): Milliseconds {
    const { requests, saved } = this.usage(now, share);
    const { ratio, windowMs } = this.bounds;
    const earnedPerMs = (SAFETY_FACTOR * ratio * requests) / windowMs;
    return earnedPerMs > 0 ? (1 - Math.min(1, saved)) / earnedPerMs : Infinity;
  }

  usage(now: Milliseconds, share: number): RetryUsage {
    this.currentSlice(now);
    const newestIndex = this.slices.at(-1)?.index ?? 0;
    const inWindow = this.slices.filter(({ index }) => index > newestIndex - SLICES_PER_WINDOW);
    const requests = sum(inWindow, 'requests');
    // Includes one more slice: a sliding window overlaps the oldest slice and all of the newest.
    const retries = this.unsettled + sum(this.slices, 'retries');
    const { ratio, slack } = this.bounds;
    const extraLimit = SAFETY_FACTOR * slack * share;
    const limit = SAFETY_FACTOR * ratio * requests + extraLimit;
    const extra = sum(this.slices, 'extra');
    return { requests, retries, limit, saved: this.saved, extra, extraLimit };
  }

  /** What the requests of the busier one of the last two slices allow. */
  private savingsLimit(): number {
    const newestIndex = this.slices.at(-1)?.index ?? 0;
    const recent = this.slices.filter(({ index }) => index >= newestIndex - 1);
    const largest = Math.max(...recent.map(({ requests }) => requests));
    return Math.max(MIN_SAVINGS_LIMIT, SAFETY_FACTOR * this.bounds.ratio * largest);
  }

  private currentSlice(now: Milliseconds): Slice {
    const index = Math.floor(now / (this.bounds.windowMs / SLICES_PER_WINDOW));
    this.slices = this.slices.filter((slice) => slice.index >= index - SLICES_PER_WINDOW);
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, retries: 0, extra: 0 };
    this.slices.push(created);
    return created;
  }
}

function sum(slices: readonly Slice[], count: Exclude<keyof Slice, 'index'>): number {
  return slices.reduce((total, slice) => total + slice[count], 0);
}
