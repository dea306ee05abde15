/**
 * The orders that bring a fabric domain closer to its stored plan.
 */
import type { BackendServer } from '../../ports/index.js';
import { listStaging } from './staging.js';
import type { DueOrder, GroupPlan, PlannedGroup } from './types.js';
import { isHeard, listStrays, membershipIn, type DomainView } from './view.js';

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

function takeStrayApart({ id, address, engine }: BackendServer): DueOrder[] {
  const membership = engine?.membership;
  if (membership === undefined) return [];
  const { group, epoch } = membership;
  return [{ to: { id, address }, order: { kind: 'leave', group, epoch } }];
}
