/**
 * One sending of a request to one backend server, as its run and the watchdog see it.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
  AttemptObserver,
  AttemptRequest,
  AttemptSender,
} from '../backends/attempt.js';
import type { BackendServer } from '../../ports/index.js';
import type { StallLimits } from './stall-limits.js';
import type { WatchedAttempt } from './watchdog.js';

/** What a run does with the news of its sendings. Nothing comes after a sending is over. */
export interface SendingOwner {
  onAnswer(sending: Sending, answer: AttemptAnswer): void;
  onData(sending: Sending, answer: AttemptAnswer, chunk: Buffer): void;
  onEnd(sending: Sending, answer: AttemptAnswer): void;
  onFailure(sending: Sending, failure: AttemptFailure): void;
  /** `server`: nothing moves there; `answer`: only this answer stands still. */
  onStall(sending: Sending, kind: 'server' | 'answer'): void;
}

/** Collects what comes back and keeps the time of the last sign of life. */
export class Sending implements AttemptObserver, WatchedAttempt {
  /** Of an answer that is passed on whole. */
  readonly body: Buffer[] = [];
  answer: AttemptAnswer | undefined;
  readonly sentAt: Milliseconds;
  movedAt: Milliseconds;
  serverLimitMs: Milliseconds;
  ownLimitMs: Milliseconds;
  paused = false;
  /** Moved on from: what still comes of it is not used. */
  isOver = false;
  private attempt: Attempt | undefined;

  constructor(
    readonly target: BackendServer,
    limits: StallLimits,
    private readonly owner: SendingOwner,
    private readonly clock: Clock,
  ) {
    this.serverLimitMs = limits.serverLimitMs;
    this.ownLimitMs = limits.ownLimitMs;
    this.sentAt = clock.now();
    this.movedAt = this.sentAt;
  }

  get server(): string {
    return this.target.id;
  }

  start(send: AttemptSender, request: AttemptRequest): void {
    this.attempt = send(request, this);
  }

  /** The backend server sees its connection close. */
  cancel(): void {
    this.attempt?.cancel();
  }

  /** The caller reads slowly: nothing more is read from the backend server either. */
  pause(): void {
    this.attempt?.pause();
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    this.movedAt = this.clock.now();
    this.attempt?.resume();
  }

  tighten(limits: StallLimits): void {
    this.serverLimitMs = limits.serverLimitMs;
    this.ownLimitMs = limits.ownLimitMs;
  }

  onAnswer(answer: AttemptAnswer): void {
    this.answer = answer;
    this.movedAt = this.clock.now();
    if (!this.isOver) this.owner.onAnswer(this, answer);
  }

  onData(chunk: Buffer): void {
    if (this.isOver || this.answer === undefined) return;
    this.movedAt = this.clock.now();
    this.owner.onData(this, this.answer, chunk);
  }

  onEnd(): void {
    if (!this.isOver && this.answer !== undefined) this.owner.onEnd(this, this.answer);
  }

  onFailure(failure: AttemptFailure): void {
    if (!this.isOver) this.owner.onFailure(this, failure);
  }

  onStall(kind: 'server' | 'answer'): void {
    if (!this.isOver) this.owner.onStall(this, kind);
  }
}
