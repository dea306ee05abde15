/**
 * Estimates of queueing and generation times, based on the measured rates of this entry.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  GENERATION_TIME_EWMA_WEIGHT,
  MIN_RETRY_AFTER_MS,
  MAX_RETRY_AFTER_MS,
  SEND_INTERVAL_EWMA_WEIGHT,
} from './constants.js';
import { CLASS_ORDER } from './constants.js';
import type { ModelQueue, SentRequest } from './state.js';
import type { WaitingRequest } from './types.js';

/**
 * Updates the mean interval between sends. Only intervals with queued requests are measured, since
 * the others depend on arrivals and not on capacity.
 */
export function recordSendInterval(queue: ModelQueue, now: Milliseconds): void {
  const previousSendAt = queue.lastBackloggedSendAt;
  if (previousSendAt !== undefined) {
    const intervalMs = now - previousSendAt;
    const previous = queue.sendIntervalMs;
    queue.sendIntervalMs =
      previous === undefined
        ? intervalMs
        : previous + SEND_INTERVAL_EWMA_WEIGHT * (intervalMs - previous);
  }
  if (queue.length > 0) queue.lastBackloggedSendAt = now;
  else delete queue.lastBackloggedSendAt;
}

/** Updates the mean generation time per token from a request that completed at `now`. */
export function recordGenerationTime(
  queue: ModelQueue,
  sent: SentRequest,
  now: Milliseconds,
): void {
  if (sent.firstTokenAt === undefined) return;
  const msPerToken = (now - sent.firstTokenAt) / Math.max(1, sent.outputTokens);
  const previous = queue.generationMsPerToken ?? msPerToken;
  queue.generationMsPerToken = previous + GENERATION_TIME_EWMA_WEIGHT * (msPerToken - previous);
}

/**
 * Estimates the time from the first token of `request` to its completion; 0 before the first
 * measurement. Counted against the deadline, so that under overload no capacity is spent on
 * requests that would be cut off at their deadline.
 */
export function estimateGenerationMs(queue: ModelQueue, request: WaitingRequest): Milliseconds {
  return (queue.generationMsPerToken ?? 0) * request.maxTokens;
}

/**
 * Counts the queued requests that are served before `request`: all of higher classes and, by the
 * weights of the workspaces, those of its own class.
 */
export function countRequestsAhead(queue: ModelQueue, request: WaitingRequest): number {
  const classIndex = CLASS_ORDER.indexOf(request.class);
  let ahead = 0;
  for (const classQueue of queue.classes.slice(0, classIndex)) {
    for (const workspaceQueue of classQueue.workspaceQueues.values())
      ahead += workspaceQueue.requests.length;
  }
  const ownQueue = queue.classes[classIndex]?.workspaceQueues.get(request.workspace);
  if (!ownQueue) return ahead;
  const position = ownQueue.requests.indexOf(request);
  const rounds = (position < 0 ? ownQueue.requests.length : position) / ownQueue.weight;
  for (const workspaceQueue of queue.classes[classIndex]?.workspaceQueues.values() ?? []) {
    ahead += Math.min(workspaceQueue.requests.length, Math.ceil(rounds * workspaceQueue.weight));
  }
  return ahead;
}

/** Estimates when `count` more requests can be sent, within the bounds of `Retry-After`. */
export function estimateRetryAfterMs(queue: ModelQueue, count: number): Milliseconds {
  const waitMs = Math.ceil((queue.sendIntervalMs ?? 0) * count);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
