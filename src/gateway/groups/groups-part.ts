/**
 * Shares the fabric domains among the gateways and keeps those that are this one's.
 */
import {
  areCandidatesHeard,
  createOwnerFinder,
  PEERS_HEARD_MS,
  splitDomains,
  type DomainCapacity,
  type OwnerFinder,
} from '../../controllers/groups/index.js';
import type { ServingFleet, ServingIndex } from '../../controllers/forwarding/index.js';
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy, keepLatest } from '../../core/collections/index.js';
import type { EngineProfile } from '../../ports/index.js';
import type { EngineCalls } from '../backends/short-call.js';
import type { Backends } from '../requests/backends.js';
import type { ObjectStore } from '../store/client.js';
import type { ContactKeeper } from '../store/contact.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import { createDomainKeeper, type DomainKeeper, type DomainState } from './domain-keeper.js';

interface GroupsPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: Backends;
  contact: Pick<ContactKeeper, 'isSettling'>;
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
  const outlineLatest = keepLatest(outlineDomains);
  /** For owners alone, since it takes its time with hundreds of instances. */
  const divideLatest = keepLatest(divide);
  const ownersLatest = keepLatest((known: ReadonlyMap<string, GatewayPeer>, isHeard: boolean) => {
    const { name, failureDomain } = settings;
    return createOwnerFinder({
      self: { name, failureDomain },
      peers: [...known.values()],
      isHeard,
    });
  });

  const keeperOf = (key: string): DomainKeeper => {
    const known = keepers.get(key);
    if (known) return known;
    const created = createDomainKeeper(options);
    keepers.set(key, created);
    return created;
  };
  const findOwners = (): OwnerFinder => {
    const heardStoreForMs = clock.now() - board.storeContact.read().since;
    return ownersLatest(board.peers.read(), areCandidatesHeard(heardStoreForMs));
  };
  const listDomains = (): readonly DomainOutline[] => {
    const services = board.serving.read()?.services;
    return services === undefined ? [] : outlineLatest(services, board.fleet.read());
  };
  const listStates = (domains: readonly DomainOutline[]): ReadonlyMap<string, DomainState> => {
    const peers = [...board.peers.read().values()];
    const beforeTraffic = !options.backends.hasServed() && peers.every((peer) => !peer.hasServed);
    return divideLatest(domains, beforeTraffic);
  };
  const round = (): void => {
    // Others may own the domains by now, and what is known of their plans is as old as the contact.
    if (!board.storeContact.read().reachable) {
      releaseAll();
      return;
    }
    // Engines that serve look free until their entries are written again.
    if (options.contact.isSettling()) return;
    // Others must have had the time to be heard before a domain without an owner is taken.
    if (clock.now() - startedAt < PEERS_HEARD_MS) return;
    const ownerOf = findOwners();
    const domains = listDomains();
    for (const domain of domains) {
      const { key } = domain;
      const isMine = ownerOf(domain) === settings.name;
      if (isMine !== owned.has(key)) noteOwnership(key, domain.domain, isMine);
      const state = isMine ? listStates(domains).get(key) : undefined;
      if (state) keeperOf(key).round(state);
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

type Services = ServingIndex['services'];

/** One fabric domain of one service, as it stands in the fleet. */
interface DomainOutline extends Pick<DomainState, 'service' | 'domain' | 'profile' | 'servers'> {
  key: string;
  failureDomain: string;
}

function outlineDomains(services: Services, fleet: ServingFleet): readonly DomainOutline[] {
  const engines = groupBy(fleet.servers.values(), ({ engine, service }) =>
    engine ? service : undefined,
  );
  return [...engines].flatMap(([service, members]) => {
    const profile = services.get(service)?.engine;
    if (!profile) return [];
    const domains = groupBy(members, ({ engine }) => engine?.fabricDomain);
    return [...domains].map(([domain, servers]): DomainOutline => {
      const failureDomain = servers[0]?.failureDomain ?? '';
      return { key: `${service} ${domain}`, service, domain, failureDomain, profile, servers };
    });
  });
}

function divide(
  outlines: readonly DomainOutline[],
  beforeTraffic: boolean,
): ReadonlyMap<string, DomainState> {
  const states = new Map<string, DomainState>();
  for (const domains of groupBy(outlines, ({ service }) => service).values()) {
    const [first] = domains;
    if (first === undefined) continue;
    const capacities = domains.map((domain) => measureCapacity(domain, beforeTraffic));
    const targetsOf = splitDomains(capacities, first.profile.models);
    const loadSlots = Math.ceil(countLoads(first.profile) / domains.length);
    for (const { key, service, domain, profile, servers } of domains) {
      const targets = targetsOf.get(domain) ?? [];
      states.set(key, { service, domain, profile, servers, targets, beforeTraffic, loadSlots });
    }
  }
  return states;
}

/** A load takes longer than the span over which starts are counted, so that no slot starts two in it. */
function countLoads({ loadsAtOnce, loadsPerSecond }: EngineProfile): number {
  return Math.min(loadsAtOnce, loadsPerSecond * LOAD_WINDOW_S);
}

/** Instances without any weights count only before there is traffic: they load in no time then. */
function measureCapacity(
  { domain, failureDomain, servers }: DomainOutline,
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
  return { domain, failureDomain, instances: able.length, groups };
}
