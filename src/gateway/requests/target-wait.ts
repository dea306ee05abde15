/**
 * What happens to one request that has no target now: it queues, waits or is refused.
 */
import { UNKNOWN_RATE_MS } from '../../controllers/waiting/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { GatewayContext } from '../types.js';
import type { BackendTracker } from './backend-tracker.js';
import type { RequestAttempts } from './request-attempts.js';
import type { RequestEnding } from './request-ending.js';
import type { QueueRefusal, RequestQueues } from './request-queues.js';
import { RequestWait } from './request-wait.js';
import type { AdmittedRequest } from './types.js';

/** What the waits of all requests share. */
export interface TargetWaitDependencies {
  context: GatewayContext;
  backends: BackendTracker;
  links: Pick<LinkMonitor, 'isOutOfReach'>;
  queues: RequestQueues;
}

/** Callers that are told to wait for the same moment are spread over this time after it. */
const RETURN_SPREAD_MS: Milliseconds = 500;
/** Logged reasons; `yuccasail explain` and `diagnose` match these texts. */
const EVACUATED_REASON = 'all its failure domains are evacuated';
const NO_RETRY_REASON = 'no repeats left';
const ALL_COLD_REASON = 'all targets are cold';
const NO_SERVERS: ReadonlySet<string> = new Set();

/** Holds one request until a target is found, or refuses it. */
export class TargetWait {
  private readonly wait: RequestWait;
  /** It waits for the retry budget, and targets are known. */
  private isForRetry = false;

  /** `sendNext` sends the next attempt, for the given reason, to a target that it chooses. */
  constructor(
    private readonly request: AdmittedRequest,
    private readonly attempts: RequestAttempts,
    private readonly ending: RequestEnding,
    private readonly deps: TargetWaitDependencies,
    private readonly sendNext: (why: string) => void,
  ) {
    this.wait = new RequestWait(request, deps.queues);
  }

  get isQueued(): boolean {
    return this.wait.isQueued;
  }

  /** A target was found. */
  end(): void {
    this.wait.endTargetWait();
    this.isForRetry = false;
  }

  /** Ends all waiting, as the request has ended. */
  handleRequestEnd(): void {
    this.wait.end();
  }

  /** Whether others wait for the permits of cold targets, which it must not take from them. */
  get isBehindOthers(): boolean {
    const { attempts, deps, request, wait } = this;
    if (request.model !== undefined || attempts.sent > 0 || wait.isWaiting) return false;
    return deps.queues.countWaiting(request) > 0 && this.coldWaitMs() !== undefined;
  }

  /** Handles that all targets are full, or that there is none, when an attempt is due. */
  handleNoTarget(why: 'allFull' | 'none', attemptReason: string): void {
    if (this.failIfNoneCanServe()) return;
    switch (why) {
      case 'allFull':
        this.enqueue(attemptReason);
        break;
      case 'none':
        this.waitForTarget(attemptReason);
        break;
    }
  }

  /**
   * Handles that a target is known but the retry budget is used up. The request waits if recent requests
   * will have earned a retry by the end of its wait, and is refused at once otherwise.
   */
  handleNoRetry(attemptReason: string): void {
    const { request, deps, wait, attempts } = this;
    if (attempts.isAnyInFlight || this.failIfNoneCanServe()) return;
    const now = deps.context.clock.now();
    if (deps.backends.retryWaitMs(request.service.name) > wait.waitLeftMs(now)) {
      this.ending.fail(NO_RETRY_REASON);
      return;
    }
    this.isForRetry = true;
    if (wait.startTargetWait(now)) this.logWait(attemptReason);
  }

  onTick(now: Milliseconds): void {
    if (this.attempts.isAnyInFlight) return;
    // While it waits for the budget it does not look for targets, so it has to notice their loss here.
    if (this.isForRetry && this.failIfNoneCanServe()) return;
    const { wait, deps, request } = this;
    const mayTry = !this.isForRetry || deps.backends.hasRetryLeft(request.service.name);
    if (mayTry && wait.canRetry(now)) this.sendNext('waited');
    this.checkTimeout(now);
  }

  private checkTimeout(now: Milliseconds): void {
    if (this.ending.isFinished || this.attempts.isAnyInFlight) return;
    if (this.wait.hasTimedOut(now)) this.ending.fail(this.timeoutReason);
  }

  private get timeoutReason(): string {
    if (this.isForRetry) return NO_RETRY_REASON;
    return this.coldWaitMs() === undefined ? 'no target in time' : ALL_COLD_REASON;
  }

  private enqueue(why: string): void {
    if (this.wait.isQueued) return;
    this.logWait('no room');
    this.wait.enqueue({
      trySend: () => this.trySend(why),
      reject: (refusal) => {
        this.refuseQueued(refusal);
      },
    });
  }

  private refuseQueued({ isShareUsed, freeInMs }: QueueRefusal): void {
    const { workspace = '' } = this.request;
    this.wait.leaveQueue();
    this.countQueued(isShareUsed ? 'refusedOverShare' : 'refused');
    const reason = isShareUsed ? `the share of workspace ${workspace} was used` : 'no room in time';
    this.ending.fail(reason, this.ending.drawRetryAfter(freeInMs));
  }

  private countQueued(outcome: 'sent' | 'refused' | 'refusedOverShare'): void {
    const { metrics } = this.deps.context;
    const workspace = metrics.workspaceLabel(this.request.workspace ?? '');
    metrics.queued.inc({ workspace, outcome });
  }

  /** Called when it is first in its queue; returns false when all targets are full. */
  private trySend(why: string): boolean {
    if (this.attempts.chooseTarget(true) === 'allFull') return this.failIfNoneCanServe();
    this.sendNext(why);
    this.wait.leaveQueue();
    if (this.attempts.isAnyInFlight) this.countQueued('sent');
    return true;
  }

  private failIfNoneCanServe(): boolean {
    return (
      this.failIfEvacuated() ||
      this.failIfOutOfReach() ||
      this.failIfAllCoolDown() ||
      this.failIfAllCold()
    );
  }

  /** Fails the request at once if operators have evacuated all failure domains with servers for it. */
  private failIfEvacuated(): boolean {
    const { request, deps, attempts } = this;
    if (attempts.isAnyInFlight || !deps.backends.isEvacuated(request.service)) return false;
    this.ending.fail(EVACUATED_REASON, UNKNOWN_RATE_MS + this.drawSpread(), 'evacuated');
    return true;
  }

  /** Fails the request at once if no gateway reaches the service. */
  private failIfOutOfReach(): boolean {
    const { request, deps, attempts } = this;
    if (attempts.isAnyInFlight || !deps.links.isOutOfReach(request.service.name)) return false;
    this.ending.fail('no gateway reaches the service', UNKNOWN_RATE_MS + this.drawSpread());
    return true;
  }

  /** Fails the request at once if all its targets are cooling down for longer than it may wait. */
  private failIfAllCoolDown(): boolean {
    const { request, deps, attempts } = this;
    if (attempts.isAnyInFlight) return false;
    const leftMs = deps.backends.cooldownLeftMs(request.service, request.model?.name, NO_SERVERS);
    const waitLeftMs = this.wait.waitLeftMs(deps.context.clock.now());
    if (leftMs === undefined || leftMs <= waitLeftMs) return false;
    this.ending.fail('all targets are cooling down', leftMs + this.drawSpread());
    return true;
  }

  /** Fails the request at once if all its targets are cold and none may get it in time. */
  private failIfAllCold(): boolean {
    const waitMs = this.coldWaitMs();
    if (waitMs === undefined) return false;
    const { clock, metrics } = this.deps.context;
    if (waitMs <= this.wait.waitLeftMs(clock.now())) return false;
    metrics.coldHeldBack.inc({ outcome: 'refused' });
    // Another gateway may send to them sooner.
    this.ending.fail(ALL_COLD_REASON, Math.min(waitMs, UNKNOWN_RATE_MS) + this.drawSpread());
    return true;
  }

  private coldWaitMs(): Milliseconds | undefined {
    const { request, deps, attempts, wait } = this;
    if (attempts.isAnyInFlight) return undefined;
    const excluded = attempts.isRepeatable ? NO_SERVERS : attempts.triedServers;
    const ahead = wait.isQueued || wait.isWaiting ? 0 : deps.queues.countWaiting(request);
    return deps.backends.coldWaitMs(request.service, request.model?.name, excluded, ahead);
  }

  private drawSpread(): Milliseconds {
    return this.deps.context.random.fraction() * RETURN_SPREAD_MS;
  }

  private waitForTarget(why: string): void {
    const { attempts } = this;
    if (attempts.isAnyInFlight) return;
    const now = this.deps.context.clock.now();
    this.isForRetry = false;
    if (this.wait.startTargetWait(now)) this.logWait(why);
    if (attempts.triedServers.size > 0) this.wait.delayRetry(now);
    // Whatever is retried may be sent to the same servers again: it did not run there, or may run twice.
    attempts.triedServers.clear();
  }

  private logWait(why: string): void {
    const { id, service, model } = this.request;
    const { context, backends } = this.deps;
    if (this.coldWaitMs() !== undefined) context.metrics.coldHeldBack.inc({ outcome: 'waits' });
    context.logger.log('requestWaits', {
      request: id,
      why,
      targets: backends.countTargets(service, model?.name),
      tried: this.attempts.triedServers.size,
    });
  }
}
