/**
 * How one request ends: its only final response, and the report of it.
 */
import { chooseRetryAfterMs, UNKNOWN_RATE_MS } from '../../controllers/waiting/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { AttemptResponse } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import type { Quarantine } from './quarantine.js';
import type { Reply } from './reply.js';
import type { RequestAttempts } from './request-attempts.js';
import { reportEnd } from './request-report.js';
import { sendBuffered } from './response-relay.js';
import { createStoppingFailure, SHUTDOWN_REASON, type ShutdownPolicy } from './shutdown.js';
import type { StreamRelay } from './stream-relay.js';
import type { TrackedAttempt } from './tracked-attempt.js';
import type { AdmittedRequest, RequestOutcome, RequestPhase } from './types.js';
import type { Watchdog } from './watchdog.js';

/** What the endings of all requests share. */
export interface EndingDependencies {
  context: GatewayContext;
  shutdown: ShutdownPolicy;
  quarantine: Quarantine;
  watchdog: Watchdog;
}

/** The parts of a request that its ending reads and stops. */
export interface EndingParts {
  reply: Reply;
  attempts: RequestAttempts;
  /** Absent if the response is no stream. */
  relay: StreamRelay | undefined;
}

/** Ends one request exactly once. */
export class RequestEnding {
  private isEnded = false;
  /** The last attempt with a failure response, which is relayed if no retry succeeds. */
  private failedAttempt: TrackedAttempt | undefined;
  private lastFailureReason = '';
  private readonly startedAt: Milliseconds;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly parts: EndingParts,
    private readonly deps: EndingDependencies,
    private readonly onFinish: () => void,
  ) {
    this.startedAt = deps.context.clock.now();
  }

  get isFinished(): boolean {
    return this.isEnded;
  }

  /** Whether nothing of a response has been sent to the caller. */
  get isUnanswered(): boolean {
    return this.parts.reply.isUnsent;
  }

  /** Records why an attempt failed; the reason is logged if the deadline passes. */
  recordFailureReason(reason: string): void {
    this.lastFailureReason = reason;
  }

  /** Keeps the failure response of an attempt. */
  recordFailureResponse(attempt: TrackedAttempt): void {
    this.failedAttempt = attempt;
  }

  /** Sends the rest of a complete response. */
  answer(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { reply, relay } = this.parts;
    this.recordSound(attempt, response);
    if (relay) relay.end(attempt, response);
    else {
      attempt.timing?.recordAnswer();
      this.sendBuffered(attempt, response, reply);
    }
    this.finish('answered', `${response.status} by ${response.framing}`);
  }

  private recordSound({ target, respondedAt }: TrackedAttempt, response: AttemptResponse): void {
    const { fingerprints } = this.request;
    const { quarantine } = this.deps;
    if (response.framing === 'connection')
      quarantine.recordClosed(fingerprints, target, respondedAt);
    else quarantine.recordAnswered(fingerprints, respondedAt);
  }

  /** The caller closed its connection. */
  handleCallerDisconnect(): void {
    this.finish('callerGone', 'the caller disconnected', this.phase);
  }

  private get phase(): RequestPhase {
    const { reply, attempts } = this.parts;
    if (!reply.isUnsent) return 'answering';
    if (!attempts.isAnyInFlight) return 'waiting';
    return attempts.isAnyRelayed ? 'relayed' : 'sent';
  }

  /** Fails the request with what is known of its attempts. */
  fail(
    reason: string,
    retryAfterMs = this.drawRetryAfter(UNKNOWN_RATE_MS),
    kind: 'noCapacity' | 'evacuated' = 'noCapacity',
  ): void {
    const { reply, attempts } = this.parts;
    const { failedAttempt, request } = this;
    this.lastFailureReason = reason;
    if (!reply.isUnsent) {
      this.abortStream(reason);
      return;
    }
    if (failedAttempt?.response) {
      this.sendBuffered(failedAttempt, failedAttempt.response, reply);
      this.finish('failedThere', reason);
      return;
    }
    if (attempts.mayHaveRun) {
      this.respondWithFailure(createFailure('outcomeUnknown', { reason }), 'failed');
      return;
    }
    const name = request.model?.name ?? request.service.name;
    this.respondWithFailure(createFailure(kind, { name }, retryAfterMs), 'refused', reason);
  }

  /**
   * Returns when the caller should return if room should be free in `freeInMs`. Without workspaces, all
   * callers are told the same.
   */
  drawRetryAfter(freeInMs: Milliseconds): Milliseconds {
    const { clock, random } = this.deps.context;
    if (this.request.workspace === undefined) return UNKNOWN_RATE_MS;
    const leftMs = this.request.deadline - clock.now();
    return chooseRetryAfterMs(freeInMs, leftMs, random.fraction());
  }

  /** Fails a quarantined request and cancels attempts, to keep their servers from crashing. */
  failQuarantined(): void {
    const { reply, attempts } = this.parts;
    if (attempts.mayHaveRun || !reply.isUnsent) {
      this.fail('backend servers end under it');
      return;
    }
    const leftMs = this.deps.quarantine.leftMs(this.request.fingerprints);
    this.respondWithFailure(createFailure('quarantined', undefined, leftMs), 'refused');
  }

  /** Refuses a request that can't be run before the gateway stops. */
  refuseStopping(): void {
    this.respondWithFailure(createStoppingFailure(), 'refused', SHUTDOWN_REASON);
  }

  handleDeadline(): void {
    const { reply, attempts } = this.parts;
    if (!reply.isUnsent) {
      this.abortStream('the deadline has passed');
      return;
    }
    const { mayHaveRun } = attempts;
    const kind = mayHaveRun ? 'deadlineAfterStart' : 'deadlineBeforeStart';
    this.respondWithFailure(
      createFailure(kind),
      mayHaveRun ? 'failed' : 'refused',
      this.lastFailureReason,
    );
  }

  /** Streams run until this moment: most end by themselves, and callers can resume the others. */
  handleShutdownDeadline(): void {
    const { reply, attempts } = this.parts;
    if (!reply.isUnsent) this.abortStream(SHUTDOWN_REASON);
    else if (attempts.mayHaveRun) {
      this.respondWithFailure(
        createFailure('outcomeUnknown', { reason: SHUTDOWN_REASON }),
        'failed',
        SHUTDOWN_REASON,
      );
    } else this.refuseStopping();
  }

  private sendBuffered(attempt: TrackedAttempt, response: AttemptResponse, reply: Reply): void {
    const { requests } = this.deps.context.platform;
    sendBuffered(reply, requests, response, attempt.body.concat());
  }

  private abortStream(reason: string): void {
    this.finish('cut', reason);
    this.parts.reply.abort();
  }

  private respondWithFailure(
    failure: Failure,
    outcome: RequestOutcome,
    reason = failure.message,
  ): void {
    this.deps.context.metrics.countError(failure.kind);
    this.parts.reply.sendFailure(failure, this.request.id);
    this.finish(outcome, reason);
  }

  private finish(outcome: RequestOutcome, reason: string, leftWhile?: RequestPhase): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const { attempts, relay } = this.parts;
    const { unansweredMs } = attempts;
    attempts.cancelAll(outcome);
    attempts.releaseBuffers();
    const { context, shutdown, watchdog } = this.deps;
    if (attempts.sent > 0)
      shutdown.recordDuration(this.request, context.clock.now() - this.startedAt);
    reportEnd(context, this.request, {
      outcome,
      reason,
      attempts: attempts.sent,
      possibleRuns: attempts.possibleRuns,
      startedAt: this.startedAt,
      firstEventAt: relay?.times.firstEventAt,
      lastEventAt: relay?.times.lastEventAt,
      longestGapMs: relay?.times.longestGapMs ?? 0,
      lastEventId: relay?.lastEventId,
      ...(unansweredMs > 0 && { unansweredMs }),
      ...(leftWhile && { leftWhile, lateMs: watchdog.latenessMs() }),
    });
    this.onFinish();
  }
}
