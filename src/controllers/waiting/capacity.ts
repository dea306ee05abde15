/**
 * Decides whether a target has capacity for another request.
 *
 * Under overload, requests queue at the gateway instead of at the backend servers. A backend server
 * serves requests in order of arrival, including those whose callers have left, while the gateway
 * can prefer requests that can still be answered in time.
 */
import type { TargetState } from '../forwarding/choose.js';

/**
 * Requests that may queue at a target, as a fraction of its slots. They take a free slot
 * immediately, which hides the network latency between the gateway and the target. With 18 slots that
 * are free again after about a second, such a request waits some 50 ms.
 */
const MAX_QUEUED_SLOT_FRACTION = 0.1;

/** Whether a target can start another request with little or no delay. */
export function hasRoom({ inFlight, slots }: Pick<TargetState, 'inFlight' | 'slots'>): boolean {
  return inFlight < slots + Math.ceil(slots * MAX_QUEUED_SLOT_FRACTION);
}
