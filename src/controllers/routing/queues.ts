/**
 * Bounded request queues and the order in which they are served.
 *
 * Classes are served in order of priority. To prevent starvation, a class is served out of order
 * once higher classes were served {@link STARVATION_FACTOR} times the cost of its next request.
 * Within a class, workspaces are served by start-time fair queueing: the virtual time of a
 * workspace queue advances by the served tokens divided by its weight, and the queue with the
 * lowest virtual time is next. An empty queue that becomes active starts at the virtual time of the
 * class, so that idle workspaces accumulate no credit.
 */
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { concludeGivenUp } from '../retries/given-up.js';
import { CLASS_ORDER, STARVATION_FACTOR } from './constants.js';
import { recordArrival } from './noisy-neighbors.js';
import { estimateRetryAfterMs } from './wait-estimates.js';
import type { ClassQueue, DispatchState, WorkspaceQueue, ModelQueue } from './state.js';
import type { WaitingRequest } from './types.js';

/**
 * Queues `request`, or refuses it if the workspace already has `queueLength` queued requests. A
 * request that is offered again after an attempt is queued by its original arrival time.
 *
 * @example offerRequest(state, request, 64, 1).mapErr((failure) => answer(failure));
 */
export function offerRequest(
  state: DispatchState,
  request: WaitingRequest,
  queueLength: number,
  workspaceWeight: number,
): Result<void, Failure> {
  const waiting = state.waitingByWorkspace.get(request.workspace) ?? 0;
  const queue = getOrCreateModelQueue(state, request.model);
  if (waiting >= queueLength) return err(createQueueFullFailure(queue, request, waiting));
  if (state.waiting.has(request.ticket)) return ok(undefined);
  recordArrival(state, request, workspaceWeight);
  const workspaceQueue = getOrCreateWorkspaceQueue(queue, request, workspaceWeight);
  insertByArrival(workspaceQueue.requests, request);
  queue.length += 1;
  queue.uncheckedTickets.push(request.ticket);
  state.waiting.set(request.ticket, request);
  state.nextDeadlineAt = Math.min(state.nextDeadlineAt, request.deadlineAt);
  state.waitingByWorkspace.set(request.workspace, waiting + 1);
  return ok(undefined);
}

/** Removes a request that was cancelled by its caller; returns `false` if it is not queued. */
export function withdrawRequest(state: DispatchState, ticket: string): boolean {
  const request = state.waiting.get(ticket);
  if (!request) return false;
  removeRequest(state, request);
  return true;
}

/** Removes `request` from its queue. */
export function removeRequest(state: DispatchState, request: WaitingRequest): void {
  const queue = state.queues.get(request.model);
  const classQueue = queue?.classes[CLASS_ORDER.indexOf(request.class)];
  const workspaceQueue = classQueue?.workspaceQueues.get(request.workspace);
  if (!queue || !classQueue || !workspaceQueue) return;
  const index = workspaceQueue.requests.indexOf(request);
  if (index < 0) return;
  workspaceQueue.requests.splice(index, 1);
  if (workspaceQueue.requests.length === 0) removeWorkspaceQueue(classQueue, workspaceQueue);
  if (classQueue.workspaceQueues.size === 0) classQueue.bypassedCost = 0;
  queue.length -= 1;
  state.waiting.delete(request.ticket);
  const remaining = (state.waitingByWorkspace.get(request.workspace) ?? 1) - 1;
  if (remaining > 0) state.waitingByWorkspace.set(request.workspace, remaining);
  else state.waitingByWorkspace.delete(request.workspace);
}

/** Returns the classes with queued requests in the order in which to serve them. */
export function orderClasses(queue: ModelQueue): ClassQueue[] {
  const waiting = queue.classes.filter((classQueue) => classQueue.workspaceQueues.size > 0);
  const starving = waiting.find(isStarving);
  if (!starving) return waiting;
  return [starving, ...waiting.filter((classQueue) => classQueue !== starving)];
}

/** Returns the workspace queues of a class in the order in which to serve them. */
export function orderWorkspaceQueues(classQueue: ClassQueue): WorkspaceQueue[] {
  return [...classQueue.workspaceQueues.values()].sort((a, b) => a.virtualTime - b.virtualTime);
}

/** Charges the cost of `request` to its workspace, and counts it as bypassing lower classes. */
export function chargeWorkspace(queue: ModelQueue, request: WaitingRequest): void {
  const cost = tokenCost(request);
  for (const classQueue of queue.classes) {
    if (classQueue.class === request.class) advanceVirtualTime(classQueue, request, cost);
    else if (outranksClass(request, classQueue) && classQueue.workspaceQueues.size > 0)
      classQueue.bypassedCost += cost;
  }
}

/** Estimated cost of a request, in tokens. */
function tokenCost(request: WaitingRequest): number {
  return Math.max(1, request.promptTokens + request.maxTokens);
}

function advanceVirtualTime(classQueue: ClassQueue, request: WaitingRequest, cost: number): void {
  classQueue.bypassedCost = 0;
  const workspaceQueue = classQueue.workspaceQueues.get(request.workspace);
  if (!workspaceQueue) return;
  classQueue.virtualTime = Math.max(classQueue.virtualTime, workspaceQueue.virtualTime);
  workspaceQueue.virtualTime += cost / workspaceQueue.weight;
}

function outranksClass(request: WaitingRequest, classQueue: ClassQueue): boolean {
  return CLASS_ORDER.indexOf(request.class) < CLASS_ORDER.indexOf(classQueue.class);
}

function isStarving(classQueue: ClassQueue): boolean {
  const head = orderWorkspaceQueues(classQueue)[0]?.requests[0];
  return head !== undefined && classQueue.bypassedCost >= STARVATION_FACTOR * tokenCost(head);
}

function getOrCreateModelQueue(state: DispatchState, model: string): ModelQueue {
  const existing = state.queues.get(model);
  if (existing) return existing;
  const classes = CLASS_ORDER.map((name) => ({
    class: name,
    workspaceQueues: new Map<string, WorkspaceQueue>(),
    virtualTime: 0,
    carriedVirtualTimes: new Map<string, number>(),
    bypassedCost: 0,
  }));
  const queue: ModelQueue = {
    model,
    classes,
    length: 0,
    slotIntervalMs: 0,
    minEngineWaitMs: 0,
    uncheckedTickets: [],
  };
  state.queues.set(model, queue);
  return queue;
}

function getOrCreateWorkspaceQueue(
  queue: ModelQueue,
  request: WaitingRequest,
  weight: number,
): WorkspaceQueue {
  const classQueue = queue.classes[CLASS_ORDER.indexOf(request.class)];
  const existing = classQueue?.workspaceQueues.get(request.workspace);
  if (existing) {
    existing.weight = weight;
    return existing;
  }
  const virtualTime = Math.max(
    classQueue?.virtualTime ?? 0,
    classQueue?.carriedVirtualTimes.get(request.workspace) ?? Number.NEGATIVE_INFINITY,
  );
  const workspaceQueue: WorkspaceQueue = {
    workspace: request.workspace,
    weight,
    requests: [],
    virtualTime,
  };
  classQueue?.workspaceQueues.set(request.workspace, workspaceQueue);
  return workspaceQueue;
}

/**
 * Removes an empty workspace queue but keeps its virtual time if it is ahead. Otherwise a workspace
 * with one large queued request at a time would start over each time and exceed its share.
 */
function removeWorkspaceQueue(classQueue: ClassQueue, workspaceQueue: WorkspaceQueue): void {
  classQueue.workspaceQueues.delete(workspaceQueue.workspace);
  for (const [workspace, virtualTime] of classQueue.carriedVirtualTimes) {
    if (virtualTime <= classQueue.virtualTime) classQueue.carriedVirtualTimes.delete(workspace);
  }
  if (workspaceQueue.virtualTime > classQueue.virtualTime)
    classQueue.carriedVirtualTimes.set(workspaceQueue.workspace, workspaceQueue.virtualTime);
}

function insertByArrival(requests: WaitingRequest[], request: WaitingRequest): void {
  let index = requests.length;
  while (index > 0 && (requests[index - 1]?.arrivedAt ?? 0) > request.arrivedAt) index -= 1;
  requests.splice(index, 0, request);
}

function createQueueFullFailure(
  queue: ModelQueue,
  request: WaitingRequest,
  waiting: number,
): Failure {
  const reason = `${waiting} requests of workspace "${request.workspace}" wait already`;
  const failure = createFailure('overloaded', { reason }, estimateRetryAfterMs(queue, 1));
  return concludeGivenUp(failure, request.mayHaveRun ?? false);
}
