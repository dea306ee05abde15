/**
 * Builds the planner's view of the fabric domains from the board.
 */
import type { Fleet, Health } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan } from '../../objects/index.js';
import { isLeaving } from '../health/eligibility.js';
import type { DomainSupply, InstanceGroup } from './demand.js';
import type { DomainLocation } from './lease.js';
import { measureAbsence } from './member-status.js';
import type { DomainInput, DomainMember } from './types.js';

/** Members of one domain by instance name. */
export type DomainMembers = ReadonlyMap<string, DomainMember>;

/** Groups engine instances by fabric domain; an instance without one forms its own domain. */
export function groupInstancesByDomain(
  fleet: Fleet,
  health: Health,
): ReadonlyMap<string, DomainMembers> {
  const domains = new Map<string, Map<string, DomainMember>>();
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'engine') continue;
    const domain = instance.fabricDomain ?? name;
    const leaving = isLeaving(fleet, name);
    const members = domains.get(domain) ?? new Map<string, DomainMember>();
    members.set(name, { name, instance, leaving, health: health.get(name) });
    domains.set(domain, members);
  }
  return domains;
}

/**
 * The capacity and replicas of `domain`.
 *
 * If no instance is reachable but the owner still renews its lease, only this entry is partitioned
 * from the domain, and the replicas that the plan lists as whole are assumed to serve.
 */
export function describeSupply(
  domain: string,
  members: DomainMembers,
  plan: DomainPlan | undefined,
  isOwnerLive: boolean,
  timing: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  now: Milliseconds,
): DomainSupply {
  const replicas = plan?.replicas ?? [];
  const available = [...members.values()].filter((member) => isAvailable(member, timing, now));
  if (available.length > 0 || !isOwnerLive) {
    return { name: domain, replicas, groups: groupByLabels(available) };
  }
  const whole = replicas.filter(({ phase }) => phase === 'whole');
  const serving = whole
    .flatMap((replica) => replica.members.map(({ instance }) => members.get(instance)))
    .filter((member) => member !== undefined);
  return { name: domain, replicas: whole, groups: groupByLabels(serving) };
}

/** The location of most of the domain's engines; ties are broken by name. */
export function locateDomain(domain: string, members: DomainMembers): DomainLocation {
  const counts = new Map<string, { count: number; region: string; failureDomain: string }>();
  for (const { instance } of members.values()) {
    const { region, failureDomain } = instance;
    const key = `${region}/${failureDomain}`;
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, { count, region, failureDomain });
  }
  const byCount = [...counts].sort(
    ([a, { count: countA }], [b, { count: countB }]) => countB - countA || (a < b ? -1 : 1),
  );
  const location = byCount[0]?.[1];
  return { domain, region: location?.region, failureDomain: location?.failureDomain ?? '' };
}

function isAvailable(
  member: DomainMember,
  timing: Pick<DomainInput, 'estimates' | 'watchingSince'>,
  now: Milliseconds,
): boolean {
  if (member.leaving || member.health?.report === undefined) return false;
  return measureAbsence(timing, member, now) < timing.estimates.lossMs;
}

function groupByLabels(members: readonly DomainMember[]): InstanceGroup[] {
  const groups = new Map<string, InstanceGroup>();
  for (const { instance } of members) {
    const key = JSON.stringify(Object.entries(instance.labels).sort());
    const group = groups.get(key);
    if (group === undefined) groups.set(key, { labels: instance.labels, count: 1 });
    else group.count += 1;
  }
  return [...groups.values()];
}
