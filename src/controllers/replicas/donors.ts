/**
 * Replicas whose members would serve better in another.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { isActive, type Draft } from './plan-draft.js';
import { judgeStanding } from './member-status.js';
import type { DomainInput } from './types.js';
import { rateDowntime } from './loss-costs.js';

/** What is asked of donors. */
export interface DonorRequest {
  model: Model;
  /** Instances that are missing. */
  needed: number;
  /** How long the donors are expected to be missed; their order of cost depends on it. */
  missedMs: Milliseconds;
  /** The replica that is to be completed, which is no donor of its own. */
  exclude?: string;
}

interface Donor {
  replica: Replica;
  useful: number;
  cost: number;
  missedRate: number;
}

/** Replicas to take apart, and what that costs altogether. */
export interface DonorChoice {
  donors: readonly Replica[];
  /** Once. */
  cost: number;
  /** For each millisecond until instances are back. */
  missedRate: number;
}

/**
 * The cheapest replicas that together give what is needed; undefined when all do not suffice.
 *
 * A donor is less important, or it lacks a member itself and is not more important: of two replicas
 * that lack one member each, one can be made whole with the members of the other.
 */
export function chooseDonors(
  input: DomainInput,
  draft: Draft,
  request: DonorRequest,
  now: Milliseconds,
): DonorChoice | undefined {
  const donors = listDonors(input, draft, request, now);
  const sum = (donor: Donor): number => donor.cost + donor.missedRate * request.missedMs;
  donors.sort((a, b) => sum(a) - sum(b) || b.replica.fence - a.replica.fence);
  const chosen: Replica[] = [];
  let left = request.needed;
  let cost = 0;
  let missedRate = 0;
  for (const donor of donors) {
    if (left <= 0) break;
    chosen.push(donor.replica);
    left -= donor.useful;
    cost += donor.cost;
    missedRate += donor.missedRate;
  }
  return left <= 0 ? { donors: chosen, cost, missedRate } : undefined;
}

/**
 * A whole donor is down until instances are back, and the members that it does not give are idle
 * for that time. One that lacks a member is down anyway and loses its chance to go on as it is.
 */
function listDonors(
  input: DomainInput,
  draft: Draft,
  request: DonorRequest,
  now: Milliseconds,
): Donor[] {
  const donors: Donor[] = [];
  for (const replica of draft.replicas) {
    if (!isActive(replica) || replica.id === request.exclude) continue;
    const other = input.models.get(replica.model);
    if (other === undefined) continue;
    const isBroken = isLackingMember(input, replica, now);
    const margin = request.model.importance - other.importance;
    const useful = countUseful(input, replica, request.model, now);
    if (useful === 0 || (isBroken ? margin < 0 : margin <= 0)) continue;
    const given = Math.min(useful, request.needed);
    const { objective, estimates } = input;
    const cost = isBroken ? rateDowntime(objective, other, 0) * estimates.formMs : 0;
    const idle = replica.members.length - given;
    const missedRate = isBroken ? 0 : rateDowntime(objective, other, idle);
    donors.push({ replica, useful, cost, missedRate });
  }
  return donors;
}

function isLackingMember(input: DomainInput, replica: Replica, now: Milliseconds): boolean {
  return replica.members.some((_, rank) => {
    const standing = judgeStanding(input, replica, rank, now);
    return standing.kind === 'absent' && standing.forMs >= input.estimates.lossMs;
  });
}

function countUseful(
  input: DomainInput,
  replica: Replica,
  model: Model,
  now: Milliseconds,
): number {
  return replica.members.filter(({ instance }, rank) => {
    const { kind } = judgeStanding(input, replica, rank, now);
    const labels = input.members.get(instance)?.instance.labels;
    if (labels === undefined || !matchesSelector(model.selector, labels)) return false;
    return kind === 'inPlace' || kind === 'unformed';
  }).length;
}
