/**
 * Adopts groups that were formed under a plan that the store has lost.
 *
 * Orders are sent only after their plan is stored, so an engine can report a later epoch than the plan
 * only if the store was restored from an older copy. Complete groups are added to the plan as their
 * members report them, so that serving groups are not disbanded.
 */
import type { BackendServer } from '../../ports/index.js';
import { toMember, type GroupPlan, type PlannedGroup } from './types.js';
import { hasLaterEpoch, type DomainView } from './view.js';

/** Adds all complete groups of later epochs to `plan`. Returns `plan` itself if there are none. */
export function adoptFormedGroups(plan: GroupPlan, view: DomainView): GroupPlan {
  const newerMembers = [...view.servers.values()].filter((server) => hasLaterEpoch(server, plan));
  if (newerMembers.length === 0) return plan;
  const adopted = [...groupByFormation(newerMembers).values()].flatMap((members) => {
    const group = toCompleteGroup(members, view);
    return group ? [group] : [];
  });
  if (adopted.length === 0) return plan;
  const adoptedIds = new Set(adopted.flatMap(({ members }) => members.map(({ id }) => id)));
  const kept = plan.groups.filter(({ members }) => !members.some(({ id }) => adoptedIds.has(id)));
  const lastEpoch = Math.max(...adopted.map(({ epoch }) => epoch));
  return { ...plan, lastEpoch, groups: [...kept, ...adopted] };
}

function groupByFormation(servers: readonly BackendServer[]): Map<string, BackendServer[]> {
  const groups = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const membership = server.engine?.membership;
    if (membership === undefined) continue;
    const key = `${membership.group} ${membership.epoch}`;
    groups.set(key, [...(groups.get(key) ?? []), server]);
  }
  return groups;
}

/** The group that `servers` report; undefined unless it is complete and all members are ready. */
function toCompleteGroup(
  servers: readonly BackendServer[],
  view: DomainView,
): PlannedGroup | undefined {
  const members = [...servers].sort((a, b) => rankOf(a) - rankOf(b));
  const [head] = members;
  const membership = head?.engine?.membership;
  const model = view.profile.models.find(({ name }) => name === head?.engine?.model);
  if (membership === undefined || model === undefined) return undefined;
  const isComplete =
    members.length === model.size &&
    members.every((server, rank) => rankOf(server) === rank && hasFormed(server));
  if (!isComplete) return undefined;
  const { group: name, epoch } = membership;
  return {
    name,
    epoch,
    model: model.name,
    members: members.map(toMember),
    closing: 'no',
    formed: true,
  };
}

function rankOf({ engine }: BackendServer): number {
  return engine?.membership?.rank ?? Infinity;
}

function hasFormed({ engine }: BackendServer): boolean {
  const state = engine?.membership?.state;
  return state === 'ready' || state === 'open';
}
