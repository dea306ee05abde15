/**
 * From host and path to a route.
 */
import type { Random } from '../../core/random/index.js';
import type { Route } from '../../ports/index.js';

/** Finds routes; the cost of a search grows with the depth of the path, not with the routes. */
export interface RouteTable {
  /** Of the host's routes, the one whose prefix is the longest that begins `path`. */
  match(host: string, path: string): Route | undefined;
}

/**
 * A table of `routes`. Hosts are compared without their port and case.
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

/** Prefixes end with a slash, so only the parts of the path that do so can match. */
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

/** Whether a request of `route` may run again, as far as the route's attempts go. */
export function isRepeatable({ repeatability, resumable }: Route): boolean {
  return repeatability === 'safe' || (repeatability === 'stream' && resumable);
}

/** One of the route's services, with the probability of its weight. */
export function pickService(route: Route, random: Random): string | undefined {
  const { targets } = route;
  if (targets.length <= 1) return targets[0]?.service;
  const sum = targets.reduce((total, { weight }) => total + weight, 0);
  let left = random.fraction() * sum;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)?.service;
}
