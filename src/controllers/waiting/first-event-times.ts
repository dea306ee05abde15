/**
 * How long models take from the sending of a request to its first event, as observed lately.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Weight of the newest; about the last ten count, a fraction of a second under load. */
const NEWEST = 0.1;

/** Means by model of a service. Changed in place, owned by one shell. */
export class FirstEventTimes {
  private readonly means = new Map<string, Milliseconds>();

  record(key: string, tookMs: Milliseconds): void {
    const mean = this.means.get(key);
    this.means.set(key, mean === undefined ? tookMs : mean + NEWEST * (tookMs - mean));
  }

  /** The mean; half of the aim while nothing was observed. */
  expect(key: string, targetMs: Milliseconds): Milliseconds {
    return this.means.get(key) ?? targetMs / 2;
  }
}
