/**
 * What a planner knows of one fabric domain at one moment.
 */
import type {
  BackendServer,
  EngineProfile,
  GroupMembership,
  GroupModel,
} from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import type { GroupMember, GroupPlan, PlannedGroup } from './types.js';

/** The instances of one fabric domain and service, and what orders and probes showed of them. */
export interface DomainView {
  profile: EngineProfile;
  /** How many replicas of each model the domain should have. */
  targets: readonly GroupTarget[];
  /** By id; only instances whose own entries are known. */
  servers: ReadonlyMap<string, BackendServer>;
  /** Instances that answer no probe, although their entries may still be there. */
  lost: ReadonlySet<string>;
  /** Instances that have turned slow: a replica runs at the pace of its slowest member. */
  slow: ReadonlySet<string>;
  /** Instances that bring weights to their hosts now. */
  staging: ReadonlySet<string>;
  /** Loads that the domain may have under way; more would slow down those of all domains. */
  loadSlots: number;
  /**
   * No gateway has seen a request yet: loads disturb nobody, and weights may go to every host ahead
   * of need.
   */
  beforeTraffic: boolean;
  /** Groups that an engine refused for good, or whose work stands still with all members there. */
  failed: ReadonlySet<string>;
}

/** The membership that `id` reports, if it is one of `group` in just this forming. */
export function membershipIn(
  view: DomainView,
  group: PlannedGroup,
  id: string,
): GroupMembership | undefined {
  const membership = view.servers.get(id)?.engine?.membership;
  const isSame = membership?.group === group.name && membership.epoch === group.epoch;
  return isSame ? membership : undefined;
}

/**
 * Whether `member` has ended and another life has begun under its id. That one holds nothing of the
 * group, whatever its entry says: the group has lost a member.
 */
export function isOtherLife(view: DomainView, { id, startedAt }: GroupMember): boolean {
  const server = view.servers.get(id);
  if (server === undefined || startedAt === undefined) return false;
  return server.startedAt !== startedAt;
}

/** Whether `id` may take part in a group. */
export function isUsable(view: DomainView, id: string): boolean {
  const server = view.servers.get(id);
  return server !== undefined && !server.leaving && !view.lost.has(id);
}

/** Ids of all members of all groups of `plan`. */
function listPlanned(plan: GroupPlan): Set<string> {
  return new Set(plan.groups.flatMap(({ members }) => members.map(({ id }) => id)));
}

/** Instances that report a group which `plan` does not have. They must leave it before they join another. */
export function listStrays(view: DomainView, plan: GroupPlan): BackendServer[] {
  const planned = new Set(plan.groups.map(({ name }) => name));
  return [...view.servers.values()].filter(({ id, engine }) => {
    const group = engine?.membership?.group;
    return group !== undefined && !planned.has(group) && !view.lost.has(id);
  });
}

/** Instances that no group has and that may join one, in the order of their ids. */
export function listFree(view: DomainView, plan: GroupPlan): BackendServer[] {
  const planned = listPlanned(plan);
  return [...view.servers.values()]
    .filter(({ id }) => isUsable(view, id) && !planned.has(id))
    .filter(({ engine }) => engine?.membership === undefined)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Whether `id` is known and answers. */
export function isHeard(view: DomainView, id: string): boolean {
  return view.servers.has(id) && !view.lost.has(id);
}

/** Groups of `model` in `plan` that are not being taken apart. */
export function countGroups(plan: GroupPlan, model: GroupModel): number {
  return plan.groups.filter((group) => group.model === model.name && group.closing === 'no').length;
}

/** Whether a server has the weights of `model` in memory or on its host. */
export function hasAtHand({ engine }: BackendServer, model: GroupModel): boolean {
  return engine?.lastModel === model.name || engine?.staged.includes(model.name) === true;
}
