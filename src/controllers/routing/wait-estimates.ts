/**
 * How long requests will wait in this entry's queues, from the pace at which they leave.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { ANSWER_RATE, LEAST_RETRY_MS, MOST_RETRY_MS, SEND_RATE } from './constants.js';
import { CLASS_ORDER } from './constants.js';
import type { ModelQueue, SentRequest } from './state.js';
import type { WaitingRequest } from './types.js';

/** Measures the pace of sends; only spans in which requests waited say how fast room comes. */
export function recordSend(queue: ModelQueue, now: Milliseconds): void {
  const before = queue.lastBusySendAt;
  if (before !== undefined) {
    const span = now - before;
    const known = queue.sendIntervalMs;
    queue.sendIntervalMs = known === undefined ? span : known + SEND_RATE * (span - known);
  }
  if (queue.length > 0) queue.lastBusySendAt = now;
  else delete queue.lastBusySendAt;
}

/** Learns how long whole answers take, from one that ended at `now`. */
export function recordAnswer(queue: ModelQueue, sent: SentRequest, now: Milliseconds): void {
  if (sent.firstTokenAt === undefined) return;
  const span = (now - sent.firstTokenAt) / Math.max(1, sent.outputTokens);
  const known = queue.answerMsPerToken ?? span;
  queue.answerMsPerToken = known + ANSWER_RATE * (span - known);
}

/**
 * How long the answer to `request` takes from its first token; 0 until one has been seen. Guards against requests that get their first token in time and are cut
 * off at their deadline: in an overload that wastes what others could have been served with.
 */
export function estimateAnswer(queue: ModelQueue, request: WaitingRequest): Milliseconds {
  return (queue.answerMsPerToken ?? 0) * request.maxTokens;
}

/** Requests that will be served before `request`: its own lane's share of all that wait. */
export function countAhead(queue: ModelQueue, request: WaitingRequest): number {
  const rank = CLASS_ORDER.indexOf(request.class);
  let ahead = 0;
  for (const classQueue of queue.classes.slice(0, rank)) {
    for (const lane of classQueue.lanes.values()) ahead += lane.requests.length;
  }
  const own = queue.classes[rank]?.lanes.get(request.workspace);
  if (!own) return ahead;
  const position = own.requests.indexOf(request);
  const turns = (position < 0 ? own.requests.length : position) / own.weight;
  for (const lane of queue.classes[rank]?.lanes.values() ?? []) {
    ahead += Math.min(lane.requests.length, Math.ceil(turns * lane.weight));
  }
  return ahead;
}

/** When room for `count` more requests can be expected, as a `Retry-After`. */
export function estimateRetryAfter(queue: ModelQueue, count: number): Milliseconds {
  const wait = Math.ceil((queue.sendIntervalMs ?? 0) * count);
  return Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, wait));
}
