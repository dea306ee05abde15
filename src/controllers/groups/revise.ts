/**
 * Computes the next plan of a fabric domain: closes groups that lost a member, removes groups that are
 * disbanded and forms missing groups from free instances.
 *
 * The following rules ensure that no instance is in two groups and no group serves without a member:
 * - A plan is stored by a conditional write before its orders are sent, so that of two concurrent
 *   planners only one succeeds.
 * - A plan is revised only by a view that shows at least what the plan rests on.
 * - A head is ordered to open only after the plan says that the group has formed. A group that was dropped
 *   before can't open any more, and one that has formed is dropped only when its members are seen to
 *   have left it.
 * - An instance is free only if it reports no group, so that a head that still accepts requests never
 *   loses a member to another group.
 * - Each new group has a higher epoch than all earlier ones in the domain, so that engines can refuse
 *   outdated orders.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import { adoptFormedGroups } from './adopt.js';
import { isCredibleEpoch } from './epochs.js';
import { listLateJoins, mayReopen } from './late-orders.js';
import type { GroupTarget } from './targets.js';
import { toMember, type GroupPlan, type PlannedGroup } from './types.js';
import {
  countActiveGroups,
  coversPlan,
  hasWeights,
  isResponsive,
  isOtherIncarnation,
  isUsable,
  listFreeInstances,
  membershipIn,
  type DomainView,
} from './view.js';

/** The plan to store next; `stored` itself if nothing has to change. */
export function revisePlan(stored: GroupPlan, view: DomainView): GroupPlan {
  if (!coversPlan(view, stored)) return stored;
  const plan = adoptFormedGroups(stored, view);
  const groups = plan.groups.filter((group) => !isDisbanded(group, view)).map(updateGroup(view));
  const isChanged =
    groups.length < plan.groups.length ||
    groups.some((group, index) => group !== plan.groups[index]);
  const revised = formMissingGroups(isChanged ? { ...plan, groups } : plan, view);
  if (revised === stored) return stored;
  return { ...revised, fleetRevision: Math.max(stored.fleetRevision ?? 0, view.fleetRevision) };
}

/** Returns groups as `view` shows them; a group itself if nothing has changed. */
function updateGroup(view: DomainView): (group: PlannedGroup) => PlannedGroup {
  return (group) => {
    const closing = nextClosing(group, view);
    if (closing !== 'no' || group.formed)
      return closing === group.closing ? group : { ...group, closing };
    if (!hasFormed(group, view)) return takeOver(group, view);
    const lateJoins = listLateJoins(group, view);
    return { ...group, formed: true, ...(lateJoins.length > 0 && { lateJoins }) };
  };
}

/** Makes this gateway the sender of a group that doesn't form; the orders of the one before may be late. */
function takeOver(group: PlannedGroup, view: DomainView): PlannedGroup {
  const { sender = view.self, members, name } = group;
  if (sender === view.self || !view.overdueGroups.has(name)) return group;
  const isComplete = members.every(({ id }) => membershipIn(view, group, id) !== undefined);
  if (isComplete) return group;
  return { ...group, sender: view.self, takenOver: true, lateJoins: members.map(({ id }) => id) };
}

function hasFormed(group: PlannedGroup, view: DomainView): boolean {
  return group.members.every(({ id }) => {
    const state = membershipIn(view, group, id)?.state;
    return state === 'ready' || state === 'open';
  });
}

/** Whether a closing group has no responsive member left, and none can come back. */
function isDisbanded(group: PlannedGroup, view: DomainView): boolean {
  if (group.closing === 'no' || mayReopen(group, view)) return false;
  return group.members.every(
    ({ id }) => !isResponsive(view, id) || membershipIn(view, group, id) === undefined,
  );
}

function nextClosing(group: PlannedGroup, view: DomainView): PlannedGroup['closing'] {
  if (group.closing === 'preempt') return 'preempt';
  const hasLostMember = group.members.some(
    (member) =>
      !view.servers.has(member.id) || view.lost.has(member.id) || isOtherIncarnation(view, member),
  );
  const [head] = group.members;
  const isBroken = head !== undefined && membershipIn(view, group, head.id)?.state === 'broken';
  // Whoever is ordered to join again may be wanted by the next plan already.
  const hasLeaver =
    group.formed === true &&
    group.members.some(({ id }) => membershipIn(view, group, id) === undefined);
  if (hasLostMember || hasLeaver || isBroken || view.failedGroups.has(group.name)) return 'preempt';
  if (group.closing === 'drain') return 'drain';
  return group.members.every(({ id }) => isUsable(view, id)) ? 'no' : 'drain';
}

/**
 * Makes at most one change, in this order of preference: drains a group with a slow member, forms a
 * group of a model below its target, drains surplus groups whose members are needed for that, or forms
 * an extra group from instances that no model below its target can use. The extra group comes last
 * because it is hard to undo: after a warm load, an instance has the weights of only one model.
 */
function formMissingGroups(plan: GroupPlan, view: DomainView): GroupPlan {
  const { targets } = view;
  const free = listFreeInstances(view, plan);
  const withoutSlow = drainSlowGroup(plan, view, free);
  if (withoutSlow !== plan) return withoutSlow;
  const underTarget = targets
    .filter((target) => countActiveGroups(plan, target.model) < target.groups)
    .sort((a, b) => fillRatio(a, plan) - fillRatio(b, plan) || b.model.size - a.model.size);
  for (const { model } of underTarget) {
    const members = pickMembers(free, model, view);
    if (members) return addGroup(plan, view, model, members);
  }
  // Before there is traffic, instances are still starting and loading, so extra groups are premature.
  if (underTarget.length === 0 || view.beforeTraffic) return plan;
  const withoutSurplus = drainSurplus(plan, view, underTarget, free);
  if (withoutSurplus !== plan || hasClosingGroup(plan)) return withoutSurplus;
  const byFillRatio = [...targets].sort((a, b) => fillRatio(a, plan) - fillRatio(b, plan));
  for (const { model } of byFillRatio) {
    const members = pickMembers(free, model, view);
    if (members) return addGroup(plan, view, model, members);
  }
  return plan;
}

/** Drains a group with a slow member if the group can be formed again without it. */
function drainSlowGroup(
  plan: GroupPlan,
  view: DomainView,
  free: readonly BackendServer[],
): GroupPlan {
  if (view.slow.size === 0 || hasClosingGroup(plan)) return plan;
  const group = plan.groups.find(({ model, members }) => {
    const size = members.length;
    const fast = members.flatMap(({ id }) =>
      view.slow.has(id) ? [] : (view.servers.get(id) ?? []),
    );
    if (fast.length === size) return false;
    const profile = view.profile.models.find(({ name }) => name === model);
    const spare = free.filter(({ id }) => !view.slow.has(id));
    return profile !== undefined && pickMembers([...fast, ...spare], profile, view) !== undefined;
  });
  return group === undefined ? plan : drainGroups(plan, [group]);
}

/** Whether a group is closing, so that its members will be free soon. */
function hasClosingGroup(plan: GroupPlan): boolean {
  return plan.groups.some(({ closing }) => closing !== 'no');
}

/** Fraction of its target that a model has reached. A model with a target of 0 counts as above it. */
function fillRatio({ model, groups }: GroupTarget, plan: GroupPlan): number {
  const count = countActiveGroups(plan, model);
  return groups > 0 ? count / groups : count + 1;
}

/** Marks the `chosen` groups as draining, so that they finish their requests and free their members. */
function drainGroups(plan: GroupPlan, chosen: readonly PlannedGroup[]): GroupPlan {
  const groups = plan.groups.map((group) =>
    chosen.includes(group) ? { ...group, closing: 'drain' as const } : group,
  );
  return { ...plan, groups };
}

function drainSurplus(
  plan: GroupPlan,
  view: DomainView,
  underTarget: readonly GroupTarget[],
  free: readonly BackendServer[],
): GroupPlan {
  if (hasClosingGroup(plan)) return plan;
  const surplus = view.targets.flatMap(({ model, groups }) =>
    plan.groups
      .filter((group) => group.model === model.name)
      .slice(0, Math.max(0, countActiveGroups(plan, model) - groups)),
  );
  for (const { model } of underTarget) {
    const drained = pickSurplus(surplus, free, model, view);
    if (drained !== undefined) return drainGroups(plan, drained);
  }
  return plan;
}

/** The shortest prefix of `surplus` whose members and `free` can form a group of `model`. */
function pickSurplus(
  surplus: readonly PlannedGroup[],
  free: readonly BackendServer[],
  model: GroupModel,
  view: DomainView,
): PlannedGroup[] | undefined {
  const selected: PlannedGroup[] = [];
  for (const group of surplus) {
    selected.push(group);
    const members = selected.flatMap((each) => each.members.map(({ id }) => id));
    const servers = members.flatMap((id) => view.servers.get(id) ?? []);
    if (pickMembers([...free, ...servers], model, view)) return selected;
  }
  return undefined;
}

/**
 * The members with which a group of `model` would be ready soonest; undefined if there are too few.
 * Once there is traffic, only instances that have the weights are eligible. A host that is staging another
 * model may no longer have them when the order to join arrives.
 */
function pickMembers(
  free: readonly BackendServer[],
  model: GroupModel,
  view: DomainView,
): BackendServer[] | undefined {
  const eligible = free.filter(
    (server) =>
      view.beforeTraffic ||
      (hasWeights(server, model) &&
        (!view.staging.has(server.id) || server.engine?.lastModel === model.name)),
  );
  if (eligible.length < model.size) return undefined;
  const ranked = [...eligible].sort(
    (a, b) =>
      Number(view.slow.has(a.id)) - Number(view.slow.has(b.id)) ||
      joinCost(a, model) - joinCost(b, model) ||
      countJoinableModels(a) - countJoinableModels(b),
  );
  return ranked.slice(0, model.size);
}

/** Number of models that an instance has the weights of. Instances with fewer are used first. */
function countJoinableModels({ engine }: BackendServer): number {
  return new Set([...(engine?.staged ?? []), engine?.lastModel].filter(Boolean)).size;
}

/** Ranks instances by weights: in memory, on the host, none staged, another model staged. */
function joinCost({ engine }: BackendServer, model: GroupModel): number {
  if (engine?.lastModel === model.name) return 0;
  if (engine?.staged.includes(model.name)) return 1;
  return engine === undefined || engine.staged.length === 0 ? 2 : 3;
}

function addGroup(
  plan: GroupPlan,
  view: DomainView,
  model: GroupModel,
  members: readonly BackendServer[],
): GroupPlan {
  const reportedEpochs = [...view.servers.values()]
    .map(({ engine }) => engine?.membership?.epoch ?? 0)
    .filter((reported) => isCredibleEpoch(reported, plan.lastEpoch));
  const epoch = Math.max(plan.lastEpoch, ...reportedEpochs) + 1;
  const [head] = members;
  const group: PlannedGroup = {
    name: `${head?.engine?.fabricDomain ?? 'domain'}.${epoch}`,
    epoch,
    model: model.name,
    members: members.map(toMember),
    closing: 'no',
    sender: view.self,
  };
  return { ...plan, lastEpoch: epoch, groups: [...plan.groups, group] };
}
