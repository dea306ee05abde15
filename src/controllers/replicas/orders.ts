/**
 * Derives the orders to engines from the stored plan and the engine reports.
 */
import type { EngineReport, Order } from '../../adapters/engines/protocol.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector, type Selector } from '../../core/labels/index.js';
import type { Model, Replica } from '../../objects/index.js';
import { getMemberStatus, measureAbsence } from './member-status.js';
import type { DomainInput, DomainMember } from './types.js';

/** An order and its target engine. */
export interface OrderTask {
  instance: string;
  address: string;
  order: Order;
  /** The report that the order is based on; rechecked for engines that do not check fencing tokens. */
  basedOn: EngineReport;
  /** Whether the engine rejects orders with outdated fencing tokens. */
  checksFence: boolean;
}

/** Input for deriving orders. */
export interface OrderInput extends DomainInput {
  /** Selects the engines that check fencing tokens; an empty selector matches none. */
  fencingChecked: Selector;
}

/**
 * All orders that are due under the plan. Orders are idempotent and may be resent.
 */
export function listOrders(input: OrderInput, now: Milliseconds): OrderTask[] {
  return input.plan.replicas.flatMap((replica) => listReplicaOrders(input, replica, now));
}

/**
 * The orders that an owner may still send after its lease expired during a platform outage: forming
 * a whole replica again with the same processes and fencing token.
 *
 * Every member must check fencing tokens. If another owner has changed the plan meanwhile, its
 * higher tokens make the engines reject these orders; engines without the check would obey whichever
 * order arrives last.
 */
export function listRestoreOrders(input: OrderInput, now: Milliseconds): OrderTask[] {
  return listOrders(input, now).filter(({ order }) => {
    if (order.kind !== 'form') return false;
    const replica = input.plan.replicas.find(({ id }) => id === order.replica);
    if (replica?.phase !== 'whole') return false;
    return order.members.every(({ instance }) => checksFence(input, instance));
  });
}

/** Whether `report`, read just before sending, still matches the report the order is based on. */
export function isOrderStillDue({ basedOn }: OrderTask, report: EngineReport): boolean {
  return (
    report.incarnation === basedOn.incarnation &&
    report.fence === basedOn.fence &&
    report.replica?.id === basedOn.replica?.id &&
    report.replica?.fence === basedOn.replica?.fence
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
 * Form orders are sent only when all members are available, since an incomplete replica cannot load.
 *
 * If one member needs the order, all receive it. Sent one by one, a loading member fails as long as
 * another is failed, and members can keep each other failed forever while the plan lists the replica
 * as `whole`. For members already in place the order has no effect.
 */
function listFormOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  const model = input.models.get(replica.model);
  if (model === undefined) return [];
  const statuses = replica.members.map((_, rank) => getMemberStatus(input, replica, rank, now));
  const areAllAvailable = statuses.every(({ kind }) => kind === 'inPlace' || kind === 'unformed');
  if (!areAllAvailable) return [];
  if (statuses.every(({ kind }) => kind === 'inPlace')) return [];
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
    const status = getMemberStatus(input, replica, rank, now);
    if (status.kind !== 'inPlace' || !status.ready) return [];
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
 * The order names the replica that the engine reports. A late order of a previous owner may have put
 * an engine that does not check fencing tokens into a replica that differs from the plan.
 */
function listReleaseOrders(input: OrderInput, replica: Replica, now: Milliseconds): OrderTask[] {
  return replica.members.flatMap(({ instance }) => {
    const report = readReport(input, instance, now);
    if (report === undefined) return [];
    const { fence } = replica;
    const reportedReplica = report.replica?.id ?? replica.id;
    return createTask(input, instance, { kind: 'release', fence, replica: reportedReplica });
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
  const report = member?.health?.report;
  if (member === undefined || report === undefined) return [];
  const { name } = member;
  const { address } = member.instance;
  return [
    { instance: name, address, order, basedOn: report, checksFence: checksFence(input, name) },
  ];
}

function checksFence(input: OrderInput, instance: string): boolean {
  const labels = input.members.get(instance)?.instance.labels;
  if (labels === undefined || input.fencingChecked.length === 0) return false;
  return matchesSelector(input.fencingChecked, labels);
}
