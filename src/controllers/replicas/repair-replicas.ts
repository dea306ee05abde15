/**
 * What becomes of a replica that lost a member, or whose model no longer wants it as it is.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { sortModels } from './demand.js';
import { chooseDonors, type DonorChoice } from './donors.js';
import { isActive, retireReplica, type Draft } from './plan-draft.js';
import { scoreLosses } from './loss-history.js';
import { listFree } from './free-instances.js';
import { judgeStanding, type Standing } from './member-status.js';
import type { DomainInput, RetireCause } from './types.js';
import { chooseWait, estimateReplace, estimateReturn, rateDowntime } from './loss-costs.js';

/** A replica with what is known of its members. */
interface Assessed {
  replica: Replica;
  model: Model;
  standings: Standing[];
}

/** Looks at every active replica, those of the most important models first. */
export function repairReplicas(input: DomainInput, draft: Draft, now: Milliseconds): void {
  retireUnwanted(input, draft, now);
  for (const { name } of sortModels(input.models)) {
    const ids = draft.replicas.filter(({ model }) => model === name).map(({ id }) => id);
    for (const id of ids) {
      // Read again: it may have given its members to one before it.
      const replica = draft.replicas.find((other) => other.id === id);
      if (replica !== undefined && isActive(replica)) repairReplica(input, draft, replica, now);
    }
  }
}

function retireUnwanted(input: DomainInput, draft: Draft, now: Milliseconds): void {
  const changing = new Set<string>();
  for (const replica of draft.replicas) {
    if (replica.phase !== 'whole') changing.add(replica.model);
  }
  for (const replica of [...draft.replicas]) {
    if (!isActive(replica)) continue;
    const model = input.models.get(replica.model);
    if (model === undefined) {
      retireReplica(input, draft, replica, { kind: 'modelGone' }, now);
      continue;
    }
    if (isAsWanted(input, replica, model)) continue;
    // One after the other, so that a new version of the weights does not empty the domain.
    if (replica.phase === 'whole' && changing.has(replica.model)) continue;
    changing.add(replica.model);
    retireReplica(input, draft, replica, { kind: 'modelChanged' }, now);
  }
}

function isAsWanted(input: DomainInput, replica: Replica, model: Model): boolean {
  if (replica.weights !== model.weights) return false;
  if (replica.members.length !== model.replicaSize) return false;
  return replica.members.every(({ instance }) => {
    const labels = input.members.get(instance)?.instance.labels;
    return labels === undefined || matchesSelector(model.selector, labels);
  });
}

function repairReplica(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  now: Milliseconds,
): void {
  const model = input.models.get(replica.model);
  if (model === undefined) return;
  const standings = replica.members.map((_, rank) => judgeStanding(input, replica, rank, now));
  const assessed = { replica, model, standings };
  const cause = findPlainCause(assessed) ?? weighLoss(input, draft, assessed, now);
  if (cause !== undefined) retireReplica(input, draft, replica, cause, now);
}

/** A loss that leaves no choice: what the member held is gone, or it must go. */
function findPlainCause({ replica, standings }: Assessed): RetireCause | undefined {
  for (const [rank, standing] of standings.entries()) {
    const member = replica.members[rank]?.instance ?? '';
    if (standing.kind === 'leaving') return { kind: 'memberLeaving', member };
    if (standing.kind === 'restarted') return { kind: 'memberRestarted', member };
    if (standing.kind === 'gone') return { kind: 'memberGone', member };
    if (standing.kind === 'moved') return { kind: 'memberMoved', member };
  }
  return undefined;
}

/**
 * Waiting for the lost member against replacing it, by a free instance or by members of another
 * replica. While nothing can take its place, waiting is free: the others would only be idle
 * elsewhere.
 */
function weighLoss(
  input: DomainInput,
  draft: Draft,
  assessed: Assessed,
  now: Milliseconds,
): RetireCause | undefined {
  const { replica, model, standings } = assessed;
  const { estimates, objective } = input;
  const lost = findLost(assessed, estimates.lossMs);
  if (lost === undefined) return undefined;
  const idle = standings.filter(({ kind }) => kind !== 'absent').length;
  const rate = rateDowntime(objective, model, idle);
  const missedMs = estimateReturn(estimates, lost.forMs);
  const needed = model.replicaSize - idle - countReplacements(input, draft, model, now);
  const request = { model, needed, missedMs, exclude: replica.id };
  const choice = needed <= 0 ? NO_DONORS : chooseDonors(input, draft, request, now);
  if (choice !== undefined) {
    const replaceCost = rate * estimateReplace(estimates) + choice.cost;
    const score = scoreLosses(input.history, estimates, lost.member, now);
    const { missedRate } = choice;
    const earlierLosses = Math.max(0, score - 1);
    const costs = { rate, replaceCost, missedRate, earlierLosses };
    const { waitMs, cost } = chooseWait(estimates, lost.forMs, costs);
    if (waitMs === 0) {
      takeFromDonors(input, draft, replica, choice.donors, now);
      return { kind: 'memberReplaced', member: lost.member, cost };
    }
  }
  draft.reasons.push({ kind: 'waiting', replica: replica.id, member: lost.member });
  return undefined;
}

const NO_DONORS: DonorChoice = { donors: [], cost: 0, missedRate: 0 };

function takeFromDonors(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  donors: readonly Replica[],
  now: Milliseconds,
): void {
  const cause: RetireCause = { kind: 'preempted', beneficiary: replica.model };
  for (const donor of donors) retireReplica(input, draft, donor, cause, now);
}

interface LostMember {
  member: string;
  forMs: Milliseconds;
}

/** The member that has been away longest, if that is long enough to count. */
function findLost({ replica, standings }: Assessed, lossMs: Milliseconds): LostMember | undefined {
  let lost: LostMember | undefined;
  for (const [rank, standing] of standings.entries()) {
    if (standing.kind !== 'absent' || standing.forMs < lossMs) continue;
    if (lost !== undefined && lost.forMs >= standing.forMs) continue;
    lost = { member: replica.members[rank]?.instance ?? '', forMs: standing.forMs };
  }
  return lost;
}

/** Free instances and such as a released replica is about to free. */
function countReplacements(
  input: DomainInput,
  draft: Draft,
  model: Model,
  now: Milliseconds,
): number {
  const { free, pending } = listFree(input, draft, now);
  const fits = (name: string): boolean => {
    const labels = input.members.get(name)?.instance.labels;
    return labels !== undefined && matchesSelector(model.selector, labels);
  };
  return free.filter(fits).length + pending.filter(fits).length;
}
