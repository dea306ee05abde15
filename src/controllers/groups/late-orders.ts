/**
 * Orders that may still be carried out. An order without an answer may take effect seconds later, when its
 * engine has left the group and looks free.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { PlannedGroup } from './types.js';
import { isOtherIncarnation, membershipIn, type DomainView } from './view.js';

/** Longest time after which an order without an answer is carried out. */
export const ORDER_LATENESS_MS: Milliseconds = 12_000;

/** Identifies the orders of one kind that were sent to an engine for `group`. */
export function orderKey(
  kind: 'join' | 'open',
  { name, epoch }: Pick<PlannedGroup, 'name' | 'epoch'>,
  id: string,
): string {
  return `${kind} ${name} ${epoch} ${id}`;
}

/** The members for which it isn't known that each order to join `group` has been carried out. */
export function listLateJoins(group: PlannedGroup, view: DomainView): string[] {
  const { lateJoins, takenOver, sender, members } = group;
  if (takenOver) return lateJoins ?? [];
  if (sender !== view.self) return lateJoins ?? members.map(({ id }) => id);
  return members
    .map(({ id }) => id)
    .filter((id) => !view.answeredOrders.has(orderKey('join', group, id)));
}

/**
 * Whether a late order could put a member back into `group` while its head is open. The head may be open
 * as long as it isn't seen to have left, or if late orders could make it join and open again.
 */
export function mayReopen(group: PlannedGroup, view: DomainView): boolean {
  const [head] = group.members;
  if (!group.formed || head === undefined || view.settledGroups.has(group.name)) return false;
  // Nothing is noted if the sender itself saw the group form and had all answers.
  const lateJoins = group.lateJoins === undefined ? [] : listLateJoins(group, view);
  if (lateJoins.length === 0) return false;
  const mayOpenLate = !view.answeredOrders.has(orderKey('open', group, head.id));
  if (lateJoins.includes(head.id) && mayOpenLate) return true;
  const hasLeft =
    isOtherIncarnation(view, head) ||
    (view.servers.has(head.id) && membershipIn(view, group, head.id) === undefined);
  return !hasLeft;
}
