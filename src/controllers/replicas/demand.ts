/**
 * Distributes the replicas of each model over the fabric domains.
 *
 * Replica counts apply to the whole fleet, but each domain is planned by its own owner. The split is
 * deterministic, so owners with the same view agree without coordination. While views differ, two
 * domains may form the same replica; once views converge, all owners keep the same one and the other
 * is retired as surplus.
 */
import { matchesSelector, type Labels } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';

/** Number of healthy instances of one domain with the same labels. */
export interface InstanceGroup {
  labels: Labels;
  count: number;
}

/** Capacity and replicas of one fabric domain, the input to the split. */
export interface DomainSupply {
  name: string;
  /** Reachable instances that are not leaving, whether in a replica or free. */
  groups: readonly InstanceGroup[];
  /** Draining and released replicas are ignored. */
  replicas: readonly Pick<Replica, 'model' | 'phase'>[];
}

/** Desired number of replicas of each model in one domain. */
export interface DomainShare {
  domain: string;
  wanted: ReadonlyMap<string, number>;
}

/** Working state of the split for one domain. */
interface DomainAllocation {
  name: string;
  groups: { labels: Labels; available: number }[];
  wanted: Map<string, number>;
  whole: Map<string, number>;
  active: Map<string, number>;
}

/**
 * Splits the desired replica counts over the domains, by model importance. Existing replicas stay
 * where they are, whole ones first; the rest go to the domains with the most available instances.
 *
 * A model never displaces replicas of an equally important one: that would pay the cost of forming
 * replicas and leave just as many callers unserved.
 *
 * @example splitDemand(models, supplies).find(({ domain }) => domain === 'fabric-1')?.wanted
 */
export function splitDemand(
  models: ReadonlyMap<string, Model>,
  supplies: readonly DomainSupply[],
): DomainShare[] {
  const domains = supplies.map(createAllocation).sort((a, b) => compareCodeUnits(a.name, b.name));
  const sortedModels = sortByImportance(models);
  for (const tier of groupByImportance(sortedModels)) {
    const unplacedModels = tier.map(({ name, model }) => {
      return { name, model, missing: keepActiveReplicas(domains, name, model, sortedModels) };
    });
    for (const { name, model, missing } of unplacedModels) {
      const unplaced = placeReplicas(domains, name, model, sortedModels, missing);
      keepIncompleteReplicas(domains, name, model, sortedModels, unplaced);
    }
  }
  return domains.map(({ name, wanted }) => ({ domain: name, wanted }));
}

export interface NamedModel {
  name: string;
  model: Model;
}

/** Most important first; ties are broken by name so that every entry computes the same order. */
export function sortByImportance(models: ReadonlyMap<string, Model>): NamedModel[] {
  return [...models]
    .map(([name, model]) => ({ name, model }))
    .sort((a, b) => b.model.importance - a.model.importance || compareCodeUnits(a.name, b.name));
}

/** Groups models of equal importance; expects sorted input. */
function groupByImportance(sortedModels: readonly NamedModel[]): NamedModel[][] {
  const groups: NamedModel[][] = [];
  for (const namedModel of sortedModels) {
    const last = groups.at(-1);
    if (last?.[0]?.model.importance === namedModel.model.importance) last.push(namedModel);
    else groups.push([namedModel]);
  }
  return groups;
}

/** Compares by UTF-16 code units, independently of the locale. */
export function compareCodeUnits(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function createAllocation(supply: DomainSupply): DomainAllocation {
  const whole = new Map<string, number>();
  const active = new Map<string, number>();
  for (const { model, phase } of supply.replicas) {
    if (phase === 'draining' || phase === 'released') continue;
    active.set(model, (active.get(model) ?? 0) + 1);
    if (phase === 'whole') whole.set(model, (whole.get(model) ?? 0) + 1);
  }
  const groups = supply.groups.map(({ labels, count }) => ({ labels, available: count }));
  return { name: supply.name, groups, wanted: new Map(), whole, active };
}

/** Keeps existing replicas in domains with enough instances; returns the number still to place. */
function keepActiveReplicas(
  domains: readonly DomainAllocation[],
  name: string,
  model: Model,
  sortedModels: readonly NamedModel[],
): number {
  let remaining = model.replicas;
  for (const source of ['whole', 'active'] as const) {
    for (const domain of domains) {
      const current = domain[source].get(name) ?? 0;
      while (remaining > 0 && (domain.wanted.get(name) ?? 0) < current) {
        if (countEligible(domain, model) < model.replicaSize) break;
        reserveCapacity(domain, model, sortedModels);
        assignReplica(domain, name);
        remaining -= 1;
      }
    }
  }
  return remaining;
}

/** Places replicas in the domains with the most instances; returns the number that fit nowhere. */
function placeReplicas(
  domains: readonly DomainAllocation[],
  name: string,
  model: Model,
  sortedModels: readonly NamedModel[],
  missing: number,
): number {
  for (let remaining = missing; remaining > 0; remaining -= 1) {
    let best: DomainAllocation | undefined;
    let bestEligible = model.replicaSize - 1;
    for (const domain of domains) {
      const eligible = countEligible(domain, model);
      if (eligible <= bestEligible) continue;
      best = domain;
      bestEligible = eligible;
    }
    if (best === undefined) return remaining;
    reserveCapacity(best, model, sortedModels);
    assignReplica(best, name);
  }
  return 0;
}

/** Keeps replicas that lack members if no domain has room to form them anew. */
function keepIncompleteReplicas(
  domains: readonly DomainAllocation[],
  name: string,
  model: Model,
  sortedModels: readonly NamedModel[],
  missing: number,
): void {
  let remaining = missing;
  for (const domain of domains) {
    const current = domain.active.get(name) ?? 0;
    while (
      remaining > 0 &&
      (domain.wanted.get(name) ?? 0) < current &&
      countEligible(domain, model) > 0
    ) {
      reserveCapacity(domain, model, sortedModels);
      assignReplica(domain, name);
      remaining -= 1;
    }
  }
}

function assignReplica(domain: DomainAllocation, model: string): void {
  domain.wanted.set(model, (domain.wanted.get(model) ?? 0) + 1);
}

function countEligible(domain: DomainAllocation, model: Model): number {
  let count = 0;
  for (const group of domain.groups) {
    if (matchesSelector(model.selector, group.labels)) count += group.available;
  }
  return count;
}

/** Reserves up to one replica's instances, from groups eligible for the fewest models first. */
function reserveCapacity(
  domain: DomainAllocation,
  model: Model,
  sortedModels: readonly NamedModel[],
): void {
  const groups = domain.groups
    .filter(({ labels, available: left }) => left > 0 && matchesSelector(model.selector, labels))
    .sort(
      (a, b) =>
        countEligibleModels(a.labels, sortedModels) - countEligibleModels(b.labels, sortedModels),
    );
  let needed = model.replicaSize;
  for (const group of groups) {
    const taken = Math.min(group.available, needed);
    group.available -= taken;
    needed -= taken;
  }
}

/** Number of models that an instance with these labels is eligible for. */
export function countEligibleModels(labels: Labels, models: readonly NamedModel[]): number {
  return models.filter(({ model }) => matchesSelector(model.selector, labels)).length;
}
