/**
 * Chooses the gateway that relays a request to a backend server that this gateway does not reach.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';

/** A gateway that may relay requests. */
export interface RelayPeer {
  name: string;
  address: string;
  failureDomain: string;
  /** Services whose servers it does not reach itself. */
  cutOffFrom: readonly string[];
}

export interface RelayQuery {
  service: string;
  /** A relay in one of these adds no traffic between failure domains. */
  preferredDomains: readonly string[];
  /** Names of peers that have already been tried. */
  excluded: ReadonlySet<string>;
}

/** Time for which a peer that could not relay a request is only a last resort. */
const AVOID_MS: Milliseconds = 1_000;

/** Remembers which peers could not relay. Mutable; has a single owner. */
export class RelayPeers {
  private readonly avoidedUntil = new Map<string, Milliseconds>();

  /** Records that a peer could not relay a request. */
  avoid(name: string, now: Milliseconds): void {
    this.avoidedUntil.set(name, now + AVOID_MS);
  }

  /** A random peer of those that fit best; undefined if none reaches the service. */
  choose(
    peers: Iterable<RelayPeer>,
    query: RelayQuery,
    now: Milliseconds,
    random: Random,
  ): RelayPeer | undefined {
    const { service, preferredDomains, excluded } = query;
    const usable = [...peers].filter(
      ({ name, cutOffFrom }) => !excluded.has(name) && !cutOffFrom.includes(service),
    );
    const reliable = usable.filter(({ name }) => (this.avoidedUntil.get(name) ?? 0) <= now);
    const near = reliable.filter(({ failureDomain }) => preferredDomains.includes(failureDomain));
    const best = [near, reliable, usable].find((group) => group.length > 0);
    return best?.[random.below(best.length)];
  }
}

/** Whether any of the peers reaches the service. */
export function isReachedByAny(peers: Iterable<RelayPeer>, service: string): boolean {
  for (const { cutOffFrom } of peers) if (!cutOffFrom.includes(service)) return true;
  return false;
}
