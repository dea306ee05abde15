/**
 * The orders that follow from a stored plan and what the engines report.
 */
import type { EngineReport, Order } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector, type Selector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { judgeStanding, measureAbsence } from './member-status.js';
import type { DomainInput, DomainMember } from './types.js';

/** An order and the engine that it is for. */
export interface OrderTask {
  instance: string;
  address: string;
  order: Order;
  /** The state it was decided from; an engine that ignores numbers is asked again for it. */
  basis: EngineReport;
  /** The engine refuses an order with an old number. */
  checksFence: boolean;
}

/** What orders are made from. */
export interface OrderInput extends DomainInput {
  /** Engines that refuse old numbers; an empty selector means none. */
  fencingChecked: Selector;
}

/**
 * All orders that are due under the plan. Every order may be sent again: engines take a repeated
 * one without effect.
 */
export function listOrders(input: OrderInput, now: Milliseconds): OrderTask[] {
  return input.plan.replicas.flatMap((replica) => listReplicaOrders(input, replica, now));
}

/**
 * The orders that an owner whose lease ran out in an outage of the platform may still send: forming
 * a replica again with the same processes under the same number.
 *
 * Only where every member refuses old numbers: if another owner has changed the plan meanwhile, its
 * orders carry a higher number and these come to nothing. An engine that ignores numbers would obey
 * whoever comes last.
 */
export function listRestoreOrders(input: OrderInput, now: Milliseconds): OrderTask[] {
  return listOrders(input, now).filter(({ order }) => {
    if (order.kind !== 'form') return false;
    const replica = input.plan.replicas.find(({ id }) => id === order.replica);
    if (replica?.phase !== 'whole') return false;
    return order.members.every(({ instance }) => checksFence(input, instance));
  });
}

/** Whether `report`, read just before sending, still is what the order was decided from. */
export function isOrderStillDue({ basis }: OrderTask, report: EngineReport): boolean {
  return (
    report.incarnation === basis.incarnation &&
    report.fence === basis.fence &&
    report.replica?.id === basis.replica?.id &&
    report.replica?.fence === basis.replica?.fence
  );
}

function listReplicaOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  switch (replica.phase) {
    case 'planned':
    case 'loading':
      return listFormOrders(input, replica, now);
    case 'whole':
      return [...listFormOrders(input, replica, now), ...listAdapterOrders(input, replica, now)];
    case 'draining':
      return listDrainOrders(input, replica, now);
    case 'released':
      return listReleaseOrders(input, replica, now);
  }
}

/**
 * Only with all members at hand: a replica that lacks one would load for nothing.
 *
 * When one needs the order, all get it. A member that loads while another has failed fails as well;
 * ordered one by one as their reports come in, members that failed can take each other down over and
 * over, which shows as a replica that stays `whole` in the plan and never serves. To those that are
 * in place the order is a repetition without effect.
 */
function listFormOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  const model = input.models.get(replica.model);
  if (model === undefined) return [];
  const standings = replica.members.map((_, rank) => judgeStanding(input, replica, rank, now));
  const isAtHand = standings.every(({ kind }) => kind === 'inPlace' || kind === 'unformed');
  if (!isAtHand) return [];
  if (standings.every(({ kind }) => kind === 'inPlace')) return [];
  return replica.members.flatMap(({ instance }, rank) => {
    const order = createFormOrder(input, replica, model, rank);
    return createTask(input, instance, order);
  });
}

function createFormOrder(input: OrderInput, replica: Replica, model: Model, rank: number): Order {
  const members = replica.members.map(({ instance, incarnation }) => ({
    instance,
    incarnation,
    address: input.members.get(instance)?.instance.address ?? '',
  }));
  return {
    kind: 'form',
    fence: replica.fence,
    replica: replica.id,
    model: replica.model,
    weights: replica.weights,
    adapters: model.adapters,
    rank,
    members,
  };
}

function listAdapterOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  const adapters = input.models.get(replica.model)?.adapters ?? [];
  return replica.members.flatMap(({ instance }, rank) => {
    const standing = judgeStanding(input, replica, rank, now);
    if (standing.kind !== 'inPlace' || !standing.ready) return [];
    const loaded = input.members.get(instance)?.health?.report?.adapters ?? [];
    const adapter = adapters.find((name) => !loaded.includes(name));
    if (adapter === undefined) return [];
    const { id, fence } = replica;
    return createTask(input, instance, { kind: 'loadAdapter', fence, replica: id, adapter });
  });
}

function listDrainOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  return replica.members.flatMap(({ instance }) => {
    const report = readReport(input, instance, now);
    if (report?.replica?.id !== replica.id || report.state === 'draining') return [];
    if (report.state === 'failed') return [];
    const { id, fence } = replica;
    return createTask(input, instance, { kind: 'drain', fence, replica: id });
  });
}

/**
 * The order names the replica that the engine says it is in. A late order of a former owner may
 * have put an engine that ignores numbers into another one than the plan has it.
 */
function listReleaseOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  return replica.members.flatMap(({ instance }) => {
    const report = readReport(input, instance, now);
    if (report === undefined) return [];
    const { fence } = replica;
    const held = report.replica?.id ?? replica.id;
    return createTask(input, instance, { kind: 'release', fence, replica: held });
  });
}

function readReport(
  input: OrderInput,
  instance: string,
  now: Milliseconds,
): EngineReport | undefined {
  const member = input.members.get(instance);
  if (member === undefined || measureAbsence(input, member, now) > 0) return undefined;
  return member.health?.report;
}

function createTask(input: OrderInput, instance: string | undefined, order: Order): OrderTask[] {
  const member: DomainMember | undefined =
    instance === undefined ? undefined : input.members.get(instance);
  const basis = member?.health?.report;
  if (member === undefined || basis === undefined) return [];
  const { name } = member;
  const { address } = member.instance;
  return [{ instance: name, address, order, basis, checksFence: checksFence(input, name) }];
}

function checksFence(input: OrderInput, instance: string): boolean {
  const labels = input.members.get(instance)?.instance.labels;
  if (labels === undefined || input.fencingChecked.length === 0) return false;
  return matchesSelector(input.fencingChecked, labels);
}
