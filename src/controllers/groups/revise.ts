/**
 * The next plan of a fabric domain: groups that lost a member are taken apart, groups that are gone
 * are dropped, and free instances form the groups that are missing.
 *
 * Guards against an instance in two groups and against a group that serves with a member missing.
 * A plan is stored under a condition before any of its orders is sent, so of two planners that do
 * not know of each other one fails to store. An instance is free only when it reports no group at
 * all, so that a head which still accepts requests never loses a member to another group. Every
 * forming has a higher epoch than all before it in the domain: an order that arrives late is refused
 * by each engine that has seen a newer one.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import { adoptFormed } from './adopt.js';
import type { GroupTarget } from './targets.js';
import { toMember, type GroupPlan, type PlannedGroup } from './types.js';
import {
  countGroups,
  hasAtHand,
  isHeard,
  isOtherLife,
  isUsable,
  listFree,
  membershipIn,
  type DomainView,
} from './view.js';

/** The plan that should be stored next; `plan` itself when nothing has to change. */
export function revisePlan(stored: GroupPlan, view: DomainView): GroupPlan {
  const plan = adoptFormed(stored, view);
  const kept = plan.groups
    .filter((group) => !isGone(group, view))
    .map((group) => ({ ...group, closing: judgeClosing(group, view) }));
  const isChanged =
    kept.length < plan.groups.length ||
    kept.some(({ closing }, index) => closing !== plan.groups[index]?.closing);
  const cleaned = isChanged ? { ...plan, groups: kept } : plan;
  return formMissing(cleaned, view);
}

/** Nobody who is heard belongs to it any more. */
function isGone(group: PlannedGroup, view: DomainView): boolean {
  if (group.closing === 'no') return false;
  return group.members.every(
    ({ id }) => !isHeard(view, id) || membershipIn(view, group, id) === undefined,
  );
}

function judgeClosing(group: PlannedGroup, view: DomainView): PlannedGroup['closing'] {
  if (group.closing === 'preempt') return 'preempt';
  const isCut = group.members.some(
    (member) =>
      !view.servers.has(member.id) || view.lost.has(member.id) || isOtherLife(view, member),
  );
  const [head] = group.members;
  const isBroken = head !== undefined && membershipIn(view, group, head.id)?.state === 'broken';
  if (isCut || isBroken || view.failed.has(group.name)) return 'preempt';
  if (group.closing === 'drain') return 'drain';
  return group.members.every(({ id }) => isUsable(view, id)) ? 'no' : 'drain';
}

/**
 * One change at a time: a group of a model that has too few; else a surplus group is given up so that
 * its members can make good the lack; else, where instances are left over that no such group can use,
 * one more group of another model. The last comes last because it is hard to undo: an instance that
 * joins by a warm load has the weights of one model only from then on.
 */
function formMissing(plan: GroupPlan, view: DomainView): GroupPlan {
  const { targets } = view;
  const free = listFree(view, plan);
  const relieved = replaceSlow(plan, view, free);
  if (relieved !== plan) return relieved;
  const lacking = targets
    .filter((target) => countGroups(plan, target.model) < target.groups)
    .sort((a, b) => fillOf(a, plan) - fillOf(b, plan) || b.model.size - a.model.size);
  for (const { model } of lacking) {
    const members = pickMembers(free, model, view);
    if (members) return addGroup(plan, view, model, members);
  }
  // Instances still appear and load: what is left over now has its use in a moment.
  if (lacking.length === 0 || view.beforeTraffic) return plan;
  const givenUp = giveUpSurplus(plan, view, lacking, free);
  if (givenUp !== plan || isClosing(plan)) return givenUp;
  const extra = [...targets].sort((a, b) => fillOf(a, plan) - fillOf(b, plan));
  for (const { model } of extra) {
    const members = pickMembers(free, model, view);
    if (members) return addGroup(plan, view, model, members);
  }
  return plan;
}

/** A group with a slow member finishes what it has and is formed anew, if there is somebody to take its place. */
function replaceSlow(plan: GroupPlan, view: DomainView, free: readonly BackendServer[]): GroupPlan {
  if (view.slow.size === 0 || isClosing(plan)) return plan;
  const group = plan.groups.find(({ model, members }) => {
    const size = members.length;
    const good = members.flatMap(({ id }) =>
      view.slow.has(id) ? [] : (view.servers.get(id) ?? []),
    );
    if (good.length === size) return false;
    const profile = view.profile.models.find(({ name }) => name === model);
    const spare = free.filter(({ id }) => !view.slow.has(id));
    return profile !== undefined && pickMembers([...good, ...spare], profile, view) !== undefined;
  });
  return group === undefined ? plan : drainGroups(plan, [group]);
}

/** Members of a group that is being taken apart come free in a moment. */
function isClosing(plan: GroupPlan): boolean {
  return plan.groups.some(({ closing }) => closing !== 'no');
}

/** Part of its target that a model has; a model without a target has more than enough. */
function fillOf({ model, groups }: GroupTarget, plan: GroupPlan): number {
  const count = countGroups(plan, model);
  return groups > 0 ? count / groups : count + 1;
}

/** `plan` with `chosen` told to finish what they have; their members come free then. */
function drainGroups(plan: GroupPlan, chosen: readonly PlannedGroup[]): GroupPlan {
  const groups = plan.groups.map((group) =>
    chosen.includes(group) ? { ...group, closing: 'drain' as const } : group,
  );
  return { ...plan, groups };
}

function giveUpSurplus(
  plan: GroupPlan,
  view: DomainView,
  lacking: readonly GroupTarget[],
  free: readonly BackendServer[],
): GroupPlan {
  if (isClosing(plan)) return plan;
  const surplus = view.targets.flatMap(({ model, groups }) =>
    plan.groups
      .filter((group) => group.model === model.name)
      .slice(0, Math.max(0, countGroups(plan, model) - groups)),
  );
  for (const { model } of lacking) {
    const givenUp = pickSurplus(surplus, free, model, view);
    if (givenUp !== undefined) return drainGroups(plan, givenUp);
  }
  return plan;
}

/** The fewest of `surplus`, in their order, whose members with those free make a group of `model`. */
function pickSurplus(
  surplus: readonly PlannedGroup[],
  free: readonly BackendServer[],
  model: GroupModel,
  view: DomainView,
): PlannedGroup[] | undefined {
  const picked: PlannedGroup[] = [];
  for (const group of surplus) {
    picked.push(group);
    const members = picked.flatMap((each) => each.members.map(({ id }) => id));
    const servers = members.flatMap((id) => view.servers.get(id) ?? []);
    if (pickMembers([...free, ...servers], model, view)) return picked;
  }
  return undefined;
}

/**
 * The members that a group of `model` would be ready with soonest. Once there is traffic, only those
 * with the weights at hand: others get them first, and hold up nobody meanwhile.
 */
function pickMembers(
  free: readonly BackendServer[],
  model: GroupModel,
  view: DomainView,
): BackendServer[] | undefined {
  const able = free.filter((server) => view.beforeTraffic || hasAtHand(server, model));
  if (able.length < model.size) return undefined;
  const ranked = [...able].sort(
    (a, b) =>
      Number(view.slow.has(a.id)) - Number(view.slow.has(b.id)) ||
      joinEffort(a, model) - joinEffort(b, model) ||
      countModels(a) - countModels(b),
  );
  return ranked.slice(0, model.size);
}

/** Models that an instance can join soon; those with only one are used first. */
function countModels({ engine }: BackendServer): number {
  return new Set([...(engine?.staged ?? []), engine?.lastModel].filter(Boolean)).size;
}

/** Lower joins sooner: the model in memory, on the host, nothing there, another model there. */
function joinEffort({ engine }: BackendServer, model: GroupModel): number {
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
  const seen = [...view.servers.values()].map(({ engine }) => engine?.membership?.epoch ?? 0);
  const epoch = Math.max(plan.lastEpoch, ...seen) + 1;
  const [head] = members;
  const group: PlannedGroup = {
    name: `${head?.engine?.fabricDomain ?? 'domain'}.${epoch}`,
    epoch,
    model: model.name,
    members: members.map(toMember),
    closing: 'no',
  };
  return { lastEpoch: epoch, groups: [...plan.groups, group] };
}
