/**
 * The plan in the making: each step of the planner changes the draft and notes why.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Replica } from '../../objects/index.js';
import type { DomainInput, PlanReason, RetireCause } from './types.js';
import { judgeStanding } from './member-status.js';

/** Owned by one call of `planDomain`; changed in place by its steps. */
export interface Draft {
  fence: number;
  replicas: Replica[];
  spares: string[];
  reasons: PlanReason[];
}

/**
 * A draft that starts from the plan in force. An instance that came from another fabric domain has
 * seen that domain's numbers and would refuse lower ones, so the count goes on above them.
 */
export function openDraft(input: DomainInput): Draft {
  const seen = [...input.members.values()].map(({ health }) => health?.report?.fence ?? 0);
  const replicas = [...input.plan.replicas];
  return { fence: Math.max(input.plan.fence, ...seen), replicas, spares: [], reasons: [] };
}

/** The draft as a plan; `previous` when nothing that is stored differs. */
export function closeDraft(draft: Draft, previous: DomainPlan): DomainPlan {
  const isSame =
    isSameList(draft.replicas, previous.replicas) && isSameList(draft.spares, previous.spares);
  if (isSame) return previous;
  return { ...previous, fence: draft.fence, replicas: draft.replicas, spares: draft.spares };
}

/** Puts `replica` in the place of the one with its id. */
export function replaceReplica(draft: Draft, replica: Replica): void {
  const at = draft.replicas.findIndex(({ id }) => id === replica.id);
  draft.replicas[at] = replica;
}

/** The next fencing number. */
export function nextFence(draft: Draft): number {
  draft.fence += 1;
  return draft.fence;
}

/** Whether the replica is to serve now or later. */
export function isActive({ phase }: Pick<Replica, 'phase'>): boolean {
  return phase === 'planned' || phase === 'loading' || phase === 'whole';
}

/**
 * Takes `replica` out of service: it drains when its leader still answers requests, else its
 * members are released at once. Either gets a new number, so that an order that was sent for the
 * former phase and is late changes nothing any more.
 */
export function retireReplica(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  cause: RetireCause,
  now: Milliseconds,
): void {
  const phase = canDrain(input, replica, now) ? 'draining' : 'released';
  replaceReplica(draft, { ...replica, phase, fence: nextFence(draft) });
  draft.reasons.push({ kind: 'retired', replica: replica.id, cause });
}

function canDrain(input: DomainInput, replica: Replica, now: Milliseconds): boolean {
  if (replica.phase !== 'whole') return false;
  const standing = judgeStanding(input, replica, 0, now);
  if (standing.kind === 'inPlace') return standing.ready;
  return standing.kind === 'leaving' && holdsReplica(input, replica);
}

function holdsReplica(input: DomainInput, replica: Replica): boolean {
  const leader = replica.members[0]?.instance ?? '';
  const report = input.members.get(leader)?.health?.report;
  return report?.replica?.id === replica.id && report.state !== 'failed';
}

function isSameList(a: readonly unknown[], b: readonly unknown[]): boolean {
  if (a.length !== b.length) return false;
  return a.every((value, at) => value === b[at] || JSON.stringify(value) === JSON.stringify(b[at]));
}
