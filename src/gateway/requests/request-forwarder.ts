/**
 * Forwards one admitted request: attempts, retries, and exactly one final response.
 *
 * A request that must not run twice is retried only if the backend server reported that it did not
 * run it, or if no byte of it was sent. Any other request may be retried at another backend server
 * within the route's maximum of attempts and the retry budget.
 */
import { EventStream, isRepeatable } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { ServerNotice } from '../../ports/index.js';
import type { AttemptResponse, AttemptFailure, AttemptSender } from '../backends/attempt.js';
import type { ServerAvailability } from '../backends/server-availability.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { GatewayContext } from '../types.js';
import { isValidSuccess, relayEvents, sendBuffered } from './response-relay.js';
import type { BackendTracker, ChosenTarget } from './backend-tracker.js';
import type { Reply } from './reply.js';
import type { Quarantine } from './quarantine.js';
import { RequestWait } from './request-wait.js';
import { reportEnd, reportAttempt } from './request-report.js';
import { TrackedAttempt, type AttemptOwner } from './tracked-attempt.js';
import { limitsBeforeFirstEvent, limitsBetweenEvents } from './stall-limits.js';
import { createStoppingFailure, SHUTDOWN_REASON, type ShutdownPolicy } from './shutdown.js';
import type { AdmittedRequest, RequestOutcome } from './types.js';
import type { RequestQueues } from './request-queues.js';
import type { SpeedTracker } from './speed-tracker.js';
import type { Watchdog, WatchedRequest } from './watchdog.js';

/** What a forwarder shares with all others of its gateway. */
export interface ForwarderDependencies {
  context: GatewayContext;
  backends: BackendTracker;
  availability: ServerAvailability;
  watchdog: Watchdog;
  send: AttemptSender;
  links: Pick<LinkMonitor, 'isOutOfReach' | 'recordHeard'>;
  shutdown: ShutdownPolicy;
  queues: RequestQueues;
  quarantine: Quarantine;
  speeds: SpeedTracker;
}

/** A request fails after more refusals by backend servers than this. */
const MAX_REFUSALS = 4;
/** `Retry-After` without capacity: about the time that a new replica takes to open. */
const RETRY_AFTER_MS: Milliseconds = 700;
/** Callers that are told to wait for the same moment are spread over this time after it. */
const RETURN_SPREAD_MS: Milliseconds = 500;
/** Subtracted from the time that a backend server gets, for relaying its response. */
const DEADLINE_MARGIN_MS: Milliseconds = 5;
/** No attempt is started with less time left than this. */
const MIN_ATTEMPT_MS: Milliseconds = 20;

/** Drives one request to its final response. */
export class RequestForwarder implements WatchedRequest, AttemptOwner {
  private readonly attempts = new Set<TrackedAttempt>();
  private readonly triedServers = new Set<string>();
  private readonly stream: EventStream | undefined;
  private readonly startedAt: Milliseconds;
  /** Ended attempts that a backend server may have executed. */
  private possibleRuns = 0;
  private refusals = 0;
  private attemptCount = 0;
  /** Attempts that have arrived at a backend server or may still do so. */
  private arrivals = 0;
  private isFinished = false;
  private readonly wait: RequestWait;
  private firstEventAt: Milliseconds | undefined;
  private lastEventAt: Milliseconds | undefined;
  private longestGapMs: Milliseconds = 0;
  /** The last attempt with a failure response, which is relayed if no retry succeeds. */
  private failedAttempt: TrackedAttempt | undefined;
  private lastFailureReason = '';

  constructor(
    private readonly request: AdmittedRequest,
    private readonly reply: Reply,
    private readonly deps: ForwarderDependencies,
    private readonly onFinish: () => void,
  ) {
    this.startedAt = deps.context.clock.now();
    this.wait = new RequestWait(request, deps.queues);
    if (request.route.repeatability === 'stream') {
      this.stream = new EventStream(request.caller.lastEventId);
    }
  }

  start(): void {
    this.deps.watchdog.requests.add(this);
    this.deps.backends.recordRequest(this.request.service.name);
    this.sendNextAttempt('first');
  }

  /** The caller closed its connection. */
  handleCallerDisconnect(): void {
    if (this.isFinished) return;
    this.finish('callerGone', 'the caller disconnected');
  }

  onTick(now: Milliseconds): void {
    if (this.isFinished) return;
    if (now >= this.request.deadline) {
      this.handleDeadline();
      return;
    }
    if (this.isQuarantined && !this.hasResponseStarted) {
      this.failQuarantined();
      return;
    }
    if (this.attempts.size === 0 && this.wait.canRetry(now)) this.sendNextAttempt('waited');
    this.checkWaitTimeout(now);
  }

  /** Streams run until this moment: most end by themselves, and callers can resume the others. */
  onShutdownDeadline(): void {
    if (this.isFinished) return;
    if (!this.reply.isUnsent) this.abortStream(SHUTDOWN_REASON);
    else if (this.mayHaveRun) {
      this.respondWithFailure(
        createFailure('outcomeUnknown', { reason: SHUTDOWN_REASON }),
        'failed',
        SHUTDOWN_REASON,
      );
    } else this.respondWithFailure(createStoppingFailure(), 'refused', SHUTDOWN_REASON);
  }

  private checkWaitTimeout(now: Milliseconds): void {
    if (this.isFinished || this.attempts.size > 0) return;
    if (this.wait.hasTimedOut(now)) this.failRequest('no target in time');
  }

  private get isQuarantined(): boolean {
    return this.deps.quarantine.leftMs(this.request.fingerprint) !== undefined;
  }

  /** Whether a backend server has begun to respond; it is not expected to crash on this request. */
  private get hasResponseStarted(): boolean {
    return [...this.attempts].some(({ response }) => response !== undefined);
  }

  private get isRepeatable(): boolean {
    return isRepeatable(this.request.route);
  }

  /** Whether a backend server may have executed the request. */
  private get mayHaveRun(): boolean {
    return this.possibleRuns > 0 || this.attempts.size > 0;
  }

  /**
   * Time that a backend server gets for an attempt. Ends before a shutdown does, so that the server
   * gives up by itself with a proper response instead of being disconnected.
   */
  private get attemptBudgetMs(): Milliseconds {
    const { context, shutdown } = this.deps;
    const endsAt = Math.min(this.request.deadline, shutdown.responseDeadline());
    return endsAt - context.clock.now() - DEADLINE_MARGIN_MS;
  }

  // --- attempts ---

  private sendNextAttempt(why: string): void {
    const { request, deps } = this;
    const { service } = request;
    if (this.isQuarantined) {
      if (this.attempts.size === 0) this.failQuarantined();
      return;
    }
    if (!this.mayHaveRun && !deps.shutdown.canStart(request, deps.context.clock.now())) {
      this.respondWithFailure(createStoppingFailure(), 'refused', SHUTDOWN_REASON);
      return;
    }
    if (this.attemptBudgetMs < MIN_ATTEMPT_MS) {
      const isLimitedByShutdown = deps.shutdown.responseDeadline() < request.deadline;
      const reason = isLimitedByShutdown ? SHUTDOWN_REASON : 'too little time is left';
      if (this.attempts.size === 0) this.failRequest(reason);
      return;
    }
    const chosen = this.pickTarget();
    if ((chosen === 'allFull' || chosen === undefined) && this.failIfNoneCanServe()) return;
    if (chosen === 'allFull') {
      this.enqueue(why);
      return;
    }
    if (chosen === undefined) {
      this.waitForTarget(why);
      return;
    }
    if (this.arrivals > 0 && !deps.backends.takeRetry(service.name, request.id)) {
      if (this.attempts.size === 0) this.failRequest('no repeats left');
      return;
    }
    this.wait.endTargetWait();
    this.startAttempt(chosen, why);
  }

  /**
   * Chooses a target, or `allFull` if the request has to queue. Only the first attempt at a model's
   * replica queues: a retry has little time left, and without any replica queueing would not help.
   */
  private pickTarget(): ChosenTarget | 'allFull' | undefined {
    const { request, deps, triedServers } = this;
    const { service, model } = request;
    const { backends, queues } = deps;
    if (this.attemptCount > 0 || model === undefined)
      return backends.choose(service, model?.name, triedServers);
    const mustQueue = !this.wait.isQueued && queues.hasQueued(request);
    const withCapacity = mustQueue
      ? undefined
      : backends.choose(service, model.name, triedServers, true);
    if (withCapacity) return withCapacity;
    return backends.hasTarget(service, model.name, triedServers) ? 'allFull' : undefined;
  }

  private enqueue(why: string): void {
    if (this.wait.isQueued) return;
    this.logWait('no room');
    this.wait.enqueue({
      trySend: () => this.trySend(why),
      reject: () => {
        this.wait.leaveQueue();
        this.failRequest('no room in time');
      },
    });
  }

  /** Called when it is first in its queue; returns false when all targets are full. */
  private trySend(why: string): boolean {
    if (this.pickTarget() === 'allFull') return this.failIfNoneCanServe();
    this.sendNextAttempt(why);
    this.wait.leaveQueue();
    return true;
  }

  private failIfNoneCanServe(): boolean {
    return this.failIfOutOfReach() || this.failIfAllCoolDown();
  }

  /** Fails the request at once if no gateway reaches the service. */
  private failIfOutOfReach(): boolean {
    const { request, deps } = this;
    if (this.attempts.size > 0 || !deps.links.isOutOfReach(request.service.name)) return false;
    const spreadMs = deps.context.random.fraction() * RETURN_SPREAD_MS;
    this.failRequest('no gateway reaches the service', RETRY_AFTER_MS + spreadMs);
    return true;
  }

  /** Fails the request at once if all its targets are cooling down for longer than it may wait. */
  private failIfAllCoolDown(): boolean {
    const { request, deps, wait } = this;
    if (this.attempts.size > 0) return false;
    const excluded = this.isRepeatable ? NO_SERVERS : this.triedServers;
    const leftMs = deps.backends.cooldownLeftMs(request.service, request.model?.name, excluded);
    if (leftMs === undefined || leftMs <= wait.waitLeftMs(deps.context.clock.now())) return false;
    const spreadMs = deps.context.random.fraction() * RETURN_SPREAD_MS;
    this.failRequest('all targets are cooling down', leftMs + spreadMs);
    return true;
  }

  private waitForTarget(why: string): void {
    if (this.attempts.size > 0) return;
    const now = this.deps.context.clock.now();
    if (this.wait.startTargetWait(now)) this.logWait(why);
    if (this.triedServers.size > 0) this.wait.delayRetry(now);
    if (this.isRepeatable) this.triedServers.clear();
  }

  private logWait(why: string): void {
    const { service, model } = this.request;
    const targets = this.deps.backends.countTargets(service, model?.name);
    this.log('requestWaits', { why, targets, tried: this.triedServers.size });
  }

  private startAttempt(chosen: ChosenTarget, why: string): void {
    const { request, deps, stream } = this;
    const { server } = chosen.target;
    this.triedServers.add(server.id);
    this.attemptCount += 1;
    const leftMs = this.attemptBudgetMs;
    const lastEventId = stream ? stream.lastEventId : request.caller.lastEventId;
    reportAttempt(deps.context, request, chosen, {
      why,
      attempt: this.attemptCount,
      leftMs,
      lastEventId,
    });
    deps.backends.recordSent(server.id);
    deps.queues.recordSent(request);
    stream?.startRun();
    const limits = limitsBeforeFirstEvent(
      request,
      chosen,
      deps.queues.expectedFirstEventMs(request),
    );
    const attempt = new TrackedAttempt(server, limits, this, deps.context.clock);
    attempt.timing = deps.speeds.time(request, chosen, attempt, lastEventId !== undefined);
    attempt.isUnsettledRetry = this.arrivals > 0;
    this.arrivals += 1;
    this.attempts.add(attempt);
    deps.watchdog.attempts.add(attempt);
    attempt.start(deps.send, {
      server: { id: server.id, address: server.address },
      method: request.incoming.method ?? 'GET',
      path: request.incoming.url ?? '/',
      headers: deps.context.platform.requests.encodeRequest(request.incoming.rawHeaders, {
        server: server.id,
        deadlineMs: leftMs,
        priority: clampPriority(request.keyHolder?.priority ?? request.route.priority),
        ...(request.keyHolder && { workspace: request.keyHolder.workspace }),
        ...(lastEventId !== undefined && { lastEventId }),
      }),
      body: request.body,
      requestId: request.caller.id,
      requiresNewConnection: !this.isRepeatable,
    });
  }

  // --- events of attempts ---

  onReached(attempt: TrackedAttempt): void {
    this.settleRetry(attempt);
  }

  onNotice(attempt: TrackedAttempt, notice: ServerNotice): void {
    this.deps.availability.record(attempt.target, notice, this.request.id);
  }

  onResponse(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { backends } = this.deps;
    const { server, sentAt } = attempt;
    this.settleRetry(attempt);
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
    if (this.stream && isValidSuccess(response)) {
      this.deps.backends.recordProgress(attempt.server);
      this.relayStreamChunk(attempt, response, this.stream, chunk);
    } else {
      attempt.body.push(chunk);
    }
  }

  private relayStreamChunk(
    attempt: TrackedAttempt,
    response: AttemptResponse,
    stream: EventStream,
    chunk: Buffer,
  ): void {
    const part = stream.push(chunk);
    if (part.kind === 'gap') {
      this.endAttempt(attempt, 'events are missing');
      attempt.cancel();
      this.handleBrokenAttempt('events are missing in the answer');
      return;
    }
    if (part.count === 0) return;
    attempt.timing?.recordEvents(part.count, this.deps.backends.inFlightAt(attempt.server));
    const { clock, platform } = this.deps.context;
    const limits = limitsBetweenEvents(this.request);
    if (limits) attempt.updateLimits(limits);
    const now = clock.now();
    this.longestGapMs = Math.max(this.longestGapMs, now - (this.lastEventAt ?? now));
    this.lastEventAt = now;
    if (this.firstEventAt === undefined) {
      this.firstEventAt = this.lastEventAt;
      this.deps.queues.recordFirstEvent(this.request, this.firstEventAt - attempt.sentAt);
    }
    relayEvents(this.reply, platform.requests, attempt, response, part.bytes);
  }

  onEnd(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { backends } = this.deps;
    const { server } = attempt;
    if (response.notRun) {
      backends.recordRefusal(attempt.target, response.status);
      this.endAttempt(attempt, `refused with ${response.status}`);
      // The time for which the server is left alone takes the place of a lower rank.
      if (this.deps.availability.cooldownLeftMs(server) === 0) backends.recordResult(server, true);
      this.handleRefusal();
      return;
    }
    if (isValidSuccess(response)) {
      this.endAttempt(attempt, 'answered');
      backends.recordResult(server, false);
      this.completeRequest(attempt, response);
      return;
    }
    this.endAttempt(attempt, `status ${response.status}`);
    backends.recordResult(server, response.status >= 500);
    if (!response.signed || response.encoded) {
      this.handleBrokenAttempt(
        `an answer with status ${response.status} that is not the backend server's`,
      );
      return;
    }
    this.failedAttempt = attempt;
    this.handleBrokenAttempt(
      `the backend server answered ${response.status}`,
      response.status < 500,
    );
  }

  private completeRequest(attempt: TrackedAttempt, response: AttemptResponse): void {
    const { stream, reply } = this;
    const { requests } = this.deps.context.platform;
    if (stream?.hasPartialEvent) {
      this.handleBrokenAttempt('the answer ended within an event');
      return;
    }
    this.deps.quarantine.recordAnswered(this.request.fingerprint);
    if (stream) {
      relayEvents(reply, requests, attempt, response, EMPTY_BUFFER);
      reply.end();
    } else {
      attempt.timing?.recordAnswer();
      sendBuffered(reply, requests, response, Buffer.concat(attempt.body));
    }
    this.finish('answered', `${response.status} by ${response.framing}`);
  }

  onFailure(attempt: TrackedAttempt, failure: AttemptFailure): void {
    const { backends, quarantine } = this.deps;
    this.endAttempt(attempt, failure.reason, failure.kind);
    switch (failure.kind) {
      case 'notSent':
        this.arrivals -= 1;
        backends.suspect(
          attempt.server,
          failure.reason,
          attempt.isRelayed ? 'relayed' : 'unreachable',
        );
        this.handleRefusal();
        break;
      case 'notRelayed':
        this.arrivals -= 1;
        this.handleRefusal();
        break;
      case 'broken':
        // A relayed attempt may have broken off at the relay.
        if (!attempt.isRelayed) backends.recordResult(attempt.server, true);
        quarantine.recordBroken(this.request.fingerprint, attempt.target);
        this.handleBrokenAttempt(failure.reason);
        break;
    }
  }

  onStall(attempt: TrackedAttempt, kind: 'server' | 'response'): void {
    if (!this.isRepeatable || !this.hasAttemptsLeft()) return;
    const { backends, watchdog } = this.deps;
    const { service, model } = this.request;
    if (backends.choose(service, model?.name, this.triedServers) === undefined) return;
    if (!backends.hasRetryLeft(service.name)) return;
    const why = kind === 'server' ? 'nothing moved there' : 'the answer stood still';
    if (this.stream) {
      attempt.cancel();
      this.endAttempt(attempt, why);
    } else {
      // A slow response may still arrive first; its attempt goes on without stall checks.
      watchdog.attempts.delete(attempt);
    }
    this.possibleRuns += 1;
    this.sendNextAttempt(why);
  }

  // --- outcomes ---

  private hasAttemptsLeft(): boolean {
    return this.possibleRuns + 1 < this.request.route.maxAttempts;
  }

  /** The request did not run, so it can be retried even if it must not run twice. */
  private handleRefusal(): void {
    this.refusals += 1;
    if (this.attempts.size > 0) return;
    if (this.refusals > MAX_REFUSALS) {
      this.failRequest('refused everywhere');
      return;
    }
    this.sendNextAttempt('not run');
  }

  /** The request may have run, so it is retried only if it is repeatable. */
  private handleBrokenAttempt(reason: string, isFinal = false): void {
    this.lastFailureReason = reason;
    const canRetry = this.isRepeatable && !isFinal && this.hasAttemptsLeft();
    this.possibleRuns += 1;
    if (this.attempts.size > 0) return;
    if (canRetry) {
      this.sendNextAttempt(reason);
      return;
    }
    this.failRequest(reason);
  }

  private failRequest(reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    const { reply, failedAttempt } = this;
    this.lastFailureReason = reason;
    if (!reply.isUnsent) {
      this.abortStream(reason);
      return;
    }
    if (failedAttempt?.response) {
      const { requests } = this.deps.context.platform;
      sendBuffered(reply, requests, failedAttempt.response, Buffer.concat(failedAttempt.body));
      this.finish('failedThere', reason);
      return;
    }
    if (this.mayHaveRun)
      this.respondWithFailure(createFailure('outcomeUnknown', { reason }), 'failed');
    else {
      const name = this.request.model?.name ?? this.request.service.name;
      this.respondWithFailure(
        createFailure('noCapacity', { name }, retryAfterMs),
        'refused',
        reason,
      );
    }
  }

  /** Fails a quarantined request and cancels attempts, to keep their servers from crashing. */
  private failQuarantined(): void {
    if (this.mayHaveRun || !this.reply.isUnsent) {
      this.failRequest('backend servers end under it');
      return;
    }
    const leftMs = this.deps.quarantine.leftMs(this.request.fingerprint);
    this.respondWithFailure(createFailure('quarantined', undefined, leftMs), 'refused');
  }

  private handleDeadline(): void {
    if (!this.reply.isUnsent) {
      this.abortStream('the deadline has passed');
      return;
    }
    const { mayHaveRun } = this;
    const kind = mayHaveRun ? 'deadlineAfterStart' : 'deadlineBeforeStart';
    this.respondWithFailure(
      createFailure(kind),
      mayHaveRun ? 'failed' : 'refused',
      this.lastFailureReason,
    );
  }

  private abortStream(reason: string): void {
    this.finish('cut', reason);
    this.reply.abort();
  }

  private respondWithFailure(
    failure: Failure,
    outcome: RequestOutcome,
    reason = failure.message,
  ): void {
    this.deps.context.metrics.countError(failure.kind);
    this.reply.sendFailure(failure, this.request.id);
    this.finish(outcome, reason);
  }

  private settleRetry(attempt: TrackedAttempt): void {
    if (!attempt.isUnsettledRetry) return;
    attempt.isUnsettledRetry = false;
    this.deps.backends.settleRetry(this.request.service.name);
  }

  private endAttempt(attempt: TrackedAttempt, how: string, kind = 'ended'): void {
    if (attempt.isEnded) return;
    attempt.isEnded = true;
    this.settleRetry(attempt);
    this.attempts.delete(attempt);
    this.deps.watchdog.attempts.delete(attempt);
    this.deps.backends.recordEnded(attempt.server);
    this.deps.queues.scheduleDispatch();
    this.deps.context.metrics.attempts.inc({ outcome: kind });
    if (how !== 'answered')
      this.log('attemptEnded', {
        server: attempt.server,
        fingerprint: this.request.fingerprint,
        how,
        kind,
      });
  }

  private finish(outcome: RequestOutcome, reason: string): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.wait.leaveQueue();
    this.deps.watchdog.requests.delete(this);
    for (const attempt of [...this.attempts]) {
      attempt.cancel();
      this.endAttempt(attempt, outcome === 'answered' ? 'answered' : outcome);
    }
    const { context, shutdown } = this.deps;
    if (this.attemptCount > 0)
      shutdown.recordDuration(this.request, context.clock.now() - this.startedAt);
    reportEnd(context, this.request, {
      outcome,
      reason,
      attempts: this.attemptCount,
      possibleRuns: this.possibleRuns,
      startedAt: this.startedAt,
      firstEventAt: this.firstEventAt,
      lastEventAt: this.lastEventAt,
      longestGapMs: this.longestGapMs,
      lastEventId: this.stream?.lastEventId,
    });
    this.onFinish();
  }

  private log(
    event: 'requestWaits' | 'attemptEnded',
    values: Record<string, string | number | boolean | undefined>,
  ): void {
    this.deps.context.logger.log(event, { request: this.request.id, ...values });
  }
}

const NO_SERVERS: ReadonlySet<string> = new Set();
const EMPTY_BUFFER = Buffer.alloc(0);

/** Backend servers accept priorities from 0 to 9. */
function clampPriority(priority: number): number {
  return Math.min(9, Math.max(0, Math.round(priority)));
}
