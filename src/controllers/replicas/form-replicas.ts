/**
 * New replicas from free instances, surplus ones given back, and members taken from replicas of
 * less importance.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { compareText, countUses, sortModels, type NamedModel } from './demand.js';
import { isActive, nextFence, retireReplica, type Draft } from './plan-draft.js';
import { listFree } from './free-instances.js';
import { scoreLosses } from './loss-history.js';
import { chooseDonors } from './donors.js';
import type { DomainInput } from './types.js';
import { chooseSpares, estimateReplace, estimateReturn, rateDowntime } from './loss-costs.js';

/** Free instances, each with what speaks against taking it first. */
interface Pool {
  free: string[];
  /** Healthy ones that are about to be free. */
  pending: string[];
}

/** Retires replicas beyond this domain's share: not whole ones first, then the youngest. */
export function retireSurplus(input: DomainInput, draft: Draft, now: Milliseconds): void {
  for (const { name } of sortModels(input.models)) {
    const active = listActive(draft, name);
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

/** Forms what is wanted and can be formed, by importance; then weighs taking members away. */
export function formReplicas(input: DomainInput, draft: Draft, now: Milliseconds): void {
  const models = sortModels(input.models);
  const pool = openPool(input, draft, models, now);
  for (const { name, model } of models) {
    let missing = (input.wanted.get(name) ?? 0) - listActive(draft, name).length;
    while (missing > 0 && formReplica(input, draft, pool, name, model)) missing -= 1;
    if (missing <= 0) continue;
    const isComing = reservePool(input, pool, model);
    if (!isComing) preemptFor(input, draft, pool, { name, model }, now);
  }
  draft.spares = pool.free.filter((name) => !isHeld(draft, name)).sort(compareText);
}

/** The steadiest instances first, then those that the fewest models can use. */
function openPool(
  input: DomainInput,
  draft: Draft,
  models: readonly NamedModel[],
  now: Milliseconds,
): Pool {
  const { free, pending } = listFree(input, draft, now);
  const ranked = free.map((name) => ({
    name,
    losses: Math.round(scoreLosses(input.history, input.estimates, name, now)),
    uses: countUses(input.members.get(name)?.instance.labels ?? {}, models),
  }));
  ranked.sort((a, b) => a.losses - b.losses || a.uses - b.uses || compareText(a.name, b.name));
  return { free: ranked.map(({ name }) => name), pending: [...pending] };
}

function formReplica(
  input: DomainInput,
  draft: Draft,
  pool: Pool,
  name: string,
  model: Model,
): boolean {
  const chosen = pool.free.filter((instance) => fits(input, instance, model));
  const size = model.replicaSize;
  if (chosen.length < size + countReserved(input, draft, model)) return false;
  const members = chosen.slice(0, size).map((instance) => ({
    instance,
    incarnation: input.members.get(instance)?.health?.report?.incarnation ?? '',
  }));
  const taken = new Set(chosen.slice(0, size));
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

/** Spares that are worth more than one more replica of `model`. */
function countReserved(input: DomainInput, draft: Draft, model: Model): number {
  const served = draft.replicas
    .filter(isActive)
    .map((replica) => input.models.get(replica.model))
    .filter((other) => other !== undefined)
    .filter((other) => other.importance > model.importance);
  return chooseSpares(input.objective, input.estimates, served, model);
}

/**
 * Holds the free instances back for `model` when those that are about to be free will complete it.
 * Without this, a less important model with small replicas takes them one by one, and the more
 * important one is never formed again.
 */
function reservePool(input: DomainInput, pool: Pool, model: Model): boolean {
  const free = pool.free.filter((name) => fits(input, name, model));
  const pending = pool.pending.filter((name) => fits(input, name, model));
  if (free.length + pending.length < model.replicaSize) return false;
  const reserved = new Set([...pending, ...free].slice(0, model.replicaSize));
  pool.free = pool.free.filter((name) => !reserved.has(name));
  pool.pending = pool.pending.filter((name) => !reserved.has(name));
  return true;
}

/** Takes the members of less important replicas when that costs less than staying short. */
function preemptFor(
  input: DomainInput,
  draft: Draft,
  pool: Pool,
  { name, model }: NamedModel,
  now: Milliseconds,
): void {
  const { objective, estimates } = input;
  const missedMs = estimateReturn(estimates, 0);
  const atHand = [...pool.free, ...pool.pending].filter((one) => fits(input, one, model)).length;
  const needed = model.replicaSize - atHand;
  const choice = chooseDonors(input, draft, { model, needed, missedMs }, now);
  if (choice === undefined) return;
  const rate = rateDowntime(objective, model, 0);
  const donorCost = choice.cost + choice.missedRate * missedMs;
  if (rate * missedMs <= rate * estimateReplace(estimates) + donorCost) return;
  for (const donor of choice.donors) {
    retireReplica(input, draft, donor, { kind: 'preempted', beneficiary: name }, now);
  }
  pool.free = pool.free.filter((one) => !fits(input, one, model));
}

function fits(input: DomainInput, name: string, model: Model): boolean {
  const labels = input.members.get(name)?.instance.labels;
  return labels !== undefined && matchesSelector(model.selector, labels);
}

function listActive(draft: Draft, model: string): Replica[] {
  return draft.replicas.filter((replica) => replica.model === model && isActive(replica));
}

function isHeld(draft: Draft, name: string): boolean {
  return draft.replicas.some(({ members }) => members.some(({ instance }) => instance === name));
}
