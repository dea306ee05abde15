/**
 * Tracks load, stalls and failures of the backend servers and chooses targets for requests.
 */
import { returnShare, returnSlots } from '../../controllers/evacuation/index.js';
import {
  chooseTarget,
  chooseWithCold,
  createTargetDirectory,
  drawTarget,
  sampleTargets,
  FailureRates,
  IncarnationTable,
  ProgressTracker,
  refusalKindOf,
  RefusalTable,
  RetryBudget,
  evaluateAll,
  SuspicionTable,
  type ServingFleet,
  type Target,
  type TargetDirectory,
  type TargetState,
} from '../../controllers/forwarding/index.js';
import {
  ServerLimits,
  type FleetMembers,
  type LimitReport,
} from '../../controllers/quotas/index.js';
import { hasRoom } from '../../controllers/waiting/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, RateLimit, ServingService } from '../../ports/index.js';
import { NO_COLD_SERVERS, type ColdServerLimits } from '../backends/cold-servers.js';
import type { ServerAvailability } from '../backends/server-availability.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { LinkEvidence } from '../links/types.js';
import type { GatewayContext } from '../types.js';
import { estimateColdWait, isColdTarget, listColdStates } from './cold-targets.js';
import type { SpeedTracker } from './speed-tracker.js';

/** A chosen target with the state that it was chosen by. */
export interface ChosenTarget extends TargetState {
  /** Number of targets that were compared. */
  candidates: number;
}

/** What the tracker needs to know of the links to the servers. */
export type TrackedLinks = Pick<
  LinkMonitor,
  'areOthersHeard' | 'investigate' | 'isInReach' | 'isLost'
>;

/** This gateway's view of all backend servers. */
export interface BackendTracker {
  /**
   * Returns the best target that is neither excluded nor suspected nor leaving, and may get a request
   * now. With `requiresCapacity` it must be able to start the request almost immediately.
   */
  choose(
    service: ServingService,
    model: string | undefined,
    excluded: ReadonlySet<string>,
    requiresCapacity?: boolean,
  ): ChosenTarget | undefined;
  /** Whether any target is neither excluded nor suspected, even if it may get no request now. */
  hasTarget(
    service: ServingService,
    model: string | undefined,
    excluded: ReadonlySet<string>,
  ): boolean;
  /**
   * Time until the first cooldown of a target that is not excluded ends; undefined if one of these targets
   * has none, or if there is no such target.
   */
  cooldownLeftMs(
    service: ServingService,
    model: string | undefined,
    excluded: ReadonlySet<string>,
  ): Milliseconds | undefined;
  /** Whether all servers of the service are in evacuated failure domains. */
  isEvacuated(service: ServingService): boolean;
  /**
   * Time until a request that `ahead` others precede may be sent, if all targets that are not excluded
   * are cold; undefined otherwise.
   */
  coldWaitMs(
    service: ServingService,
    model: string | undefined,
    excluded: ReadonlySet<string>,
    ahead: number,
  ): Milliseconds | undefined;
  /** The number of all targets, including suspected ones. */
  countTargets(service: ServingService, model: string | undefined): number;
  /** Counts an attempt as in flight. */
  recordSent(server: string): void;
  /** Ends an attempt; one to a previous process of the server first, if any is still in flight. */
  recordEnded(server: string): void;
  inFlight(): ReadonlyMap<string, number>;
  /** Requests of all gateways in flight at the server, as far as is known. */
  inFlightAt(server: string): number;
  /** Whether an attempt sent at `sentAt` went to a previous process of the server. */
  isPreviousProcess(server: string, sentAt: Milliseconds): boolean;
  /** Records that data arrived from the server, and clears a suspicion of it. */
  recordProgress(server: string): void;
  lastProgressAt(server: string): Milliseconds;
  /** Records that anything arrived from the server, refusals included. */
  recordContact(server: string): void;
  lastContactAt(server: string): Milliseconds;
  /**
   * Marks the server as suspected of being stalled; `evidence` is logged. Peers are told once a lost
   * link is ruled out, and not at all if the evidence comes from an attempt that another gateway relayed.
   */
  suspect(server: string, evidence: string, kind: LinkEvidence | 'relayed'): void;
  /** Adopts a peer's suspicion; returns false if it is known or outdated. */
  adoptPeerSuspicion(server: string, ageMs: Milliseconds, leftMs: Milliseconds): boolean;
  /** Records what an answer to an attempt sent at `sentAt` says of the server's rate limit. */
  recordRateLimit(server: string, limit: RateLimit, sentAt: Milliseconds): void;
  /** Adopts a peer's observation of a rate limit, or that a server is cold. */
  adoptRateLimit(report: LimitReport, peer: string): void;
  /** This gateway's observations of rate limits and cold servers, for peers. */
  listRateLimits(): LimitReport[];
  /** Records that the server refused an attempt unrun, with `status`. */
  recordRefusal(server: BackendServer, status: number): void;
  /** Records the result of an attempt for the failure rate. */
  recordResult(server: string, failed: boolean): void;
  /** Counts a request towards the retry budget of its service. */
  recordRequest(service: string): void;
  /** Whether a request was accepted for forwarding since the start. */
  hasServed(): boolean;
  /** Takes one retry of `request` from the budget; returns false if it is exhausted. */
  takeRetry(service: string, request: string): boolean;
  /** Records that a retry has arrived at its server, or never will. */
  settleRetry(service: string): void;
  hasRetryLeft(service: string): boolean;
  /** Time after which a retry should be left at the rate of recent requests; may be infinite. */
  retryWaitMs(service: string): Milliseconds;
  suspicions: SuspicionTable;
  /** Called with each server that has restarted under its id. */
  onRestart(listener: (server: string) => void): void;
  /** Called when an answer has shown that a server's rate limit has changed, or that it is cold. */
  onRateLimitChange(listener: () => void): void;
  /** Called with each server that this gateway newly suspects. */
  onSuspicion(listener: (server: string) => void): void;
}

export function createBackendTracker(
  context: GatewayContext,
  members: FleetMembers,
  availability: ServerAvailability,
  links: TrackedLinks,
  cold: ColdServerLimits = NO_COLD_SERVERS,
  speeds?: Pick<SpeedTracker, 'describe'>,
): BackendTracker {
  const { board, clock, random, logger, metrics, settings } = context;
  const inFlightCounts = new Map<string, number>();
  /**
   * Attempts in flight to previous processes, by server id. While there are any, events can't be
   * attributed to the current process with the same id and are ignored.
   */
  const previousInFlight = new Map<string, number>();
  /** Servers whose last such attempt has just ended and whose result may still be reported. */
  const justEnded = new Set<string>();
  const processes = new IncarnationTable();
  const progress = new ProgressTracker();
  const contacts = new ProgressTracker();
  const suspicions = new SuspicionTable();
  const failures = new FailureRates();
  const limits = new ServerLimits(members);
  const refusals = new RefusalTable();
  const retryBudgets = new Map<string, RetryBudget>();
  let hasForwarded = false;
  const suspicionListeners: ((server: string) => void)[] = [];
  const limitListeners: (() => void)[] = [];
  const restartListeners: ((server: string) => void)[] = [];
  const createDirectory = (): TargetDirectory =>
    createTargetDirectory(board.fleet.read(), settings.failureDomain, board.evacuations.read());
  let directory = createDirectory();
  board.evacuations.subscribe(() => {
    directory = createDirectory();
  });
  let previousFleet = board.fleet.read();
  processes.update(previousFleet.servers.keys(), previousFleet.servers, clock.now());
  board.fleet.subscribe(() => {
    const fleet = board.fleet.read();
    const { changed, servers } = fleet;
    for (const server of processes.update(changed, servers, clock.now())) handleRestart(server);
    clearMovedSuspicions(fleet);
    for (const server of changed) {
      if (servers.has(server)) continue;
      progress.forget(server);
      contacts.forget(server);
      failures.forget(server);
      limits.forget(server);
      refusals.forget(server);
    }
    previousFleet = fleet;
    directory = createDirectory();
  });

  /** Discards everything known about the previous process. */
  const handleRestart = (server: string): void => {
    const previousCount = (previousInFlight.get(server) ?? 0) + (inFlightCounts.get(server) ?? 0);
    if (previousCount > 0) previousInFlight.set(server, previousCount);
    inFlightCounts.delete(server);
    progress.forget(server);
    failures.forget(server);
    limits.forget(server);
    suspicions.clear(server, clock.now());
    logger.log('serverRestarted', { server, formerInFlight: previousCount });
    for (const listener of restartListeners) listener(server);
  };
  const decrement = (counts: Map<string, number>, server: string): void => {
    const left = (counts.get(server) ?? 1) - 1;
    if (left > 0) counts.set(server, left);
    else counts.delete(server);
  };
  const endPreviousAttempt = (server: string): void => {
    decrement(previousInFlight, server);
    if (previousInFlight.has(server)) return;
    justEnded.add(server);
    queueMicrotask(() => justEnded.delete(server));
  };
  /** Whether an event of the server may come from a previous process. */
  const isAmbiguous = (server: string): boolean =>
    previousInFlight.has(server) || justEnded.has(server);
  /** Clears suspicions of servers that have moved to another replica. */
  const clearMovedSuspicions = (fleet: ServingFleet): void => {
    const now = clock.now();
    for (const { server } of suspicions.listAll(now)) {
      const previousGroup = previousFleet.servers.get(server)?.engine?.membership?.group;
      if (fleet.servers.get(server)?.engine?.membership?.group !== previousGroup) {
        suspicions.clear(server, now);
      }
    }
  };
  /**
   * Requests of all gateways in flight at the server. Gateways that have not reported yet count as
   * having as many as this one: after a common restart each would otherwise claim all slots.
   */
  const estimateInFlight = (server: string): number => {
    const { byServer, unheard } = board.peerLoad.read();
    return (inFlightCounts.get(server) ?? 0) * (1 + unheard) + (byServer.get(server) ?? 0);
  };
  /** Fewer than usual for a while after an evacuation: both its weight and its room follow from them. */
  const usableSlots = (server: BackendServer, service: ServingService): number => {
    const slots = service.engine?.slots ?? server.slots;
    const evacuations = board.evacuations.read();
    if (evacuations === undefined || evacuations.endedAt.size === 0) return slots;
    return returnSlots(slots, returnShare(evacuations, server.failureDomain, clock.now()));
  };
  const describeTarget = (target: Target, service: ServingService): TargetState => ({
    target,
    inFlight: estimateInFlight(target.server.id),
    slots: usableSlots(target.server, service),
    // In a small fleet, each gateway sees most of the load, and stalls show slow servers early.
    ...(board.peerLoad.read().isLate && speeds?.describe(target, service)),
    isRemote: target.server.failureDomain !== settings.failureDomain,
    failureRate: failures.rateOf(target.server.id),
  });
  const isUsable = (target: Target, now: Milliseconds): boolean =>
    target.members.every(
      (member) => !suspicions.isSuspect(member, now) && !availability.isLeaving(member),
    );
  /** Whether it is neither excluded nor suspected nor leaving, even if it may get nothing now. */
  const isPossible = (target: Target, excluded: ReadonlySet<string>, now: Milliseconds): boolean =>
    !excluded.has(target.server.id) && isUsable(target, now) && links.isInReach(target.server);
  const share = (server: string): void => {
    if (!suspicions.confirm(server, clock.now())) return;
    for (const listener of suspicionListeners) listener(server);
  };
  const investigate = async (server: string, evidence: LinkEvidence): Promise<void> => {
    // While others are heard, the server is probably at fault, and peers are to know soon.
    if (evidence === 'silent' && links.areOthersHeard(server)) share(server);
    const verdict = await links.investigate(server, evidence);
    switch (verdict) {
      case 'server':
        share(server);
        return;
      case 'link':
        suspicions.clear(server, clock.now());
        failures.forget(server);
        return;
      case 'unclear':
        return;
    }
  };
  /** Evidence from before or during a cut says nothing of the servers behind it. */
  const discardEvidence = (services: readonly string[]): void => {
    const now = clock.now();
    for (const { server } of suspicions.listAll(now)) {
      const service = board.fleet.read().servers.get(server)?.service;
      if (service === undefined || !services.includes(service)) continue;
      suspicions.clear(server, now);
      failures.forget(server);
    }
  };
  let cutOffServices: readonly string[] = [];
  board.cutOffServices.subscribe(() => {
    const before = cutOffServices;
    cutOffServices = board.cutOffServices.read();
    const differs = (service: string): boolean =>
      before.includes(service) !== cutOffServices.includes(service);
    discardEvidence([...before, ...cutOffServices].filter(differs));
  });
  const logLimit = (server: string, peer?: string): void => {
    const perSecond = limits.limitOf(server, clock.now());
    const values = { server, ...(peer !== undefined && { peer }) };
    if (perSecond === undefined) logger.log('serverLimitEnded', values);
    else logger.log('serverLimitNamed', { ...values, perSecond });
  };
  const retryShare = (): number => members.share(clock.now(), settings.retries.windowMs);
  const retryBudgetOf = (service: string): RetryBudget => {
    const existing = retryBudgets.get(service);
    if (existing) return existing;
    const created = new RetryBudget(settings.retries);
    retryBudgets.set(service, created);
    return created;
  };

  return {
    choose: (service, model, excluded, requiresCapacity = false) => {
      const now = clock.now();
      const targets = directory.find(service, model);
      const isAnyCold = cold.isAnyCold();
      let avoidsRefusing = !refusals.isEmpty;
      const evaluate = (target: Target): TargetState | undefined => {
        const { id } = target.server;
        if (avoidsRefusing && refusals.isRefusing(target.server, now)) return undefined;
        if (!isPossible(target, excluded, now)) return undefined;
        if (availability.cooldownLeftMs(id) > 0 || !limits.hasPermit(id, now)) return undefined;
        const state = describeTarget(target, service);
        return requiresCapacity && !hasRoom(state) ? undefined : state;
      };
      const { isLate } = board.peerLoad.read();
      const evaluateWarm = isAnyCold
        ? (target: Target) => (isColdTarget(cold, target) ? undefined : evaluate(target))
        : evaluate;
      const listWarmStates = (): TargetState[] =>
        isLate ? sampleTargets(targets, evaluateWarm, random) : evaluateAll(targets, evaluateWarm);
      let states = listWarmStates();
      if (states.length === 0 && avoidsRefusing) {
        avoidsRefusing = false;
        states = listWarmStates();
      }
      const warm = isLate ? drawTarget(states, random) : chooseTarget(states, random);
      const chosen = isAnyCold
        ? chooseWithCold(warm, listColdStates(cold, targets, evaluate), random)
        : warm;
      return chosen && { ...chosen, candidates: states.length };
    },
    hasTarget: (service, model, excluded) => {
      const now = clock.now();
      const { near, far } = directory.find(service, model);
      const isOne = (target: Target): boolean => isPossible(target, excluded, now);
      return near.some(isOne) || far.some(isOne);
    },
    cooldownLeftMs: (service, model, excluded) => {
      const now = clock.now();
      const { near, far } = directory.find(service, model);
      let soonestMs = Infinity;
      for (const target of near.concat(far)) {
        if (!isPossible(target, excluded, now)) continue;
        const leftMs = availability.cooldownLeftMs(target.server.id);
        if (leftMs === 0) return undefined;
        soonestMs = Math.min(soonestMs, leftMs);
      }
      return soonestMs === Infinity ? undefined : soonestMs;
    },
    isEvacuated: (service) => directory.isEvacuated(service),
    coldWaitMs: (service, model, excluded, ahead) => {
      const now = clock.now();
      const query = {
        targets: directory.find(service, model),
        isPossible: (target: Target) => isPossible(target, excluded, now),
      };
      return estimateColdWait(cold, query, ahead);
    },
    countTargets: (service, model) => {
      const { near, far } = directory.find(service, model);
      return near.length + far.length;
    },
    recordSent: (server) => {
      inFlightCounts.set(server, (inFlightCounts.get(server) ?? 0) + 1);
      limits.recordSent(server);
      cold.recordSent(server);
    },
    recordEnded: (server) => {
      if (previousInFlight.has(server)) endPreviousAttempt(server);
      else decrement(inFlightCounts, server);
      if (!inFlightCounts.has(server) && !previousInFlight.has(server)) cold.recordIdle(server);
    },
    inFlight: () => inFlightCounts,
    inFlightAt: estimateInFlight,
    isPreviousProcess: (server, sentAt) => sentAt < processes.since(server),
    recordProgress: (server) => {
      if (isAmbiguous(server)) return;
      const now = clock.now();
      progress.record(server, now);
      if (suspicions.clear(server, now)) logger.log('suspicionCleared', { server });
    },
    lastProgressAt: (server) => progress.lastProgress(server),
    recordContact: (server) => {
      contacts.record(server, clock.now());
      cold.recordContact(server);
    },
    lastContactAt: (server) => contacts.lastProgress(server),
    suspect: (server, evidence, kind) => {
      if (isAmbiguous(server)) return;
      // What fails over a lost link says nothing of the server.
      if (kind !== 'relayed' && links.isLost(server)) return;
      if (!suspicions.suspect(server, clock.now())) return;
      metrics.suspicions.inc();
      logger.log('serverSuspected', { server, evidence });
      if (kind !== 'relayed') void investigate(server, kind);
    },
    adoptPeerSuspicion: (server, ageMs, leftMs) => {
      const now = clock.now();
      const suspectedAt = now - ageMs;
      if (progress.lastProgress(server) > suspectedAt || suspectedAt < processes.since(server))
        return false;
      return suspicions.recordFromPeer(server, ageMs, leftMs, now);
    },
    recordRateLimit: (server, limit, sentAt) => {
      if (isAmbiguous(server)) return;
      if (!limits.observe(server, limit, sentAt, clock.now())) return;
      logLimit(server);
      for (const listener of limitListeners) listener();
    },
    adoptRateLimit: (report, peer) => {
      if (!board.fleet.read().servers.has(report.server)) return;
      if (report.coldForMs !== undefined) cold.adopt(report, peer);
      else if (limits.adopt(report, clock.now())) logLimit(report.server, peer);
    },
    listRateLimits: () => [...limits.report(clock.now()), ...cold.report()],
    recordRefusal: (server, status) => {
      const kind = refusalKindOf(status);
      if (kind !== undefined) refusals.record(server, kind, clock.now());
    },
    recordResult: (server, failed) => {
      if (!isAmbiguous(server)) failures.record(server, failed);
    },
    hasServed: () => hasForwarded,
    recordRequest: (service) => {
      hasForwarded = true;
      retryBudgetOf(service).recordRequest(clock.now());
    },
    takeRetry: (service, request) => {
      const share = retryShare();
      const budget = retryBudgetOf(service);
      const isTaken = budget.take(clock.now(), share);
      metrics.retries.inc({ service, outcome: isTaken ? 'allowed' : 'denied' });
      if (!isTaken) {
        const usage = budget.usage(clock.now(), share);
        logger.log('retryDenied', { request, service, share, members: members.size, ...usage });
      }
      return isTaken;
    },
    settleRetry: (service) => {
      retryBudgetOf(service).settle(clock.now());
    },
    retryWaitMs: (service) => retryBudgetOf(service).waitMs(clock.now(), retryShare()),
    hasRetryLeft: (service) => retryBudgetOf(service).hasLeft(clock.now(), retryShare()),
    suspicions,
    onRestart: (listener) => {
      restartListeners.push(listener);
    },
    onRateLimitChange: (listener) => {
      limitListeners.push(listener);
      cold.onNews(listener);
    },
    onSuspicion: (listener) => {
      suspicionListeners.push(listener);
    },
  };
}
