/**
 * Which fabric domain forms how many replicas of each model.
 *
 * The wanted number is one for the whole fleet, and every domain is planned alone. Each owner
 * computes the same split from the same lists, so that no owner has to be asked. While their views
 * differ, two domains may both form a replica that only one should; the split then keeps the same
 * one of them everywhere and the other domain gives its own back.
 */
import { matchesSelector, type Labels } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';

/** Healthy instances of one domain that carry the same labels. */
export interface InstanceGroup {
  labels: Labels;
  count: number;
}

/** One fabric domain, as the split sees it. */
export interface DomainSupply {
  name: string;
  /** Instances that are heard and stay, in replicas or free. */
  groups: readonly InstanceGroup[];
  /** Its replicas that are planned, loading or whole. */
  replicas: readonly Pick<Replica, 'model' | 'phase'>[];
}

/** How many replicas of each model a domain is to have. */
export interface DomainShare {
  domain: string;
  wanted: ReadonlyMap<string, number>;
}

interface OpenDomain {
  name: string;
  groups: { labels: Labels; left: number }[];
  wanted: Map<string, number>;
  whole: Map<string, number>;
  existing: Map<string, number>;
}

/**
 * Splits the wanted numbers over the domains. Replicas that exist are kept where they are, whole
 * ones first; the rest goes where most instances are left. Models are served by importance. None
 * takes the replicas of one that is as important: that would cost forming them anew and leave as
 * many callers unserved as before, only others.
 *
 * @example splitDemand(models, supplies).find(({ domain }) => domain === 'fabric-1')?.wanted
 */
export function splitDemand(
  models: ReadonlyMap<string, Model>,
  supplies: readonly DomainSupply[],
): DomainShare[] {
  const domains = supplies.map(openDomain).sort((a, b) => compareText(a.name, b.name));
  const ordered = sortModels(models);
  for (const equals of groupByImportance(ordered)) {
    const kept = equals.map(({ name, model }) => {
      return { name, model, missing: keepExisting(domains, name, model, ordered) };
    });
    for (const { name, model, missing } of kept) {
      const unplaced = placeReplicas(domains, name, model, ordered, missing);
      keepClaims(domains, name, model, ordered, unplaced);
    }
  }
  return domains.map(({ name, wanted }) => ({ domain: name, wanted }));
}

/** A model with its name. */
export interface NamedModel {
  name: string;
  model: Model;
}

/** The most important first; equals by name, so that every entry has the same order. */
export function sortModels(models: ReadonlyMap<string, Model>): NamedModel[] {
  return [...models]
    .map(([name, model]) => ({ name, model }))
    .sort((a, b) => b.model.importance - a.model.importance || compareText(a.name, b.name));
}

/** Models of the same importance together, in the order given. */
function groupByImportance(ordered: readonly NamedModel[]): NamedModel[][] {
  const groups: NamedModel[][] = [];
  for (const one of ordered) {
    const last = groups.at(-1);
    if (last?.[0]?.model.importance === one.model.importance) last.push(one);
    else groups.push([one]);
  }
  return groups;
}

/** Plain order of code units, the same on every machine whatever its locale. */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function openDomain(supply: DomainSupply): OpenDomain {
  const whole = new Map<string, number>();
  const existing = new Map<string, number>();
  for (const { model, phase } of supply.replicas) {
    if (phase === 'draining' || phase === 'released') continue;
    existing.set(model, (existing.get(model) ?? 0) + 1);
    if (phase === 'whole') whole.set(model, (whole.get(model) ?? 0) + 1);
  }
  const groups = supply.groups.map(({ labels, count }) => ({ labels, left: count }));
  return { name: supply.name, groups, wanted: new Map(), whole, existing };
}

/** Gives domains what they have and can hold; returns the number still to be placed. */
function keepExisting(
  domains: readonly OpenDomain[],
  name: string,
  model: Model,
  ordered: readonly NamedModel[],
): number {
  let missing = model.replicas;
  for (const source of ['whole', 'existing'] as const) {
    for (const domain of domains) {
      const has = domain[source].get(name) ?? 0;
      while (missing > 0 && (domain.wanted.get(name) ?? 0) < has) {
        if (countFitting(domain, model) < model.replicaSize) break;
        takeInstances(domain, model, ordered);
        addWanted(domain, name);
        missing -= 1;
      }
    }
  }
  return missing;
}

/** Places replicas where most instances are left; returns the number that fit nowhere. */
function placeReplicas(
  domains: readonly OpenDomain[],
  name: string,
  model: Model,
  ordered: readonly NamedModel[],
  missing: number,
): number {
  for (let left = missing; left > 0; left -= 1) {
    let best: OpenDomain | undefined;
    let bestLeft = model.replicaSize - 1;
    for (const domain of domains) {
      const fitting = countFitting(domain, model);
      if (fitting <= bestLeft) continue;
      best = domain;
      bestLeft = fitting;
    }
    if (best === undefined) return left;
    takeInstances(best, model, ordered);
    addWanted(best, name);
  }
  return 0;
}

/** Lets domains keep replicas that lack members, when these could not be formed anywhere else. */
function keepClaims(
  domains: readonly OpenDomain[],
  name: string,
  model: Model,
  ordered: readonly NamedModel[],
  missing: number,
): void {
  let left = missing;
  for (const domain of domains) {
    const has = domain.existing.get(name) ?? 0;
    while (left > 0 && (domain.wanted.get(name) ?? 0) < has && countFitting(domain, model) > 0) {
      takeInstances(domain, model, ordered);
      addWanted(domain, name);
      left -= 1;
    }
  }
}

function addWanted(domain: OpenDomain, model: string): void {
  domain.wanted.set(model, (domain.wanted.get(model) ?? 0) + 1);
}

function countFitting(domain: OpenDomain, model: Model): number {
  let count = 0;
  for (const group of domain.groups) {
    if (matchesSelector(model.selector, group.labels)) count += group.left;
  }
  return count;
}

/** Takes up to one replica's instances, from the groups that the fewest models can use. */
function takeInstances(domain: OpenDomain, model: Model, ordered: readonly NamedModel[]): void {
  const groups = domain.groups
    .filter(({ labels, left }) => left > 0 && matchesSelector(model.selector, labels))
    .sort((a, b) => countUses(a.labels, ordered) - countUses(b.labels, ordered));
  let needed = model.replicaSize;
  for (const group of groups) {
    const taken = Math.min(group.left, needed);
    group.left -= taken;
    needed -= taken;
  }
}

/** How many models can use an instance with these labels. */
export function countUses(labels: Labels, models: readonly NamedModel[]): number {
  return models.filter(({ model }) => matchesSelector(model.selector, labels)).length;
}
