/**
 * Sums of requests in flight by backend server.
 */

/** Number of requests in flight at one backend server. */
type ServerLoad = readonly [server: string, requests: number];

/** Adds `loads` to `total`, or subtracts them if `sign` is -1. Entries never go below zero. */
export function addLoad(
  total: Map<string, number>,
  loads: Iterable<ServerLoad>,
  sign: 1 | -1 = 1,
): void {
  for (const [server, requests] of loads) {
    const remaining = Math.max(0, (total.get(server) ?? 0) + sign * requests);
    if (remaining > 0) total.set(server, remaining);
    else total.delete(server);
  }
}
