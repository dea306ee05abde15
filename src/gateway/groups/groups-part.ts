/**
 * Shares the fabric domains among the gateways and keeps those that are this one's.
 */
import { rankByRendezvous } from '../../controllers/membership/rendezvous.js';
import type { ModelWeights } from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
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
  weights(): ModelWeights;
}

const ROUND_EVERY_MS: Milliseconds = 100;
/** Others must have had the time to be heard before a domain without an owner is taken. */
const SETTLE_MS: Milliseconds = 700;

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

  const keeperOf = (key: string): DomainKeeper => {
    const known = keepers.get(key);
    if (known) return known;
    const created = createDomainKeeper(options);
    keepers.set(key, created);
    return created;
  };
  /**
   * All gateways that reach the store are candidates, those in the domain's own failure domain
   * before all others: orders are short there and cost nothing between failure domains.
   */
  const isOwner = (key: string, failureDomain: string): boolean => {
    const candidates = [
      { name: settings.name, failureDomain: settings.failureDomain },
      ...[...board.peers.read().values()].filter(({ storeReachable }) => storeReachable),
    ];
    const near = candidates.filter((candidate) => candidate.failureDomain === failureDomain);
    const names = (near.length > 0 ? near : candidates).map(({ name }) => name);
    return rankByRendezvous(names, key)[0] === settings.name;
  };
  const listDomains = (): DomainState[] => {
    const services = board.serving.read()?.services;
    if (services === undefined) return [];
    const beforeTraffic =
      !options.backends.hasServed() && [...board.peers.read().values()].every((p) => !p.hasServed);
    const domains = new Map<string, BackendServer[]>();
    for (const server of board.fleet.read().servers.values()) {
      if (server.engine === undefined || !services.get(server.service)?.engine) continue;
      const key = `${server.service} ${server.engine.fabricDomain}`;
      const servers = domains.get(key);
      if (servers) servers.push(server);
      else domains.set(key, [server]);
    }
    return [...domains.values()].flatMap((servers): DomainState[] => {
      const [first] = servers;
      const profile = first && services.get(first.service)?.engine;
      if (!first?.engine || !profile) return [];
      const { service } = first;
      const weights = options.weights();
      const domain = first.engine.fabricDomain;
      const loadSlots = Math.ceil(profile.loadsAtOnce / domains.size);
      return [{ service, domain, profile, servers, weights, beforeTraffic, loadSlots }];
    });
  };
  const round = (): void => {
    // Others may own the domains by now, and what is known of their plans is as old as the contact.
    if (!board.storeContact.read().reachable) {
      releaseAll();
      return;
    }
    if (clock.now() - startedAt < SETTLE_MS) return;
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
