/**
 * Plans of replicas, one per fabric domain and service.
 */
import * as z from 'zod';
import type { BackendServer, EngineOrder } from '../../ports/index.js';
import { MAX_EPOCH } from './epochs.js';

const memberSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** Start time of the planned process; absent if the instance did not report one. */
  startedAt: z.number().exactOptional(),
});

const plannedGroupSchema = z.object({
  /** Unique, and never reused after the group is disbanded. */
  name: z.string(),
  epoch: z.int().positive().max(MAX_EPOCH),
  model: z.string(),
  /** The first member is the head. */
  members: z.array(memberSchema).min(1),
  /** Whether the group is being disbanded. `drain` lets its requests finish, `preempt` aborts them. */
  closing: z.enum(['no', 'drain', 'preempt']),
  /**
   * Whether all members were seen ready. Stored before the head is ordered to open, so that a group
   * without it has never been open, and a member that no longer reports one with it has left.
   */
  formed: z.boolean().exactOptional(),
  /**
   * Incarnation of the gateway that sends the orders to join. Another one takes over under a stored plan, so
   * that a gateway with an outdated plan doesn't put members back that have left.
   */
  sender: z.string().exactOptional(),
  /** Whether there was another sender before, whose orders only that one knows. */
  takenOver: z.boolean().exactOptional(),
  /** Members that may be put back into the group by an order that is carried out late. */
  lateJoins: z.array(z.string()).exactOptional(),
});

const orderReasonSchema = z.enum([
  'form',
  'open',
  'drain',
  'disband',
  /** The engine reports a replica that is not in the plan. */
  'orphan',
  /** A free instance has no weights. */
  'stageFree',
  /** Members get a second model before there is traffic. */
  'stageSecond',
  /** A free instance has weights of which there are enough. */
  'restage',
  /** Too few instances hold a model to replace lost members. */
  'stageReserve',
]);

const loadGrantSchema = z.object({
  /** Unique; begins with the incarnation of the gateway that sends the order. */
  id: z.string(),
  server: z.string(),
  /** Start time of the server's process; absent if it did not report one. */
  startedAt: z.number().exactOptional(),
  model: z.string(),
  order: z.enum(['stage', 'join']),
  reason: orderReasonSchema,
  /** Revision of the fleet by which the order was due. */
  fleetRevision: z.number(),
});

/** The stored plan of one fabric domain. No instance is a member of two groups. */
export const groupPlanSchema = z.object({
  /** Loads of weights that were allowed; those that are over are removed with a later change. */
  loads: z.array(loadGrantSchema).exactOptional(),
  /** Whether the gateways have served requests. Never becomes false again. */
  hasTraffic: z.boolean().exactOptional(),
  /** The highest revision of the fleet that the plan rests on; planners that know less must wait. */
  fleetRevision: z.number().nonnegative().exactOptional(),
  /** The highest epoch assigned in this domain. */
  lastEpoch: z.int().nonnegative().max(MAX_EPOCH),
  groups: z.array(plannedGroupSchema),
});

/** An instance in a plan, with its address and start time at the time of planning. */
export type GroupMember = z.infer<typeof memberSchema>;

export function toMember({ id, address, startedAt }: BackendServer): GroupMember {
  return { id, address, ...(startedAt !== undefined && { startedAt }) };
}

/** Key of one incarnation of an instance, for state that must not outlive it. */
export function incarnationKey({ id, startedAt }: Pick<GroupMember, 'id' | 'startedAt'>): string {
  return startedAt === undefined ? id : `${id} ${startedAt}`;
}

/** Why an order is sent. */
export type OrderReason = z.infer<typeof orderReasonSchema>;
/** Allows one order that makes an engine load weights from the weight store. */
export type LoadGrant = z.infer<typeof loadGrantSchema>;
/** The planned state of a replica. */
export type PlannedGroup = z.infer<typeof plannedGroupSchema>;
/** The planned replicas of one fabric domain. */
export type GroupPlan = z.infer<typeof groupPlanSchema>;

/** The plan of a domain without a stored plan. */
export const EMPTY_PLAN: GroupPlan = { lastEpoch: 0, groups: [] };

/** An order that is due, with its recipient. */
export interface DueOrder {
  to: GroupMember;
  order: EngineOrder;
  reason: OrderReason;
  /** Whether the engine has to load weights from the weight store for it, by what it reports. */
  causesLoad: boolean;
}
