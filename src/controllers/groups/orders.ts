/**
 * Derives the orders that bring a fabric domain closer to its stored plan.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import { toMember, type DueOrder, type GroupPlan, type PlannedGroup } from './types.js';
import { findLackingModels, holdsOneModelTwice } from './reserve.js';
import {
  countActiveGroups,
  hasWeights,
  isResponsive,
  isOtherIncarnation,
  listFreeInstances,
  listOrphans,
  membershipIn,
  type DomainView,
} from './view.js';

/** Orders needed to reach `plan`, which must be stored already so that it can't be lost. */
export function listOrders(plan: GroupPlan, view: DomainView): DueOrder[] {
  return [
    ...plan.groups.flatMap((group) => listGroupOrders(group, view)),
    ...listOrphans(view, plan).flatMap(listOrphanOrders),
    ...listStagingOrders(plan, view),
  ];
}

function listGroupOrders(group: PlannedGroup, view: DomainView): DueOrder[] {
  return group.closing === 'no' ? listFormingOrders(group, view) : listClosingOrders(group, view);
}

function listFormingOrders(group: PlannedGroup, view: DomainView): DueOrder[] {
  const { name, epoch, model, members } = group;
  // A restarted member must not rejoin; the group is disbanded by the next plan instead.
  if (members.some((member) => isOtherIncarnation(view, member))) return [];
  const ids = members.map(({ id }) => id);
  const notJoined = members.filter(({ id }) => membershipIn(view, group, id) === undefined);
  if (notJoined.length > 0) {
    return notJoined.map((to) => ({
      to,
      order: { kind: 'join', group: name, epoch, model, members: ids },
    }));
  }
  const [head] = members;
  if (head === undefined || membershipIn(view, group, head.id)?.state !== 'ready') return [];
  // Engines don't check that all members are ready in the same formation of the group.
  const areAllReady = ids.every((id) => membershipIn(view, group, id)?.state === 'ready');
  return areAllReady ? [{ to: head, order: { kind: 'open', group: name, epoch } }] : [];
}

/**
 * In a draining group, the head closes first and the members leave after it has finished. Any other
 * closing group can't complete its requests, so all members leave at once.
 */
function listClosingOrders(group: PlannedGroup, view: DomainView): DueOrder[] {
  const { name, epoch, closing } = group;
  const [head] = group.members;
  const state = head && membershipIn(view, group, head.id)?.state;
  if (head && closing === 'drain' && isResponsive(view, head.id)) {
    if (state === 'closing') return [];
    if (state === 'open') {
      return [{ to: head, order: { kind: 'close', group: name, epoch, preempt: false } }];
    }
  }
  return group.members
    .filter(({ id }) => isResponsive(view, id) && membershipIn(view, group, id) !== undefined)
    .map((to) => ({ to, order: { kind: 'leave', group: name, epoch } }));
}

function listOrphanOrders(server: BackendServer): DueOrder[] {
  const membership = server.engine?.membership;
  if (membership === undefined) return [];
  const { group, epoch } = membership;
  return [{ to: toMember(server), order: { kind: 'leave', group, epoch } }];
}

/**
 * Stages the model with the fewest spares on free instances without weights. Before there is
 * traffic, a second model is also staged on members, so that they can switch to it by a warm load.
 */
function listStagingOrders(plan: GroupPlan, view: DomainView): DueOrder[] {
  const free = listFreeInstances(view, plan);
  const { targets } = view;
  const models = targets.filter(({ groups }) => groups > 0).map(({ model }) => model);
  const unstaged = free.filter(({ engine }) => engine?.staged.length === 0);
  const spares = new Map(models.map(({ name }) => [name, countStaged(free, name)]));
  const orders = unstaged.flatMap((server): DueOrder[] => {
    const model = selectStagingModel(models, spares);
    if (model === undefined) return [];
    spares.set(model.name, (spares.get(model.name) ?? 0) + 1);
    return [createStageOrder(server, model)];
  });
  if (view.beforeTraffic) return [...orders, ...listSecondModelOrders(plan, view, models)];
  const candidates = [
    ...orders,
    ...listRestagingOrders(free, plan, targets),
    ...listReserveOrders(plan, view),
  ];
  const freeSlots = Math.max(0, view.loadSlots - view.staging.size);
  return candidates.filter(({ to }) => !view.staging.has(to.id)).slice(0, freeSlots);
}

/**
 * Stages a model that has too few groups on free instances with other weights, which would stay idle
 * otherwise.
 */
function listRestagingOrders(
  free: readonly BackendServer[],
  plan: GroupPlan,
  targets: readonly GroupTarget[],
): DueOrder[] {
  const target = targets.find(({ model, groups }) => countActiveGroups(plan, model) < groups);
  if (target === undefined) return [];
  const { model } = target;
  const hasModelWeights = (server: BackendServer): boolean => hasWeights(server, model);
  const missingInstances = model.size - free.filter(hasModelWeights).length;
  return free
    .filter((server) => !hasModelWeights(server) && server.engine?.staged.length !== 0)
    .slice(0, Math.max(0, missingInstances))
    .map((server) => createStageOrder(server, model));
}

function listSecondModelOrders(
  plan: GroupPlan,
  view: DomainView,
  models: readonly GroupModel[],
): DueOrder[] {
  return plan.groups.flatMap((group) => {
    const other = models.find(({ name }) => name !== group.model);
    if (other === undefined || group.closing !== 'no') return [];
    return group.members.flatMap(({ id }): DueOrder[] => {
      const server = view.servers.get(id);
      const isLoaded = server?.engine?.model === group.model;
      if (!server || !isLoaded || server.engine?.staged.includes(other.name)) return [];
      return [createStageOrder(server, other)];
    });
  });
}

/**
 * Stages a model that too few instances of the domain hold on the hosts of members of other groups.
 *
 * A member that has joined from its host's copy holds one model twice and no other. Without this, each
 * loss and each change of the targets would leave fewer instances for a model, until it could not be
 * formed again.
 */
function listReserveOrders(plan: GroupPlan, view: DomainView): DueOrder[] {
  const lacking = findLackingModels([...view.servers.values()], view.targets);
  return lacking.flatMap(({ model, missing }) =>
    plan.groups
      .filter((group) => group.model !== model.name && group.closing === 'no')
      .flatMap(({ members }) => members.flatMap(({ id }) => view.servers.get(id) ?? []))
      .filter((server) => holdsOneModelTwice(server))
      .slice(0, missing)
      .map((server) => createStageOrder(server, model)),
  );
}

function createStageOrder(server: BackendServer, model: GroupModel): DueOrder {
  return { to: toMember(server), order: { kind: 'stage', model: model.name } };
}

function countStaged(free: readonly BackendServer[], model: string): number {
  return free.filter(({ engine }) => engine?.staged.includes(model)).length;
}

function selectStagingModel(
  models: readonly GroupModel[],
  spares: ReadonlyMap<string, number>,
): GroupModel | undefined {
  const count = (model: GroupModel): number => spares.get(model.name) ?? 0;
  return [...models].sort((a, b) => count(a) - count(b) || b.size - a.size)[0];
}
