/**
 * What one entry knows of one domain's plan, and what it does about owning it.
 *
 * All changes of the object go through conditional writes, so of two entries that race only one
 * wins and the other learns of it. What the entry acts on is always a plan that it read or whose
 * writing was confirmed, never one that it merely wished to write.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan } from '../../objects/index.js';
import { checkPlanStep, type PlanFault } from './check-plan.js';
import {
  findFirstOrderTime,
  findLeaseEnd,
  findRankDelay,
  findTakeOverTime,
  isRenewalDue,
  type HeldLease,
} from './lease.js';
import type { PlanDecision } from './types.js';

/** Which start of which entry. */
export interface OwnerIdentity {
  entry: string;
  incarnation: string;
}

/** A stored plan. */
export interface StoredPlan {
  version: number;
  nonce: string;
  plan: DomainPlan;
}

/** What a write is for. Every write by the owner renews the lease as well. */
export type WritePurpose = 'take' | 'renew' | 'plan' | 'handOver';

/** A write whose end is not known. */
export interface PendingWrite {
  nonce: string;
  /** Before it was sent. */
  sentAt: Milliseconds;
  purpose: WritePurpose;
  /** For the lease that it brings. */
  firstOrderAt: Milliseconds;
}

/** One domain, as one entry knows it. Replaced, never changed in place. */
export interface DomainState {
  /** Undefined before anything was read, or while there is no such object. */
  stored: StoredPlan | undefined;
  /** When the last change was seen here; for an object that was never seen, since when. */
  changedAt: Milliseconds;
  lease: HeldLease | undefined;
  pending: PendingWrite | undefined;
  /** Nothing is written or ordered before the object was read again. */
  mustRead: boolean;
}

/** What to do about one domain. */
export type OwnerAction =
  | { kind: 'none' }
  /** Read the object, then decide again. */
  | { kind: 'read' }
  | { kind: 'write'; expected: number; plan: DomainPlan; purpose: WritePurpose }
  /** The plan breaks rules and is not written. */
  | { kind: 'refuse'; faults: readonly PlanFault[] };

/** What a decision on ownership goes by. */
export interface OwnerSituation {
  self: OwnerIdentity;
  /** Place among the entries that may own the domain, 0 for the first; undefined for none. */
  rank: number | undefined;
  leaseMs: Milliseconds;
}

const EMPTY_PLAN: DomainPlan = { fence: 0, replicas: [], spares: [] };

/**
 * The state before anything is known. A first write expects that there is no such object, so
 * whoever is mistaken loses it and learns what is stored.
 */
export function createDomainState(now: Milliseconds): DomainState {
  return {
    stored: undefined,
    changedAt: now,
    lease: undefined,
    pending: undefined,
    mustRead: false,
  };
}

/**
 * The state after `object` was seen, in a watch, a read or as the answer to a write. An older
 * version than the one known changes nothing.
 *
 * A write whose answer was lost is recognised by its nonce. Its lease counts from its sending.
 */
export function observePlan(
  state: DomainState,
  object: StoredPlan,
  self: OwnerIdentity,
  now: Milliseconds,
): DomainState {
  const known = state.stored?.version ?? -1;
  if (object.version < known) return state;
  const isOwn = state.pending?.nonce === object.nonce;
  if (object.version === known && !isOwn) return state;
  const changedAt = object.version === known ? state.changedAt : now;
  const next: DomainState = { ...state, stored: object, changedAt };
  const { owner } = object.plan;
  const isHeld = owner?.entry === self.entry && owner.incarnation === self.incarnation;
  if (owner === undefined || !isHeld) return { ...next, lease: undefined, pending: undefined };
  if (!isOwn || state.pending === undefined) {
    const lease = state.lease?.term === owner.term ? state.lease : undefined;
    return { ...next, lease };
  }
  const { sentAt, firstOrderAt, purpose } = state.pending;
  const lease = { term: owner.term, sentAt, leaseMs: owner.leaseMs, firstOrderAt };
  return { ...next, lease: purpose === 'handOver' ? undefined : lease, pending: undefined };
}

/**
 * The state after the object was read; `object` undefined when there is none. Whatever was pending
 * and is not the stored change has not taken effect and never will: its expected version is gone or
 * its call has ended.
 */
export function concludeRead(
  state: DomainState,
  object: StoredPlan | undefined,
  self: OwnerIdentity,
  now: Milliseconds,
): DomainState {
  const seen = object === undefined ? state : observePlan(state, object, self, now);
  return { ...seen, pending: undefined, mustRead: false };
}

/** The state after `write` was sent. */
export function beginWrite(state: DomainState, pending: PendingWrite): DomainState {
  return { ...state, pending };
}

/** The state after a write ended without a known outcome: the object must be read first. */
export function doubtWrite(state: DomainState): DomainState {
  return { ...state, mustRead: true };
}

/**
 * What to do now. `decision` is the planner's, for the owner alone.
 *
 * @example const action = decideOwnership(state, situation, planDomain(input, now), now);
 */
export function decideOwnership(
  state: DomainState,
  situation: OwnerSituation,
  decision: PlanDecision | undefined,
  now: Milliseconds,
): OwnerAction {
  if (state.mustRead) return { kind: 'read' };
  if (state.pending !== undefined) return { kind: 'none' };
  if (state.lease === undefined) return decideTakeOver(state, situation, now);
  return decideOwned(state, state.lease, decision, now);
}

/** The write that gives the domain away: the lease ends as soon as it is seen. */
export function decideHandOver(state: DomainState): OwnerAction {
  const owner = state.stored?.plan.owner;
  if (state.stored === undefined || owner === undefined) return { kind: 'none' };
  if (state.lease === undefined || state.mustRead || state.pending !== undefined) {
    return { kind: 'none' };
  }
  const renewal = owner.renewal + 1;
  const plan = { ...state.stored.plan, owner: { ...owner, leaseMs: 1, renewal } };
  return { kind: 'write', expected: state.stored.version, plan, purpose: 'handOver' };
}

/** When the lease that a write brings allows the first order. */
export function findOrderStart(
  state: DomainState,
  purpose: WritePurpose,
  orderTimeoutMs: Milliseconds,
): Milliseconds {
  if (purpose !== 'take' && state.lease !== undefined) return state.lease.firstOrderAt;
  const plan = state.stored?.plan ?? EMPTY_PLAN;
  return findFirstOrderTime({ plan, changedAt: state.changedAt }, orderTimeoutMs);
}

function decideTakeOver(
  state: DomainState,
  situation: OwnerSituation,
  now: Milliseconds,
): OwnerAction {
  const { rank, leaseMs, self } = situation;
  if (rank === undefined) return { kind: 'none' };
  const previous = state.stored?.plan ?? EMPTY_PLAN;
  const freeAt = findTakeOverTime({ plan: previous, changedAt: state.changedAt });
  if (now < freeAt + findRankDelay(rank, leaseMs)) return { kind: 'none' };
  const term = (previous.owner?.term ?? 0) + 1;
  const plan = { ...previous, owner: { ...self, term, leaseMs, renewal: 0 } };
  return createWrite(state, plan, 'take');
}

function decideOwned(
  state: DomainState,
  lease: HeldLease,
  decision: PlanDecision | undefined,
  now: Milliseconds,
): OwnerAction {
  const stored = state.stored?.plan;
  const owner = stored?.owner;
  if (stored === undefined || owner === undefined) return { kind: 'none' };
  const renewed = { ...owner, renewal: owner.renewal + 1 };
  // A lease that has run out is renewed before anything is planned on it.
  const mayPlan = now < findLeaseEnd(lease);
  if (mayPlan && decision?.changed === true) {
    return createWrite(state, { ...decision.plan, owner: renewed }, 'plan');
  }
  if (!isRenewalDue(lease, now)) return { kind: 'none' };
  return createWrite(state, { ...stored, owner: renewed }, 'renew');
}

function createWrite(state: DomainState, plan: DomainPlan, purpose: WritePurpose): OwnerAction {
  const faults = checkPlanStep(state.stored?.plan ?? EMPTY_PLAN, plan);
  if (faults.length > 0) return { kind: 'refuse', faults };
  return { kind: 'write', expected: state.stored?.version ?? 0, plan, purpose };
}
