/**
 * Probes the engines and maintains the `health` and `load` sections.
 */
import type { EngineReport } from '../../adapters/engines/index.js';
import type { InstanceHealth, ReplicaLoad } from '../../board/index.js';
import {
  assignProbes,
  listDueProbes,
  recordResponse,
  recordFailure,
  recordReport,
  type ProbeState,
  type ProbeTarget,
  type Prober,
} from '../../controllers/health/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DigestExtension } from '../membership/index.js';
import type { EntryContext, Part } from '../types.js';
import { createHealthExchange } from './health-exchange.js';

/** Probes engines and receives the outcomes of requests from the request path. */
export interface HealthPart extends Part {
  /** Records a failed request to `instance`, which counts against its replica immediately. */
  reportFailure(instance: string): void;
  /** Records an answer of a plain service. Engines recover through their reports instead. */
  reportAnswer(instance: string): void;
  /** Records a report requested at `askedAt`, such as one returned by an order. */
  keepReport(report: EngineReport, askedAt: Milliseconds): void;
  /** Exchanges reports with the other entries. */
  extension: DigestExtension;
}

/** Interval between checks for due probes. */
const TICK_INTERVAL_MS = 50;

/** Number of entries assigned to probe each engine; the others take over when reports go stale. */
const PROBERS_PER_ENGINE = 1;

/**
 * Creates the health part of an entry. Good reports are batched and written once per tick, which
 * bounds the write rate in a large fleet; a failure is written immediately.
 */
export function createHealthPart(context: EntryContext): HealthPart {
  const { board, writers, clock, engines, identity, logger, settings } = context;
  const { probeEveryMs, probeTimeoutMs, freshMs } = settings.health;
  const probes = new Map<string, ProbeState>();
  const runningProbes = new Set<Promise<void>>();
  const pendingHealth = new Map<string, InstanceHealth>();
  const pendingLoads = new Map<string, ReplicaLoad>();
  let timer: NodeJS.Timeout | undefined;
  let assignedEngines: ReadonlySet<string> = new Set();
  let assignmentKey = '';
  /** Instances that this entry saw fail, with no good report or answer since. */
  const locallyFailing = new Set<string>();
  const healthExchange = createHealthExchange(context, {
    readHealth,
    readAssigned: () => assignedEngines,
    readFailing: () => locallyFailing,
    storeReports: (health, load, failures) => {
      for (const [name, received] of health) pendingHealth.set(name, received);
      for (const [id, received] of load) {
        const previous = pendingLoads.get(id) ?? board.load.read().get(id);
        if (previous === undefined || previous.measuredAt < received.measuredAt)
          pendingLoads.set(id, received);
      }
      for (const instance of failures) logger.log('instanceFailing', { instance });
      if (failures.length > 0) flush();
    },
  });

  function readHealth(name: string): InstanceHealth | undefined {
    return pendingHealth.get(name) ?? board.health.read().get(name);
  }

  /** Writes pending health and load, and drops instances and replicas that no longer exist. */
  function flush(): void {
    if (pendingHealth.size === 0 && pendingLoads.size === 0) return;
    const { instances } = board.fleet.read();
    const health = new Map([...board.health.read(), ...pendingHealth]);
    for (const name of health.keys()) if (!instances.has(name)) health.delete(name);
    for (const name of locallyFailing) if (!instances.has(name)) locallyFailing.delete(name);
    pendingHealth.clear();
    writers.health.write(health);
    if (pendingLoads.size === 0) return;
    const planned = listPlannedReplicas();
    const load = new Map([...board.load.read(), ...pendingLoads]);
    for (const id of load.keys()) if (!planned.has(id)) load.delete(id);
    pendingLoads.clear();
    writers.load.write(load);
  }

  function listPlannedReplicas(): ReadonlySet<string> {
    const plans = [...board.plans.read().values()];
    return new Set(plans.flatMap(({ value }) => value.replicas.map(({ id }) => id)));
  }

  function keepReport(report: EngineReport, askedAt: Milliseconds): void {
    const previous = readHealth(report.instance);
    const next = recordReport(previous, report, askedAt);
    if (next === previous) return;
    pendingHealth.set(report.instance, next);
    if (next.failingSince === undefined) locallyFailing.delete(report.instance);
    if (previous?.failingSince !== undefined && next.failingSince === undefined) {
      logger.log('instanceRecovered', { instance: report.instance });
    }
    const { load, replica } = report;
    if (load === undefined || replica === undefined) return;
    pendingLoads.set(replica.id, { load, measuredAt: askedAt - load.ageMs });
  }

  function reportFailure(instance: string): void {
    const previous = readHealth(instance);
    if (previous?.failingSince === undefined) logger.log('instanceFailing', { instance });
    pendingHealth.set(instance, recordFailure(previous, clock.now()));
    flush();
    if (locallyFailing.has(instance)) return;
    locallyFailing.add(instance);
    healthExchange.announce();
  }

  async function probe(name: string, address: string): Promise<void> {
    const askedAt = clock.now();
    probes.set(name, { askedAt, underWay: true });
    const result = await engines.health(address, probeTimeoutMs);
    probes.set(name, { askedAt, underWay: false });
    // An answer from another engine at a reused address says nothing about this instance.
    if (result.isOk() && result.value.instance === name) keepReport(result.value, askedAt);
    // After a process pause, probes time out even if the engines are healthy. Reporting these as
    // failures would take healthy replicas out of service on all entries, so they are retried.
    else if (healthExchange.hasPausedSince(askedAt)) return;
    else if (board.fleet.read().instances.has(name)) reportFailure(name);
  }

  function listProbers(): Prober[] {
    const { forgetMs } = settings.membership;
    const now = clock.now();
    const peers = [...board.peers.read().values()].filter(
      (peer) => now - peer.heardAt < forgetMs && !peer.stopping,
    );
    return [{ name: identity.name, failureDomain: identity.failureDomain }, ...peers];
  }

  /** Caches the assignment, which costs a hash per pair and depends only on fleet and peers. */
  function findAssigned(targets: readonly ProbeTarget[]): ReadonlySet<string> {
    const probers = listProbers();
    const key = `${board.fleet.version()} ${probers.map(({ name }) => name).join(' ')}`;
    if (key === assignmentKey) return assignedEngines;
    assignmentKey = key;
    assignedEngines = new Set(assignProbes(probers, targets, identity.name, PROBERS_PER_ENGINE));
    return assignedEngines;
  }

  function tick(): void {
    healthExchange.noteTick();
    const targets = [...board.fleet.read().instances]
      .filter(([, instance]) => instance.role === 'engine')
      .map(([name, { address, failureDomain }]) => ({ name, address, failureDomain }));
    const addresses = new Map(targets.map(({ name, address }) => [name, address]));
    for (const name of probes.keys()) if (!addresses.has(name)) probes.delete(name);
    const dueProbes = listDueProbes(
      {
        targets: [...addresses.keys()],
        assigned: findAssigned(targets),
        states: probes,
        health: board.health.read(),
        probeEveryMs,
        probeTimeoutMs,
        freshMs,
      },
      clock.now(),
    );
    for (const name of dueProbes) {
      const runningProbe = probe(name, addresses.get(name) ?? '').finally(() =>
        runningProbes.delete(runningProbe),
      );
      runningProbes.add(runningProbe);
    }
    flush();
  }

  return {
    start: () => {
      timer = setInterval(tick, TICK_INTERVAL_MS);
      tick();
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(runningProbes);
    },
    reportFailure,
    keepReport,
    reportAnswer: (instance) => {
      if (readHealth(instance)?.failingSince === undefined) return;
      pendingHealth.set(instance, recordResponse(clock.now()));
      locallyFailing.delete(instance);
      flush();
    },
    extension: healthExchange,
  };
}
