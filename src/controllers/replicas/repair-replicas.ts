/**
 * Handles replicas that lost a member or no longer match their model.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { sortByImportance } from './demand.js';
import { chooseDonors, type DonorChoice } from './donors.js';
import { isActive, retireReplica, type PlanDraft } from './plan-draft.js';
import { getLossScore } from './loss-history.js';
import { listFreeInstances } from './free-instances.js';
import { getMemberStatus, type MemberStatus } from './member-status.js';
import type { DomainInput, RetireCause } from './types.js';
import {
  chooseWait,
  estimateReplacementMs,
  estimateReturnMs,
  calculateDowntimeRate,
} from './loss-costs.js';

/** A replica with the status of its members. */
interface ReplicaAssessment {
  replica: Replica;
  model: Model;
  statuses: MemberStatus[];
}

/** Repairs or retires active replicas, those of the most important models first. */
export function repairReplicas(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  retireOutdated(input, draft, now);
  for (const { name } of sortByImportance(input.models)) {
    const ids = draft.replicas.filter(({ model }) => model === name).map(({ id }) => id);
    for (const id of ids) {
      // Read again: the replica may have been preempted in an earlier iteration.
      const replica = draft.replicas.find((other) => other.id === id);
      if (replica !== undefined && isActive(replica)) repairReplica(input, draft, replica, now);
    }
  }
}

function retireOutdated(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  const changingModels = new Set<string>();
  for (const replica of draft.replicas) {
    if (replica.phase !== 'whole') changingModels.add(replica.model);
  }
  for (const replica of [...draft.replicas]) {
    if (!isActive(replica)) continue;
    const model = input.models.get(replica.model);
    if (model === undefined) {
      retireReplica(input, draft, replica, { kind: 'modelGone' }, now);
      continue;
    }
    if (matchesModel(input, replica, model)) continue;
    // Rolling update: retire one whole replica of a model at a time.
    if (replica.phase === 'whole' && changingModels.has(replica.model)) continue;
    changingModels.add(replica.model);
    retireReplica(input, draft, replica, { kind: 'modelChanged' }, now);
  }
}

function matchesModel(input: DomainInput, replica: Replica, model: Model): boolean {
  if (replica.weights !== model.weights) return false;
  if (replica.members.length !== model.replicaSize) return false;
  return replica.members.every(({ instance }) => {
    const labels = input.members.get(instance)?.instance.labels;
    return labels === undefined || matchesSelector(model.selector, labels);
  });
}

function repairReplica(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  now: Milliseconds,
): void {
  const model = input.models.get(replica.model);
  if (model === undefined) return;
  const statuses = replica.members.map((_, rank) => getMemberStatus(input, replica, rank, now));
  const assessment = { replica, model, statuses };
  const cause = findMandatoryCause(assessment) ?? decideReplacement(input, draft, assessment, now);
  if (cause !== undefined) retireReplica(input, draft, replica, cause, now);
}

/** A cause that requires retiring the replica, since a member lost its state or has to leave. */
function findMandatoryCause({ replica, statuses }: ReplicaAssessment): RetireCause | undefined {
  for (const [rank, status] of statuses.entries()) {
    const member = replica.members[rank]?.instance ?? '';
    if (status.kind === 'leaving') return { kind: 'memberLeaving', member };
    if (status.kind === 'restarted') return { kind: 'memberRestarted', member };
    if (status.kind === 'gone') return { kind: 'memberGone', member };
    if (status.kind === 'moved') return { kind: 'memberMoved', member };
  }
  return undefined;
}

/**
 * Decides between waiting for the lost member and replacing it with a free instance or with members
 * of another replica. Without a replacement it always waits, as retiring the replica would only
 * leave its healthy members idle.
 */
function decideReplacement(
  input: DomainInput,
  draft: PlanDraft,
  assessment: ReplicaAssessment,
  now: Milliseconds,
): RetireCause | undefined {
  const { replica, model, statuses } = assessment;
  const { estimates, objective } = input;
  const lost = findLongestAbsent(assessment, estimates.lossMs);
  if (lost === undefined) return undefined;
  const healthy = statuses.filter(({ kind }) => kind !== 'absent').length;
  const downtimeRate = calculateDowntimeRate(objective, model, healthy);
  const expectedReturnMs = estimateReturnMs(estimates, lost.absentMs);
  const neededInstances = model.replicaSize - healthy - countReplacements(input, draft, model, now);
  const request = { model, neededInstances, expectedReturnMs, excludedReplica: replica.id };
  const choice = neededInstances <= 0 ? NO_DONORS : chooseDonors(input, draft, request, now);
  if (choice !== undefined) {
    const replacementCost = downtimeRate * estimateReplacementMs(estimates) + choice.cost;
    const score = getLossScore(input.history, estimates, lost.member, now);
    const { downtimeRate: donorDowntimeRate } = choice;
    const priorLosses = Math.max(0, score - 1);
    const costs = { downtimeRate, replacementCost, donorDowntimeRate, priorLosses };
    const { waitMs, cost } = chooseWait(estimates, lost.absentMs, costs);
    if (waitMs === 0) {
      retireDonors(input, draft, replica, choice.donors, now);
      return { kind: 'memberReplaced', member: lost.member, cost };
    }
  }
  draft.reasons.push({ kind: 'waiting', replica: replica.id, member: lost.member });
  return undefined;
}

const NO_DONORS: DonorChoice = { donors: [], cost: 0, downtimeRate: 0 };

function retireDonors(
  input: DomainInput,
  draft: PlanDraft,
  replica: Replica,
  donors: readonly Replica[],
  now: Milliseconds,
): void {
  const cause: RetireCause = { kind: 'preempted', beneficiary: replica.model };
  for (const donor of donors) retireReplica(input, draft, donor, cause, now);
}

interface LostMember {
  member: string;
  absentMs: Milliseconds;
}

/** The member absent for the longest time, if that exceeds the loss timeout. */
function findLongestAbsent(
  { replica, statuses }: ReplicaAssessment,
  lossMs: Milliseconds,
): LostMember | undefined {
  let lost: LostMember | undefined;
  for (const [rank, status] of statuses.entries()) {
    if (status.kind !== 'absent' || status.absentMs < lossMs) continue;
    if (lost !== undefined && lost.absentMs >= status.absentMs) continue;
    lost = { member: replica.members[rank]?.instance ?? '', absentMs: status.absentMs };
  }
  return lost;
}

/** Number of eligible instances that are free now or pending release. */
function countReplacements(
  input: DomainInput,
  draft: PlanDraft,
  model: Model,
  now: Milliseconds,
): number {
  const { free, pending } = listFreeInstances(input, draft, now);
  const isEligible = (name: string): boolean => {
    const labels = input.members.get(name)?.instance.labels;
    return labels !== undefined && matchesSelector(model.selector, labels);
  };
  return free.filter(isEligible).length + pending.filter(isEligible).length;
}
