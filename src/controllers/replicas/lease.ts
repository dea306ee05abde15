/**
 * Ownership of a fabric domain's plan by a lease that every process judges with its own clock.
 *
 * The owner counts its lease from before it sent the write that renewed it; everybody else counts
 * from when they saw that write. So, whatever the answer's delay, the owner's lease ends first, by
 * the drift bound and by the span that its last order may take. No instant crosses processes.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan } from '../../objects/index.js';
import { hashFraction } from '../health/probes.js';
import { CLOCK_DRIFT } from './constants.js';
import { compareText } from './demand.js';

/** A lease that this entry holds. */
export interface HeldLease {
  term: number;
  /** Before the last write that renewed it and is known to have taken effect was sent. */
  sentAt: Milliseconds;
  leaseMs: Milliseconds;
  /** No order before: the former owner's last one may still be under way. */
  firstOrderAt: Milliseconds;
}

/** A plan as it was last seen, and when. */
export interface SeenPlan {
  plan: DomainPlan;
  /** When its last change was seen here. */
  changedAt: Milliseconds;
}

/** Share of a lease after which it is renewed: two renewals may be lost. */
const RENEWAL_SHARE = 1 / 3;

/** Share of the lease by which each lower choice of owner waits longer for the ones before it. */
const RANK_DELAY_SHARE = 1 / 4;

/** Renewals that fall into the longest wait of a watch of the plans. */
const RENEWALS_PER_WATCH = 2;

/**
 * How long a watch of the plans may wait at most.
 *
 * Guards against a watch whose connection went silent: the entry would go by plans of long ago and
 * send nothing to replicas that were formed meanwhile. Each owned domain is renewed in its plan, so
 * a watch that brings no news for two renewals is no contact, and a shorter wait makes no more calls.
 */
export function findPlanWatchMs(leaseMs: Milliseconds, watchMs: Milliseconds): Milliseconds {
  return Math.min(watchMs, leaseMs * RENEWAL_SHARE * RENEWALS_PER_WATCH);
}

/** When the holder must regard its lease as over. */
export function findLeaseEnd(lease: HeldLease): Milliseconds {
  return lease.sentAt + lease.leaseMs * (1 - CLOCK_DRIFT);
}

/**
 * Whether an order that takes `orderTimeoutMs` at most may be sent at `now`: it must end before the
 * lease does. Ask immediately before sending, with a clock that counts on while the process sleeps.
 *
 * An owner that was paused asks with the time after the pause and is told no.
 */
export function mayOrder(
  lease: HeldLease | undefined,
  now: Milliseconds,
  orderTimeoutMs: Milliseconds,
): boolean {
  if (lease === undefined || now < lease.firstOrderAt) return false;
  return now + orderTimeoutMs * (1 + CLOCK_DRIFT) <= findLeaseEnd(lease);
}

/** Whether it is time to renew. */
export function isRenewalDue(lease: HeldLease, now: Milliseconds): boolean {
  return now - lease.sentAt >= lease.leaseMs * RENEWAL_SHARE;
}

/** When an observer may regard the lease in `seen` as over; at once without an owner. */
export function findTakeOverTime(seen: SeenPlan): Milliseconds {
  const { owner } = seen.plan;
  if (owner === undefined) return seen.changedAt;
  return seen.changedAt + owner.leaseMs * (1 + CLOCK_DRIFT);
}

/** How much longer the entry of `rank` waits, so that the first choice usually wins alone. */
export function findRankDelay(rank: number, leaseMs: Milliseconds): Milliseconds {
  return rank * leaseMs * RANK_DELAY_SHARE;
}

/**
 * The first instant at which whoever takes the domain from `seen` may send an order: the old lease
 * is over and an order sent at its very end has timed out.
 */
export function findFirstOrderTime(seen: SeenPlan, orderTimeoutMs: Milliseconds): Milliseconds {
  return findTakeOverTime(seen) + orderTimeoutMs * (1 + CLOCK_DRIFT);
}

/** An entry that may own domains. */
export interface OwnerCandidate {
  name: string;
  region: string | undefined;
  failureDomain: string;
}

/** Where most of a domain's engines are. */
export interface DomainPlace {
  domain: string;
  region: string | undefined;
  failureDomain: string;
}

/**
 * The entries in the order in which they should own the domain: those of its failure domain first,
 * then its region, each by rendezvous hashing, so that domains spread over the entries and a lost
 * entry moves only its own.
 *
 * @example const [first] = rankOwners(place, entries);
 */
export function rankOwners(place: DomainPlace, entries: readonly OwnerCandidate[]): string[] {
  const scored = entries.map((entry) => ({ name: entry.name, score: scoreOwner(place, entry) }));
  scored.sort((a, b) => b.score - a.score || compareText(a.name, b.name));
  return scored.map(({ name }) => name);
}

function scoreOwner(place: DomainPlace, entry: OwnerCandidate): number {
  const hash = hashFraction(`${entry.name}/${place.domain}`);
  if (entry.failureDomain === place.failureDomain) return 2 + hash;
  if (place.region !== undefined && entry.region === place.region) return 1 + hash;
  return hash;
}
