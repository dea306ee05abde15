/**
 * Tracks which orders to join and to open were accepted at once, and for how long closing groups have been
 * known.
 */
import {
  ORDER_LATENESS_MS,
  orderKey,
  type GroupPlan,
  type PlannedGroup,
} from '../../controllers/groups/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { EngineOrder, OrderOutcome } from '../../ports/index.js';

/** What one gateway knows of the orders that it has sent. */
export interface AnsweredOrders {
  record(order: EngineOrder, engine: string, outcome: OrderOutcome['kind']): void;
  /** Follows the groups of the stored plan and forgets those that it no longer has. */
  observe(plan: GroupPlan): void;
  /** Keys of the orders of which the first was accepted and each was answered. */
  list(): ReadonlySet<string>;
  /** Closing groups that have been known for longer than an order can be late. */
  settledGroups(): ReadonlySet<string>;
}

export function createAnsweredOrders(clock: Clock): AnsweredOrders {
  /** By key: whether no order but the first can have had an effect. */
  const answered = new Map<string, boolean>();
  const closingSince = new Map<string, Milliseconds>();

  const listKeys = (group: PlannedGroup): string[] =>
    group.members.flatMap(({ id }) => [orderKey('join', group, id), orderKey('open', group, id)]);
  const isStillAnswered = (outcome: OrderOutcome['kind'], known: boolean | undefined): boolean => {
    switch (outcome) {
      case 'accepted':
        return known !== false;
      // It finds the engine in the state that an earlier order has led to.
      case 'done':
      case 'refused':
        return known === true;
      case 'otherInstance':
      case 'gone':
      case 'unknown':
        return false;
    }
  };
  return {
    record: (order, engine, outcome) => {
      if (order.kind !== 'join' && order.kind !== 'open') return;
      const { kind, group: name, epoch } = order;
      const key = orderKey(kind, { name, epoch }, engine);
      answered.set(key, isStillAnswered(outcome, answered.get(key)));
    },
    observe: ({ groups }) => {
      const keys = new Set(groups.flatMap(listKeys));
      for (const key of answered.keys()) if (!keys.has(key)) answered.delete(key);
      const closing = groups.filter((group) => group.closing !== 'no').map(({ name }) => name);
      for (const name of closing) if (!closingSince.has(name)) closingSince.set(name, clock.now());
      for (const name of closingSince.keys())
        if (!closing.includes(name)) closingSince.delete(name);
    },
    list: () => new Set([...answered].flatMap(([key, isAnswered]) => (isAnswered ? [key] : []))),
    settledGroups: () => {
      const now = clock.now();
      const settled = [...closingSince].filter(([, since]) => now - since >= ORDER_LATENESS_MS);
      return new Set(settled.map(([name]) => name));
    },
  };
}
