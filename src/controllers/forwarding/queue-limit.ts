/**
 * How many requests a target takes before it refuses more.
 *
 * Guards against repeats that are spent on targets which are full: a refused sending must go
 * elsewhere and uses up the budget that lost answers need. Held back for a moment instead, the
 * request finds a place or is refused by its own gateway.
 *
 * Backend servers do not tell how long their queues are; a refusal shows it.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A refusal later than this is about the time that the request had, and not about places. */
const QUICK_MS: Milliseconds = 300;
/** The limit is tried again upwards at this pace: queues grow when targets get better. */
const RAISE_EVERY_MS: Milliseconds = 1_000;

/** A sending that a backend server refused without running it. */
export interface RefusedSending {
  /** Requests under way at the target when it was sent, as far as known. */
  inFlight: number;
  slots: number;
  tookMs: Milliseconds;
}

/** The limit of the targets of one service. Changed in place, owned by one shell. */
export class QueueLimit {
  private limit = Infinity;
  private learntAt: Milliseconds = 0;

  /** Learns from a refusal. One by a target with free slots says nothing of queues. */
  recordRefusal({ inFlight, slots, tookMs }: RefusedSending, now: Milliseconds): void {
    if (tookMs > QUICK_MS || inFlight < slots) return;
    this.limit = Math.min(this.limitAt(now), inFlight);
    this.learntAt = now;
  }

  /** Whether a target with so many requests under way would refuse another. */
  isFull(inFlight: number, now: Milliseconds): boolean {
    return inFlight >= this.limitAt(now);
  }

  private limitAt(now: Milliseconds): number {
    return this.limit + Math.floor((now - this.learntAt) / RAISE_EVERY_MS);
  }
}
