/**
 * How many replicas of each model the fabric domains of a service should have.
 */
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
  let left = domains.reduce((sum, { instances }) => sum + instances, 0);
  for (;;) {
    const next = models
      .filter((model) => model.size <= left && model.share > 0)
      .sort((a, b) => fill(a, counts) - fill(b, counts) || b.size - a.size)[0];
    if (next === undefined) return counts;
    counts.set(next.name, (counts.get(next.name) ?? 0) + 1);
    left -= next.size;
  }
}

function fill(model: GroupModel, counts: ReadonlyMap<string, number>): number {
  return ((counts.get(model.name) ?? 0) * model.size) / model.share;
}

/** Gives `groups` of `model` to the domains in turn; `left` is reduced by what they take. */
function placeGroups(
  model: GroupModel,
  groups: number,
  domains: readonly DomainCapacity[],
  left: Map<string, number>,
): ReadonlyMap<string, number> {
  const counts = new Map(domains.map(({ domain }) => [domain, 0]));
  for (let placed = 0; placed < groups; placed += 1) {
    const [best] = domains
      .filter(({ domain }) => (left.get(domain) ?? 0) >= model.size)
      .sort((a, b) => compareDomains(a, b, model, { domains, counts, left }));
    if (best === undefined) break;
    const { domain } = best;
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
    left.set(domain, (left.get(domain) ?? 0) - model.size);
  }
  return counts;
}

/** What has been placed so far. */
interface Placement {
  domains: readonly DomainCapacity[];
  counts: ReadonlyMap<string, number>;
  left: ReadonlyMap<string, number>;
}

/** Negative when the next replica of `model` should rather go to `a`. */
function compareDomains(
  a: DomainCapacity,
  b: DomainCapacity,
  model: GroupModel,
  placement: Placement,
): number {
  const { counts, left } = placement;
  const count = ({ domain }: DomainCapacity): number => counts.get(domain) ?? 0;
  const keeps = (each: DomainCapacity): number =>
    (each.groups.get(model.name) ?? 0) > count(each) ? 1 : 0;
  const room = ({ domain }: DomainCapacity): number => left.get(domain) ?? 0;
  return (
    keeps(b) - keeps(a) ||
    countIn(a.failureDomain, placement) - countIn(b.failureDomain, placement) ||
    count(a) - count(b) ||
    room(b) - room(a)
  );
}

function countIn(failureDomain: string, { domains, counts }: Placement): number {
  return domains
    .filter((each) => each.failureDomain === failureDomain)
    .reduce((sum, { domain }) => sum + (counts.get(domain) ?? 0), 0);
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
