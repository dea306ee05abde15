/**
 * How one request waits: for room at a replica, in its line, or for any target to appear at all.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { AdmittedRequest } from './types.js';
import type { InLine, WaitingLines } from './request-queues.js';

/** Longest wait for a target, as a part of the time that the caller has left. */
const WAIT_PART = 0.4;
const LONGEST_WAIT_MS: Milliseconds = 1_500;
/** Before a target that refused a request is asked again: a slot comes free in about this time. */
const RETRY_SAME_MS: Milliseconds = 150;

/** The wait of one request. Changed in place, owned by its run. */
export class RequestWait {
  private inLine: InLine | undefined;
  private targetUntil: Milliseconds | undefined;
  private nextTryAt: Milliseconds = 0;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly lines: WaitingLines,
  ) {}

  get isInLine(): boolean {
    return this.inLine !== undefined;
  }

  joinLine(how: Pick<InLine, 'trySend' | 'refuse'>): void {
    this.targetUntil = undefined;
    this.inLine = this.lines.join(this.request, how);
    this.lines.serveSoon();
  }

  leaveLine(): void {
    if (this.inLine === undefined) return;
    this.lines.leave(this.request, this.inLine);
    this.inLine = undefined;
  }

  /** Waits for a target to appear; true when this wait has just begun. */
  beginForTarget(now: Milliseconds): boolean {
    if (this.targetUntil !== undefined) return false;
    const leftMs = this.request.answerBy - now;
    this.targetUntil = now + Math.min(LONGEST_WAIT_MS, leftMs * WAIT_PART);
    return true;
  }

  /** A target that refused or failed before may be the only one there is; it needs a moment. */
  pause(now: Milliseconds): void {
    this.nextTryAt = now + RETRY_SAME_MS;
  }

  /** There is a target. */
  endForTarget(): void {
    this.targetUntil = undefined;
  }

  /** It waits for a target and may look for one again. */
  mayTry(now: Milliseconds): boolean {
    return this.targetUntil !== undefined && now >= this.nextTryAt;
  }

  /** It has waited for a target for as long as is worth it. */
  isOver(now: Milliseconds): boolean {
    return this.targetUntil !== undefined && now >= this.targetUntil;
  }
}
