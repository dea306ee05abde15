/**
 * Distributes the fabric domains among the gateways and reconciles those owned by this one.
 */
import type { WritableSection } from '../../board/index.js';
import { isEvacuated, type Evacuations } from '../../controllers/evacuation/index.js';
import {
  DemandShares,
  hasReceivedPeerState,
  createOwnerFinder,
  PEER_STATE_DELAY_MS,
  type OwnerFinder,
} from '../../controllers/groups/index.js';
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy, memoizeLatest } from '../../core/collections/index.js';
import type { TickerTask } from '../../core/ticker/index.js';
import type { GroupModel } from '../../ports/index.js';
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
import {
  createDomainStates,
  groupByDomain,
  measureServiceLoad,
  type ModelShares,
  type ServiceDomain,
} from './domain-states.js';

interface GroupsPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: BackendTracker;
  contact: Pick<ReachabilityTracker, 'isSettling'>;
  /** The section of the board that says whether a stored plan tells of traffic. */
  traffic: WritableSection<boolean>;
}

const RECONCILE_INTERVAL_MS: Milliseconds = 100;

/** Reconciles the fabric domains owned by this gateway. */
export interface GroupsPart extends GatewayPart {
  /** Releases all domains after a pause of the process, in which another gateway may have taken over. */
  releaseAll(): void;
}

export function createGroupsPart(options: GroupsPartOptions): GroupsPart {
  const { context, backends } = options;
  const { board, clock, logger, settings } = context;
  const controllers = new Map<string, DomainController>();
  const ownedKeys = new Set<string>();
  const startedAt = clock.now();
  let ticking: TickerTask | undefined;
  const memoizedDomains = memoizeLatest(groupByDomain);
  /** Called only for owned domains, because it is expensive with hundreds of instances. */
  const memoizedStates = memoizeLatest(createDomainStates);
  const memoizedCounts = memoizeLatest((domains: readonly ServiceDomain[]) => {
    const byService = groupBy(domains, ({ service }) => service);
    return (service: string): number => byService.get(service)?.length ?? 0;
  });
  const demandShares = new DemandShares();
  let shares: ModelShares = new Map();
  const memoizedOwnerFinder = memoizeLatest(
    (
      peers: ReadonlyMap<string, GatewayPeer>,
      isPeerStateCurrent: boolean,
      cutOffFrom: readonly string[],
    ) => {
      const { name, failureDomain } = settings;
      return createOwnerFinder({
        self: { name, failureDomain, cutOffFrom },
        peers: [...peers.values()],
        isPeerStateCurrent,
      });
    },
  );

  const controllerFor = (key: string): DomainController => {
    const existing = controllers.get(key);
    if (existing) return existing;
    const created = createDomainController({
      ...options,
      onTraffic: () => {
        if (!options.traffic.read()) options.traffic.write(true);
      },
    });
    controllers.set(key, created);
    return created;
  };
  const getOwnerFinder = (): OwnerFinder => {
    const storeReachableForMs = clock.now() - board.storeReachability.read().since;
    return memoizedOwnerFinder(
      board.ownerCandidates.read(),
      hasReceivedPeerState(storeReachableForMs),
      board.cutOffServices.read(),
    );
  };
  /** Those that are not evacuated; memoized like the states that are derived from them. */
  const memoizedPlannable = memoizeLatest(
    (
      domains: readonly ServiceDomain[],
      evacuations: Evacuations | undefined,
    ): readonly ServiceDomain[] =>
      evacuations === undefined
        ? domains
        : domains.filter(({ failureDomain }) => !isEvacuated(evacuations, failureDomain)),
  );
  const listDomains = (): readonly ServiceDomain[] => {
    const services = board.serving.read()?.services;
    return services === undefined ? [] : memoizedDomains(services, board.fleet.read());
  };
  const listStates = (domains: readonly ServiceDomain[]): ReadonlyMap<string, DomainState> => {
    const peers = [...board.peers.read().values()];
    const hasTraffic =
      options.traffic.read() || backends.hasServed() || peers.some((peer) => peer.hasServed);
    const plannable = memoizedPlannable(domains, board.evacuations.read());
    if (!hasTraffic) return memoizedStates(plannable, true);
    updateShares(domains);
    return memoizedStates(plannable, false, shares, memoizedCounts(domains));
  };
  const updateShares = (domains: readonly ServiceDomain[]): void => {
    const now = clock.now();
    const next = new Map<string, readonly GroupModel[]>();
    for (const [service, members] of groupBy(domains, (domain) => domain.service)) {
      const profile = members[0]?.profile;
      if (profile === undefined) continue;
      const inFlightAt = (id: string): number => backends.inFlightAt(id);
      const load = measureServiceLoad(members, profile, inFlightAt, board.evacuations.read());
      // Without any capacity the shares of before apply again once there is some.
      const known = shares.get(service);
      const isWithoutCapacity = known !== undefined && load.instances === 0;
      next.set(service, isWithoutCapacity ? known : demandShares.update(service, load, now));
    }
    const isChanged = [...next].some(([service, models]) => shares.get(service) !== models);
    if (isChanged || next.size !== shares.size) {
      shares = next;
      logShares();
    }
  };
  const logShares = (): void => {
    for (const [service, models] of shares) {
      const text = models.map(({ name, share }) => `${name}:${share.toFixed(2)}`).join(' ');
      logger.log('modelSharesChanged', { service, shares: text });
    }
  };
  const reconcile = (): void => {
    // Without the store, other gateways may take over the domains and change the plans.
    if (!board.storeReachability.read().reachable) {
      releaseAll();
      return;
    }
    // After the store was restored, serving engines look free until they rewrite their entries.
    if (options.contact.isSettling(board.fleetProof.read()?.at ?? -Infinity)) return;
    // Wait until the state of the other gateways is known before taking domains.
    if (clock.now() - startedAt < PEER_STATE_DELAY_MS) return;
    const ownerOf = getOwnerFinder();
    const domains = listDomains();
    let states: ReadonlyMap<string, DomainState> | undefined;
    for (const domain of domains) {
      const { key } = domain;
      const isOwner = ownerOf(domain) === settings.name;
      if (isOwner !== ownedKeys.has(key)) updateOwnership(key, domain.domain, isOwner);
      if (!isOwner || isEvacuated(board.evacuations.read(), domain.failureDomain)) continue;
      states ??= listStates(domains);
      const state = states.get(key);
      if (state) controllerFor(key).reconcile(state);
    }
  };
  const releaseAll = (): void => {
    if (ownedKeys.size === 0) return;
    logger.log('domainsReleased', { domains: ownedKeys.size });
    ownedKeys.clear();
    demandShares.reset();
    for (const controller of controllers.values()) controller.release();
  };
  const updateOwnership = (key: string, domain: string, isOwner: boolean): void => {
    const peers = board.peers.read().size;
    if (isOwner) ownedKeys.add(key);
    else {
      ownedKeys.delete(key);
      if (ownedKeys.size === 0) demandShares.reset();
      controllers.get(key)?.release();
    }
    logger.log(isOwner ? 'domainTaken' : 'domainLost', { domain, peers });
  };
  return {
    releaseAll,
    start: () => {
      ticking = context.ticker.every(RECONCILE_INTERVAL_MS, reconcile);
    },
    stop: () => {
      ticking?.stop();
    },
  };
}
