/**
 * Waiting state of one request: queued for a free slot at a replica, or waiting for any target.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { AdmittedRequest } from './types.js';
import type { QueuedRequest, RequestQueues } from './request-queues.js';

/** Longest wait for a target, as a fraction of the time left until the deadline. */
const MAX_WAIT_FRACTION = 0.4;
const MAX_WAIT_MS: Milliseconds = 1_500;
/** Delay before a target that refused the request is tried again. */
const RETRY_DELAY_MS: Milliseconds = 150;

/** Waiting state of one request. Mutable, owned by its forwarder. */
export class RequestWait {
  private queued: QueuedRequest | undefined;
  private targetWaitEndsAt: Milliseconds | undefined;
  private retryAt: Milliseconds = 0;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly queues: RequestQueues,
  ) {}

  get isQueued(): boolean {
    return this.queued !== undefined;
  }

  /** Whether it waits for any target. */
  get isWaiting(): boolean {
    return this.targetWaitEndsAt !== undefined;
  }

  enqueue(handlers: Pick<QueuedRequest, 'trySend' | 'reject'>): void {
    this.endTargetWait();
    this.queued = this.queues.enqueue(this.request, handlers);
    this.queues.scheduleDispatch();
  }

  leaveQueue(): void {
    if (this.queued === undefined) return;
    this.queues.remove(this.request, this.queued);
    this.queued = undefined;
  }

  /** Starts to wait for a target; returns false if it is already waiting. */
  startTargetWait(now: Milliseconds): boolean {
    if (this.targetWaitEndsAt !== undefined) return false;
    this.targetWaitEndsAt = this.waitEnd(now);
    this.queues.addWaiting(this.request);
    return true;
  }

  /** How much longer it may wait for a target. */
  waitLeftMs(now: Milliseconds): Milliseconds {
    return (this.targetWaitEndsAt ?? this.waitEnd(now)) - now;
  }

  private waitEnd(now: Milliseconds): Milliseconds {
    const leftMs = this.request.deadline - now;
    return now + Math.min(MAX_WAIT_MS, leftMs * MAX_WAIT_FRACTION);
  }

  /** Delays the next try: the only target may be one that has just refused or failed. */
  delayRetry(now: Milliseconds): void {
    this.retryAt = now + RETRY_DELAY_MS;
  }

  endTargetWait(): void {
    if (this.targetWaitEndsAt === undefined) return;
    this.targetWaitEndsAt = undefined;
    this.queues.removeWaiting(this.request);
  }

  /** Ends all waiting, as the request has ended. */
  end(): void {
    this.leaveQueue();
    this.endTargetWait();
  }

  /** Whether it waits for a target and the retry delay is over. */
  canRetry(now: Milliseconds): boolean {
    return this.targetWaitEndsAt !== undefined && now >= this.retryAt;
  }

  /** Whether it has waited for a target for the longest allowed time. */
  hasTimedOut(now: Milliseconds): boolean {
    return this.targetWaitEndsAt !== undefined && now >= this.targetWaitEndsAt;
  }
}
