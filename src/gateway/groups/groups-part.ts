/**
 * Distributes the fabric domains among the gateways and reconciles those owned by this one.
 */
import {
  hasReceivedPeerState,
  createOwnerFinder,
  PEER_STATE_DELAY_MS,
  splitDomains,
  type DomainCapacity,
  type OwnerFinder,
} from '../../controllers/groups/index.js';
import type { ServingFleet, ServingIndex } from '../../controllers/forwarding/index.js';
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy, memoizeLatest } from '../../core/collections/index.js';
import type { EngineProfile } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { BackendTracker } from '../requests/backend-tracker.js';
import type { ObjectStore } from '../store/client.js';
import type { ReachabilityTracker } from '../store/reachability.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import {
  createDomainController,
  type DomainController,
  type DomainState,
} from './domain-controller.js';

interface GroupsPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: BackendTracker;
  contact: Pick<ReachabilityTracker, 'isSettling'>;
}

const RECONCILE_INTERVAL_MS: Milliseconds = 100;
/** Time window of the limit on model loads per second, in seconds. */
const LOAD_WINDOW_S = 5;

/** Reconciles the fabric domains owned by this gateway. */
export interface GroupsPart extends GatewayPart {
  /** Releases all domains after a pause of the process, in which another gateway may have taken over. */
  releaseAll(): void;
}

export function createGroupsPart(options: GroupsPartOptions): GroupsPart {
  const { context } = options;
  const { board, clock, logger, settings } = context;
  const controllers = new Map<string, DomainController>();
  const ownedKeys = new Set<string>();
  const startedAt = clock.now();
  let timer: NodeJS.Timeout | undefined;
  const memoizedDomains = memoizeLatest(groupByDomain);
  /** Called only for owned domains, because it is expensive with hundreds of instances. */
  const memoizedStates = memoizeLatest(createDomainStates);
  const memoizedOwnerFinder = memoizeLatest(
    (peers: ReadonlyMap<string, GatewayPeer>, isPeerStateCurrent: boolean) => {
      const { name, failureDomain } = settings;
      return createOwnerFinder({
        self: { name, failureDomain },
        peers: [...peers.values()],
        isPeerStateCurrent,
      });
    },
  );

  const controllerFor = (key: string): DomainController => {
    const existing = controllers.get(key);
    if (existing) return existing;
    const created = createDomainController(options);
    controllers.set(key, created);
    return created;
  };
  const getOwnerFinder = (): OwnerFinder => {
    const storeReachableForMs = clock.now() - board.storeReachability.read().since;
    return memoizedOwnerFinder(board.peers.read(), hasReceivedPeerState(storeReachableForMs));
  };
  const listDomains = (): readonly ServiceDomain[] => {
    const services = board.serving.read()?.services;
    return services === undefined ? [] : memoizedDomains(services, board.fleet.read());
  };
  const listStates = (domains: readonly ServiceDomain[]): ReadonlyMap<string, DomainState> => {
    const peers = [...board.peers.read().values()];
    const beforeTraffic = !options.backends.hasServed() && peers.every((peer) => !peer.hasServed);
    return memoizedStates(domains, beforeTraffic);
  };
  const reconcile = (): void => {
    // Without the store, other gateways may take over the domains and change the plans.
    if (!board.storeReachability.read().reachable) {
      releaseAll();
      return;
    }
    // After the store was restored, serving engines look free until they rewrite their entries.
    if (options.contact.isSettling()) return;
    // Wait until the state of the other gateways is known before taking domains.
    if (clock.now() - startedAt < PEER_STATE_DELAY_MS) return;
    const ownerOf = getOwnerFinder();
    const domains = listDomains();
    for (const domain of domains) {
      const { key } = domain;
      const isOwner = ownerOf(domain) === settings.name;
      if (isOwner !== ownedKeys.has(key)) updateOwnership(key, domain.domain, isOwner);
      const state = isOwner ? listStates(domains).get(key) : undefined;
      if (state) controllerFor(key).reconcile(state);
    }
  };
  const releaseAll = (): void => {
    if (ownedKeys.size === 0) return;
    logger.log('domainsReleased', { domains: ownedKeys.size });
    ownedKeys.clear();
    for (const controller of controllers.values()) controller.release();
  };
  const updateOwnership = (key: string, domain: string, isOwner: boolean): void => {
    const peers = board.peers.read().size;
    if (isOwner) ownedKeys.add(key);
    else {
      ownedKeys.delete(key);
      controllers.get(key)?.release();
    }
    logger.log(isOwner ? 'domainTaken' : 'domainLost', { domain, peers });
  };
  return {
    releaseAll,
    start: () => {
      timer = setInterval(reconcile, RECONCILE_INTERVAL_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}

type Services = ServingIndex['services'];

/** The instances of one service in one fabric domain. */
interface ServiceDomain extends Pick<DomainState, 'service' | 'domain' | 'profile' | 'servers'> {
  key: string;
  failureDomain: string;
}

function groupByDomain(services: Services, fleet: ServingFleet): readonly ServiceDomain[] {
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

function createDomainStates(
  serviceDomains: readonly ServiceDomain[],
  beforeTraffic: boolean,
): ReadonlyMap<string, DomainState> {
  const states = new Map<string, DomainState>();
  for (const domains of groupBy(serviceDomains, ({ service }) => service).values()) {
    const [first] = domains;
    if (first === undefined) continue;
    const capacities = domains.map((domain) => measureCapacity(domain, beforeTraffic));
    const targetsOf = splitDomains(capacities, first.profile.models);
    const loadSlots = Math.ceil(maxConcurrentLoads(first.profile) / domains.length);
    for (const { key, service, domain, profile, servers } of domains) {
      const targets = targetsOf.get(domain) ?? [];
      states.set(key, { service, domain, profile, servers, targets, beforeTraffic, loadSlots });
    }
  }
  return states;
}

/** Concurrent loads that respect both limits, given that a load takes longer than the time window. */
function maxConcurrentLoads({ loadsAtOnce, loadsPerSecond }: EngineProfile): number {
  return Math.min(loadsAtOnce, loadsPerSecond * LOAD_WINDOW_S);
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
  const groups = new Map<string, number>();
  for (const { engine } of servers) {
    const { membership, lastModel } = engine ?? {};
    if (membership?.rank !== 0 || lastModel === undefined) continue;
    groups.set(lastModel, (groups.get(lastModel) ?? 0) + 1);
  }
  return { domain, failureDomain, instances: usable.length, groups };
}
