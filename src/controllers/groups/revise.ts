/**
 * The next plan of a fabric domain: groups that lost a member are taken apart, groups that are gone
 * are dropped, and free instances form the groups that are missing.
 *
 * Guards against an instance in two groups and against a group that serves with a member missing.
 * A plan is stored under a condition before any of its orders is sent, so of two planners that do
 * not know of each other one fails to store. Instances become free only when the head of their
 * group has left it, so that a head which still accepts requests never loses a member to another
 * group. Every forming has a higher epoch than all before it in the domain: an order that arrives
 * late is refused by each engine that has seen a newer one.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import { planTargets, type ModelWeights } from './targets.js';
import type { GroupPlan, PlannedGroup } from './types.js';
import { isUsable, listFree, membershipIn, type DomainView } from './view.js';

/** The plan that should be stored next; `plan` itself when nothing has to change. */
export function revisePlan(plan: GroupPlan, view: DomainView, weights: ModelWeights): GroupPlan {
  const kept = plan.groups
    .filter((group) => !isGone(group, view))
    .map((group) => ({ ...group, closing: judgeClosing(group, view) }));
  const isChanged =
    kept.length < plan.groups.length ||
    kept.some(({ closing }, index) => closing !== plan.groups[index]?.closing);
  const cleaned = isChanged ? { ...plan, groups: kept } : plan;
  return formMissing(cleaned, view, weights);
}

/**
 * Only the head's own word that it left ends a group. What the store shows of it may be older than
 * an order of another planner that is still on its way.
 */
function isGone(group: PlannedGroup, view: DomainView): boolean {
  return group.closing !== 'no' && view.released.has(group.name);
}

function judgeClosing(group: PlannedGroup, view: DomainView): PlannedGroup['closing'] {
  if (group.closing === 'preempt') return 'preempt';
  const isCut = group.members.some(({ id }) => !view.servers.has(id) || view.lost.has(id));
  const [head] = group.members;
  const isBroken = head !== undefined && membershipIn(view, group, head.id)?.state === 'broken';
  if (isCut || isBroken || view.failed.has(group.name)) return 'preempt';
  if (group.closing === 'drain') return 'drain';
  return group.members.every(({ id }) => isUsable(view, id)) ? 'no' : 'drain';
}

function formMissing(plan: GroupPlan, view: DomainView, weights: ModelWeights): GroupPlan {
  const usable = [...view.servers.keys()].filter((id) => isUsable(view, id)).length;
  const targets = planTargets(usable, view.profile.models, weights);
  const missing = targets
    .map(({ model, groups }) => ({ model, missing: groups - countGroups(plan, model) }))
    .filter((entry) => entry.missing > 0)
    .sort((a, b) => rankModel(a.model, plan) - rankModel(b.model, plan));
  for (const { model } of missing) {
    const members = pickMembers(listFree(view, plan), model);
    if (members !== undefined) return addGroup(plan, view, model, members);
  }
  return plan;
}

/** The model with the smallest part of the domain comes first; a larger one on equal parts. */
function rankModel(model: GroupModel, plan: GroupPlan): number {
  return countGroups(plan, model) * model.size - model.size / 1_000;
}

function countGroups(plan: GroupPlan, model: GroupModel): number {
  return plan.groups.filter((group) => group.model === model.name && group.closing === 'no').length;
}

function pickMembers(
  free: readonly BackendServer[],
  model: GroupModel,
): BackendServer[] | undefined {
  if (free.length < model.size) return undefined;
  const ranked = [...free].sort((a, b) => joinEffort(a, model) - joinEffort(b, model));
  return ranked.slice(0, model.size);
}

/** Lower joins sooner: the model in memory, on the host, nothing there, another model there. */
function joinEffort({ engine }: BackendServer, model: GroupModel): number {
  if (engine?.model === model.name) return 0;
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
    members: members.map(({ id, address }) => ({ id, address })),
    closing: 'no',
  };
  return { lastEpoch: epoch, groups: [...plan.groups, group] };
}
