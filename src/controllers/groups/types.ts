/**
 * Plans of replicas, one for each fabric domain and service.
 */
import * as z from 'zod';
import type { BackendServer, EngineOrder } from '../../ports/index.js';

const memberSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** Of the life that was planned with; absent where it was not told. */
  startedAt: z.number().exactOptional(),
});

const plannedGroupSchema = z.object({
  /** Unique for all time; never used again once the group is gone. */
  name: z.string(),
  epoch: z.number().int().positive(),
  model: z.string(),
  /** The head first. */
  members: z.array(memberSchema).min(1),
  /** It is being taken apart; `preempt` ends what still runs in it. */
  closing: z.enum(['no', 'drain', 'preempt']),
});

/** What is stored for one fabric domain: no instance is a member of two groups. */
export const groupPlanSchema = z.object({
  /** The highest epoch given out in this domain. */
  lastEpoch: z.number().int().nonnegative(),
  groups: z.array(plannedGroupSchema),
});

/** An instance as a plan names it; address and life are those of the moment of planning. */
export type GroupMember = z.infer<typeof memberSchema>;

/** `server` as a plan or an order names it. */
export function toMember({ id, address, startedAt }: BackendServer): GroupMember {
  return { id, address, ...(startedAt !== undefined && { startedAt }) };
}

/** A key for what is remembered of one life of an instance, and ends with it. */
export function lifeKey({ id, startedAt }: Pick<GroupMember, 'id' | 'startedAt'>): string {
  return startedAt === undefined ? id : `${id} ${startedAt}`;
}

/** A replica as it should be. */
export type PlannedGroup = z.infer<typeof plannedGroupSchema>;
/** All replicas of one fabric domain. */
export type GroupPlan = z.infer<typeof groupPlanSchema>;

/** The plan of a domain where nothing was ever planned. */
export const EMPTY_PLAN: GroupPlan = { lastEpoch: 0, groups: [] };

/** An order that is due, with whom it goes to. */
export interface DueOrder {
  to: GroupMember;
  order: EngineOrder;
}
