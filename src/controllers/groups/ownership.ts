/**
 * Which gateway plans the replicas of a fabric domain and sends their orders.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { rankByRendezvous } from '../membership/rendezvous.js';

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

/** The fabric domain, and what the gateway that asks knows of all others. */
export interface OwnerQuestion {
  /** Names the domain, alike at all gateways. */
  key: string;
  /** The failure domain that it lies in. */
  failureDomain: string;
  self: Pick<OwnerCandidate, 'name' | 'failureDomain'>;
  peers: readonly OwnerCandidate[];
  /** For how long the one that asks has heard the store without a break. */
  heardStoreForMs: Milliseconds;
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
export function findOwner(question: OwnerQuestion): string | undefined {
  const { key, failureDomain, self, peers, heardStoreForMs } = question;
  const isNews = heardStoreForMs >= PEERS_HEARD_MS;
  const candidates = [self, ...peers.filter((peer) => peer.storeReachable || !isNews)];
  const near = candidates.filter((candidate) => candidate.failureDomain === failureDomain);
  const names = (near.length > 0 ? near : candidates).map(({ name }) => name);
  return rankByRendezvous(names, key)[0];
}
