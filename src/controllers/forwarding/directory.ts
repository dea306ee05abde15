/**
 * Lists the backend servers that can accept requests for a service or for a model of a service.
 */
import { groupBy } from '../../core/collections/index.js';
import type { BackendServer, ServingService } from '../../ports/index.js';
import { isEvacuated, type Evacuations } from '../evacuation/index.js';
import type { ServingFleet } from './fleet.js';

/** A backend server that accepts requests. For engines, the head of a complete replica. */
export interface Target {
  server: BackendServer;
  /** Ids of all replica members including the head; only the server itself for plain services. */
  members: readonly string[];
}

/** The targets of a service or model, split by failure domain. */
export interface TargetList {
  /** Targets in the failure domain of the requesting gateway. */
  near: readonly Target[];
  /** Targets in all other failure domains. */
  far: readonly Target[];
}

/** Finds the targets of a service or model; results are cached per fleet state. */
export interface TargetDirectory {
  find(service: ServingService, model: string | undefined): TargetList;
  /** Whether all servers of `service` that are not leaving are in evacuated failure domains. */
  isEvacuated(service: ServingService): boolean;
}

/**
 * Creates the directory of the targets in `fleet`, as seen from `failureDomain`.
 *
 * A replica is complete while each of its members is registered, reports the replica's group and
 * epoch, and is not leaving. The head of an incomplete replica still accepts requests, but they make
 * no progress until the head gives up the replica.
 *
 * Servers of evacuated failure domains are no targets, nor are replicas with members there.
 */
export function createTargetDirectory(
  fleet: ServingFleet,
  failureDomain: string,
  evacuations?: Evacuations,
): TargetDirectory {
  // Built on the first lookup: most fleet states are replaced before any lookup.
  let byService: ReadonlyMap<string, readonly BackendServer[]> | undefined;
  const cache = new Map<string, TargetList>();
  const isUsable = (server: BackendServer): boolean =>
    !isEvacuated(evacuations, server.failureDomain);
  const groupServers = (): ReadonlyMap<string, readonly BackendServer[]> => {
    const servers = [...fleet.servers.values()];
    const usable = evacuations === undefined ? servers : servers.filter(isUsable);
    return groupBy(usable, (server) => server.service);
  };
  return {
    find: (service, model) => {
      const key = `${service.name} ${model ?? ''}`;
      const known = cache.get(key);
      if (known) return known;
      byService ??= groupServers();
      const all = findTargets(byService.get(service.name) ?? [], service, model);
      const targets = splitByFailureDomain(all, failureDomain);
      cache.set(key, targets);
      return targets;
    },
    isEvacuated: ({ name }) => {
      if (evacuations?.source !== 'known') return false;
      const present = [...fleet.servers.values()].filter(
        ({ service, leaving }) => service === name && !leaving,
      );
      return present.length > 0 && !present.some(isUsable);
    },
  };
}

/** Splits `targets` into those in `failureDomain` and all others. */
export function splitByFailureDomain(
  targets: readonly Target[],
  failureDomain: string,
): TargetList {
  const isNear = ({ server }: Target): boolean => server.failureDomain === failureDomain;
  return { near: targets.filter(isNear), far: targets.filter((target) => !isNear(target)) };
}

function findTargets(
  servers: readonly BackendServer[],
  service: ServingService,
  model: string | undefined,
): Target[] {
  if (service.engine === undefined) {
    return servers
      .filter(({ leaving }) => !leaving)
      .map((server) => ({ server, members: [server.id] }));
  }
  const size = service.engine.models.find(({ name }) => name === model)?.size;
  if (size === undefined) return [];
  return listReplicas(servers)
    .filter(({ head, ranks }) => head.engine?.model === model && hasAllRanks(ranks, size))
    .map(({ head, members }) => ({ server: head, members: members.map(({ id }) => id) }));
}

/** Whether `ranks` holds each rank below `size` and no other. */
function hasAllRanks(ranks: ReadonlySet<number>, size: number): boolean {
  return ranks.size === size && [...ranks].every((rank) => rank < size);
}

interface Replica {
  head: BackendServer;
  members: readonly BackendServer[];
  /** Ranks reported by the members. */
  ranks: ReadonlySet<number>;
}

/**
 * Groups engine servers into replicas by group and epoch.
 *
 * When a registration was copied under another id, two members report the same rank. The replica
 * still counts as complete, and every member that reports rank 0 is listed as a head; the wrong one
 * rejects requests without running them.
 */
function listReplicas(servers: readonly BackendServer[]): Replica[] {
  const groups = groupBy(servers, ({ engine, leaving }) => {
    const membership = engine?.membership;
    return membership && !leaving ? `${membership.group} ${membership.epoch}` : undefined;
  });
  return [...groups.values()].flatMap((members) => {
    const memberRanks = members.map(({ engine }) => engine?.membership?.rank);
    const ranks = new Set(memberRanks.filter((rank) => rank !== undefined));
    const others = members.filter((_, index) => memberRanks[index] !== 0);
    return members
      .filter((_, index) => memberRanks[index] === 0)
      .filter(({ engine }) => engine?.membership?.state === 'open')
      .map((head) => ({ head, members: [head, ...others], ranks }));
  });
}
