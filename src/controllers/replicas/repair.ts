/**
 * What becomes of a replica that lost a member, or whose model no longer wants it as it is.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { sortModels } from './demand.js';
import { chooseDonors } from './donors.js';
import { isActive, retireReplica, type Draft } from './draft.js';
import { scoreLosses } from './history.js';
import { listFree } from './free.js';
import { judgeStanding, type Standing } from './standing.js';
import type { DomainInput, RetireCause } from './types.js';
import { estimateReplace, estimateWait, rateDowntime } from './weigh.js';

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
 * Waiting for the same process against replacing it. While nothing can take the place of the lost
 * member, waiting is free: its replica's members would only be idle elsewhere.
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
  const losses = scoreLosses(input.history, estimates, lost.member, now);
  const waitCostMs = rate * estimateWait(estimates, lost.forMs, losses);
  const costMs = rate * estimateReplace(estimates);
  const missing = model.replicaSize - idle - countReplacements(input, draft, model, now);
  const gain = waitCostMs - costMs;
  const isReplaceable = missing <= 0 || takeFromDonors(input, draft, replica, missing, gain, now);
  if (isReplaceable && gain > 0) {
    return { kind: 'memberReplaced', member: lost.member, costMs, waitCostMs };
  }
  draft.reasons.push({ kind: 'waiting', replica: replica.id, member: lost.member });
  return undefined;
}

/** Retires the replicas that give what is missing; false when none are worth it. */
function takeFromDonors(
  input: DomainInput,
  draft: Draft,
  replica: Replica,
  needed: number,
  gain: number,
  now: Milliseconds,
): boolean {
  const model = input.models.get(replica.model);
  if (model === undefined) return false;
  const donors = chooseDonors(input, draft, { model, needed, gain, exclude: replica.id }, now);
  for (const donor of donors) {
    const cause: RetireCause = { kind: 'preempted', beneficiary: replica.model };
    retireReplica(input, draft, donor, cause, now);
  }
  return donors.length > 0;
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
