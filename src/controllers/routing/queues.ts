/**
 * The bounded queues of waiting requests and the order in which they are served.
 *
 * Classes are served in order, gate first; a lower class is served out of turn once
 * {@link STARVATION_FACTOR} times its next request's cost went past it, so that it keeps a small
 * share of the throughput. Within a class, workspaces share by weight: each lane counts the
 * weighted tokens it was served, and the one with the least is next (start-time fair queueing, a
 * kin of deficit round robin that needs no quantum). A lane that was empty starts where the others
 * stand, so that nobody saves up by staying away.
 */
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { concludeGivenUp } from '../retries/given-up.js';
import { CLASS_ORDER, STARVATION_FACTOR } from './constants.js';
import { noteArrival } from './noisy-neighbors.js';
import { estimateRetryAfter } from './wait-estimates.js';
import type { ClassQueue, DispatchState, Lane, ModelQueue } from './state.js';
import type { WaitingRequest } from './types.js';

/**
 * Puts `request` into its workspace's queue, or refuses it when `queueLength` requests of the
 * workspace wait already. A request that is offered again keeps the place of its arrival.
 *
 * @example offerRequest(state, request, 64, 1).mapErr((failure) => answer(failure));
 */
export function offerRequest(
  state: DispatchState,
  request: WaitingRequest,
  queueLength: number,
  workspaceWeight: number,
): Result<void, Failure> {
  const waiting = state.waitingOf.get(request.workspace) ?? 0;
  const queue = openQueue(state, request.model);
  if (waiting >= queueLength) return err(refuseFull(queue, request, waiting));
  if (state.waiting.has(request.ticket)) return ok(undefined);
  noteArrival(state, request, workspaceWeight);
  const lane = openLane(queue, request, workspaceWeight);
  insertByArrival(lane.requests, request);
  queue.length += 1;
  queue.unjudged.push(request.ticket);
  state.waiting.set(request.ticket, request);
  state.nextDeadlineAt = Math.min(state.nextDeadlineAt, request.deadlineAt);
  state.waitingOf.set(request.workspace, waiting + 1);
  return ok(undefined);
}

/** Forgets a request whose caller has gone; `false` when it does not wait (any more). */
export function withdrawRequest(state: DispatchState, ticket: string): boolean {
  const request = state.waiting.get(ticket);
  if (!request) return false;
  removeRequest(state, request);
  return true;
}

/** Takes `request` out of its lane. */
export function removeRequest(state: DispatchState, request: WaitingRequest): void {
  const queue = state.queues.get(request.model);
  const classQueue = queue?.classes[CLASS_ORDER.indexOf(request.class)];
  const lane = classQueue?.lanes.get(request.workspace);
  if (!queue || !classQueue || !lane) return;
  const index = lane.requests.indexOf(request);
  if (index < 0) return;
  lane.requests.splice(index, 1);
  if (lane.requests.length === 0) closeLane(classQueue, lane);
  if (classQueue.lanes.size === 0) classQueue.passedOver = 0;
  queue.length -= 1;
  state.waiting.delete(request.ticket);
  const left = (state.waitingOf.get(request.workspace) ?? 1) - 1;
  if (left > 0) state.waitingOf.set(request.workspace, left);
  else state.waitingOf.delete(request.workspace);
}

/** The classes of `queue` that have requests waiting, in the order in which to serve them now. */
export function orderClasses(queue: ModelQueue): ClassQueue[] {
  const waiting = queue.classes.filter((classQueue) => classQueue.lanes.size > 0);
  const starving = waiting.find(isStarving);
  if (!starving) return waiting;
  return [starving, ...waiting.filter((classQueue) => classQueue !== starving)];
}

/** The lanes of a class, the one to serve first in front. */
export function orderLanes(classQueue: ClassQueue): Lane[] {
  return [...classQueue.lanes.values()].sort((one, other) => one.served - other.served);
}

/** Counts `request` as served: its lane moves back, and lower classes have been passed over. */
export function chargeLane(queue: ModelQueue, request: WaitingRequest): void {
  const cost = costOf(request);
  for (const classQueue of queue.classes) {
    if (classQueue.class === request.class) chargeOwn(classQueue, request, cost);
    else if (isHigher(request, classQueue) && classQueue.lanes.size > 0)
      classQueue.passedOver += cost;
  }
}

/** Tokens that a request is estimated to take of an engine. */
function costOf(request: WaitingRequest): number {
  return Math.max(1, request.promptTokens + request.maxTokens);
}

function chargeOwn(classQueue: ClassQueue, request: WaitingRequest, cost: number): void {
  classQueue.passedOver = 0;
  const lane = classQueue.lanes.get(request.workspace);
  if (!lane) return;
  classQueue.served = Math.max(classQueue.served, lane.served);
  lane.served += cost / lane.weight;
}

function isHigher(request: WaitingRequest, classQueue: ClassQueue): boolean {
  return CLASS_ORDER.indexOf(request.class) < CLASS_ORDER.indexOf(classQueue.class);
}

function isStarving(classQueue: ClassQueue): boolean {
  const head = orderLanes(classQueue)[0]?.requests[0];
  return head !== undefined && classQueue.passedOver >= STARVATION_FACTOR * costOf(head);
}

function openQueue(state: DispatchState, model: string): ModelQueue {
  const known = state.queues.get(model);
  if (known) return known;
  const classes = CLASS_ORDER.map((name) => ({
    class: name,
    lanes: new Map<string, Lane>(),
    served: 0,
    left: new Map<string, number>(),
    passedOver: 0,
  }));
  const queue: ModelQueue = { model, classes, length: 0, slotMs: 0, engineWaitMs: 0, unjudged: [] };
  state.queues.set(model, queue);
  return queue;
}

function openLane(queue: ModelQueue, request: WaitingRequest, weight: number): Lane {
  const classQueue = queue.classes[CLASS_ORDER.indexOf(request.class)];
  const known = classQueue?.lanes.get(request.workspace);
  if (known) {
    known.weight = weight;
    return known;
  }
  const served = Math.max(
    classQueue?.served ?? 0,
    classQueue?.left.get(request.workspace) ?? Number.NEGATIVE_INFINITY,
  );
  const lane: Lane = {
    workspace: request.workspace,
    weight,
    requests: [],
    served,
  };
  classQueue?.lanes.set(request.workspace, lane);
  return lane;
}

/**
 * Drops an empty lane, remembering that it is ahead. Guards against a workspace that keeps one
 * large request waiting at a time and, with a fresh lane each time, takes every other turn.
 */
function closeLane(classQueue: ClassQueue, lane: Lane): void {
  classQueue.lanes.delete(lane.workspace);
  for (const [workspace, served] of classQueue.left) {
    if (served <= classQueue.served) classQueue.left.delete(workspace);
  }
  if (lane.served > classQueue.served) classQueue.left.set(lane.workspace, lane.served);
}

function insertByArrival(requests: WaitingRequest[], request: WaitingRequest): void {
  let index = requests.length;
  while (index > 0 && (requests[index - 1]?.arrivedAt ?? 0) > request.arrivedAt) index -= 1;
  requests.splice(index, 0, request);
}

function refuseFull(queue: ModelQueue, request: WaitingRequest, waiting: number): Failure {
  const reason = `${waiting} requests of workspace "${request.workspace}" wait already`;
  const failure = createFailure('overloaded', { reason }, estimateRetryAfter(queue, 1));
  return concludeGivenUp(failure, request.mayHaveRun ?? false);
}
