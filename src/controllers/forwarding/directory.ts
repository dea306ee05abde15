/**
 * Which backend servers may take requests of a service, or of a model of a service.
 */
import { groupBy } from '../../core/collections/index.js';
import type { BackendServer, ServingService } from '../../ports/index.js';
import type { ServingFleet } from './fleet.js';

/** A backend server that takes requests. For engines it is the head of a whole replica. */
export interface Target {
  server: BackendServer;
  /** All members of the replica, the head included; the server alone for plain services. */
  members: readonly string[];
}

/** The targets of a service or model, apart by where they lie. */
export interface TargetList {
  /** In the failure domain of the one that asks. */
  near: readonly Target[];
  far: readonly Target[];
}

/** The targets of each service and model, worked out once for each state of the fleet. */
export interface TargetDirectory {
  find(service: ServingService, model: string | undefined): TargetList;
}

/**
 * The targets in `fleet`, as seen from `failureDomain`.
 *
 * A replica counts as whole while each of its members has an entry, reports the replica's group and
 * epoch, and is not leaving. Guards against requests that wait at a head whose member is gone: the
 * head accepts them, and nothing of them moves until it gives the replica up.
 */
export function createTargetDirectory(fleet: ServingFleet, failureDomain: string): TargetDirectory {
  // Made with the first question: most changes of the fleet come before anybody asks.
  let byService: ReadonlyMap<string, readonly BackendServer[]> | undefined;
  const cache = new Map<string, TargetList>();
  return {
    find: (service, model) => {
      const key = `${service.name} ${model ?? ''}`;
      const known = cache.get(key);
      if (known) return known;
      byService ??= groupBy(fleet.servers.values(), (server) => server.service);
      const all = findTargets(byService.get(service.name) ?? [], service, model);
      const found = splitByPlace(all, failureDomain);
      cache.set(key, found);
      return found;
    },
  };
}

/** `targets` by where they lie, as seen from `failureDomain`. */
export function splitByPlace(targets: readonly Target[], failureDomain: string): TargetList {
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
    .filter(({ head, places }) => head.engine?.model === model && isWhole(places, size))
    .map(({ head, members }) => ({ server: head, members: members.map(({ id }) => id) }));
}

/** Each place is taken, and there is none beyond the model's size. */
function isWhole(places: ReadonlySet<number>, size: number): boolean {
  return places.size === size && [...places].every((place) => place < size);
}

interface Replica {
  head: BackendServer;
  members: readonly BackendServer[];
  /** Places in the replica that a member has, by the members' own words. */
  places: ReadonlySet<number>;
}

/**
 * Guards against an entry that was copied under another name: one replica then has two members in
 * one place. It is whole all the same, and each that claims the head's place is a head; the wrong one
 * refuses what it gets unrun.
 */
function listReplicas(servers: readonly BackendServer[]): Replica[] {
  const groups = groupBy(servers, ({ engine, leaving }) => {
    const membership = engine?.membership;
    return membership && !leaving ? `${membership.group} ${membership.epoch}` : undefined;
  });
  return [...groups.values()].flatMap((members) => {
    const ranks = members.map(({ engine }) => engine?.membership?.rank);
    const places = new Set(ranks.filter((rank) => rank !== undefined));
    const others = members.filter((_, index) => ranks[index] !== 0);
    return members
      .filter((_, index) => ranks[index] === 0)
      .filter(({ engine }) => engine?.membership?.state === 'open')
      .map((head) => ({ head, members: [head, ...others], places }));
  });
}
