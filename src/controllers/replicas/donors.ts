/**
 * Selects replicas to preempt so that their members can be used for another replica.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { isActive, type PlanDraft } from './plan-draft.js';
import { getMemberStatus } from './member-status.js';
import type { DomainInput } from './types.js';
import { calculateDowntimeRate } from './loss-costs.js';

/** Instances that a replica of `model` needs from others. */
export interface DonorRequest {
  model: Model;
  neededInstances: number;
  /** Expected time until lost instances return, for which donors stay down. */
  expectedReturnMs: Milliseconds;
  /** The replica to repair, which cannot be its own donor. */
  excludedReplica?: string;
}

interface Donor {
  replica: Replica;
  usableMembers: number;
  cost: number;
  downtimeRate: number;
}

/** Replicas to preempt, with their total cost. */
export interface DonorChoice {
  donors: readonly Replica[];
  /** One-time cost. */
  cost: number;
  /** Cost per millisecond until lost instances return. */
  downtimeRate: number;
}

/**
 * The cheapest replicas that together provide the needed instances; undefined if there are too few.
 *
 * A donor must be less important. If it lacks a member itself, equal importance is enough: of two
 * incomplete replicas, one can be completed with the members of the other.
 */
export function chooseDonors(
  input: DomainInput,
  draft: PlanDraft,
  request: DonorRequest,
  now: Milliseconds,
): DonorChoice | undefined {
  const donors = listDonors(input, draft, request, now);
  const totalCost = (donor: Donor): number =>
    donor.cost + donor.downtimeRate * request.expectedReturnMs;
  donors.sort((a, b) => totalCost(a) - totalCost(b) || b.replica.fence - a.replica.fence);
  const chosen: Replica[] = [];
  let missing = request.neededInstances;
  let cost = 0;
  let downtimeRate = 0;
  for (const donor of donors) {
    if (missing <= 0) break;
    chosen.push(donor.replica);
    missing -= donor.usableMembers;
    cost += donor.cost;
    downtimeRate += donor.downtimeRate;
  }
  return missing <= 0 ? { donors: chosen, cost, downtimeRate } : undefined;
}

/**
 * A complete donor is down until lost instances return, and its unused members idle meanwhile. An
 * incomplete donor is down already; preempting it only adds the time to form it anew.
 */
function listDonors(
  input: DomainInput,
  draft: PlanDraft,
  request: DonorRequest,
  now: Milliseconds,
): Donor[] {
  const donors: Donor[] = [];
  for (const replica of draft.replicas) {
    if (!isActive(replica) || replica.id === request.excludedReplica) continue;
    const donorModel = input.models.get(replica.model);
    if (donorModel === undefined) continue;
    const isIncomplete = hasLostMember(input, replica, now);
    const importanceGap = request.model.importance - donorModel.importance;
    const usableMembers = countUsableMembers(input, replica, request.model, now);
    if (usableMembers === 0 || (isIncomplete ? importanceGap < 0 : importanceGap <= 0)) continue;
    const taken = Math.min(usableMembers, request.neededInstances);
    const { objective, estimates } = input;
    const cost = isIncomplete
      ? calculateDowntimeRate(objective, donorModel, 0) * estimates.formMs
      : 0;
    const idle = replica.members.length - taken;
    const downtimeRate = isIncomplete ? 0 : calculateDowntimeRate(objective, donorModel, idle);
    donors.push({ replica, usableMembers, cost, downtimeRate });
  }
  return donors;
}

function hasLostMember(input: DomainInput, replica: Replica, now: Milliseconds): boolean {
  return replica.members.some((_, rank) => {
    const status = getMemberStatus(input, replica, rank, now);
    return status.kind === 'absent' && status.absentMs >= input.estimates.lossMs;
  });
}

function countUsableMembers(
  input: DomainInput,
  replica: Replica,
  model: Model,
  now: Milliseconds,
): number {
  return replica.members.filter(({ instance }, rank) => {
    const { kind } = getMemberStatus(input, replica, rank, now);
    const labels = input.members.get(instance)?.instance.labels;
    if (labels === undefined || !matchesSelector(model.selector, labels)) return false;
    return kind === 'inPlace' || kind === 'unformed';
  }).length;
}
