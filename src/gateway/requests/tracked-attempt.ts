/**
 * Progress tracking for one attempt at one backend server.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { PackedBytes } from '../../core/packed-bytes/index.js';
import type {
  Attempt,
  AttemptResponse,
  AttemptFailure,
  AttemptObserver,
  AttemptRequest,
  AttemptSender,
} from '../backends/attempt.js';
import type { BackendServer, ServerNotice } from '../../ports/index.js';
import type { StallLimits } from './stall-limits.js';
import type { AttemptTiming } from './attempt-timing.js';
import type { WatchedAttempt } from './watchdog.js';

/** Receives the events of its attempts; none after an attempt has ended. */
export interface AttemptOwner {
  /** What the server says of its availability; unlike the others also after the attempt has ended. */
  onNotice(attempt: TrackedAttempt, notice: ServerNotice): void;
  onResponse(attempt: TrackedAttempt, response: AttemptResponse): void;
  onData(attempt: TrackedAttempt, response: AttemptResponse, chunk: Buffer): void;
  onEnd(attempt: TrackedAttempt, response: AttemptResponse): void;
  onFailure(attempt: TrackedAttempt, failure: AttemptFailure): void;
  /** The attempt has arrived at its server. */
  onReached(attempt: TrackedAttempt): void;
  /** `server`: no attempt at the server progresses; `response`: only this response is stalled. */
  onStall(attempt: TrackedAttempt, kind: 'server' | 'response'): void;
}

/** Forwards the events of an attempt to its owner and records when it last made progress. */
export class TrackedAttempt implements AttemptObserver, WatchedAttempt {
  /** The response if it is buffered. */
  readonly body = new PackedBytes();
  /** Chunks that it came in. */
  bodyParts = 0;
  response: AttemptResponse | undefined;
  readonly sentAt: Milliseconds;
  /** When the server began to respond; the time of sending before that. */
  respondedAt: Milliseconds;
  lastProgressAt: Milliseconds;
  serverStallMs: Milliseconds;
  attemptStallMs: Milliseconds;
  paused = false;
  isUnsettledRetry = false;
  /** Compares its times with the usual ones; absent if they can't be compared. */
  timing: AttemptTiming | undefined;
  /** Its owner no longer uses it; later events are ignored. */
  isEnded = false;
  private attempt: Attempt | undefined;

  constructor(
    readonly target: BackendServer,
    limits: StallLimits,
    private readonly owner: AttemptOwner,
    private readonly clock: Clock,
  ) {
    this.serverStallMs = limits.serverStallMs;
    this.attemptStallMs = limits.attemptStallMs;
    this.sentAt = clock.now();
    this.lastProgressAt = this.sentAt;
    this.respondedAt = this.sentAt;
  }

  get server(): string {
    return this.target.id;
  }

  start(send: AttemptSender, request: AttemptRequest): void {
    this.attempt = send(request, this);
  }

  /** Whether another gateway relays it. */
  get isRelayed(): boolean {
    return this.attempt?.isRelayed ?? false;
  }

  /** How long it took until the request was written; absent before. */
  get writtenAfterMs(): Milliseconds | undefined {
    const writtenAt = this.attempt?.writtenAt;
    return writtenAt === undefined ? undefined : writtenAt - this.sentAt;
  }

  /** Closes the connection to the backend server. */
  cancel(): void {
    this.attempt?.cancel();
  }

  /** Backpressure: stops reading from the backend server. */
  pause(): void {
    this.attempt?.pause();
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    this.lastProgressAt = this.clock.now();
    this.timing?.interrupt();
    this.attempt?.resume();
  }

  updateLimits(limits: StallLimits): void {
    this.serverStallMs = limits.serverStallMs;
    this.attemptStallMs = limits.attemptStallMs;
  }

  /** Records that data came that the request can use. */
  recordProgress(): void {
    this.lastProgressAt = this.clock.now();
  }

  onNotice(notice: ServerNotice): void {
    this.owner.onNotice(this, notice);
  }

  onResponse(response: AttemptResponse): void {
    this.response = response;
    this.lastProgressAt = this.clock.now();
    this.respondedAt = this.lastProgressAt;
    if (!this.isEnded) this.owner.onResponse(this, response);
  }

  onData(chunk: Buffer): void {
    if (this.isEnded || this.response === undefined) return;
    this.owner.onData(this, this.response, chunk);
  }

  onEnd(): void {
    if (!this.isEnded && this.response !== undefined) this.owner.onEnd(this, this.response);
  }

  onFailure(failure: AttemptFailure): void {
    if (!this.isEnded) this.owner.onFailure(this, failure);
  }

  onReached(): void {
    this.owner.onReached(this);
  }

  onStall(kind: 'server' | 'response'): void {
    if (!this.isEnded) this.owner.onStall(this, kind);
  }
}
