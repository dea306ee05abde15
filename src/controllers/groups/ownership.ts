/**
 * Determines which gateway owns a fabric domain, that is, plans its replicas and sends the orders.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy } from '../../core/collections/index.js';
import { findByRendezvous } from '../membership/rendezvous.js';

/**
 * Time after which the state received from every peer is current: the 600 ms between two exchanges across
 * failure domains, and a tick.
 */
export const PEER_STATE_DELAY_MS: Milliseconds = 700;

/** A gateway that may own fabric domains. */
export interface OwnerCandidate {
  name: string;
  failureDomain: string;
  storeReachable: boolean;
  /** Services whose engines it can't give orders to. */
  cutOffFrom: readonly string[];
}

/** One gateway's view of all candidates. */
export interface OwnerFinderInput {
  self: Omit<OwnerCandidate, 'storeReachable'>;
  peers: readonly OwnerCandidate[];
  /** Whether `storeReachable` of the peers was reported after the store became reachable. */
  isPeerStateCurrent: boolean;
}

/** A service in a fabric domain. Immutable. */
export interface OwnedDomain {
  /** Identifies the domain on all gateways. */
  key: string;
  service: string;
  /** The failure domain that contains it. */
  failureDomain: string;
}

/** Returns the name of the gateway that owns a domain. */
export type OwnerFinder = (domain: OwnedDomain) => string | undefined;

/** Whether the state of all peers was received since the store became reachable. */
export function hasReceivedPeerState(storeReachableForMs: Milliseconds): boolean {
  return storeReachableForMs >= PEER_STATE_DELAY_MS;
}

/**
 * Selects owners by rendezvous hashing over the gateways that reach the store and the engines,
 * preferring those in the same failure domain.
 *
 * Right after a store outage, every gateway still sees all others as disconnected and would own all
 * domains. Until their state is current, all gateways are therefore candidates. Domains assigned to a
 * gateway that is still disconnected have no owner for up to {@link PEER_STATE_DELAY_MS}.
 */
export function createOwnerFinder({
  self,
  peers,
  isPeerStateCurrent,
}: OwnerFinderInput): OwnerFinder {
  const candidates = [self, ...peers.filter((peer) => peer.storeReachable || !isPeerStateCurrent)];
  const byService = new Map<string, OwnerNames>();
  const namesFor = (service: string): OwnerNames => {
    const known = byService.get(service);
    if (known) return known;
    const names = listNames(candidates.filter(({ cutOffFrom }) => !cutOffFrom.includes(service)));
    byService.set(service, names);
    return names;
  };
  // Every gateway asks for the owner of each domain ten times a second.
  const owners = new WeakMap<OwnedDomain, string>();
  return (domain) => {
    const known = owners.get(domain);
    if (known !== undefined) return known;
    const { all, byFailureDomain } = namesFor(domain.service);
    const names = byFailureDomain.get(domain.failureDomain) ?? all;
    const owner = findByRendezvous(names, domain.key);
    if (owner !== undefined) owners.set(domain, owner);
    return owner;
  };
}

/** Names of the candidates for one service. */
interface OwnerNames {
  all: readonly string[];
  byFailureDomain: ReadonlyMap<string, readonly string[]>;
}

function listNames(candidates: readonly OwnerFinderInput['self'][]): OwnerNames {
  const grouped = groupBy(candidates, ({ failureDomain }) => failureDomain);
  const byFailureDomain = new Map(
    [...grouped].map(([domain, list]) => [domain, list.map(({ name }) => name)]),
  );
  return { all: candidates.map(({ name }) => name), byFailureDomain };
}
