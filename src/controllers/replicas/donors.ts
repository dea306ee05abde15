/**
 * Replicas whose members would serve better in another.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { isActive, type Draft } from './draft.js';
import { judgeStanding } from './standing.js';
import type { DomainInput } from './types.js';
import { rateDowntime } from './weigh.js';

/** What is asked of donors. */
export interface DonorRequest {
  model: Model;
  /** Instances that are missing. */
  needed: number;
  /** What the replica that they complete is worth; all donors together must cost less. */
  gain: number;
  /** The replica that is to be completed, which is no donor of its own. */
  exclude?: string;
}

interface Donor {
  replica: Replica;
  useful: number;
  cost: number;
}

/**
 * The cheapest replicas that together give what is needed; none when they cost more than the gain.
 *
 * A donor is less important, or it lacks a member itself and is not more important: of two replicas
 * that lack one member each, one can be made whole with the members of the other.
 */
export function chooseDonors(
  input: DomainInput,
  draft: Draft,
  request: DonorRequest,
  now: Milliseconds,
): Replica[] {
  const donors = listDonors(input, draft, request, now);
  donors.sort((a, b) => a.cost - b.cost || b.replica.fence - a.replica.fence);
  const chosen: Replica[] = [];
  let left = request.needed;
  let cost = 0;
  for (const donor of donors) {
    if (left <= 0) break;
    chosen.push(donor.replica);
    left -= donor.useful;
    cost += donor.cost;
  }
  return left <= 0 && cost < request.gain ? chosen : [];
}

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
    donors.push({ replica, useful, cost: estimateCost(input, replica, other, useful, isBroken) });
  }
  return donors;
}

/** A whole donor is down until instances are back; one that is down already loses its chance. */
function estimateCost(
  input: DomainInput,
  replica: Replica,
  model: Model,
  useful: number,
  isBroken: boolean,
): number {
  const { returnMs, formMs } = input.estimates;
  const idle = replica.members.length - useful;
  if (isBroken) return rateDowntime(input.objective, model, 0) * formMs;
  return rateDowntime(input.objective, model, idle) * returnMs;
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
