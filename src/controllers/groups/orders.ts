/**
 * The orders that bring a fabric domain closer to its stored plan.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import { toMember, type DueOrder, type GroupPlan, type PlannedGroup } from './types.js';
import {
  countGroups,
  hasAtHand,
  isHeard,
  isOtherLife,
  listFree,
  listStrays,
  membershipIn,
  type DomainView,
} from './view.js';

/** The orders due now. `plan` must be stored: an order is never sent for a plan that may be lost. */
export function listOrders(plan: GroupPlan, view: DomainView): DueOrder[] {
  return [
    ...plan.groups.flatMap((group) => listGroupOrders(group, view)),
    ...listStrays(view, plan).flatMap(takeStrayApart),
    ...listStaging(plan, view),
  ];
}

function listGroupOrders(group: PlannedGroup, view: DomainView): DueOrder[] {
  return group.closing === 'no' ? listForming(group, view) : listClosing(group, view);
}

function listForming(group: PlannedGroup, view: DomainView): DueOrder[] {
  const { name, epoch, model, members } = group;
  // Until the plan without it is stored, a new life must not join in the place of its former one.
  if (members.some((member) => isOtherLife(view, member))) return [];
  const ids = members.map(({ id }) => id);
  const outside = members.filter(({ id }) => membershipIn(view, group, id) === undefined);
  if (outside.length > 0) {
    return outside.map((to) => ({
      to,
      order: { kind: 'join', group: name, epoch, model, members: ids },
    }));
  }
  const [head] = members;
  if (head === undefined || membershipIn(view, group, head.id)?.state !== 'ready') return [];
  // Every member must have been ready in this very forming; engines do not check that themselves.
  const areReady = ids.every((id) => membershipIn(view, group, id)?.state === 'ready');
  return areReady ? [{ to: head, order: { kind: 'open', group: name, epoch } }] : [];
}

/**
 * A group that drains closes its head first and is left when the head has finished. Any other is
 * left by all members at once: what its head had under way can't go on.
 */
function listClosing(group: PlannedGroup, view: DomainView): DueOrder[] {
  const { name, epoch, closing } = group;
  const [head] = group.members;
  const state = head && membershipIn(view, group, head.id)?.state;
  if (head && closing === 'drain' && isHeard(view, head.id)) {
    if (state === 'closing') return [];
    if (state === 'open') {
      return [{ to: head, order: { kind: 'close', group: name, epoch, preempt: false } }];
    }
  }
  return group.members
    .filter(({ id }) => isHeard(view, id) && membershipIn(view, group, id) !== undefined)
    .map((to) => ({ to, order: { kind: 'leave', group: name, epoch } }));
}

function takeStrayApart(server: BackendServer): DueOrder[] {
  const membership = server.engine?.membership;
  if (membership === undefined) return [];
  const { group, epoch } = membership;
  return [{ to: toMember(server), order: { kind: 'leave', group, epoch } }];
}

/**
 * Free instances without weights get those of the model that has the fewest spares for its size.
 * Before there is traffic, hosts of members get the weights of another model as well: an engine
 * keeps its own in memory, and can then change from one model to the other in a warm load.
 */
function listStaging(plan: GroupPlan, view: DomainView): DueOrder[] {
  const free = listFree(view, plan);
  const { targets } = view;
  const models = targets.filter(({ groups }) => groups > 0).map(({ model }) => model);
  const bare = free.filter(({ engine }) => engine?.staged.length === 0);
  const spares = new Map(models.map(({ name }) => [name, countStaged(free, name)]));
  const orders = bare.flatMap((server): DueOrder[] => {
    const model = pickStaging(models, spares);
    if (model === undefined) return [];
    spares.set(model.name, (spares.get(model.name) ?? 0) + 1);
    return [stage(server, model)];
  });
  if (view.beforeTraffic) return [...orders, ...listSecondModels(plan, view, models)];
  const wanted = [...orders, ...listRestaging(free, plan, targets)];
  const left = Math.max(0, view.loadSlots - view.staging.size);
  return wanted.filter(({ to }) => !view.staging.has(to.id)).slice(0, left);
}

/**
 * Idle instances with the weights of a model that needs no more groups get those of one that does:
 * left as they are, they would serve nobody until an instance of their own model is lost.
 */
function listRestaging(
  free: readonly BackendServer[],
  plan: GroupPlan,
  targets: readonly GroupTarget[],
): DueOrder[] {
  const lacking = targets.find(({ model, groups }) => countGroups(plan, model) < groups);
  if (lacking === undefined) return [];
  const { model } = lacking;
  const isReady = (server: BackendServer): boolean => hasAtHand(server, model);
  const missing = model.size - free.filter(isReady).length;
  return free
    .filter((server) => !isReady(server) && server.engine?.staged.length !== 0)
    .slice(0, Math.max(0, missing))
    .map((server) => stage(server, model));
}

function listSecondModels(
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
      return [stage(server, other)];
    });
  });
}

function stage(server: BackendServer, model: GroupModel): DueOrder {
  return { to: toMember(server), order: { kind: 'stage', model: model.name } };
}

function countStaged(free: readonly BackendServer[], model: string): number {
  return free.filter(({ engine }) => engine?.staged.includes(model)).length;
}

function pickStaging(
  models: readonly GroupModel[],
  spares: ReadonlyMap<string, number>,
): GroupModel | undefined {
  const count = (model: GroupModel): number => spares.get(model.name) ?? 0;
  return [...models].sort((a, b) => count(a) - count(b) || b.size - a.size)[0];
}
