/**
 * Queues of requests that wait for a target with free capacity, one per model of a service.
 */
import {
  FirstEventTimes,
  listUnservable,
  measuredRate,
  orderFairly,
  orderQueue,
  QueueUsage,
  roomFreeInMs,
  type QueueThroughput,
  type WaitingRequest,
} from '../../controllers/waiting/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { InputFirstQueue } from '../../core/pending-input/index.js';
import type { AdmittedRequest } from './types.js';

/** Why a queued request is refused. */
export interface QueueRefusal {
  /** Whether its workspace was sent more than an equal share of what was sent recently. */
  isShareUsed: boolean;
  /** Time until room should be free. */
  freeInMs: Milliseconds;
}

/** A queued request. */
export interface QueuedRequest extends WaitingRequest {
  /** Sends the request; returns false when no target has a free slot. */
  trySend(): boolean;
  /** Fails the request because it can't be served in time. */
  reject(refusal: QueueRefusal): void;
}

/** All queues of a gateway. */
export interface RequestQueues {
  enqueue(
    request: AdmittedRequest,
    handlers: Pick<QueuedRequest, 'trySend' | 'reject'>,
  ): QueuedRequest;
  remove(request: AdmittedRequest, queued: QueuedRequest): void;
  /** Counts a request, whether it is queued or not. */
  recordArrival(request: AdmittedRequest): void;
  /** Counts an attempt, whether its request was queued or not. */
  recordSent(request: AdmittedRequest): void;
  /** Whether other requests for the same model are queued. */
  hasQueued(request: AdmittedRequest): boolean;
  /** The number of requests for the same service and model that are queued or wait for any target. */
  countWaiting(request: AdmittedRequest): number;
  /** Counts a request that waits for any target without being queued. */
  addWaiting(request: AdmittedRequest): void;
  removeWaiting(request: AdmittedRequest): void;
  /** Dispatches once input was read, after a target may have become free. */
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
  usage: QueueUsage;
  /** Room is shared between workspaces, because the configuration has some. */
  isShared: boolean;
}

export function createRequestQueues(
  clock: Clock,
  inputFirst: Pick<InputFirstQueue, 'add' | 'isSliceOver'>,
): RequestQueues {
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
      usage: new QueueUsage(),
      isShared: false,
    };
    queues.set(key, created);
    return created;
  };
  const order = ({ waiting, usage, isShared }: RequestQueue, now: Milliseconds): QueuedRequest[] =>
    isShared ? orderFairly(waiting, now, usage) : orderQueue(waiting, now);
  const dispatchQueue = (queue: RequestQueue): void => {
    const now = clock.now();
    for (const next of order(queue, now)) {
      if (!next.trySend()) break;
      if (inputFirst.isSliceOver) {
        scheduleDispatch();
        return;
      }
    }
    const { waiting, pace, usage } = queue;
    const freeInMs = roomFreeInMs({ queued: waiting.size, sentPerMs: measuredRate(pace, now) });
    for (const expired of listUnservable(order(queue, now), now, pace)) {
      const { workspace } = expired;
      const isShareUsed = workspace !== undefined && usage.isOverShare(workspace, now);
      expired.reject({ isShareUsed, freeInMs });
    }
  };
  const dispatch = (): void => {
    for (const queue of queues.values()) if (queue.waiting.size > 0) dispatchQueue(queue);
  };
  const scheduleDispatch = (): void => {
    if (isDispatchScheduled) return;
    isDispatchScheduled = true;
    inputFirst.add(() => {
      isDispatchScheduled = false;
      dispatch();
    });
  };
  return {
    enqueue: (request, handlers) => {
      const now = clock.now();
      const queue = queueOf(request);
      if (queue.waiting.size === 0) queue.pace = { since: now, sent: 0 };
      const { route, workspace, arrivedAt } = request;
      queue.isShared = workspace !== undefined;
      const firstEventMs = firstEvents.expect(queueKey(request), route.targetMs);
      const queued: QueuedRequest = {
        ...handlers,
        rank: rankOf(request),
        ...(workspace !== undefined && { workspace }),
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
    recordArrival: (request) => {
      if (request.workspace === undefined) return;
      queueOf(request).usage.recordArrival(rankOf(request), clock.now());
    },
    recordSent: (request) => {
      const queue = queueOf(request);
      queue.pace.sent += 1;
      const { workspace } = request;
      if (workspace !== undefined) queue.usage.recordSent(workspace, rankOf(request), clock.now());
    },
    hasQueued: (request) => queueOf(request).waiting.size > 0,
    countWaiting: (request) => queueOf(request).waiting.size + queueOf(request).unqueued,
    addWaiting: (request) => {
      queueOf(request).unqueued += 1;
    },
    removeWaiting: (request) => {
      queueOf(request).unqueued -= 1;
    },
    scheduleDispatch,
    dispatch,
    expectedFirstEventMs: (request) =>
      firstEvents.expect(queueKey(request), request.route.targetMs),
    recordFirstEvent: (request, tookMs) => {
      firstEvents.record(queueKey(request), tookMs);
    },
  };
}

function rankOf({ keyHolder, route }: AdmittedRequest): number {
  return keyHolder?.priority ?? route.priority;
}

function queueKey({ service, model }: AdmittedRequest): string {
  return `${service.name} ${model?.name ?? ''}`;
}
