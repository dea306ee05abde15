/**
 * How many replicas of each model the fabric domains of a service should have.
 */
import { groupBy } from '../../core/collections/index.js';
import type { GroupModel } from '../../ports/index.js';

/** Wanted replicas of one model. */
export interface GroupTarget {
  model: GroupModel;
  groups: number;
}

/** One fabric domain as the split sees it. */
export interface DomainCapacity {
  domain: string;
  /** The failure domain that it lies in. */
  failureDomain: string;
  /** Instances that can take part in a replica now. */
  instances: number;
  /** Replicas that are there, by model. */
  groups: ReadonlyMap<string, number>;
}

/** The targets of each domain, by its name. */
export type DomainTargets = ReadonlyMap<string, readonly GroupTarget[]>;

/**
 * Splits the instances of all domains between `models` by their configured shares, and the replicas of
 * each model among the domains.
 *
 * All domains are split together, because a domain of ten instances alone could only give a model of
 * four instances none, four or eight of them. Domains that have replicas of a model keep them first,
 * so that a change of the split moves as few instances as it can. New ones go to the failure domain
 * with the fewest, and there to the domain with the fewest: the loss of one domain then takes the
 * least of a model. Domains that share the large model also leave fewer of its instances over, but
 * lose its last replica together; in trials that cost more.
 *
 * Nothing is kept free: an instance that serves in a replica of the small model, with the weights of
 * the large one on its host, replaces a lost member as soon as an idle one would, and serves until
 * then.
 *
 * @example
 * const domain = { domain: 'fabric-1', failureDomain: 'north', instances: 10, groups: new Map() };
 * splitDomains([domain], profile.models);
 */
export function splitDomains(
  domains: readonly DomainCapacity[],
  models: readonly GroupModel[],
): DomainTargets {
  // All gateways must come to the same split from the same fleet.
  const ordered = [...domains].sort((a, b) => (a.domain < b.domain ? -1 : 1));
  const wanted = countGroups(ordered, models);
  const left = new Map(ordered.map(({ domain, instances }) => [domain, instances]));
  const targets = new Map<string, GroupTarget[]>(ordered.map(({ domain }) => [domain, []]));
  const bySize = [...models].sort((a, b) => b.size - a.size);
  for (const model of bySize) {
    const counts = placeGroups(model, wanted.get(model.name) ?? 0, ordered, left);
    for (const [domain, groups] of counts) targets.get(domain)?.push({ model, groups });
  }
  // What no target could use makes more of the smallest model, which fits in anywhere.
  const smallest = bySize.at(-1);
  if (smallest) addLeftOver(smallest, targets, left);
  return targets;
}

/** Replicas of each model in all domains: each step gives one to the model with the least for its share. */
function countGroups(
  domains: readonly DomainCapacity[],
  models: readonly GroupModel[],
): ReadonlyMap<string, number> {
  const counts = new Map(models.map(({ name }) => [name, 0]));
  const fill = ({ name, size, share }: GroupModel): number =>
    ((counts.get(name) ?? 0) * size) / share;
  let left = domains.reduce((sum, { instances }) => sum + instances, 0);
  for (;;) {
    const able = models.filter(({ size, share }) => size <= left && share > 0);
    const next = findFirst(able, (a, b) => fill(a) - fill(b) || b.size - a.size);
    if (next === undefined) return counts;
    counts.set(next.name, (counts.get(next.name) ?? 0) + 1);
    left -= next.size;
  }
}

/** A domain while the replicas of one model are placed. */
interface DomainPlacing {
  domain: string;
  /** Instances that no replica has. */
  left: number;
  /** Replicas that it has already, and keeps first. */
  existing: number;
  placed: number;
  failureDomain: FailureDomainPlacing;
}

/** The domains of one failure domain while the replicas of one model are placed. */
interface FailureDomainPlacing {
  placed: number;
  /** Those with the instances for one replica more. */
  open: DomainPlacing[];
  /** Where its next replica should go; only a replica placed here changes it. */
  best: DomainPlacing | undefined;
}

/** Gives `groups` of `model` to the domains in turn; `left` is reduced by what they take. */
function placeGroups(
  model: GroupModel,
  groups: number,
  domains: readonly DomainCapacity[],
  left: Map<string, number>,
): ReadonlyMap<string, number> {
  const failureDomains = beginPlacing(model, domains, left);
  const counts = new Map(domains.map(({ domain }) => [domain, 0]));
  for (let placed = 0; placed < groups; placed += 1) {
    const bests = failureDomains.flatMap(({ best }) => best ?? []);
    const next = findFirst(bests, compareDomains);
    if (next === undefined) break;
    placeOne(next, model);
    counts.set(next.domain, next.placed);
    left.set(next.domain, next.left);
  }
  return counts;
}

function beginPlacing(
  model: GroupModel,
  domains: readonly DomainCapacity[],
  left: ReadonlyMap<string, number>,
): FailureDomainPlacing[] {
  return [...groupBy(domains, ({ failureDomain }) => failureDomain).values()].map((members) => {
    const shared: FailureDomainPlacing = { placed: 0, open: [], best: undefined };
    for (const { domain, groups } of members) {
      const existing = groups.get(model.name) ?? 0;
      const free = left.get(domain) ?? 0;
      const placing = { domain, left: free, existing, placed: 0, failureDomain: shared };
      if (free >= model.size) shared.open.push(placing);
    }
    shared.best = findFirst(shared.open, compareDomains);
    return shared;
  });
}

function placeOne(placing: DomainPlacing, model: GroupModel): void {
  const { failureDomain } = placing;
  placing.placed += 1;
  placing.left -= model.size;
  failureDomain.placed += 1;
  if (placing.left < model.size) {
    failureDomain.open = failureDomain.open.filter((each) => each !== placing);
  }
  failureDomain.best = findFirst(failureDomain.open, compareDomains);
}

/** Negative when the next replica should rather go to `a`. */
function compareDomains(a: DomainPlacing, b: DomainPlacing): number {
  return (
    Number(isKeeping(b)) - Number(isKeeping(a)) ||
    a.failureDomain.placed - b.failureDomain.placed ||
    a.placed - b.placed ||
    b.left - a.left ||
    (a.domain < b.domain ? -1 : 1)
  );
}

/** It has a replica that it would lose if no further one were placed there. */
function isKeeping({ existing, placed }: DomainPlacing): boolean {
  return existing > placed;
}

/** What a stable sort by `compare` would put first. */
function findFirst<Item>(
  items: readonly Item[],
  compare: (a: Item, b: Item) => number,
): Item | undefined {
  let first: Item | undefined;
  for (const item of items) if (first === undefined || compare(item, first) < 0) first = item;
  return first;
}

function addLeftOver(
  model: GroupModel,
  targets: ReadonlyMap<string, GroupTarget[]>,
  left: ReadonlyMap<string, number>,
): void {
  for (const [domain, list] of targets) {
    const target = list.find((entry) => entry.model === model);
    if (target) target.groups += Math.floor((left.get(domain) ?? 0) / model.size);
  }
}
