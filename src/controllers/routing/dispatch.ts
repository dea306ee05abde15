/**
 * Decides which queued requests are sent, which are refused, and when to decide again.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Random } from '../../core/random/index.js';
import { concludeGivenUp } from '../retries/given-up.js';
import { recordSentPrefixes } from './prefix-cache.js';
import { chooseReplica, indexCandidates, indexPeerSends } from './replica-selection.js';
import {
  ADMISSION_SAFETY_FACTOR,
  MIN_RETRY_AFTER_MS,
  MAX_RETRY_AFTER_MS,
  NO_CAPACITY_GRACE_MS,
  NO_CAPACITY_RETRY_AFTER_MS,
  RECHECK_INTERVAL_MS,
} from './constants.js';
import { detectNoisyNeighbor, isAtNoisyNeighborLimit } from './noisy-neighbors.js';
import type { ReplicaEstimate } from './estimates.js';
import { chargeWorkspace, orderClasses, orderWorkspaceQueues, removeRequest } from './queues.js';
import type { CandidateIndex, DispatchState, ModelQueue, SentRequest } from './state.js';
import { pruneReplicaStats, getOrCreateReplicaStats, recordReplicaSend } from './replica-stats.js';
import type { DispatchResult, DispatchAction, DispatchView, WaitingRequest } from './types.js';
import {
  countRequestsAhead,
  estimateGenerationMs,
  estimateRetryAfterMs,
  recordSendInterval,
} from './wait-estimates.js';

/** EWMA weight of the latest send in the mean uncached fraction of prompts. */
const UNCACHED_FRACTION_EWMA_WEIGHT = 0.02;

/** Inputs of one {@link dispatch} call and the actions collected so far. */
interface DispatchContext {
  state: DispatchState;
  view: DispatchView;
  now: Milliseconds;
  random: Random;
  actions: DispatchAction[];
}

/**
 * Sends requests while replicas have capacity and refuses those that can't be served in time. A
 * request whose estimated wait exceeds its deadline is refused immediately. While a model has no
 * replica, its requests stay queued for {@link NO_CAPACITY_GRACE_MS}, which avoids a burst of
 * retries after a short outage; after that time they are refused on arrival.
 *
 * @example const { actions, wakeAt } = dispatch(state, view, clock.now(), random);
 */
export function dispatch(
  state: DispatchState,
  view: DispatchView,
  now: Milliseconds,
  random: Random,
): DispatchResult {
  const context: DispatchContext = { state, view, now, random, actions: [] };
  indexPeerSends(state, view.peersSent);
  pruneReplicaStats(state, now);
  refuseExpired(context);
  for (const queue of state.queues.values()) {
    if (queue.length > 0) dispatchQueue(context, queue);
  }
  const wakeAt = nextWakeAt(state, now);
  return wakeAt === undefined ? { actions: context.actions } : { actions: context.actions, wakeAt };
}

function refuseExpired(context: DispatchContext): void {
  const { state, now } = context;
  if (now < state.nextDeadlineAt) return;
  state.nextDeadlineAt = Number.POSITIVE_INFINITY;
  for (const request of [...state.waiting.values()]) {
    if (request.deadlineAt <= now) refuse(context, request, createFailure('deadlineBeforeStart'));
    else state.nextDeadlineAt = Math.min(state.nextDeadlineAt, request.deadlineAt);
  }
}

function dispatchQueue(context: DispatchContext, queue: ModelQueue): void {
  const index = indexCandidates(context.state, queue.model, context.view);
  if (index.source.length === 0) {
    refuseWithoutCapacity(context, queue);
    return;
  }
  delete queue.noReplicaSince;
  while (sendNext(context, queue, index)) {
    // Each iteration sends or refuses one request and changes the serving order.
  }
  refuseUnservableNewRequests(context, queue);
}

function refuseWithoutCapacity(context: DispatchContext, queue: ModelQueue): void {
  queue.noReplicaSince ??= context.now;
  if (context.now - queue.noReplicaSince < NO_CAPACITY_GRACE_MS) return;
  for (const request of listWaiting(queue)) {
    refuse(
      context,
      request,
      createFailure('noCapacity', { name: queue.model }, NO_CAPACITY_RETRY_AFTER_MS),
    );
  }
}

/**
 * Sends or refuses the first request in serving order for which that is possible; returns `false`
 * if there is none. After a noisy neighbor found no capacity, other noisy neighbors are skipped,
 * and the search ends after any other request without excluded replicas found none.
 */
function sendNext(context: DispatchContext, queue: ModelQueue, index: CandidateIndex): boolean {
  const { state, view, now } = context;
  let isNoisyNeighborBlocked = false;
  for (const classQueue of orderClasses(queue)) {
    for (const workspaceQueue of orderWorkspaceQueues(classQueue)) {
      const workspace = workspaceQueue.requests[0]?.workspace;
      if (workspace === undefined) continue;
      const isNoisyNeighbor = detectNoisyNeighbor(state, index, workspace, view, now);
      const isAtLimit = isNoisyNeighbor && isAtNoisyNeighborLimit(state, index, workspace, view);
      if (isAtLimit || (isNoisyNeighbor && isNoisyNeighborBlocked)) continue;
      for (const request of workspaceQueue.requests) {
        if (trySend(context, queue, index, request, isNoisyNeighbor)) return true;
        // A retry that waits for the replicas it may go to does not hold up the requests behind it.
        if (request.excluded.length > 0) continue;
        if (!isNoisyNeighbor) return false;
        isNoisyNeighborBlocked = true;
        break;
      }
    }
  }
  return false;
}

/** Tries to send a request; returns `true` if it left the queue, whether sent or refused. */
function trySend(
  context: DispatchContext,
  queue: ModelQueue,
  index: CandidateIndex,
  request: WaitingRequest,
  isNoisyNeighbor: boolean,
): boolean {
  const { state, view, now, random } = context;
  const choice = chooseReplica(state, index, request, view, isNoisyNeighbor, now, random);
  queue.slotIntervalMs = choice.slotIntervalMs;
  queue.minEngineWaitMs = choice.minWaitMs ?? 0;
  if (!choice.hasCandidates) return refuseWithoutCandidates(context, queue, request);
  delete request.noCandidateSince;
  if (choice.chosen && !wouldMissDeadline(context, queue, request, choice.chosen.waitMs)) {
    send(context, queue, request, choice.chosen, isNoisyNeighbor);
    return true;
  }
  return refuseIfTooLate(context, queue, request, 1);
}

/**
 * Refuses a retry that may go to none of the replicas, once none has appeared for
 * {@link NO_CAPACITY_GRACE_MS}. A replica that is taken out of service is often back sooner.
 */
function refuseWithoutCandidates(
  context: DispatchContext,
  queue: ModelQueue,
  request: WaitingRequest,
): boolean {
  request.noCandidateSince ??= context.now;
  if (context.now - request.noCandidateSince < NO_CAPACITY_GRACE_MS) return false;
  const failure = createFailure('noCapacity', { name: queue.model }, MIN_RETRY_AFTER_MS);
  refuse(context, request, failure);
  return true;
}

/**
 * Refuses new requests that would miss their deadline. An early refusal leaves their callers time
 * to use another entry.
 */
function refuseUnservableNewRequests(context: DispatchContext, queue: ModelQueue): void {
  for (const ticket of queue.uncheckedTickets.splice(0)) {
    const request = context.state.waiting.get(ticket);
    if (request) refuseIfTooLate(context, queue, request, ADMISSION_SAFETY_FACTOR);
  }
}

/** Whether an answer that starts after `waitMs` would not be complete before the deadline. */
function wouldMissDeadline(
  context: DispatchContext,
  queue: ModelQueue,
  request: WaitingRequest,
  waitMs: Milliseconds,
): boolean {
  return context.now + waitMs + expectedGenerationMs(context, queue, request) >= request.deadlineAt;
}

/**
 * Returns the expected generation time. It counts as 0 for a request that arrived just now with no
 * other request queued: sending it takes no capacity from others, and its outcome corrects the
 * estimate.
 */
function expectedGenerationMs(
  context: DispatchContext,
  queue: ModelQueue,
  request: WaitingRequest,
): Milliseconds {
  const hasWaited = context.now - request.arrivedAt > RECHECK_INTERVAL_MS;
  return hasWaited || queue.length > 1 ? estimateGenerationMs(queue, request) : 0;
}

/** Refuses a request that would miss its deadline; returns `false` if it stays queued. */
function refuseIfTooLate(
  context: DispatchContext,
  queue: ModelQueue,
  request: WaitingRequest,
  safetyFactor: number,
): boolean {
  const sendIntervalMs = queue.sendIntervalMs ?? queue.slotIntervalMs;
  const waitMs = queue.minEngineWaitMs + sendIntervalMs * countRequestsAhead(queue, request);
  const totalMs = safetyFactor * (waitMs + expectedGenerationMs(context, queue, request));
  const overrunMs = context.now + totalMs - request.deadlineAt;
  if (overrunMs < 0) return false;
  const reason = `the estimated wait of ${Math.ceil(waitMs)} ms passes the deadline`;
  const retryAfterMs = Math.max(estimateRetryAfterMs(queue, 1), Math.ceil(overrunMs));
  const cappedRetryAfterMs = Math.min(MAX_RETRY_AFTER_MS, retryAfterMs);
  refuse(context, request, createFailure('overloaded', { reason }, cappedRetryAfterMs));
  return true;
}

function send(
  context: DispatchContext,
  queue: ModelQueue,
  request: WaitingRequest,
  chosen: ReplicaEstimate,
  isNoisyNeighbor: boolean,
): void {
  const { state, now } = context;
  const { candidate } = chosen;
  chargeWorkspace(queue, request);
  removeRequest(state, request);
  recordSendInterval(queue, now);
  const sent: SentRequest = {
    ticket: request.ticket,
    workspace: request.workspace,
    model: request.model,
    replica: candidate.replica,
    sentAt: now,
    uncachedPromptTokens: chosen.uncachedPromptTokens,
    prefillMs: chosen.prefillMs,
    outputTokens: request.maxTokens,
    estimatedFirstTokenMs: chosen.firstTokenMs,
    unadjustedFirstTokenMs: chosen.unadjustedFirstTokenMs,
  };
  state.sent.set(request.ticket, sent);
  const uncachedFraction = Math.min(
    1,
    chosen.uncachedPromptTokens / Math.max(1, request.promptTokens),
  );
  state.uncachedFraction +=
    UNCACHED_FRACTION_EWMA_WEIGHT * (uncachedFraction - state.uncachedFraction);
  const workspace = state.workspaces.get(request.workspace);
  if (workspace) {
    workspace.inFlight += 1;
    workspace.awaitingFirstToken += 1;
  }
  recordReplicaSend(getOrCreateReplicaStats(state, candidate.replica, now), sent);
  recordSentPrefixes(state, candidate.replica, request.prefixes);
  context.actions.push({
    kind: 'send',
    ticket: request.ticket,
    candidate,
    estimatedFirstTokenMs: chosen.firstTokenMs,
    isCrowding: isNoisyNeighbor,
  });
}

function refuse(context: DispatchContext, request: WaitingRequest, failure: Failure): void {
  removeRequest(context.state, request);
  context.actions.push({
    kind: 'refuse',
    ticket: request.ticket,
    failure: concludeGivenUp(failure, request.mayHaveRun ?? false),
  });
}

function listWaiting(queue: ModelQueue): WaitingRequest[] {
  return queue.classes.flatMap((classQueue) =>
    [...classQueue.workspaceQueues.values()].flatMap((workspaceQueue) => workspaceQueue.requests),
  );
}

function nextWakeAt(state: DispatchState, now: Milliseconds): Milliseconds | undefined {
  if (state.waiting.size === 0) return undefined;
  return Math.min(now + RECHECK_INTERVAL_MS, Math.max(now, state.nextDeadlineAt));
}
