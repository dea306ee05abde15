/**
 * Queues of requests that wait for a target with free capacity, one per model of a service.
 */
import {
  FirstEventTimes,
  listUnservable,
  orderQueue,
  type QueueThroughput,
  type WaitingRequest,
} from '../../controllers/waiting/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { AdmittedRequest } from './types.js';

/** A queued request. */
export interface QueuedRequest extends WaitingRequest {
  /** Sends the request; returns false when no target has a free slot. */
  trySend(): boolean;
  /** Fails the request because it can't be served in time. */
  reject(): void;
}

/** All queues of a gateway. */
export interface RequestQueues {
  enqueue(
    request: AdmittedRequest,
    handlers: Pick<QueuedRequest, 'trySend' | 'reject'>,
  ): QueuedRequest;
  remove(request: AdmittedRequest, queued: QueuedRequest): void;
  /** Counts an attempt, whether its request was queued or not. */
  recordSent(request: AdmittedRequest): void;
  /** Whether other requests for the same model are queued. */
  hasQueued(request: AdmittedRequest): boolean;
  /** The number of requests for the same service and model that are queued or wait for any target. */
  countWaiting(request: AdmittedRequest): number;
  /** Counts a request that waits for any target without being queued. */
  addWaiting(request: AdmittedRequest): void;
  removeWaiting(request: AdmittedRequest): void;
  /** Dispatches in the next turn of the event loop, after a target may have become free. */
  scheduleDispatch(): void;
  /** Sends queued requests to targets with free slots; rejects those that can't be in time. */
  dispatch(): void;
  recordFirstEvent(request: AdmittedRequest, tookMs: Milliseconds): void;
  /** Expected time from sending a request to its first event. */
  expectedFirstEventMs(request: AdmittedRequest): Milliseconds;
}

/** The least time after which callers of streams disconnect when no event has arrived. */
const CALLER_PATIENCE_MS: Milliseconds = 2_000;

interface RequestQueue {
  waiting: Set<QueuedRequest>;
  /** Requests that wait for any target. */
  unqueued: number;
  pace: QueueThroughput;
}

export function createRequestQueues(clock: Clock): RequestQueues {
  const queues = new Map<string, RequestQueue>();
  const firstEvents = new FirstEventTimes();
  let isDispatchScheduled = false;

  const queueOf = (request: AdmittedRequest): RequestQueue => {
    const key = queueKey(request);
    const existing = queues.get(key);
    if (existing) return existing;
    const created: RequestQueue = {
      waiting: new Set(),
      unqueued: 0,
      pace: { since: 0, sent: 0 },
    };
    queues.set(key, created);
    return created;
  };
  const dispatchQueue = ({ waiting, pace }: RequestQueue): void => {
    const now = clock.now();
    for (const next of orderQueue(waiting, now)) {
      if (!next.trySend()) break;
    }
    for (const expired of listUnservable(orderQueue(waiting, now), now, pace)) expired.reject();
  };
  const dispatch = (): void => {
    for (const queue of queues.values()) if (queue.waiting.size > 0) dispatchQueue(queue);
  };
  return {
    enqueue: (request, handlers) => {
      const now = clock.now();
      const queue = queueOf(request);
      if (queue.waiting.size === 0) queue.pace = { since: now, sent: 0 };
      const { route, keyHolder, arrivedAt } = request;
      const firstEventMs = firstEvents.expect(queueKey(request), route.targetMs);
      const queued: QueuedRequest = {
        ...handlers,
        rank: keyHolder?.priority ?? route.priority,
        since: arrivedAt,
        onTimeUntil: arrivedAt + route.targetMs - firstEventMs,
        worthUntil: Math.min(request.deadline, arrivedAt + CALLER_PATIENCE_MS) - firstEventMs,
      };
      queue.waiting.add(queued);
      return queued;
    },
    remove: (request, queued) => {
      queueOf(request).waiting.delete(queued);
    },
    recordSent: (request) => {
      queueOf(request).pace.sent += 1;
    },
    hasQueued: (request) => queueOf(request).waiting.size > 0,
    countWaiting: (request) => queueOf(request).waiting.size + queueOf(request).unqueued,
    addWaiting: (request) => {
      queueOf(request).unqueued += 1;
    },
    removeWaiting: (request) => {
      queueOf(request).unqueued -= 1;
    },
    scheduleDispatch: () => {
      if (isDispatchScheduled) return;
      isDispatchScheduled = true;
      setImmediate(() => {
        isDispatchScheduled = false;
        dispatch();
      });
    },
    dispatch,
    expectedFirstEventMs: (request) =>
      firstEvents.expect(queueKey(request), request.route.targetMs),
    recordFirstEvent: (request, tookMs) => {
      firstEvents.record(queueKey(request), tookMs);
    },
  };
}

function queueKey({ service, model }: AdmittedRequest): string {
  return `${service.name} ${model?.name ?? ''}`;
}
