/**
 * What one engine instance holds, and how an order changes it. Pure: effects are named, not done.
 */
import type { EngineRefusal, EngineReport, Order } from '../../adapters/engines/index.js';
import type { Fencing } from './settings.js';

/** The order that forms a replica. */
export type FormOrder = Extract<Order, { kind: 'form' }>;

/** The part of an engine's state that orders and its members decide. */
export interface ReplicaState {
  state: EngineReport['state'];
  /** The order that formed the replica it is in. */
  formed: FormOrder | undefined;
  /** The highest fencing number seen. */
  fence: number;
  adapters: readonly string[];
  /** Its own weights are loaded and set up for `formed`. */
  loaded: boolean;
  /** All members that it watches are in the replica. */
  othersJoined: boolean;
}

/** What an engine has to do after an order. `cut` ends running streams at once. */
export type OrderEffect = 'none' | 'load' | 'cut';

/** How an order was met. `stale` marks one that an engine without fencing obeyed all the same. */
export type OrderDecision =
  | { kind: 'refused'; refusal: EngineRefusal }
  | { kind: 'obeyed'; stale: boolean; effect: OrderEffect; next: ReplicaState };

export const IDLE_STATE: ReplicaState = {
  state: 'idle',
  formed: undefined,
  fence: 0,
  adapters: [],
  loaded: false,
  othersJoined: false,
};

/** Decides on `order` for the engine `instance` of this `incarnation`. */
export function decideOrder(
  held: ReplicaState,
  order: Order,
  self: { instance: string; incarnation: string; fencing: Fencing },
): OrderDecision {
  const stale = order.fence < held.fence;
  // An owner that was paused and lost its lease still sends its old orders. The number shows it:
  // a newer owner's order was here first, so the old one must change nothing.
  if (stale && self.fencing === 'checked') {
    return refuse('fenced', `order has fence ${order.fence}, seen ${held.fence}`);
  }
  const seen = { ...held, fence: Math.max(held.fence, order.fence) };
  switch (order.kind) {
    case 'form':
      return decideForm(seen, order, self, stale);
    case 'drain':
      return decideDrain(seen, order, stale);
    case 'release':
      return decideRelease(seen, order, stale);
    case 'loadAdapter':
      return decideAdapter(seen, order, stale);
  }
}

/** Makes a loading engine ready when nothing is missing any more. */
export function promote(held: ReplicaState): ReplicaState {
  if (held.state !== 'loading' || !held.loaded || !held.formed) return held;
  // The leader answers for the whole replica: it is not ready before all others are.
  if (held.formed.rank === 0 && !held.othersJoined) return held;
  return { ...held, state: 'ready' };
}

function decideForm(
  held: ReplicaState,
  order: FormOrder,
  self: { instance: string; incarnation: string },
  stale: boolean,
): OrderDecision {
  const place = order.members[order.rank];
  if (place?.instance !== self.instance)
    return refuse('invalid', 'the rank names another instance');
  if (place.incarnation !== self.incarnation) {
    return refuse('invalid', 'the order is for another incarnation');
  }
  if (isSameForm(held, order)) return { kind: 'obeyed', stale, effect: 'none', next: held };
  const next: ReplicaState = {
    ...held,
    state: 'loading',
    formed: order,
    adapters: order.adapters,
    loaded: false,
    othersJoined: false,
  };
  return { kind: 'obeyed', stale, effect: 'load', next };
}

/** A repeated order changes nothing; a failed replica is formed anew. */
function isSameForm({ formed, state }: ReplicaState, order: FormOrder): boolean {
  if (!formed || state === 'failed' || state === 'draining') return false;
  return JSON.stringify(formed) === JSON.stringify(order);
}

function decideDrain(
  held: ReplicaState,
  order: Extract<Order, { kind: 'drain' }>,
  stale: boolean,
): OrderDecision {
  if (held.formed?.replica !== order.replica) return refuseReplica(order.replica);
  const state = held.state === 'failed' ? held.state : 'draining';
  return { kind: 'obeyed', stale, effect: 'none', next: { ...held, state } };
}

function decideRelease(
  held: ReplicaState,
  order: Extract<Order, { kind: 'release' }>,
  stale: boolean,
): OrderDecision {
  if (!held.formed) return { kind: 'obeyed', stale, effect: 'none', next: held };
  if (held.formed.replica !== order.replica) return refuseReplica(order.replica);
  const next = { ...IDLE_STATE, fence: held.fence };
  return { kind: 'obeyed', stale, effect: 'cut', next };
}

function decideAdapter(
  held: ReplicaState,
  order: Extract<Order, { kind: 'loadAdapter' }>,
  stale: boolean,
): OrderDecision {
  if (held.formed?.replica !== order.replica) return refuseReplica(order.replica);
  const adapters = [...new Set([...held.adapters, order.adapter])];
  return { kind: 'obeyed', stale, effect: 'none', next: { ...held, adapters } };
}

function refuseReplica(replica: string): OrderDecision {
  return refuse('invalid', `not in replica ${replica}`);
}

function refuse(refusal: EngineRefusal['refusal'], reason: string): OrderDecision {
  return { kind: 'refused', refusal: { refusal, reason } };
}
