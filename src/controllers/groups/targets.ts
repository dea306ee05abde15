/**
 * Computes how many replicas of each model the fabric domains of a service should have.
 */
import { groupBy } from '../../core/collections/index.js';
import type { GroupModel } from '../../ports/index.js';

/** Target number of replicas of one model. */
export interface GroupTarget {
  model: GroupModel;
  groups: number;
}

/** Capacity of one fabric domain. */
export interface DomainCapacity {
  domain: string;
  /** The failure domain that contains it. */
  failureDomain: string;
  /** Number of instances that can be members of a replica now. */
  instances: number;
  /** Number of existing replicas by model. */
  groups: ReadonlyMap<string, number>;
}

/** Targets by domain name. */
export type DomainTargets = ReadonlyMap<string, readonly GroupTarget[]>;

/**
 * Splits the instances of all domains between `models` by their shares, and distributes the
 * replicas of each model among the domains.
 *
 * All domains are split together, because the shares can't be met in a small domain alone: a domain of
 * ten instances can only give a model of four none, four or eight of them. Existing
 * replicas are kept first to move as few instances as possible. New ones go to the failure domain with
 * the fewest replicas of the model, and there to the fabric domain with the fewest, to limit the effect
 * of losing a domain.
 *
 * No instance is kept idle as a spare: a member of a replica of a small model with the weights of a
 * large one on its host can replace a lost member just as fast.
 *
 * @example
 * const domain = { domain: 'fabric-1', failureDomain: 'north', instances: 10, groups: new Map() };
 * splitDomains([domain], profile.models);
 */
export function splitDomains(
  domains: readonly DomainCapacity[],
  models: readonly GroupModel[],
): DomainTargets {
  // All gateways must compute the same split from the same fleet.
  const ordered = [...domains].sort((a, b) => (a.domain < b.domain ? -1 : 1));
  const groupCounts = countGroups(ordered, models);
  const remaining = new Map(ordered.map(({ domain, instances }) => [domain, instances]));
  const targets = new Map<string, GroupTarget[]>(ordered.map(({ domain }) => [domain, []]));
  const bySize = [...models].sort((a, b) => b.size - a.size);
  for (const model of bySize) {
    const counts = placeGroups(model, groupCounts.get(model.name) ?? 0, ordered, remaining);
    for (const [domain, groups] of counts) targets.get(domain)?.push({ model, groups });
  }
  // Use the remaining instances for the smallest model.
  const smallest = bySize.at(-1);
  if (smallest) fillRemaining(smallest, targets, remaining);
  return targets;
}

/** Number of replicas per model. Each step adds one to the model furthest below its share. */
function countGroups(
  domains: readonly DomainCapacity[],
  models: readonly GroupModel[],
): ReadonlyMap<string, number> {
  const counts = new Map(models.map(({ name }) => [name, 0]));
  const fillRatio = ({ name, size, share }: GroupModel): number =>
    ((counts.get(name) ?? 0) * size) / share;
  let remaining = domains.reduce((sum, { instances }) => sum + instances, 0);
  for (;;) {
    const eligible = models.filter(({ size, share }) => size <= remaining && share > 0);
    const next = findFirst(eligible, (a, b) => fillRatio(a) - fillRatio(b) || b.size - a.size);
    if (next === undefined) return counts;
    counts.set(next.name, (counts.get(next.name) ?? 0) + 1);
    remaining -= next.size;
  }
}

/** State of a domain while the replicas of one model are placed. */
interface DomainPlacement {
  domain: string;
  /** Instances that are not in a replica yet. */
  remaining: number;
  /** Existing replicas, which are kept first. */
  existing: number;
  placed: number;
  failureDomain: FailureDomainPlacement;
}

/** State of a failure domain while the replicas of one model are placed. */
interface FailureDomainPlacement {
  placed: number;
  /** Domains with enough instances for another replica. */
  open: DomainPlacement[];
  /** Domain for the next replica. Changes only when a replica is placed in this failure domain. */
  best: DomainPlacement | undefined;
}

/** Places `groups` replicas of `model` on the domains, and reduces `remaining` accordingly. */
function placeGroups(
  model: GroupModel,
  groups: number,
  domains: readonly DomainCapacity[],
  remaining: Map<string, number>,
): ReadonlyMap<string, number> {
  const failureDomains = createPlacements(model, domains, remaining);
  const counts = new Map(domains.map(({ domain }) => [domain, 0]));
  for (let placed = 0; placed < groups; placed += 1) {
    const candidates = failureDomains.flatMap(({ best }) => best ?? []);
    const next = findFirst(candidates, compareDomains);
    if (next === undefined) break;
    placeGroup(next, model);
    counts.set(next.domain, next.placed);
    remaining.set(next.domain, next.remaining);
  }
  return counts;
}

function createPlacements(
  model: GroupModel,
  domains: readonly DomainCapacity[],
  remaining: ReadonlyMap<string, number>,
): FailureDomainPlacement[] {
  return [...groupBy(domains, ({ failureDomain }) => failureDomain).values()].map((members) => {
    const shared: FailureDomainPlacement = { placed: 0, open: [], best: undefined };
    for (const { domain, groups } of members) {
      const existing = groups.get(model.name) ?? 0;
      const free = remaining.get(domain) ?? 0;
      const placement = { domain, remaining: free, existing, placed: 0, failureDomain: shared };
      if (free >= model.size) shared.open.push(placement);
    }
    shared.best = findFirst(shared.open, compareDomains);
    return shared;
  });
}

function placeGroup(placement: DomainPlacement, model: GroupModel): void {
  const { failureDomain } = placement;
  placement.placed += 1;
  placement.remaining -= model.size;
  failureDomain.placed += 1;
  if (placement.remaining < model.size) {
    failureDomain.open = failureDomain.open.filter((each) => each !== placement);
  }
  failureDomain.best = findFirst(failureDomain.open, compareDomains);
}

/** Negative if `a` is preferred for the next replica. */
function compareDomains(a: DomainPlacement, b: DomainPlacement): number {
  return (
    Number(hasGroupToKeep(b)) - Number(hasGroupToKeep(a)) ||
    a.failureDomain.placed - b.failureDomain.placed ||
    a.placed - b.placed ||
    b.remaining - a.remaining ||
    (a.domain < b.domain ? -1 : 1)
  );
}

/** Whether the domain would lose an existing replica if no further one were placed there. */
function hasGroupToKeep({ existing, placed }: DomainPlacement): boolean {
  return existing > placed;
}

/** The item that a stable sort by `compare` would put first. */
function findFirst<Item>(
  items: readonly Item[],
  compare: (a: Item, b: Item) => number,
): Item | undefined {
  let first: Item | undefined;
  for (const item of items) if (first === undefined || compare(item, first) < 0) first = item;
  return first;
}

function fillRemaining(
  model: GroupModel,
  targets: ReadonlyMap<string, GroupTarget[]>,
  remaining: ReadonlyMap<string, number>,
): void {
  for (const [domain, list] of targets) {
    const target = list.find((entry) => entry.model === model);
    if (target) target.groups += Math.floor((remaining.get(domain) ?? 0) / model.size);
  }
}
