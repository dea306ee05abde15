/**
 * Lease-based ownership of a fabric domain's plan, without synchronized clocks.
 *
 * The owner measures its lease from before it sent the renewing write; all others measure it from
 * when they observed that write. The owner's lease therefore always expires first, regardless of
 * delays, and the margins cover clock drift and its last order. Timestamps are never exchanged.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan } from '../../objects/index.js';
import { hashFraction } from '../health/probes.js';
import { CLOCK_DRIFT } from './constants.js';
import { compareCodeUnits } from './demand.js';

/** A lease that this entry holds. */
export interface HeldLease {
  term: number;
  /** When the last confirmed renewal was sent. */
  sentAt: Milliseconds;
  leaseMs: Milliseconds;
  /** Earliest time for an order; the previous owner's last one may be in transit until then. */
  firstOrderAt: Milliseconds;
}

/** A plan as last observed by this entry. */
export interface ObservedPlan {
  plan: DomainPlan;
  /** When this entry observed the last change. */
  changedAt: Milliseconds;
}

/** Fraction of the lease after which it is renewed; tolerates two lost renewals. */
const RENEWAL_FRACTION = 1 / 3;

/** Fraction of the lease that each lower-ranked candidate waits longer before taking over. */
const RANK_DELAY_FRACTION = 1 / 4;

/** Renewal intervals in the longest wait of a plan watch. */
const RENEWALS_PER_WATCH = 2;

/**
 * The longest wait of a plan watch.
 *
 * Guards against a silently broken connection, which would leave the entry with outdated plans. Each
 * renewal changes a plan, so a watch without changes for two renewal intervals is considered broken,
 * and the shorter wait adds no calls.
 */
export function findPlanWatchMs(leaseMs: Milliseconds, watchMs: Milliseconds): Milliseconds {
  return Math.min(watchMs, leaseMs * RENEWAL_FRACTION * RENEWALS_PER_WATCH);
}

/** When the lease expires for its holder. */
export function findLeaseEnd(lease: HeldLease): Milliseconds {
  return lease.sentAt + lease.leaseMs * (1 - CLOCK_DRIFT);
}

/**
 * Whether an order with a timeout of `orderTimeoutMs` may be sent at `now`: it must end before the
 * lease expires. Call it immediately before sending, with a clock that advances while the process is
 * suspended, so that an owner resumed after its lease expired sends nothing.
 */
export function mayOrder(
  lease: HeldLease | undefined,
  now: Milliseconds,
  orderTimeoutMs: Milliseconds,
): boolean {
  if (lease === undefined || now < lease.firstOrderAt) return false;
  return now + orderTimeoutMs * (1 + CLOCK_DRIFT) <= findLeaseEnd(lease);
}

export function isRenewalDue(lease: HeldLease, now: Milliseconds): boolean {
  return now - lease.sentAt >= lease.leaseMs * RENEWAL_FRACTION;
}

/** When the lease in `observed` expires for other entries; without an owner, immediately. */
export function findTakeOverTime(observed: ObservedPlan): Milliseconds {
  const { owner } = observed.plan;
  if (owner === undefined) return observed.changedAt;
  return observed.changedAt + owner.leaseMs * (1 + CLOCK_DRIFT);
}

/** Additional wait of the candidate at `rank`, so that the preferred one usually has no contender. */
export function findRankDelay(rank: number, leaseMs: Milliseconds): Milliseconds {
  return rank * leaseMs * RANK_DELAY_FRACTION;
}

/**
 * The earliest time at which a new owner may send an order: the previous lease has expired and an
 * order sent just before its expiry has timed out.
 */
export function findFirstOrderTime(
  observed: ObservedPlan,
  orderTimeoutMs: Milliseconds,
): Milliseconds {
  return findTakeOverTime(observed) + orderTimeoutMs * (1 + CLOCK_DRIFT);
}

/** An entry eligible to own domains. */
export interface OwnerCandidate {
  name: string;
  region: string | undefined;
  failureDomain: string;
}

/** Location of most of a domain's engines. */
export interface DomainLocation {
  domain: string;
  region: string | undefined;
  failureDomain: string;
}

/**
 * Ranks the entries as owners of the domain: those in its failure domain first, then those in its
 * region. Rendezvous hashing within each group distributes the domains, and a lost entry only moves
 * the domains that it owned.
 *
 * @example const [first] = rankOwners(location, entries);
 */
export function rankOwners(location: DomainLocation, entries: readonly OwnerCandidate[]): string[] {
  const scores = entries.map((entry) => ({ name: entry.name, score: scoreOwner(location, entry) }));
  scores.sort((a, b) => b.score - a.score || compareCodeUnits(a.name, b.name));
  return scores.map(({ name }) => name);
}

function scoreOwner(location: DomainLocation, entry: OwnerCandidate): number {
  const hash = hashFraction(`${entry.name}/${location.domain}`);
  if (entry.failureDomain === location.failureDomain) return 2 + hash;
  if (location.region !== undefined && entry.region === location.region) return 1 + hash;
  return hash;
}
