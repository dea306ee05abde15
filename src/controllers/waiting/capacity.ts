/**
 * When a target has room for one request more.
 *
 * Guards against queues at backend servers while more comes than all of them can serve, as after the
 * loss of replicas or when all gateways have started anew: a server serves in the order of arrival, so
 * that each request waits its whole queue and every answer is late, those too whose callers have left
 * meanwhile. What has no room waits at the gateway, which knows who can still be answered in time.
 */
import type { TargetState } from '../forwarding/choose.js';

/**
 * Requests beyond the places, as a part of them. One that waits there takes a place as soon as it is
 * free, which bridges the way from here; with 18 places that end in about a second it waits some
 * 50 ms, well within what is left of an aim of 300 ms.
 */
const SPARE_PART = 0.1;

/** Whether `state` can begin one request more nearly at once. */
export function hasRoom({ inFlight, slots }: Pick<TargetState, 'inFlight' | 'slots'>): boolean {
  return inFlight < slots + Math.ceil(slots * SPARE_PART);
}
