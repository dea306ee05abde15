/**
 * Which gateway plans the replicas of a fabric domain and sends their orders.
 */
import { rankByRendezvous } from '../membership/rendezvous.js';

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
}

/**
 * The owner by rendezvous among all gateways that reach the store. Those in the domain's own failure
 * domain come before all others: orders are short there and cost nothing between failure domains.
 */
export function findOwner({ key, failureDomain, self, peers }: OwnerQuestion): string | undefined {
  const candidates = [self, ...peers.filter(({ storeReachable }) => storeReachable)];
  const near = candidates.filter((candidate) => candidate.failureDomain === failureDomain);
  const names = (near.length > 0 ? near : candidates).map(({ name }) => name);
  return rankByRendezvous(names, key)[0];
}
