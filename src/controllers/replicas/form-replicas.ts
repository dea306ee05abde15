/**
 * Forms replicas from free instances, retires surplus replicas and preempts less important ones.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import {
  compareCodeUnits,
  countEligibleModels,
  sortByImportance,
  type NamedModel,
} from './demand.js';
import { isActive, nextFence, retireReplica, type PlanDraft } from './plan-draft.js';
import { listFreeInstances } from './free-instances.js';
import { getLossScore } from './loss-history.js';
import { chooseDonors } from './donors.js';
import type { DomainInput } from './types.js';
import {
  chooseSpareCount,
  estimateReplacementMs,
  estimateReturnMs,
  calculateDowntimeRate,
} from './loss-costs.js';

/** Instance names available for new replicas. */
interface InstancePool {
  /** Sorted by preference. */
  free: string[];
  /** Healthy instances whose replica is draining or released. */
  pending: string[];
}

/** Retires replicas beyond this domain's share: those that are not whole first, then the newest. */
export function retireSurplus(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  for (const { name } of sortByImportance(input.models)) {
    const active = listActiveReplicas(draft, name);
    const surplus = active.length - (input.wanted.get(name) ?? 0);
    if (surplus <= 0) continue;
    const worstFirst = active.sort(
      (a, b) => Number(a.phase === 'whole') - Number(b.phase === 'whole') || b.fence - a.fence,
    );
    for (const replica of worstFirst.slice(0, surplus)) {
      retireReplica(input, draft, replica, { kind: 'surplus' }, now);
    }
  }
}

/** Forms the missing replicas by importance; preempts less important ones where that pays off. */
export function formReplicas(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  const models = sortByImportance(input.models);
  const pool = createInstancePool(input, draft, models, now);
  for (const { name, model } of models) {
    let missing = (input.wanted.get(name) ?? 0) - listActiveReplicas(draft, name).length;
    while (missing > 0 && formReplica(input, draft, pool, name, model)) missing -= 1;
    if (missing <= 0) continue;
    const isReserved = reserveInstances(input, pool, model);
    if (!isReserved) preemptReplicas(input, draft, pool, { name, model }, now);
  }
  draft.spares = pool.free.filter((name) => !isAssigned(draft, name)).sort(compareCodeUnits);
}

/** Prefers instances with few recent losses, then those eligible for the fewest models. */
function createInstancePool(
  input: DomainInput,
  draft: PlanDraft,
  models: readonly NamedModel[],
  now: Milliseconds,
): InstancePool {
  const { free, pending } = listFreeInstances(input, draft, now);
  const candidates = free.map((name) => ({
    name,
    lossScore: Math.round(getLossScore(input.history, input.estimates, name, now)),
    eligibleModels: countEligibleModels(input.members.get(name)?.instance.labels ?? {}, models),
  }));
  candidates.sort(
    (a, b) =>
      a.lossScore - b.lossScore ||
      a.eligibleModels - b.eligibleModels ||
      compareCodeUnits(a.name, b.name),
  );
  return { free: candidates.map(({ name }) => name), pending: [...pending] };
}

function formReplica(
  input: DomainInput,
  draft: PlanDraft,
  pool: InstancePool,
  name: string,
  model: Model,
): boolean {
  const eligible = pool.free.filter((instance) => isEligible(input, instance, model));
  const size = model.replicaSize;
  if (eligible.length < size + countSparesToKeep(input, draft, model)) return false;
  const members = eligible.slice(0, size).map((instance) => ({
    instance,
    incarnation: input.members.get(instance)?.health?.report?.incarnation ?? '',
  }));
  const taken = new Set(eligible.slice(0, size));
  pool.free = pool.free.filter((instance) => !taken.has(instance));
  const fence = nextFence(draft);
  const id = `${input.domain}-${fence}`;
  const replica: Replica = {
    id,
    model: name,
    weights: model.weights,
    fence,
    phase: 'planned',
    members,
  };
  draft.replicas.push(replica);
  draft.reasons.push({ kind: 'formed', replica: id, model: name });
  return true;
}

/** Number of spares worth more than another replica of `model`. */
function countSparesToKeep(input: DomainInput, draft: PlanDraft, model: Model): number {
  const protectedModels = draft.replicas
    .filter(isActive)
    .map((replica) => input.models.get(replica.model))
    .filter((other) => other !== undefined)
    .filter((other) => other.importance > model.importance);
  return chooseSpareCount(input.objective, input.estimates, protectedModels, model);
}

/**
 * Reserves instances for `model` if free and pending ones together suffice for a replica.
 *
 * Prevents starvation: less important models with smaller replicas would otherwise claim the
 * instances one by one.
 */
function reserveInstances(input: DomainInput, pool: InstancePool, model: Model): boolean {
  const free = pool.free.filter((name) => isEligible(input, name, model));
  const pending = pool.pending.filter((name) => isEligible(input, name, model));
  if (free.length + pending.length < model.replicaSize) return false;
  const reserved = new Set([...pending, ...free].slice(0, model.replicaSize));
  pool.free = pool.free.filter((name) => !reserved.has(name));
  pool.pending = pool.pending.filter((name) => !reserved.has(name));
  return true;
}

/** Preempts less important replicas if that costs less than waiting for instances to return. */
function preemptReplicas(
  input: DomainInput,
  draft: PlanDraft,
  pool: InstancePool,
  { name, model }: NamedModel,
  now: Milliseconds,
): void {
  const { objective, estimates } = input;
  const expectedReturnMs = estimateReturnMs(estimates, 0);
  const available = [...pool.free, ...pool.pending].filter((instance) =>
    isEligible(input, instance, model),
  ).length;
  const neededInstances = model.replicaSize - available;
  const choice = chooseDonors(input, draft, { model, neededInstances, expectedReturnMs }, now);
  if (choice === undefined) return;
  const rate = calculateDowntimeRate(objective, model, 0);
  const donorCost = choice.cost + choice.downtimeRate * expectedReturnMs;
  if (rate * expectedReturnMs <= rate * estimateReplacementMs(estimates) + donorCost) return;
  for (const donor of choice.donors) {
    retireReplica(input, draft, donor, { kind: 'preempted', beneficiary: name }, now);
  }
  pool.free = pool.free.filter((instance) => !isEligible(input, instance, model));
}

function isEligible(input: DomainInput, name: string, model: Model): boolean {
  const labels = input.members.get(name)?.instance.labels;
  return labels !== undefined && matchesSelector(model.selector, labels);
}

function listActiveReplicas(draft: PlanDraft, model: string): Replica[] {
  return draft.replicas.filter((replica) => replica.model === model && isActive(replica));
}

function isAssigned(draft: PlanDraft, name: string): boolean {
  return draft.replicas.some(({ members }) => members.some(({ instance }) => instance === name));
}
