/**
 * The dispatch decision: which waiting requests go out now, which are refused, and when to look
 * again.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Random } from '../../core/random/index.js';
import { concludeGivenUp } from '../retries/given-up.js';
import { believeSent } from './prefix-cache.js';
import { chooseReplica, indexCandidates, indexPeers } from './replica-selection.js';
import {
  ARRIVAL_MARGIN,
  LEAST_RETRY_MS,
  MOST_RETRY_MS,
  NO_CAPACITY_GRACE_MS,
  NO_CAPACITY_RETRY_MS,
  RECHECK_MS,
} from './constants.js';
import { crowdsOut, isAtCrowdLimit } from './noisy-neighbors.js';
import type { Estimate } from './estimates.js';
import { chargeLane, orderClasses, orderLanes, removeRequest } from './queues.js';
import type { CandidateIndex, DispatchState, ModelQueue, SentRequest } from './state.js';
import { forgetReplicas, openTrack, trackSend } from './replica-stats.js';
import type { Dispatch, DispatchAction, DispatchView, WaitingRequest } from './types.js';
import { countAhead, estimateAnswer, estimateRetryAfter, recordSend } from './wait-estimates.js';

/** Weight of the newest send in the mean part of prompts that is not cached. */
const UNCACHED_RATE = 0.02;

/** One call of {@link dispatch}: its inputs, and the actions gathered so far. */
interface Round {
  state: DispatchState;
  view: DispatchView;
  now: Milliseconds;
  random: Random;
  actions: DispatchAction[];
}

/**
 * Sends what has room and refuses what can't be served in time. A request whose estimated wait
 * passes its deadline is refused at once, not when the deadline has passed. While a model has no
 * replica, its requests wait for {@link NO_CAPACITY_GRACE_MS}, so that one that comes back at once
 * causes no storm of repeated requests; after that they are refused on arrival.
 *
 * @example const { actions, wakeAt } = dispatch(state, view, clock.now(), random);
 */
export function dispatch(
  state: DispatchState,
  view: DispatchView,
  now: Milliseconds,
  random: Random,
): Dispatch {
  const round: Round = { state, view, now, random, actions: [] };
  indexPeers(state, view.peersSent);
  forgetReplicas(state, now);
  refuseLate(round);
  for (const queue of state.queues.values()) {
    if (queue.length > 0) dispatchModel(round, queue);
  }
  const wakeAt = findWakeAt(state, now);
  return wakeAt === undefined ? { actions: round.actions } : { actions: round.actions, wakeAt };
}

function refuseLate(round: Round): void {
  const { state, now } = round;
  if (now < state.nextDeadlineAt) return;
  state.nextDeadlineAt = Number.POSITIVE_INFINITY;
  for (const request of [...state.waiting.values()]) {
    if (request.deadlineAt <= now) refuse(round, request, createFailure('deadlineBeforeStart'));
    else state.nextDeadlineAt = Math.min(state.nextDeadlineAt, request.deadlineAt);
  }
}

function dispatchModel(round: Round, queue: ModelQueue): void {
  const index = indexCandidates(round.state, queue.model, round.view);
  if (index.source.length === 0) {
    waitForCapacity(round, queue);
    return;
  }
  delete queue.emptySince;
  while (sendNext(round, queue, index)) {
    // Each turn sends one request; the next is looked for in the changed order.
  }
  refuseHopeless(round, queue);
}

function waitForCapacity(round: Round, queue: ModelQueue): void {
  queue.emptySince ??= round.now;
  if (round.now - queue.emptySince < NO_CAPACITY_GRACE_MS) return;
  for (const request of listWaiting(queue)) {
    refuse(
      round,
      request,
      createFailure('noCapacity', { name: queue.model }, NO_CAPACITY_RETRY_MS),
    );
  }
}

/**
 * Sends the first request, in serving order, that has room; `false` when there is none. Once a
 * request found none, others that may use no more of the engines are not tried in this turn.
 */
function sendNext(round: Round, queue: ModelQueue, index: CandidateIndex): boolean {
  const { state, view, now } = round;
  let isCrowded = false;
  for (const classQueue of orderClasses(queue)) {
    for (const lane of orderLanes(classQueue)) {
      const request = lane.requests[0];
      if (!request) continue;
      const { workspace } = request;
      const leavesHeadroom = crowdsOut(state, index, workspace, view, now);
      const isAtLimit = leavesHeadroom && isAtCrowdLimit(state, index, workspace, view);
      if (isAtLimit || (leavesHeadroom && isCrowded)) continue;
      if (trySend(round, queue, index, request, leavesHeadroom)) return true;
      if (request.excluded.length > 0) continue;
      if (!leavesHeadroom) return false;
      isCrowded = true;
    }
  }
  return false;
}

/** `true` when the request has left the queue, sent or refused. */
function trySend(
  round: Round,
  queue: ModelQueue,
  index: CandidateIndex,
  request: WaitingRequest,
  leavesHeadroom: boolean,
): boolean {
  const { state, view, now, random } = round;
  const choice = chooseReplica(state, index, request, view, leavesHeadroom, now, random);
  queue.slotMs = choice.slotMs;
  queue.engineWaitMs = choice.leastWaitMs ?? 0;
  if (!choice.anyAllowed) {
    refuse(round, request, createFailure('noCapacity', { name: queue.model }, LEAST_RETRY_MS));
    return true;
  }
  if (choice.chosen && !isTooLate(round, queue, request, choice.chosen.waitMs)) {
    send(round, queue, request, choice.chosen, leavesHeadroom);
    return true;
  }
  return judgeWait(round, queue, request, 1);
}

/**
 * Refuses those of the requests that came since the last turn whose estimated wait passes their
 * deadline: to wait in vain would cost their callers the time in which they could go elsewhere.
 */
function refuseHopeless(round: Round, queue: ModelQueue): void {
  for (const ticket of queue.unjudged.splice(0)) {
    const request = round.state.waiting.get(ticket);
    if (request) judgeWait(round, queue, request, ARRIVAL_MARGIN);
  }
}

/** Whether an answer that begins after `waitMs` would not be whole before the deadline. */
function isTooLate(
  round: Round,
  queue: ModelQueue,
  request: WaitingRequest,
  waitMs: Milliseconds,
): boolean {
  return round.now + waitMs + answerMs(round, queue, request) >= request.deadlineAt;
}

/**
 * What a request's answer is reckoned to take. Only of one that has waited here, or that others
 * wait with: an idle replica has nothing better to do, and what it does corrects the reckoning.
 */
function answerMs(round: Round, queue: ModelQueue, request: WaitingRequest): Milliseconds {
  const hasWaited = round.now - request.arrivedAt > RECHECK_MS;
  return hasWaited || queue.length > 1 ? estimateAnswer(queue, request) : 0;
}

/** Refuses a request whose estimated wait passes its deadline; `false` when it may wait. */
function judgeWait(
  round: Round,
  queue: ModelQueue,
  request: WaitingRequest,
  margin: number,
): boolean {
  const interval = queue.sendIntervalMs ?? queue.slotMs;
  const wait = queue.engineWaitMs + interval * countAhead(queue, request);
  const span = margin * (wait + answerMs(round, queue, request));
  const late = round.now + span - request.deadlineAt;
  if (late < 0) return false;
  const reason = `the estimated wait of ${Math.ceil(wait)} ms passes the deadline`;
  const retryAfterMs = Math.max(estimateRetryAfter(queue, 1), Math.ceil(late));
  const told = Math.min(MOST_RETRY_MS, retryAfterMs);
  refuse(round, request, createFailure('overloaded', { reason }, told));
  return true;
}

function send(
  round: Round,
  queue: ModelQueue,
  request: WaitingRequest,
  chosen: Estimate,
  isCrowding: boolean,
): void {
  const { state, now } = round;
  const { candidate } = chosen;
  chargeLane(queue, request);
  removeRequest(state, request);
  recordSend(queue, now);
  const sent: SentRequest = {
    ticket: request.ticket,
    workspace: request.workspace,
    model: request.model,
    replica: candidate.replica,
    sentAt: now,
    promptTokens: chosen.promptTokens,
    prefillMs: chosen.prefillMs,
    outputTokens: request.maxTokens,
    estimatedFirstTokenMs: chosen.firstTokenMs,
    plainFirstTokenMs: chosen.plainFirstTokenMs,
  };
  state.sent.set(request.ticket, sent);
  const part = Math.min(1, chosen.promptTokens / Math.max(1, request.promptTokens));
  state.uncachedPart += UNCACHED_RATE * (part - state.uncachedPart);
  const workspace = state.workspaces.get(request.workspace);
  if (workspace) {
    workspace.inFlight += 1;
    workspace.unanswered += 1;
  }
  trackSend(openTrack(state, candidate.replica, now), sent);
  believeSent(state, candidate.replica, request.prefixes);
  round.actions.push({
    kind: 'send',
    ticket: request.ticket,
    candidate,
    estimatedFirstTokenMs: chosen.firstTokenMs,
    isCrowding,
  });
}

function refuse(round: Round, request: WaitingRequest, failure: Failure): void {
  removeRequest(round.state, request);
  round.actions.push({
    kind: 'refuse',
    ticket: request.ticket,
    failure: concludeGivenUp(failure, request.mayHaveRun ?? false),
  });
}

function listWaiting(queue: ModelQueue): WaitingRequest[] {
  return queue.classes.flatMap((classQueue) =>
    [...classQueue.lanes.values()].flatMap((lane) => lane.requests),
  );
}

function findWakeAt(state: DispatchState, now: Milliseconds): Milliseconds | undefined {
  if (state.waiting.size === 0) return undefined;
  return Math.min(now + RECHECK_MS, Math.max(now, state.nextDeadlineAt));
}
