/**
 * A planner's snapshot of one fabric domain, with queries on it.
 */
import type {
  BackendServer,
  EngineProfile,
  GroupMembership,
  GroupModel,
} from '../../ports/index.js';
import { isCredibleEpoch } from './epochs.js';
import type { GroupTarget } from './targets.js';
import type { GroupMember, GroupPlan, PlannedGroup } from './types.js';

/** The instances of one service in one fabric domain, with the results of orders and probes. */
export interface DomainView {
  profile: EngineProfile;
  /** Revision of the fleet that `servers` show. */
  fleetRevision: number;
  /** Whether `servers` were confirmed to be the newest after the plan was read. */
  isNewerThanPlan: boolean;
  /** Target number of replicas of each model in the domain. */
  targets: readonly GroupTarget[];
  /** Instances with a store entry, by id. */
  servers: ReadonlyMap<string, BackendServer>;
  /** Instances that don't answer probes, although they may still have a store entry. */
  lost: ReadonlySet<string>;
  /** Slow instances. A replica runs at the pace of its slowest member. */
  slow: ReadonlySet<string>;
  /** Instances that load weights, or may still begin to. */
  staging: ReadonlySet<string>;
  /** Maximum number of concurrent loads in the domain. More would slow down loads in all domains. */
  loadSlots: number;
  /** Whether no gateway has received a request yet, so that loads are not limited. */
  beforeTraffic: boolean;
  /** Incarnation of the gateway that plans. */
  self: string;
  /** Groups whose sender makes no progress. */
  overdueGroups: ReadonlySet<string>;
  /** Orders to join and to open none of which can be carried out late, see `orderKey`. */
  answeredOrders: ReadonlySet<string>;
  /** Closing groups for which no order can be late any more. */
  settledGroups: ReadonlySet<string>;
  /** Groups that an engine refused permanently, or that are stuck although all members respond. */
  failedGroups: ReadonlySet<string>;
}

/**
 * Whether `view` shows at least what `plan` rests on. In an older view, members that have joined look
 * free, and groups that are open look disbanded.
 */
export function coversPlan(view: DomainView, plan: GroupPlan): boolean {
  return view.isNewerThanPlan || view.fleetRevision >= (plan.fleetRevision ?? 0);
}

/**
 * Whether an instance reports a later epoch than any that `plan` has assigned: another gateway has changed
 * the plan, or the store was restored from a copy without the change.
 */
export function reportsLaterEpoch(servers: Iterable<BackendServer>, plan: GroupPlan): boolean {
  return [...servers].some((server) => hasLaterEpoch(server, plan));
}

/** Whether `server` reports an epoch that `plan` has not assigned but a planner may have. */
export function hasLaterEpoch({ engine }: BackendServer, { lastEpoch }: GroupPlan): boolean {
  const epoch = engine?.membership?.epoch ?? 0;
  return epoch > lastEpoch && isCredibleEpoch(epoch, lastEpoch);
}

/** The membership that `id` reports, if it belongs to `group` with the same epoch. */
export function membershipIn(
  view: DomainView,
  group: PlannedGroup,
  id: string,
): GroupMembership | undefined {
  const membership = view.servers.get(id)?.engine?.membership;
  const isSame = membership?.group === group.name && membership.epoch === group.epoch;
  return isSame ? membership : undefined;
}

/** Whether `server` is still the process that was planned as `member`. */
export function isSameIncarnation(
  { startedAt }: Pick<BackendServer, 'startedAt'>,
  member: Pick<GroupMember, 'startedAt'>,
): boolean {
  return member.startedAt === undefined || startedAt === member.startedAt;
}

/** Whether `member` has restarted under its id, in which case the group has lost a member. */
export function isOtherIncarnation(view: DomainView, member: GroupMember): boolean {
  const server = view.servers.get(member.id);
  return server !== undefined && !isSameIncarnation(server, member);
}

/** Whether `id` can be a member of a group. */
export function isUsable(view: DomainView, id: string): boolean {
  const server = view.servers.get(id);
  return server !== undefined && !server.leaving && !view.lost.has(id);
}

/** Ids of the members of all groups in `plan`. */
function listPlannedIds(plan: GroupPlan): Set<string> {
  return new Set(plan.groups.flatMap(({ members }) => members.map(({ id }) => id)));
}

/** Instances that report a group missing from `plan`. They must leave it before they join another. */
export function listOrphans(view: DomainView, plan: GroupPlan): BackendServer[] {
  const planned = new Set(plan.groups.map(({ name, epoch }) => `${name} ${epoch}`));
  return [...view.servers.values()].filter(({ id, engine }) => {
    const membership = engine?.membership;
    if (membership === undefined || view.lost.has(id)) return false;
    return !planned.has(`${membership.group} ${membership.epoch}`);
  });
}

/** Usable instances without a group, sorted by id. */
export function listFreeInstances(view: DomainView, plan: GroupPlan): BackendServer[] {
  const planned = listPlannedIds(plan);
  return [...view.servers.values()]
    .filter(({ id }) => isUsable(view, id) && !planned.has(id))
    .filter(({ engine }) => engine?.membership === undefined)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Whether `id` has a store entry and is not lost. */
export function isResponsive(view: DomainView, id: string): boolean {
  return view.servers.has(id) && !view.lost.has(id);
}

/** Number of groups of `model` in `plan` that are not closing. */
export function countActiveGroups(plan: GroupPlan, model: GroupModel): number {
  return plan.groups.filter((group) => group.model === model.name && group.closing === 'no').length;
}

/** Whether a server has the weights of `model` in memory or on its host. */
export function hasWeights({ engine }: BackendServer, model: Pick<GroupModel, 'name'>): boolean {
  return engine?.lastModel === model.name || engine?.staged.includes(model.name) === true;
}
