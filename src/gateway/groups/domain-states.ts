/**
 * Derives the state of each fabric domain from the fleet: instances, target replicas and load slots.
 */
import { isEvacuated, type Evacuations } from '../../controllers/evacuation/index.js';
import type { ServingFleet, ServingIndex } from '../../controllers/forwarding/index.js';
import {
  countLoadDemand,
  divideLoadSlots,
  LOAD_WINDOW_MS,
  maxStartsPerDomain,
  splitDomains,
  type DomainCapacity,
  type LoadDemand,
  type ServiceLoad,
} from '../../controllers/groups/index.js';
import { groupBy } from '../../core/collections/index.js';
import type { BackendServer, EngineProfile, GroupModel } from '../../ports/index.js';
import type { DomainState } from './domain-controller.js';

type Services = ServingIndex['services'];

const NO_SHARES: ModelShares = new Map();

/** The instances of one service in one fabric domain. */
export interface ServiceDomain extends Pick<
  DomainState,
  'service' | 'domain' | 'profile' | 'servers'
> {
  key: string;
  failureDomain: string;
}

export function groupByDomain(services: Services, fleet: ServingFleet): readonly ServiceDomain[] {
  const engines = groupBy(fleet.servers.values(), ({ engine, service }) =>
    engine ? service : undefined,
  );
  return [...engines].flatMap(([service, members]) => {
    const profile = services.get(service)?.engine;
    if (!profile) return [];
    const domains = groupBy(members, ({ engine }) => engine?.fabricDomain);
    return [...domains].map(([domain, servers]): ServiceDomain => {
      const failureDomain = servers[0]?.failureDomain ?? '';
      return { key: `${service} ${domain}`, service, domain, failureDomain, profile, servers };
    });
  });
}

/** Models with the shares to plan by, by service. */
export type ModelShares = ReadonlyMap<string, readonly GroupModel[]>;

/**
 * The states of all `serviceDomains`, by key. Services without `shares` use the configured ones.
 * `countDomains` returns the number of all domains of a service, evacuated ones as well.
 */
export function createDomainStates(
  serviceDomains: readonly ServiceDomain[],
  beforeTraffic: boolean,
  shares: ModelShares = NO_SHARES,
  countDomains = (service: string): number =>
    serviceDomains.filter((each) => each.service === service).length,
): ReadonlyMap<string, DomainState> {
  const states = new Map<string, DomainState>();
  for (const [name, domains] of groupBy(serviceDomains, ({ service }) => service)) {
    const [first] = domains;
    if (first === undefined) continue;
    const capacities = measureCapacities(domains, first.profile.models, beforeTraffic);
    const targetsOf = splitDomains(capacities, shares.get(name) ?? first.profile.models);
    const demands = domains.map(({ domain, servers }): LoadDemand => {
      const loads = countLoadDemand(servers, targetsOf.get(domain) ?? [], countGroups(servers));
      return { domain, loads };
    });
    const slots = divideLoadSlots(maxConcurrentLoads(first.profile), demands);
    for (const { key, service, domain, profile, servers } of domains) {
      const targets = targetsOf.get(domain) ?? [];
      const loadSlots = slots.get(domain) ?? 0;
      const maxLoadStarts = maxStartsPerDomain(profile, countDomains(name));
      const limits = { loadSlots, maxLoadStarts };
      states.set(key, { service, domain, profile, servers, targets, beforeTraffic, ...limits });
    }
  }
  return states;
}

/** Concurrent loads that respect both limits, given that a load takes longer than the time window. */
function maxConcurrentLoads({ loadsAtOnce, loadsPerSecond }: EngineProfile): number {
  return Math.min(loadsAtOnce, (loadsPerSecond * LOAD_WINDOW_MS) / 1_000);
}

/**
 * The capacities to plan by. Without enough weights for a single replica all instances count, since
 * weights are only loaded for replicas that are planned.
 */
function measureCapacities(
  domains: readonly ServiceDomain[],
  models: readonly GroupModel[],
  beforeTraffic: boolean,
): DomainCapacity[] {
  const capacities = domains.map((domain) => measureCapacity(domain, beforeTraffic));
  const smallest = Math.min(...models.map(({ size }) => size));
  return capacities.some(({ instances }) => instances >= smallest)
    ? capacities
    : domains.map((domain) => measureCapacity(domain, true));
}

/** Counts instances without weights only before there is traffic, when loading is fast. */
function measureCapacity(
  { domain, failureDomain, servers }: ServiceDomain,
  beforeTraffic: boolean,
): DomainCapacity {
  const usable = servers.filter(
    ({ leaving, engine }) =>
      !leaving && (beforeTraffic || engine?.lastModel !== undefined || engine?.staged.length !== 0),
  );
  return { domain, failureDomain, instances: usable.length, groups: countGroups(servers) };
}

/**
 * Number of groups by model, counted by their heads. A head that is joining still has the model of its former
 * group, so its group counts as soon as the head is ready.
 */
function countGroups(servers: readonly BackendServer[]): ReadonlyMap<string, number> {
  const groups = new Map<string, number>();
  for (const { engine } of servers) {
    const { membership, lastModel } = engine ?? {};
    if (membership?.rank !== 0 || membership.state === 'joining' || lastModel === undefined)
      continue;
    groups.set(lastModel, (groups.get(lastModel) ?? 0) + 1);
  }
  return groups;
}

/**
 * The load of one service; `inFlightAt` returns the requests of all gateways at a replica's head.
 *
 * Requests that still run in evacuated failure domains count as demand, the instances and replicas there
 * do not count as capacity: their load moves to the others.
 */
export function measureServiceLoad(
  domains: readonly ServiceDomain[],
  { slots, models }: EngineProfile,
  inFlightAt: (server: string) => number,
  evacuations?: Evacuations,
): ServiceLoad {
  const capacities = domains
    .filter(({ failureDomain }) => !isEvacuated(evacuations, failureDomain))
    .map((domain) => measureCapacity(domain, false));
  const inFlight = new Map<string, number>();
  for (const { id, engine } of domains.flatMap(({ servers }) => servers)) {
    if (engine?.membership?.rank !== 0 || engine.lastModel === undefined) continue;
    inFlight.set(engine.lastModel, (inFlight.get(engine.lastModel) ?? 0) + inFlightAt(id));
  }
  return {
    slots,
    instances: capacities.reduce((sum, { instances }) => sum + instances, 0),
    models: models.map((model) => ({
      model,
      inFlight: inFlight.get(model.name) ?? 0,
      groups: capacities.reduce((sum, { groups }) => sum + (groups.get(model.name) ?? 0), 0),
    })),
  };
}
