/**
 * Forwards one admitted request: attempts, retries, and exactly one final response.
 *
 * A request that must not run twice is retried only if the backend server reported that it did not
 * run it, or if no byte of it was sent. Any other request may be retried at another backend server
 * within the route's maximum of attempts and the retry budget.
 */
import { EventStream } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServerNotice } from '../../ports/index.js';
import type { AttemptResponse, AttemptFailure } from '../backends/attempt.js';
import type { ServerAvailability } from '../backends/server-availability.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { Reply } from './reply.js';
import { RequestAttempts, type AttemptDependencies } from './request-attempts.js';
import { RequestEnding, type EndingDependencies } from './request-ending.js';
import { isValidSuccess } from './response-relay.js';
import { SHUTDOWN_REASON } from './shutdown.js';
import { StreamRelay } from './stream-relay.js';
import { TargetWait, type TargetWaitDependencies } from './target-wait.js';
import type { TrackedAttempt, AttemptOwner } from './tracked-attempt.js';
import type { AdmittedRequest } from './types.js';
import type { WatchedRequest } from './watchdog.js';

/** What a forwarder shares with all others of its gateway. */
export interface ForwarderDependencies
  extends AttemptDependencies, EndingDependencies, TargetWaitDependencies {
  availability: ServerAvailability;
  links: Pick<LinkMonitor, 'isOutOfReach' | 'recordHeard'>;
}

/** A request fails after more refusals by backend servers than this; each took a retry. */
const MAX_REFUSALS = 4;

/** Drives one request to its final response. */
export class RequestForwarder implements WatchedRequest, AttemptOwner {
  private readonly attempts: RequestAttempts;
  private readonly relay: StreamRelay | undefined;
  private readonly ending: RequestEnding;
  private readonly wait: TargetWait;
  private refusals = 0;

  constructor(
    private readonly request: AdmittedRequest,
    reply: Reply,
    private readonly deps: ForwarderDependencies,
    onFinish: () => void,
  ) {
    const isStream = request.route.repeatability === 'stream';
    const stream = isStream ? new EventStream(request.caller.lastEventId) : undefined;
    this.attempts = new RequestAttempts(request, stream, deps);
    this.relay = stream && new StreamRelay(request, stream, reply, deps);
    const { attempts, relay } = this;
    this.ending = new RequestEnding(request, { reply, attempts, relay }, deps, () => {
      this.wait.handleRequestEnd();
      deps.watchdog.requests.delete(this);
      onFinish();
    });
    this.wait = new TargetWait(request, attempts, this.ending, deps, (why) => {
      this.sendNextAttempt(why);
    });
  }

  start(): void {
    if (this.isQuarantined) {
      this.ending.failQuarantined();
      return;
    }
    this.deps.watchdog.requests.add(this);
    this.deps.backends.recordRequest(this.request.service.name);
    this.deps.queues.recordArrival(this.request);
    this.scheduleNextAttempt('first');
  }

  /** Whether the response is complete or has failed; it may not have been delivered yet. */
  get isFinished(): boolean {
    return this.ending.isFinished;
  }

  /** The caller closed its connection. */
  handleCallerDisconnect(): void {
    if (!this.ending.isFinished) this.ending.handleCallerDisconnect();
  }

  onTick(now: Milliseconds): void {
    if (this.ending.isFinished) return;
    if (now >= this.request.deadline) {
      this.ending.handleDeadline();
      return;
    }
    if (this.isQuarantined && this.ending.isUnanswered) {
      this.ending.failQuarantined();
      return;
    }
    if (this.isTooLateToStart(now)) {
      this.ending.refuseStopping();
      return;
    }
    this.wait.onTick(now);
  }

  onShutdownDeadline(): void {
    if (!this.ending.isFinished) this.ending.handleShutdownDeadline();
  }

  private get isQuarantined(): boolean {
    return this.deps.quarantine.leftMs(this.request.fingerprints) !== undefined;
  }

  /** Whether it would start too late to end before the gateway stops. */
  private isTooLateToStart(now: Milliseconds): boolean {
    return !this.attempts.mayHaveRun && now > this.deps.shutdown.latestStart(this.request);
  }

  /** Sends the next attempt unless the caller turns out to have left. */
  private scheduleNextAttempt(why: string): void {
    this.deps.inputFirst.add(() => {
      if (!this.ending.isFinished) this.sendNextAttempt(why);
    });
  }

  private sendNextAttempt(why: string): void {
    const { request, deps, attempts, ending, wait } = this;
    if (this.isQuarantined) {
      if (!attempts.isAnyInFlight) ending.failQuarantined();
      return;
    }
    if (this.isTooLateToStart(deps.context.clock.now())) {
      ending.refuseStopping();
      return;
    }
    if (!attempts.hasUsefulTimeLeft) {
      const isLimitedByShutdown = deps.shutdown.responseDeadline() < request.deadline;
      const reason = isLimitedByShutdown ? SHUTDOWN_REASON : 'too little time is left';
      if (!attempts.isAnyInFlight) ending.fail(reason);
      return;
    }
    const chosen = wait.isBehindOthers ? undefined : attempts.chooseTarget(wait.isQueued);
    if (chosen === 'allFull' || chosen === undefined) {
      wait.handleNoTarget(chosen ?? 'none', why);
      return;
    }
    if (!attempts.takeRetry()) {
      wait.handleNoRetry(why);
      return;
    }
    wait.end();
    attempts.start(chosen, why, this);
  }

  // --- events of attempts ---

  onReached(attempt: TrackedAttempt): void {
    this.attempts.settleRetry(attempt);
  }

  onNotice(attempt: TrackedAttempt, notice: ServerNotice): void {
    this.deps.availability.record(attempt.target, notice, this.request.id);
  }

  onResponse(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { backends } = this.deps;
    const { server, sentAt } = attempt;
    this.attempts.settleRetry(attempt);
    this.recordContact(attempt);
    const { notRun, rateLimit, signed } = response;
    if (!notRun) backends.recordProgress(server);
    // Only the server itself can say that it no longer has a limit.
    if (signed || rateLimit.kind !== 'none') backends.recordRateLimit(server, rateLimit, sentAt);
  }

  private recordContact(attempt: TrackedAttempt): void {
    this.deps.backends.recordContact(attempt.server);
    if (!attempt.isRelayed) this.deps.links.recordHeard(this.request.service.name);
  }

  onData(attempt: TrackedAttempt, response: AttemptResponse, chunk: Buffer): void {
    this.recordContact(attempt);
    const relay = isValidSuccess(response) ? this.relay : undefined;
    const result = relay
      ? relay.relay(attempt, response, chunk)
      : this.attempts.buffer(attempt, chunk);
    switch (result) {
      case 'progress':
        attempt.recordProgress();
        if (relay) this.deps.backends.recordProgress(attempt.server);
        break;
      case 'noEvent':
        break;
      case 'gap':
        this.breakOff(attempt, 'events are missing in the answer');
        break;
      case 'garbled':
        this.breakOff(attempt, 'the answer has bytes that are no events');
        break;
      case 'endless':
        this.deps.backends.recordResult(attempt.server, true);
        this.breakOff(attempt, 'the answer goes on without end');
        break;
    }
  }

  private breakOff(attempt: TrackedAttempt, reason: string): void {
    this.attempts.end(attempt, reason);
    attempt.cancel();
    this.handleBrokenAttempt(reason);
  }

  onEnd(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { backends } = this.deps;
    const { server } = attempt;
    if (response.notRun) {
      backends.recordRefusal(attempt.target, response.status);
      this.attempts.end(attempt, `refused with ${response.status}`);
      // The time for which the server is left alone takes the place of a lower rank.
      if (this.deps.availability.cooldownLeftMs(server) === 0) backends.recordResult(server, true);
      this.refusals += 1;
      this.handleNotRun();
      return;
    }
    if (isValidSuccess(response)) {
      this.attempts.end(attempt, 'answered');
      backends.recordResult(server, false);
      if (this.relay?.hasPartialEvent) {
        this.deps.quarantine.recordBroken(this.request.fingerprints, attempt.target);
        this.handleBrokenAttempt('the answer ended within an event');
      } else this.completeRequest(attempt, response);
      return;
    }
    this.attempts.end(attempt, `status ${response.status}`);
    backends.recordResult(server, response.status >= 500);
    if (!response.signed || response.encoded) {
      this.handleBrokenAttempt(
        `an answer with status ${response.status} that is not the backend server's`,
      );
      return;
    }
    this.ending.recordFailureResponse(attempt);
    this.handleBrokenAttempt(
      `the backend server answered ${response.status}`,
      response.status < 500,
    );
  }

  private completeRequest(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { clock } = this.deps.context;
    if (!this.relay) this.deps.queues.recordFirstEvent(this.request, clock.now() - attempt.sentAt);
    this.ending.answer(attempt, response);
  }

  onFailure(attempt: TrackedAttempt, failure: AttemptFailure): void {
    const { backends, quarantine } = this.deps;
    this.attempts.end(attempt, failure.reason, failure.kind);
    switch (failure.kind) {
      case 'notSent':
        this.attempts.recordNotArrived();
        if (!attempt.isRelayed) quarantine.recordUnreachable(attempt.target);
        backends.suspect(
          attempt.server,
          failure.reason,
          attempt.isRelayed ? 'relayed' : 'unreachable',
        );
        this.handleNotRun();
        break;
      case 'notRelayed':
      case 'tooLate':
        this.attempts.recordNotArrived();
        this.handleNotRun();
        break;
      case 'broken':
        // A relayed attempt may have broken off at the relay.
        if (!attempt.isRelayed) backends.recordResult(attempt.server, true);
        quarantine.recordBroken(this.request.fingerprints, attempt.target);
        this.handleBrokenAttempt(failure.reason);
        break;
    }
  }

  onStall(attempt: TrackedAttempt, kind: 'server' | 'response'): void {
    const { attempts, deps } = this;
    if (!attempts.isRepeatable || !attempts.hasRunsLeft || !attempts.hasOtherTarget()) return;
    if (!deps.backends.hasRetryLeft(this.request.service.name)) return;
    const why = kind === 'server' ? 'nothing moved there' : 'the answer stood still';
    if (this.relay) {
      attempt.cancel();
      attempts.end(attempt, why);
    } else {
      // A slow response may still arrive first; its attempt goes on without stall checks.
      deps.watchdog.attempts.delete(attempt);
    }
    attempts.recordPossibleRun();
    this.sendNextAttempt(why);
  }

  /** The request did not run, so it can be retried even if it must not run twice. */
  private handleNotRun(): void {
    if (this.attempts.isAnyInFlight) return;
    if (this.refusals > MAX_REFUSALS) {
      this.ending.fail('refused everywhere');
      return;
    }
    this.scheduleNextAttempt('not run');
  }

  /** The request may have run, so it is retried only if it is repeatable. */
  private handleBrokenAttempt(reason: string, isFinal = false): void {
    const { attempts, ending } = this;
    ending.recordFailureReason(reason);
    const canRetry = attempts.isRepeatable && !isFinal && attempts.hasRunsLeft;
    attempts.recordPossibleRun();
    if (attempts.isAnyInFlight) return;
    if (canRetry) this.scheduleNextAttempt(reason);
    else ending.fail(reason);
  }
}
