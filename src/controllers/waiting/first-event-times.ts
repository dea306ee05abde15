/**
 * Mean times from the sending of a request to its first event, per model.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Weight of the latest observation in the exponentially weighted mean. */
const EWMA_WEIGHT = 0.1;

/** Mean times to the first event by key, which identifies a model of a service. Mutable. */
export class FirstEventTimes {
  private readonly means = new Map<string, Milliseconds>();

  record(key: string, tookMs: Milliseconds): void {
    const mean = this.means.get(key);
    this.means.set(key, mean === undefined ? tookMs : mean + EWMA_WEIGHT * (tookMs - mean));
  }

  /** Returns the mean, or half of the target time before the first observation. */
  expect(key: string, targetMs: Milliseconds): Milliseconds {
    return this.means.get(key) ?? targetMs / 2;
  }
}
