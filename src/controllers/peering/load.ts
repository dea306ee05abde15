/**
 * Sums of requests under way, by backend server.
 */

/** Requests under way at one backend server. */
type ServerLoad = readonly [server: string, requests: number];

/** Adds `loads` to `total`; with `sign` -1 takes them away, and no entry goes below zero. */
export function addLoad(
  total: Map<string, number>,
  loads: Iterable<ServerLoad>,
  sign: 1 | -1 = 1,
): void {
  for (const [server, requests] of loads) {
    const left = Math.max(0, (total.get(server) ?? 0) + sign * requests);
    if (left > 0) total.set(server, left);
    else total.delete(server);
  }
}
