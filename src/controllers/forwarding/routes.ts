/**
 * Matches the host and path of a request to a route.
 */
import type { Random } from '../../core/random/index.js';
import type { Route } from '../../ports/index.js';

/** Finds routes; lookup cost grows with the depth of the path, not with the number of routes. */
export interface RouteTable {
  /** Returns the route of `host` with the longest prefix of `path`. */
  match(host: string, path: string): Route | undefined;
}

/**
 * Creates a lookup table of `routes`. Host comparison ignores port and case.
 *
 * @example createRouteTable(configuration.routes).match('passes.example', '/gate/check')
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const host = normalizeHost(route.host);
    const prefixes = hosts.get(host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(host, prefixes);
  }
  return {
    match: (host, path) => {
      const prefixes = hosts.get(normalizeHost(host));
      return prefixes && findLongest(prefixes, withoutQuery(path));
    },
  };
}

/** Prefixes end with a slash, so only path prefixes that end with one are looked up. */
function findLongest(prefixes: ReadonlyMap<string, Route>, path: string): Route | undefined {
  let end = path.length;
  while (end > 0) {
    const slash = path.lastIndexOf('/', end - 1);
    if (slash < 0) return undefined;
    const route = prefixes.get(path.slice(0, slash + 1));
    if (route !== undefined) return route;
    end = slash;
  }
  return undefined;
}

function withoutQuery(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}

function normalizeHost(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

/** Whether the route's settings allow running a request more than once. */
export function isRepeatable({ repeatability, resumable }: Route): boolean {
  return repeatability === 'safe' || (repeatability === 'stream' && resumable);
}

/** Picks one of the route's services by weighted random selection. */
export function pickService(route: Route, random: Random): string | undefined {
  const { targets } = route;
  if (targets.length <= 1) return targets[0]?.service;
  const totalWeight = targets.reduce((total, { weight }) => total + weight, 0);
  let remaining = random.fraction() * totalWeight;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)?.service;
}
