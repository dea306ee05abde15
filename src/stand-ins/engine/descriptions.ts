/**
 * What an engine says of its replica in reports and in its journal.
 */
import type { EngineReport, Order } from '../../adapters/engines/index.js';
import type { JournaledOrder, JournaledState } from './journal.js';
import type { FormOrder, OrderDecision, ReplicaState } from './replica-state.js';

/** The replica that `formed` made, as reports name it. */
export function describeReplica(formed: FormOrder): NonNullable<EngineReport['replica']> {
  const { replica, fence, model, weights, rank, members } = formed;
  return { id: replica, fence, model, weights, rank, size: members.length };
}

/** An order and what became of it. */
export function describeOrder(order: Order, decision: OrderDecision): JournaledOrder {
  const { kind, replica, fence } = order;
  const common = { at: Date.now(), kind, replica, fence };
  if (decision.kind === 'obeyed') {
    return { ...common, outcome: decision.stale ? 'staleObeyed' : 'obeyed' };
  }
  const { refusal, reason } = decision.refusal;
  return { ...common, outcome: 'refused', reason: `${refusal}: ${reason}` };
}

/** A state that was just entered. */
export function describeState({ state, formed, fence }: ReplicaState): JournaledState {
  const at = Date.now();
  if (!formed) return { at, state, fence };
  return { at, state, replica: formed.replica, fence: formed.fence };
}
