/**
 * State machine for the ownership of one domain's plan by one entry.
 *
 * The plan is changed only by conditional writes, so only one of two racing entries succeeds and the
 * other sees a conflict. An entry acts only on plans that it read or whose write was confirmed.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan } from '../../objects/index.js';
import { checkPlanTransition, type PlanFault } from './check-plan.js';
import {
  findFirstOrderTime,
  findLeaseEnd,
  findRankDelay,
  findTakeOverTime,
  isRenewalDue,
  type HeldLease,
} from './lease.js';
import type { PlanDecision } from './types.js';

/** One incarnation of an entry. */
export interface OwnerIdentity {
  entry: string;
  incarnation: string;
}

/** A plan with its version and the nonce of its last write. */
export interface StoredPlan {
  version: number;
  nonce: string;
  plan: DomainPlan;
}

/** Purpose of a write. Every write by the owner also renews the lease. */
export type WritePurpose = 'take' | 'renew' | 'plan' | 'handOver';

/** A write whose outcome is not known yet. */
export interface PendingWrite {
  nonce: string;
  /** Taken before sending. */
  sentAt: Milliseconds;
  purpose: WritePurpose;
  /** Earliest order under the lease that this write establishes. */
  firstOrderAt: Milliseconds;
}

/** State of one domain in one entry; immutable. */
export interface DomainState {
  /** Undefined until first read, or if no plan is stored. */
  stored: StoredPlan | undefined;
  /** When the last change was observed; if none was, when this state was created. */
  changedAt: Milliseconds;
  lease: HeldLease | undefined;
  pending: PendingWrite | undefined;
  /** The plan must be read again before any write or order. */
  mustRead: boolean;
}

/** The next action for one domain. */
export type OwnerAction =
  | { kind: 'none' }
  /** Read the plan, then decide again. */
  | { kind: 'read' }
  | { kind: 'write'; expected: number; plan: DomainPlan; purpose: WritePurpose }
  /** The plan violates invariants and is not written. */
  | { kind: 'refuse'; faults: readonly PlanFault[] };

/** Context for a decision on ownership. */
export interface OwnershipContext {
  self: OwnerIdentity;
  /** Position among the candidate owners, starting at 0; undefined if not a candidate. */
  rank: number | undefined;
  leaseMs: Milliseconds;
}

const EMPTY_PLAN: DomainPlan = { fence: 0, replicas: [], spares: [] };

/**
 * The initial state. A first write expects that no plan is stored; if one is, the write conflicts
 * and returns it.
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
 * The state after observing `object` in a watch, a read or a write response. Older versions are
 * ignored.
 *
 * A write whose response was lost is recognized by its nonce; its lease starts when it was sent.
 */
export function observePlan(
  state: DomainState,
  object: StoredPlan,
  self: OwnerIdentity,
  now: Milliseconds,
): DomainState {
  const knownVersion = state.stored?.version ?? -1;
  if (object.version < knownVersion) return state;
  const isOwnWrite = state.pending?.nonce === object.nonce;
  if (object.version === knownVersion && !isOwnWrite) return state;
  const changedAt = object.version === knownVersion ? state.changedAt : now;
  const next: DomainState = { ...state, stored: object, changedAt };
  const { owner } = object.plan;
  const isOwner = owner?.entry === self.entry && owner.incarnation === self.incarnation;
  if (owner === undefined || !isOwner) return { ...next, lease: undefined, pending: undefined };
  if (!isOwnWrite || state.pending === undefined) {
    const lease = state.lease?.term === owner.term ? state.lease : undefined;
    return { ...next, lease };
  }
  const { sentAt, firstOrderAt, purpose } = state.pending;
  const lease = { term: owner.term, sentAt, leaseMs: owner.leaseMs, firstOrderAt };
  return { ...next, lease: purpose === 'handOver' ? undefined : lease, pending: undefined };
}

/**
 * The state after reading the plan; `object` is undefined if none is stored. A pending write that is
 * not the stored change can no longer take effect: its expected version is outdated or its call has
 * ended.
 */
export function applyRead(
  state: DomainState,
  object: StoredPlan | undefined,
  self: OwnerIdentity,
  now: Milliseconds,
): DomainState {
  const observed = object === undefined ? state : observePlan(state, object, self, now);
  return { ...observed, pending: undefined, mustRead: false };
}

/** The state after sending a write. */
export function beginWrite(state: DomainState, pending: PendingWrite): DomainState {
  return { ...state, pending };
}

/** The state after a write with an unknown outcome: the plan must be read first. */
export function markWriteUncertain(state: DomainState): DomainState {
  return { ...state, mustRead: true };
}

/**
 * Decides the next action. `decision` comes from the planner and is used only by the owner.
 *
 * @example const action = decideOwnership(state, context, planDomain(input, now), now);
 */
export function decideOwnership(
  state: DomainState,
  context: OwnershipContext,
  decision: PlanDecision | undefined,
  now: Milliseconds,
): OwnerAction {
  if (state.mustRead) return { kind: 'read' };
  if (state.pending !== undefined) return { kind: 'none' };
  if (state.lease === undefined) return decideTakeOver(state, context, now);
  return decideAsOwner(state, state.lease, decision, now);
}

/** The write that hands the domain over: the shortened lease expires as soon as it is observed. */
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

/** Earliest time for an order under the lease that a write establishes. */
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
  context: OwnershipContext,
  now: Milliseconds,
): OwnerAction {
  const { rank, leaseMs, self } = context;
  if (rank === undefined) return { kind: 'none' };
  const previous = state.stored?.plan ?? EMPTY_PLAN;
  const leaseEndsAt = findTakeOverTime({ plan: previous, changedAt: state.changedAt });
  if (now < leaseEndsAt + findRankDelay(rank, leaseMs)) return { kind: 'none' };
  const term = (previous.owner?.term ?? 0) + 1;
  const plan = { ...previous, owner: { ...self, term, leaseMs, renewal: 0 } };
  return createWriteAction(state, plan, 'take');
}

function decideAsOwner(
  state: DomainState,
  lease: HeldLease,
  decision: PlanDecision | undefined,
  now: Milliseconds,
): OwnerAction {
  const stored = state.stored?.plan;
  const owner = stored?.owner;
  if (stored === undefined || owner === undefined) return { kind: 'none' };
  const renewedOwner = { ...owner, renewal: owner.renewal + 1 };
  // An expired lease must be renewed before a plan is written under it.
  const mayPlan = now < findLeaseEnd(lease);
  if (mayPlan && decision?.changed === true) {
    return createWriteAction(state, { ...decision.plan, owner: renewedOwner }, 'plan');
  }
  if (!isRenewalDue(lease, now)) return { kind: 'none' };
  return createWriteAction(state, { ...stored, owner: renewedOwner }, 'renew');
}

function createWriteAction(
  state: DomainState,
  plan: DomainPlan,
  purpose: WritePurpose,
): OwnerAction {
  const faults = checkPlanTransition(state.stored?.plan ?? EMPTY_PLAN, plan);
  if (faults.length > 0) return { kind: 'refuse', faults };
  return { kind: 'write', expected: state.stored?.version ?? 0, plan, purpose };
}
