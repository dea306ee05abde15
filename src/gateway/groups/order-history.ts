/**
 * Remembers what one gateway knows of orders: which were accepted at once, and for how long the groups that
 * they are for have been in their present phase.
 */
import {
  ORDER_LATENESS_MS,
  orderKey,
  type GroupPlan,
  type PlannedGroup,
} from '../../controllers/groups/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { EngineOrder, OrderOutcome } from '../../ports/index.js';

/** What this gateway knows of the orders to the engines of one domain. */
export interface OrderHistory {
  record(order: EngineOrder, engine: string, outcome: OrderOutcome['kind']): void;
  /** Follows the groups of the stored plan and forgets those that it no longer has. */
  observe(plan: GroupPlan): void;
  /** Keys of the orders of which the first was accepted and each was answered. */
  answered(): ReadonlySet<string>;
  /** Formed groups that have been known for longer than an order to join can be late. */
  settledGroups(): ReadonlySet<string>;
  /** Groups that have not formed for `ms` since their sender was first seen. */
  overdueGroups(ms: Milliseconds): ReadonlySet<string>;
  clear(): void;
}

export function createOrderHistory(clock: Clock): OrderHistory {
  /** By key: whether no order but the first can have had an effect. */
  const answered = new Map<string, boolean>();
  /** By phase: name of the group, and when this gateway first saw it in that phase. */
  const phases = new Map<string, { group: string; phase: Phase; since: Milliseconds }>();

  const listKeys = (group: PlannedGroup): string[] =>
    group.members.flatMap(({ id }) => [orderKey('join', group, id), orderKey('open', group, id)]);
  const listGroups = (phase: Phase, ms: Milliseconds): ReadonlySet<string> => {
    const now = clock.now();
    const old = [...phases.values()].filter((each) => each.phase === phase);
    return new Set(old.filter(({ since }) => now - since >= ms).map(({ group }) => group));
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
      const present = new Map(groups.map((group) => [phaseKey(group), group]));
      for (const key of phases.keys()) if (!present.has(key)) phases.delete(key);
      for (const [key, group] of present)
        if (!phases.has(key))
          phases.set(key, { group: group.name, phase: phaseOf(group), since: clock.now() });
    },
    answered: () =>
      new Set([...answered].flatMap(([key, isAnswered]) => (isAnswered ? [key] : []))),
    settledGroups: () => listGroups('formed', ORDER_LATENESS_MS),
    overdueGroups: (ms) => listGroups('forming', ms),
    clear: () => {
      answered.clear();
      phases.clear();
    },
  };
}

type Phase = 'forming' | 'formed';

function phaseOf({ formed }: PlannedGroup): Phase {
  return formed ? 'formed' : 'forming';
}

function phaseKey(group: PlannedGroup): string {
  const phase = phaseOf(group);
  const sender = phase === 'forming' ? (group.sender ?? '') : '';
  return `${group.name} ${group.epoch} ${phase} ${sender}`;
}

function isStillAnswered(outcome: OrderOutcome['kind'], known: boolean | undefined): boolean {
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
}
