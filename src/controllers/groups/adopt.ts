/**
 * Groups that were formed under a plan which the store has lost.
 *
 * No order is sent before its plan is stored, so an engine never has an epoch above the plan's last one,
 * unless the store has come back from an older copy. Guards against undoing, by that copy, what
 * serves: a whole group is taken into the plan as its members report it.
 */
import type { BackendServer } from '../../ports/index.js';
import { toMember, type GroupPlan, type PlannedGroup } from './types.js';
import type { DomainView } from './view.js';

/** `plan` with all whole groups of later epochs; `plan` itself when there are none. */
export function adoptFormed(plan: GroupPlan, view: DomainView): GroupPlan {
  const later = [...view.servers.values()].filter(
    ({ engine }) => (engine?.membership?.epoch ?? 0) > plan.lastEpoch,
  );
  if (later.length === 0) return plan;
  const adopted = [...groupByForming(later).values()].flatMap((members) => {
    const group = describeGroup(members, view);
    return group ? [group] : [];
  });
  if (adopted.length === 0) return plan;
  const taken = new Set(adopted.flatMap(({ members }) => members.map(({ id }) => id)));
  const kept = plan.groups.filter(({ members }) => !members.some(({ id }) => taken.has(id)));
  const lastEpoch = Math.max(...adopted.map(({ epoch }) => epoch));
  return { lastEpoch, groups: [...kept, ...adopted] };
}

function groupByForming(servers: readonly BackendServer[]): Map<string, BackendServer[]> {
  const groups = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const membership = server.engine?.membership;
    if (membership === undefined) continue;
    const key = `${membership.group} ${membership.epoch}`;
    groups.set(key, [...(groups.get(key) ?? []), server]);
  }
  return groups;
}

/** The group of `servers`; undefined unless all its members are there and have formed it. */
function describeGroup(
  servers: readonly BackendServer[],
  view: DomainView,
): PlannedGroup | undefined {
  const members = [...servers].sort((one, other) => rankOf(one) - rankOf(other));
  const [head] = members;
  const membership = head?.engine?.membership;
  const model = view.profile.models.find(({ name }) => name === head?.engine?.model);
  if (membership === undefined || model === undefined) return undefined;
  const isWhole =
    members.length === model.size &&
    members.every((server, rank) => rankOf(server) === rank && hasFormed(server));
  if (!isWhole) return undefined;
  const { group: name, epoch } = membership;
  return { name, epoch, model: model.name, members: members.map(toMember), closing: 'no' };
}

function rankOf({ engine }: BackendServer): number {
  return engine?.membership?.rank ?? Infinity;
}

function hasFormed({ engine }: BackendServer): boolean {
  const state = engine?.membership?.state;
  return state === 'ready' || state === 'open';
}
