/**
 * Shares the fabric domains among the gateways and keeps those that are this one's.
 */
import {
  findOwner,
  PEERS_HEARD_MS,
  splitDomains,
  type DomainCapacity,
} from '../../controllers/groups/index.js';
import type { ServingFleet, ServingIndex } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy } from '../../core/collections/index.js';
import type { BackendServer, EngineProfile } from '../../ports/index.js';
import type { EngineCalls } from '../backends/short-call.js';
import type { Backends } from '../requests/backends.js';
import type { ObjectStore } from '../store/client.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import { createDomainKeeper, type DomainKeeper, type DomainState } from './domain-keeper.js';

interface GroupsPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: Backends;
}

const ROUND_EVERY_MS: Milliseconds = 100;
/** Starts of loads are counted over this long, in seconds. */
const LOAD_WINDOW_S = 5;

/** The keeper of this gateway's domains. */
export interface GroupsPart extends GatewayPart {
  /** The process stood still: another gateway may have planned meanwhile. */
  releaseAll(): void;
}

export function createGroupsPart(options: GroupsPartOptions): GroupsPart {
  const { context } = options;
  const { board, clock, logger, settings } = context;
  const keepers = new Map<string, DomainKeeper>();
  const owned = new Set<string>();
  const startedAt = clock.now();
  let timer: NodeJS.Timeout | undefined;
  /** Kept while nothing that it follows from changes: with hundreds of instances it takes its time. */
  let split: Split | undefined;

  const keeperOf = (key: string): DomainKeeper => {
    const known = keepers.get(key);
    if (known) return known;
    const created = createDomainKeeper(options);
    keepers.set(key, created);
    return created;
  };
  const isOwner = (key: string, failureDomain: string): boolean => {
    const self = { name: settings.name, failureDomain: settings.failureDomain };
    const peers = [...board.peers.read().values()];
    const heardStoreForMs = clock.now() - board.storeContact.read().since;
    const owner = findOwner({ key, failureDomain, self, peers, heardStoreForMs });
    return owner === settings.name;
  };
  const listDomains = (): readonly DomainState[] => {
    const services = board.serving.read()?.services;
    if (services === undefined) return [];
    const fleet = board.fleet.read();
    const beforeTraffic =
      !options.backends.hasServed() && [...board.peers.read().values()].every((p) => !p.hasServed);
    const isKnown =
      split?.services === services &&
      split.fleet === fleet &&
      split.beforeTraffic === beforeTraffic;
    if (!isKnown)
      split = { services, fleet, beforeTraffic, domains: divide(services, fleet, beforeTraffic) };
    return split?.domains ?? [];
  };
  const round = (): void => {
    // Others may own the domains by now, and what is known of their plans is as old as the contact.
    if (!board.storeContact.read().reachable) {
      releaseAll();
      return;
    }
    // Others must have had the time to be heard before a domain without an owner is taken.
    if (clock.now() - startedAt < PEERS_HEARD_MS) return;
    for (const state of listDomains()) {
      const key = `${state.service} ${state.domain}`;
      const failureDomain = state.servers[0]?.failureDomain ?? '';
      const isMine = isOwner(key, failureDomain);
      if (isMine !== owned.has(key)) noteOwnership(key, state.domain, isMine);
      if (isMine) keeperOf(key).round(state);
    }
  };
  const releaseAll = (): void => {
    if (owned.size === 0) return;
    logger.log('domainsReleased', { domains: owned.size });
    owned.clear();
    for (const keeper of keepers.values()) keeper.release();
  };
  const noteOwnership = (key: string, domain: string, isMine: boolean): void => {
    const peers = board.peers.read().size;
    if (isMine) owned.add(key);
    else {
      owned.delete(key);
      keepers.get(key)?.release();
    }
    logger.log(isMine ? 'domainTaken' : 'domainLost', { domain, peers });
  };
  return {
    releaseAll,
    start: () => {
      timer = setInterval(round, ROUND_EVERY_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}

/** All domains with their targets, and what they follow from. */
interface Split {
  services: Services;
  fleet: ServingFleet;
  beforeTraffic: boolean;
  domains: readonly DomainState[];
}

type Services = ServingIndex['services'];

function divide(
  services: Services,
  fleet: ServingFleet,
  beforeTraffic: boolean,
): readonly DomainState[] {
  const engines = groupBy(fleet.servers.values(), ({ engine, service }) =>
    engine ? service : undefined,
  );
  return [...engines].flatMap(([service, servers]) => {
    const profile = services.get(service)?.engine;
    if (!profile) return [];
    const domains = groupBy(servers, ({ engine }) => engine?.fabricDomain);
    const capacities = [...domains].map(([domain, members]) =>
      measureCapacity(domain, members, beforeTraffic),
    );
    const targetsOf = splitDomains(capacities, profile.models);
    const loadSlots = Math.ceil(countLoads(profile) / domains.size);
    return [...domains].map(([domain, members]): DomainState => {
      const targets = targetsOf.get(domain) ?? [];
      return { service, domain, profile, servers: members, targets, beforeTraffic, loadSlots };
    });
  });
}

/** A load takes longer than the span over which starts are counted, so that no slot starts two in it. */
function countLoads({ loadsAtOnce, loadsPerSecond }: EngineProfile): number {
  return Math.min(loadsAtOnce, loadsPerSecond * LOAD_WINDOW_S);
}

/** Instances without any weights count only before there is traffic: they load in no time then. */
function measureCapacity(
  domain: string,
  servers: readonly BackendServer[],
  beforeTraffic: boolean,
): DomainCapacity {
  const able = servers.filter(
    ({ leaving, engine }) =>
      !leaving && (beforeTraffic || engine?.lastModel !== undefined || engine?.staged.length !== 0),
  );
  const groups = new Map<string, number>();
  for (const { engine } of servers) {
    const { membership, lastModel } = engine ?? {};
    if (membership?.rank !== 0 || lastModel === undefined) continue;
    groups.set(lastModel, (groups.get(lastModel) ?? 0) + 1);
  }
  const failureDomain = servers[0]?.failureDomain ?? '';
  return { domain, failureDomain, instances: able.length, groups };
}
