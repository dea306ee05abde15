/**
 * What the request path knows of the backend servers: load, stalls, failures; and its choice.
 */
import {
  chooseTarget,
  createTargetDirectory,
  drawTargets,
  FailureRates,
  LifeTable,
  ProgressTracker,
  RepeatBudget,
  reviewAll,
  SuspicionTable,
  type ServingFleet,
  type Target,
  type TargetDirectory,
  type TargetState,
} from '../../controllers/forwarding/index.js';
import { hasRoom } from '../../controllers/waiting/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServingService } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';

/** A target with what spoke for it, for the logs. */
export interface ChosenTarget extends TargetState {
  /** Targets that were compared. */
  candidates: number;
}

/** The request path's view of all backend servers. */
export interface Backends {
  /**
   * The best target that is neither excluded nor under suspicion; with `needsRoom` only one that can
   * begin nearly at once.
   */
  choose(
    service: ServingService,
    model: string | undefined,
    excluded: ReadonlySet<string>,
    needsRoom?: boolean,
  ): ChosenTarget | undefined;
  /** All targets, those under suspicion included. */
  count(service: ServingService, model: string | undefined): number;
  sent(server: string): void;
  /** Of the server's former life first, where sendings of it are still under way. */
  ended(server: string): void;
  inFlight(): ReadonlyMap<string, number>;
  /** What was sent at `sentAt` went to a former life of the server. */
  isFormer(server: string, sentAt: Milliseconds): boolean;
  /** Something came from the server: it moves. */
  progressed(server: string): void;
  lastProgress(server: string): Milliseconds;
  /** Nothing moves there, as `evidence` says. */
  suspect(server: string, evidence: string): void;
  /** A peer found that nothing moves there; true when that is news and nothing has moved since. */
  learnSuspicion(server: string, ageMs: Milliseconds, leftMs: Milliseconds): boolean;
  answered(server: string, failed: boolean): void;
  recordRequest(service: string): void;
  /** A request was to be forwarded since the start. */
  hasServed(): boolean;
  takeRepeat(service: string): boolean;
  hasRepeat(service: string): boolean;
  suspicions: SuspicionTable;
  /** Called with each server that has begun another life under its id. */
  onRestart(listener: (server: string) => void): void;
  /** Called with each server that newly came under suspicion here. */
  onSuspicion(listener: (server: string) => void): void;
}

export function createBackends(context: GatewayContext): Backends {
  const { board, clock, random, logger, metrics, settings } = context;
  const load = new Map<string, number>();
  /**
   * Sendings to former lives that have not ended. Their news come under the id that the new life has:
   * until the last has ended, no news under that id say anything of the new life. They end with their
   * connections, or with the time of their requests.
   */
  const former = new Map<string, number>();
  /** Servers whose last such sending ends just now: what it showed is told right after its end. */
  const settling = new Set<string>();
  const lives = new LifeTable();
  const progress = new ProgressTracker();
  const suspicions = new SuspicionTable();
  const failures = new FailureRates();
  const budgets = new Map<string, RepeatBudget>();
  let served = false;
  const listeners: ((server: string) => void)[] = [];
  const restartListeners: ((server: string) => void)[] = [];
  let directory: TargetDirectory = createTargetDirectory(
    board.fleet.read(),
    settings.failureDomain,
  );
  let known = board.fleet.read();
  lives.update(known.servers.keys(), known.servers, clock.now());
  board.fleet.subscribe(() => {
    const fleet = board.fleet.read();
    const { changed, servers } = fleet;
    for (const server of lives.update(changed, servers, clock.now())) beginLife(server);
    clearRejoined(fleet);
    for (const server of changed) {
      if (servers.has(server)) continue;
      progress.forget(server);
      failures.forget(server);
    }
    known = fleet;
    directory = createTargetDirectory(fleet, settings.failureDomain);
  });

  /** A new life starts from nothing. */
  const beginLife = (server: string): void => {
    const under = (former.get(server) ?? 0) + (load.get(server) ?? 0);
    if (under > 0) former.set(server, under);
    load.delete(server);
    progress.forget(server);
    failures.forget(server);
    suspicions.clear(server, clock.now());
    logger.log('serverRestarted', { server, formerInFlight: under });
    for (const listener of restartListeners) listener(server);
  };
  /** Takes one off the sendings to `server` in `counts`. */
  const countDown = (counts: Map<string, number>, server: string): void => {
    const left = (counts.get(server) ?? 1) - 1;
    if (left > 0) counts.set(server, left);
    else counts.delete(server);
  };
  const endFormer = (server: string): void => {
    countDown(former, server);
    if (former.has(server)) return;
    settling.add(server);
    queueMicrotask(() => settling.delete(server));
  };
  /** Whether news under the id may be of a former life. */
  const isUnsure = (server: string): boolean => former.has(server) || settling.has(server);
  /** What was seen of a server in its old replica says nothing of the new one. */
  const clearRejoined = (fleet: ServingFleet): void => {
    const now = clock.now();
    for (const { server } of suspicions.listAll(now)) {
      const before = known.servers.get(server)?.engine?.membership?.group;
      if (fleet.servers.get(server)?.engine?.membership?.group !== before) {
        suspicions.clear(server, now);
      }
    }
  };
  /**
   * Guards against gateways that have all started anew and know nothing of each other: each takes all
   * places for its own, and their callers come back together. Those not heard yet count as doing as
   * this one does.
   */
  const countAll = (server: string): number => {
    const { byServer, unheard } = board.peerLoad.read();
    return (load.get(server) ?? 0) * (1 + unheard) + (byServer.get(server) ?? 0);
  };
  const describe = (target: Target, service: ServingService): TargetState => ({
    target,
    inFlight: countAll(target.server.id),
    slots: service.engine?.slots ?? target.server.slots,
    isRemote: target.server.failureDomain !== settings.failureDomain,
    failing: failures.rateOf(target.server.id),
  });
  const isUsable = (target: Target, now: Milliseconds): boolean =>
    target.members.every((member) => !suspicions.isSuspect(member, now));
  const budgetOf = (service: string): RepeatBudget => {
    const known = budgets.get(service);
    if (known) return known;
    const created = new RepeatBudget(settings.retries);
    budgets.set(service, created);
    return created;
  };

  return {
    choose: (service, model, excluded, needsRoom = false) => {
      const now = clock.now();
      const targets = directory.find(service, model);
      const review = (target: Target): TargetState | undefined => {
        if (excluded.has(target.server.id) || !isUsable(target, now)) return undefined;
        const state = describe(target, service);
        return needsRoom && !hasRoom(state) ? undefined : state;
      };
      const states = board.peerLoad.read().isLate
        ? drawTargets(targets, review, random)
        : reviewAll(targets, review);
      const chosen = chooseTarget(states, random);
      return chosen && { ...chosen, candidates: states.length };
    },
    count: (service, model) => {
      const { near, far } = directory.find(service, model);
      return near.length + far.length;
    },
    sent: (server) => {
      load.set(server, (load.get(server) ?? 0) + 1);
    },
    ended: (server) => {
      if (former.has(server)) endFormer(server);
      else countDown(load, server);
    },
    inFlight: () => load,
    isFormer: (server, sentAt) => sentAt < lives.since(server),
    progressed: (server) => {
      if (isUnsure(server)) return;
      const now = clock.now();
      progress.record(server, now);
      if (suspicions.clear(server, now)) logger.log('suspicionCleared', { server });
    },
    lastProgress: (server) => progress.lastProgress(server),
    suspect: (server, evidence) => {
      if (isUnsure(server)) return;
      if (!suspicions.suspect(server, clock.now())) return;
      metrics.suspicions.inc();
      logger.log('serverSuspected', { server, evidence });
      for (const listener of listeners) listener(server);
    },
    learnSuspicion: (server, ageMs, leftMs) => {
      const now = clock.now();
      const foundAt = now - ageMs;
      if (progress.lastProgress(server) > foundAt || foundAt < lives.since(server)) return false;
      return suspicions.learn(server, ageMs, leftMs, now);
    },
    answered: (server, failed) => {
      if (!isUnsure(server)) failures.record(server, failed);
    },
    hasServed: () => served,
    recordRequest: (service) => {
      served = true;
      budgetOf(service).recordRequest(clock.now());
    },
    takeRepeat: (service) => budgetOf(service).take(clock.now(), 1 + board.peers.read().size),
    hasRepeat: (service) => budgetOf(service).hasLeft(clock.now(), 1 + board.peers.read().size),
    suspicions,
    onRestart: (listener) => {
      restartListeners.push(listener);
    },
    onSuspicion: (listener) => {
      listeners.push(listener);
    },
  };
}
