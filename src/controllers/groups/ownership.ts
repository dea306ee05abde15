/**
 * Which gateway plans the replicas of a fabric domain and sends their orders.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy } from '../../core/collections/index.js';
import { findByRendezvous } from '../membership/rendezvous.js';

/**
 * The slowest news of another gateway take 600 ms, that between failure domains; a tick is added. After
 * this what it said last was said with the store back, if it hears the store at all.
 */
export const PEERS_HEARD_MS: Milliseconds = 700;

/** A gateway as one that asks for the owner knows it. */
export interface OwnerCandidate {
  name: string;
  failureDomain: string;
  storeReachable: boolean;
}

/** What the gateway that asks knows of all others. */
export interface KnownCandidates {
  self: Pick<OwnerCandidate, 'name' | 'failureDomain'>;
  peers: readonly OwnerCandidate[];
  /** What they last said of their contact with the store is from after its return. */
  isHeard: boolean;
}

/** A fabric domain. */
export interface OwnedDomain {
  /** Names the domain, alike at all gateways. */
  key: string;
  /** The failure domain that it lies in. */
  failureDomain: string;
}

/** Names the owner of each domain that it is asked for. */
export type OwnerFinder = (domain: OwnedDomain) => string | undefined;

/**
 * Whether what others last said of their contact with the store is from after its return, where the one
 * that asks has heard it without a break for `heardStoreForMs`.
 */
export function areCandidatesHeard(heardStoreForMs: Milliseconds): boolean {
  return heardStoreForMs >= PEERS_HEARD_MS;
}

/**
 * The owner by rendezvous among all gateways that reach the store. Those in the domain's own failure
 * domain come before all others: orders are short there and cost nothing between failure domains.
 *
 * Guards against a domain with many owners at the store's return: each gateway knows of all others
 * only that they did not reach it, and would send all orders by itself. Until they can have been
 * heard again, all that live are candidates, on whom all agree; the domains of one that stays cut
 * off wait for {@link PEERS_HEARD_MS} at most.
 */
export function createOwnerFinder({ self, peers, isHeard }: KnownCandidates): OwnerFinder {
  const candidates = [self, ...peers.filter((peer) => peer.storeReachable || !isHeard)];
  const all = candidates.map(({ name }) => name);
  const near = groupBy(candidates, ({ failureDomain }) => failureDomain);
  const nearNames = new Map(
    [...near].map(([domain, list]) => [domain, list.map(({ name }) => name)]),
  );
  return ({ key, failureDomain }) => findByRendezvous(nearNames.get(failureDomain) ?? all, key);
}
