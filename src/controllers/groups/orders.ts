/**
 * Derives the orders that bring a fabric domain closer to its stored plan.
 */
import type { BackendServer, EngineOrder, GroupModel } from '../../ports/index.js';
import {
  toMember,
  type DueOrder,
  type GroupMember,
  type GroupPlan,
  type OrderReason,
  type PlannedGroup,
} from './types.js';
import { findLackingModels, holdsOneModelTwice } from './reserve.js';
import {
  countActiveGroups,
  coversPlan,
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
  if (!coversPlan(view, plan)) return [];
  return [
    ...plan.groups.flatMap((group) => listGroupOrders(group, view)),
    ...listOrphans(view, plan).flatMap((server) => listOrphanOrders(view, server)),
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
    if (group.formed || (group.sender ?? view.self) !== view.self) return [];
    const order: EngineOrder = { kind: 'join', group: name, epoch, model, members: ids };
    return notJoined
      .filter(({ id }) => view.servers.get(id)?.engine?.membership === undefined)
      .map((to) => createOrder(view, to, order, 'form'));
  }
  const [head] = members;
  if (!group.formed || head === undefined || membershipIn(view, group, head.id)?.state !== 'ready')
    return [];
  // Engines don't check that all members are ready in the same formation of the group.
  const areAllReady = ids.every((id) => membershipIn(view, group, id)?.state === 'ready');
  return areAllReady ? [createOrder(view, head, { kind: 'open', group: name, epoch }, 'open')] : [];
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
      const order: EngineOrder = { kind: 'close', group: name, epoch, preempt: false };
      return [createOrder(view, head, order, 'drain')];
    }
  }
  return group.members
    .filter(({ id }) => isResponsive(view, id) && membershipIn(view, group, id) !== undefined)
    .map((to) => createOrder(view, to, { kind: 'leave', group: name, epoch }, 'disband'));
}

function listOrphanOrders(view: DomainView, server: BackendServer): DueOrder[] {
  const membership = server.engine?.membership;
  if (membership === undefined) return [];
  const { group, epoch } = membership;
  return [createOrder(view, toMember(server), { kind: 'leave', group, epoch }, 'orphan')];
}

/**
 * Stages the model with the fewest spares on free instances without weights. Before there is
 * traffic, a second model is also staged on members, so that they can switch to it by a warm load.
 */
function listStagingOrders(plan: GroupPlan, view: DomainView): DueOrder[] {
  const free = listFreeInstances(view, plan);
  const models = listModelsToStage(view);
  const unstaged = free.filter(({ engine }) => engine?.staged.length === 0);
  const spares = new Map(models.map(({ name }) => [name, countStaged(free, name)]));
  const orders = unstaged.flatMap((server): DueOrder[] => {
    const model = selectStagingModel(models, spares);
    if (model === undefined) return [];
    spares.set(model.name, (spares.get(model.name) ?? 0) + 1);
    return [createStageOrder(view, server, model, 'stageFree')];
  });
  if (view.beforeTraffic) {
    const all = [...orders, ...listSecondModelOrders(plan, view, models)];
    return all.filter(({ to }) => !view.staging.has(to.id));
  }
  const candidates = [
    ...orders,
    ...listRestagingOrders(free, plan, view),
    ...listReserveOrders(plan, view),
  ];
  const freeSlots = Math.max(0, view.loadSlots - view.staging.size);
  return candidates.filter(({ to }) => !view.staging.has(to.id)).slice(0, freeSlots);
}

/**
 * The models of the targets. Instances without weights don't count for targets, so that a domain may have none
 * until enough instances for a group of the smallest model have loaded it.
 */
function listModelsToStage({ targets, servers }: DomainView): readonly GroupModel[] {
  const targeted = targets.filter(({ groups }) => groups > 0).map(({ model }) => model);
  if (targeted.length > 0) return targeted;
  const smallest = targets.map(({ model }) => model).sort((a, b) => a.size - b.size)[0];
  return smallest !== undefined && smallest.size <= servers.size ? [smallest] : [];
}

/**
 * Stages a model that has too few groups on free instances with other weights, which would stay idle
 * otherwise.
 */
function listRestagingOrders(
  free: readonly BackendServer[],
  plan: GroupPlan,
  view: DomainView,
): DueOrder[] {
  const target = view.targets.find(({ model, groups }) => countActiveGroups(plan, model) < groups);
  if (target === undefined) return [];
  const { model } = target;
  const hasModelWeights = (server: BackendServer): boolean => hasWeights(server, model);
  const missingInstances = model.size - free.filter(hasModelWeights).length;
  return free
    .filter((server) => !hasModelWeights(server) && server.engine?.staged.length !== 0)
    .slice(0, Math.max(0, missingInstances))
    .map((server) => createStageOrder(view, server, model, 'restage'));
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
      return [createStageOrder(view, server, other, 'stageSecond')];
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
      .map((server) => createStageOrder(view, server, model, 'stageReserve')),
  );
}

function createStageOrder(
  view: DomainView,
  server: BackendServer,
  model: GroupModel,
  reason: OrderReason,
): DueOrder {
  return createOrder(view, toMember(server), { kind: 'stage', model: model.name }, reason);
}

function createOrder(
  view: DomainView,
  to: GroupMember,
  order: EngineOrder,
  reason: OrderReason,
): DueOrder {
  return { to, order, reason, causesLoad: causesLoad(order, view.servers.get(to.id)) };
}

/** Whether an engine that reports the state of `server` loads weights from the weight store for `order`. */
function causesLoad(order: EngineOrder, server: BackendServer | undefined): boolean {
  switch (order.kind) {
    case 'stage':
      return server?.engine?.staged.includes(order.model) !== true;
    case 'join':
      return server === undefined || !hasWeights(server, { name: order.model });
    case 'open':
    case 'close':
    case 'leave':
      return false;
  }
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
