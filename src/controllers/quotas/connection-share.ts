/**
 * How many idle connections one gateway keeps to a backend server.
 *
 * A server resets connections beyond the number that it accepts from all gateways together.
 */

/** Most idle connections that are worth keeping to one server. */
const MAX_IDLE = 8;
/** Part of a server's connections that may be idle; the rest is for requests in flight. */
const IDLE_FRACTION = 0.75;

/**
 * Returns the limit for each of `gateways` that share the `maxConnections` of a server.
 *
 * @example idleConnectionLimit(110, 69) // 1
 */
export function idleConnectionLimit(maxConnections: number, gateways: number): number {
  return Math.min(MAX_IDLE, Math.floor((maxConnections * IDLE_FRACTION) / gateways));
}
