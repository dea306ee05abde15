/**
 * Which weights are brought to which hosts.
 *
 * Weights come slowly, some replicas' worth at a time, so each load should be one that lets a replica
 * form: two instances with the weights of two models serve nobody.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import type { DueOrder, GroupPlan } from './types.js';
import { listFree, type DomainView } from './view.js';

/** The orders that bring weights to hosts, within the loads that the domain may have under way. */
export function listStaging(plan: GroupPlan, view: DomainView): DueOrder[] {
  const free = listFree(view, plan);
  const { targets } = view;
  const models = targets.filter(({ groups }) => groups > 0).map(({ model }) => model);
  const bare = free.filter(
    ({ id, engine }) => engine?.staged.length === 0 && !view.staging.has(id),
  );
  if (view.beforeTraffic) {
    return [...spread(bare, free, models), ...listSecondModels(plan, view, models)];
  }
  const wanted = [...completeGroups(bare, free, plan, view), ...listRestaging(free, plan, view)];
  const left = Math.max(0, view.loadSlots - view.staging.size);
  return wanted.filter(({ to }) => !view.staging.has(to.id)).slice(0, left);
}

/** Weights in turns, so that instances kept free can replace members of any model. */
function spread(
  bare: readonly BackendServer[],
  free: readonly BackendServer[],
  models: readonly GroupModel[],
): DueOrder[] {
  const spares = new Map(models.map(({ name }) => [name, countStaged(free, name)]));
  const count = (model: GroupModel): number => spares.get(model.name) ?? 0;
  return bare.flatMap((server): DueOrder[] => {
    const [model] = [...models].sort((a, b) => count(a) - count(b) || b.size - a.size);
    if (model === undefined) return [];
    spares.set(model.name, count(model) + 1);
    return [stage(server, model)];
  });
}

/** A model with what a next replica of it lacks. */
interface Candidate {
  model: GroupModel;
  /** Instances that need its weights before a replica can form. */
  loads: number;
  /** Part of the wanted replicas that is there or loaded for. */
  fill: number;
}

/**
 * Instances without weights get those of the model whose next replica they complete, one replica
 * after the other: of those that can be completed, the model with the least of its replicas first.
 */
function completeGroups(
  bare: readonly BackendServer[],
  free: readonly BackendServer[],
  plan: GroupPlan,
  view: DomainView,
): DueOrder[] {
  const left = [...bare];
  const ready = new Map(
    view.targets.map(({ model }) => [
      model.name,
      free.filter((server) => isReadyFor(server, model, view)).length,
    ]),
  );
  const groups = new Map(view.targets.map(({ model }) => [model.name, countGroups(plan, model)]));
  const orders: DueOrder[] = [];
  while (left.length > 0) {
    const [best] = view.targets
      .map((target) => toCandidate(target, ready, groups))
      .sort((a, b) => compareCandidates(a, b, left.length));
    if (best === undefined) break;
    const { model, loads } = best;
    for (const server of left.splice(0, loads)) orders.push(stage(server, model));
    ready.set(model.name, 0);
    groups.set(model.name, (groups.get(model.name) ?? 0) + 1);
  }
  return orders;
}

function toCandidate(
  { model, groups: wanted }: GroupTarget,
  ready: ReadonlyMap<string, number>,
  groups: ReadonlyMap<string, number>,
): Candidate {
  const spare = (ready.get(model.name) ?? 0) % model.size;
  const count = groups.get(model.name) ?? 0;
  return { model, loads: model.size - spare, fill: wanted > 0 ? count / wanted : Infinity };
}

/** Negative when `a` should get the weights rather than `b`; `bare` instances are there to load. */
function compareCandidates(a: Candidate, b: Candidate, bare: number): number {
  const completes = ({ loads }: Candidate): number => (loads <= bare ? 1 : 0);
  return (
    completes(b) - completes(a) ||
    compareNumbers(a.fill, b.fill) ||
    b.model.size - a.model.size ||
    a.loads - b.loads
  );
}

/** Also of infinite numbers, whose difference is none. */
function compareNumbers(a: number, b: number): number {
  return a === b ? 0 : a - b;
}

/**
 * Idle instances with the weights of a model that needs no more groups get those of one that does:
 * left as they are, they would serve nobody until an instance of their own model is lost.
 */
function listRestaging(
  free: readonly BackendServer[],
  plan: GroupPlan,
  view: DomainView,
): DueOrder[] {
  const lacking = view.targets.find(({ model, groups }) => countGroups(plan, model) < groups);
  if (lacking === undefined) return [];
  const { model } = lacking;
  const missing = model.size - free.filter((server) => isReadyFor(server, model, view)).length;
  return free
    .filter((server) => !isReadyFor(server, model, view) && server.engine?.staged.length !== 0)
    .slice(0, Math.max(0, missing))
    .map((server) => stage(server, model));
}

/**
 * Hosts of members get the weights of another model as well: an engine keeps its own in memory, and
 * can then change from one model to the other in a warm load.
 */
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

/** It has the weights in memory or on its host, or they are on their way there. */
function isReadyFor({ id, engine }: BackendServer, model: GroupModel, view: DomainView): boolean {
  return (
    engine?.lastModel === model.name ||
    engine?.staged.includes(model.name) === true ||
    view.staging.get(id) === model.name
  );
}

function countGroups(plan: GroupPlan, model: GroupModel): number {
  return plan.groups.filter((group) => group.model === model.name && group.closing === 'no').length;
}

function countStaged(free: readonly BackendServer[], model: string): number {
  return free.filter(({ engine }) => engine?.staged.includes(model)).length;
}

function stage({ id, address }: BackendServer, model: GroupModel): DueOrder {
  return { to: { id, address }, order: { kind: 'stage', model: model.name } };
}
