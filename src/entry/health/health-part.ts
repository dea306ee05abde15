/**
 * Asks the engines for their reports and keeps the `health` and `load` sections.
 */
import type { EngineReport } from '../../adapters/engines/index.js';
import type { InstanceHealth, ReplicaLoad } from '../../board/index.js';
import {
  assignProbes,
  listDueProbes,
  recordAnswer,
  recordFailure,
  recordReport,
  type ProbeState,
  type ProbeTarget,
  type Prober,
} from '../../controllers/health/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DigestExtension } from '../membership/index.js';
import type { EntryContext, Part } from '../types.js';
import { createHealthPassing } from './health-passing.js';

/** The part, and what the request path tells it. */
export interface HealthPart extends Part {
  /** A request to `instance` failed: it counts against its replica at once. */
  reportFailure(instance: string): void;
  /** A plain service answered. Engines need none: their reports tell. */
  reportAnswer(instance: string): void;
  /** Takes a report that an order or another call brought; asked for at `askedAt`. */
  keepReport(report: EngineReport, askedAt: Milliseconds): void;
  /** Exchanges reports with the other entries. */
  extension: DigestExtension;
}

/** How often the part looks which probes are due. */
const TICK_MS = 50;

/** Entries that probe each engine once peers are known; the others take over when it falls silent. */
const REDUNDANCY = 1;

/**
 * The part of one entry. Good reports are gathered and written once per tick, so that a thousand
 * engines cause twenty writes a second; a failure is written at once.
 */
export function createHealthPart(context: EntryContext): HealthPart {
  const { board, writers, clock, engines, identity, logger, settings } = context;
  const { probeEveryMs, probeTimeoutMs, freshMs } = settings.health;
  const probes = new Map<string, ProbeState>();
  const running = new Set<Promise<void>>();
  const heard = new Map<string, InstanceHealth>();
  const loads = new Map<string, ReplicaLoad>();
  let timer: NodeJS.Timeout | undefined;
  let assigned: ReadonlySet<string> = new Set();
  let assignedFor = '';
  /** Failed here, and not heard well by this entry since. */
  const failing = new Set<string>();
  const passing = createHealthPassing(context, {
    readHealth,
    readAssigned: () => assigned,
    readFailing: () => failing,
    keep: (health, load, failures) => {
      for (const [name, known] of health) heard.set(name, known);
      for (const [id, known] of load) {
        const before = loads.get(id) ?? board.load.read().get(id);
        if (before === undefined || before.measuredAt < known.measuredAt) loads.set(id, known);
      }
      for (const instance of failures) logger.log('instanceFailing', { instance });
      if (failures.length > 0) flush();
    },
  });

  function readHealth(name: string): InstanceHealth | undefined {
    return heard.get(name) ?? board.health.read().get(name);
  }

  /** Writes what was gathered and forgets instances and replicas that are gone. */
  function flush(): void {
    if (heard.size === 0 && loads.size === 0) return;
    const { instances } = board.fleet.read();
    const health = new Map([...board.health.read(), ...heard]);
    for (const name of health.keys()) if (!instances.has(name)) health.delete(name);
    for (const name of failing) if (!instances.has(name)) failing.delete(name);
    heard.clear();
    writers.health.write(health);
    if (loads.size === 0) return;
    const planned = listPlannedReplicas();
    const load = new Map([...board.load.read(), ...loads]);
    for (const id of load.keys()) if (!planned.has(id)) load.delete(id);
    loads.clear();
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
    heard.set(report.instance, next);
    if (next.failingSince === undefined) failing.delete(report.instance);
    if (previous?.failingSince !== undefined && next.failingSince === undefined) {
      logger.log('instanceRecovered', { instance: report.instance });
    }
    const { load, replica } = report;
    if (load === undefined || replica === undefined) return;
    loads.set(replica.id, { load, measuredAt: askedAt - load.ageMs });
  }

  function reportFailure(instance: string): void {
    const previous = readHealth(instance);
    if (previous?.failingSince === undefined) logger.log('instanceFailing', { instance });
    heard.set(instance, recordFailure(previous, clock.now()));
    flush();
    if (failing.has(instance)) return;
    failing.add(instance);
    passing.announce();
  }

  async function probe(name: string, address: string): Promise<void> {
    const askedAt = clock.now();
    probes.set(name, { askedAt, underWay: true });
    const result = await engines.health(address, probeTimeoutMs);
    probes.set(name, { askedAt, underWay: false });
    // Another engine at a reused address must not speak for the one that was there before.
    if (result.isOk() && result.value.instance === name) keepReport(result.value, askedAt);
    // A process that was paused finds that its probes are overdue, whatever became of the engines.
    // Telling that to all would take healthy replicas out of service everywhere; it asks again.
    else if (passing.hasPausedSince(askedAt)) return;
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

  /** The choice of probers changes with the lists alone, and costs a hash for each pair. */
  function findAssigned(targets: readonly ProbeTarget[]): ReadonlySet<string> {
    const probers = listProbers();
    const key = `${board.fleet.version()} ${probers.map(({ name }) => name).join(' ')}`;
    if (key === assignedFor) return assigned;
    assignedFor = key;
    assigned = new Set(assignProbes(probers, targets, identity.name, REDUNDANCY));
    return assigned;
  }

  function tick(): void {
    passing.noteTick();
    const targets = [...board.fleet.read().instances]
      .filter(([, instance]) => instance.role === 'engine')
      .map(([name, { address, failureDomain }]) => ({ name, address, failureDomain }));
    const addresses = new Map(targets.map(({ name, address }) => [name, address]));
    for (const name of probes.keys()) if (!addresses.has(name)) probes.delete(name);
    const due = listDueProbes(
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
    for (const name of due) {
      const call = probe(name, addresses.get(name) ?? '').finally(() => running.delete(call));
      running.add(call);
    }
    flush();
  }

  return {
    start: () => {
      timer = setInterval(tick, TICK_MS);
      tick();
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(running);
    },
    reportFailure,
    keepReport,
    reportAnswer: (instance) => {
      if (readHealth(instance)?.failingSince === undefined) return;
      heard.set(instance, recordAnswer(clock.now()));
      failing.delete(instance);
      flush();
    },
    extension: passing,
  };
}
