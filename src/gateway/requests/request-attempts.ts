/**
 * The attempts of one request: where the next one goes, and which are in flight.
 */
import { isRepeatable, type EventStream } from '../../controllers/forwarding/index.js';
import { minUsefulMs } from '../../controllers/waiting/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { InputFirstQueue } from '../../core/pending-input/index.js';
import type { AnswerBudget } from '../../core/responses/index.js';
import type { AttemptSender } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import type { BackendTracker, ChosenTarget } from './backend-tracker.js';
import { reportAttempt } from './request-report.js';
import type { RequestQueues } from './request-queues.js';
import type { ShutdownPolicy } from './shutdown.js';
import type { SpeedTracker } from './speed-tracker.js';
import { limitsBeforeFirstEvent } from './stall-limits.js';
import { TrackedAttempt, type AttemptOwner } from './tracked-attempt.js';
import type { AdmittedRequest } from './types.js';
import type { Watchdog } from './watchdog.js';

/** What the attempts of all requests share. */
export interface AttemptDependencies {
  context: GatewayContext;
  backends: BackendTracker;
  watchdog: Watchdog;
  send: AttemptSender;
  shutdown: ShutdownPolicy;
  queues: RequestQueues;
  speeds: Pick<SpeedTracker, 'time'>;
  answers: AnswerBudget;
  /** What sends for callers begins here. */
  inputFirst: Pick<InputFirstQueue, 'add' | 'unreadMs'>;
}

/** Parts of one buffered response; each costs processor time, however small it is. */
const MAX_PARTS = 65_536;
/** Subtracted from the time that a backend server gets, for relaying its response. */
const DEADLINE_MARGIN_MS: Milliseconds = 5;

/** Chooses targets for one request and keeps its attempts. */
export class RequestAttempts {
  /** Servers that the request is not sent to again. */
  readonly triedServers = new Set<string>();
  private readonly inFlight = new Set<TrackedAttempt>();
  /** Ended attempts that a backend server may have executed. */
  private possibleRunCount = 0;
  private sentCount = 0;
  /** Attempts that have arrived at a backend server or may still do so. */
  private arrivals = 0;
  /** Bytes of all its responses that are kept until it ends. */
  private bufferedBytes = 0;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly stream: EventStream | undefined,
    private readonly deps: AttemptDependencies,
  ) {}

  get sent(): number {
    return this.sentCount;
  }

  get possibleRuns(): number {
    return this.possibleRunCount;
  }

  get isAnyInFlight(): boolean {
    return this.inFlight.size > 0;
  }

  /** Whether another gateway relays one that is in flight. */
  get isAnyRelayed(): boolean {
    return [...this.inFlight].some(({ isRelayed }) => isRelayed);
  }

  /** How long attempts in flight have been without a response, the longest of them; 0 if all have one. */
  get unansweredMs(): Milliseconds {
    const now = this.deps.context.clock.now();
    const waits = [...this.inFlight]
      .filter(({ response }) => response === undefined)
      .map(({ sentAt }) => now - sentAt);
    return Math.max(0, ...waits);
  }

  get isRepeatable(): boolean {
    return isRepeatable(this.request.route);
  }

  /** Whether the route allows another attempt after one more that may have been executed. */
  get hasRunsLeft(): boolean {
    return this.possibleRunCount + 1 < this.request.route.maxAttempts;
  }

  /** Whether a backend server may have executed the request. */
  get mayHaveRun(): boolean {
    return this.possibleRunCount > 0 || this.isAnyInFlight;
  }

  /**
   * Time that a backend server gets for an attempt. Ends before a shutdown does, so that the server
   * gives up by itself with a proper response instead of being disconnected.
   */
  get budgetMs(): Milliseconds {
    const { context, shutdown } = this.deps;
    const endsAt = Math.min(this.request.deadline, shutdown.responseDeadline());
    return endsAt - context.clock.now() - DEADLINE_MARGIN_MS;
  }

  /**
   * Chooses a target, or `allFull` if the request has to queue. Only a request for a model queues that
   * no replica may have run: after a break or stall little time is left. Without any replica, queueing
   * would not help.
   */
  chooseTarget(isQueued: boolean): ChosenTarget | 'allFull' | undefined {
    const { request, deps, triedServers } = this;
    const { service, model } = request;
    const { backends, queues } = deps;
    if (this.mayHaveRun || model === undefined)
      return backends.choose(service, model?.name, triedServers);
    const mustQueue = !isQueued && queues.hasQueued(request);
    const withCapacity = mustQueue
      ? undefined
      : backends.choose(service, model.name, triedServers, true);
    if (withCapacity) return withCapacity;
    return backends.hasTarget(service, model.name, triedServers) ? 'allFull' : undefined;
  }

  /** Whether a target is left for another attempt that may get it now. */
  hasOtherTarget(): boolean {
    const { service, model } = this.request;
    return this.deps.backends.choose(service, model?.name, this.triedServers) !== undefined;
  }

  /** Whether what is left is enough for an answer of use. */
  get hasUsefulTimeLeft(): boolean {
    return this.budgetMs >= this.minUsefulMs;
  }

  private get minUsefulMs(): Milliseconds {
    const { request, deps } = this;
    return minUsefulMs(request.route.targetMs, deps.queues.expectedFirstEventMs(request));
  }

  /** Takes a retry from the budget if the next attempt is one; returns false if none is left. */
  takeRetry(): boolean {
    if (this.arrivals === 0) return true;
    return this.deps.backends.takeRetry(this.request.service.name, this.request.id);
  }

  start(chosen: ChosenTarget, why: string, owner: AttemptOwner): void {
    const { request, deps, stream } = this;
    const { server } = chosen.target;
    this.triedServers.add(server.id);
    this.sentCount += 1;
    const leftMs = this.budgetMs;
    const sendUntil = this.lastSendTime(leftMs);
    const lastEventId = stream ? stream.lastEventId : request.caller.lastEventId;
    reportAttempt(deps.context, request, chosen, {
      why,
      attempt: this.sentCount,
      leftMs,
      lastEventId,
      lateMs: deps.watchdog.latenessMs(),
      unreadMs: deps.inputFirst.unreadMs,
    });
    deps.backends.recordSent(server.id);
    deps.queues.recordSent(request);
    stream?.startRun();
    const limits = limitsBeforeFirstEvent(
      request,
      chosen,
      deps.queues.expectedFirstEventMs(request),
    );
    const attempt = new TrackedAttempt(server, limits, owner, deps.context.clock);
    attempt.timing = deps.speeds.time(request, chosen, attempt, lastEventId !== undefined);
    attempt.isUnsettledRetry = this.arrivals > 0;
    this.arrivals += 1;
    this.inFlight.add(attempt);
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
      sendUntil,
    });
  }

  /**
   * The last moment to send the next attempt, which a shutdown moves forward while the connection opens.
   * A repeat of one that may have run is bound by the time that it needs alone, as when it is chosen.
   */
  private lastSendTime(leftMs: Milliseconds): () => Milliseconds {
    const { request, deps, mayHaveRun } = this;
    const usefulUntil = deps.context.clock.now() + leftMs - this.minUsefulMs;
    if (mayHaveRun) return () => usefulUntil;
    return () => Math.min(usefulUntil, deps.shutdown.latestStart(request));
  }

  /** Keeps a part of a response that is sent once it is complete. */
  buffer(attempt: TrackedAttempt, chunk: Buffer): 'progress' | 'endless' {
    if (attempt.bodyParts >= MAX_PARTS) return 'endless';
    if (!this.deps.answers.take(chunk.length, this.bufferedBytes)) return 'endless';
    this.bufferedBytes += chunk.length;
    attempt.bodyParts += 1;
    attempt.body.push(chunk);
    return 'progress';
  }

  /** Called when the request has ended. */
  releaseBuffers(): void {
    this.deps.answers.release(this.bufferedBytes);
    this.bufferedBytes = 0;
  }

  /** Records that nothing of an attempt has arrived at its server. */
  recordNotArrived(): void {
    this.arrivals -= 1;
  }

  /** Records that an attempt may have been executed. */
  recordPossibleRun(): void {
    this.possibleRunCount += 1;
  }

  /** Records that a retry has arrived at its server, or never will. */
  settleRetry(attempt: TrackedAttempt): void {
    if (!attempt.isUnsettledRetry) return;
    attempt.isUnsettledRetry = false;
    this.deps.backends.settleRetry(this.request.service.name);
  }

  end(attempt: TrackedAttempt, how: string, kind = 'ended'): void {
    if (attempt.isEnded) return;
    const { request, deps } = this;
    attempt.isEnded = true;
    this.settleRetry(attempt);
    this.inFlight.delete(attempt);
    deps.watchdog.attempts.delete(attempt);
    deps.backends.recordEnded(attempt.server);
    deps.queues.scheduleDispatch();
    deps.context.metrics.attempts.inc({ outcome: kind });
    if (how === 'answered') return;
    deps.context.logger.log('attemptEnded', {
      request: request.id,
      server: attempt.server,
      fingerprint: request.fingerprint,
      parts: request.caller.sharedParts?.join(),
      how,
      kind,
      writtenAfterMs: roundIfKnown(attempt.writtenAfterMs),
    });
  }

  /** Cancels and ends the attempts in flight. */
  cancelAll(how: string): void {
    for (const attempt of [...this.inFlight]) {
      attempt.cancel();
      this.end(attempt, how);
    }
  }
}

function roundIfKnown(ms: Milliseconds | undefined): Milliseconds | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Backend servers accept priorities from 0 to 9. */
function clampPriority(priority: number): number {
  return Math.min(9, Math.max(0, Math.round(priority)));
}
