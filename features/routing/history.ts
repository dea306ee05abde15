/**
 * Simulates random histories of a dispatcher and checks its invariants.
 */
import assert from 'node:assert/strict';
import {
  createDispatchState,
  dispatch,
  offerRequest,
  reportEnd,
  reportFirstToken,
  withdrawRequest,
  type DispatchState,
  type WaitingRequest,
} from '../../src/controllers/routing/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { makeCandidate, makeRequest, makeView } from './fixtures.js';

const STEPS = 250;
export const MAX_QUEUE_LENGTH = 6;

/**
 * A simulated history. `outcomes` maps tickets that left the queue to `refuse`, `send` or
 * `withdrawn`.
 */
export interface RoutingHistory {
  offered: Map<string, WaitingRequest>;
  outcomes: Map<string, string>;
  longestQueue: number;
  state: DispatchState;
}

export function simulateRouting(seed: number): RoutingHistory {
  const random = createRandom(seed);
  const state = createDispatchState();
  const history: RoutingHistory = {
    offered: new Map(),
    outcomes: new Map(),
    longestQueue: 0,
    state,
  };
  const running: string[] = [];
  let now = 0;
  let view = makeView([]);
  for (let step = 0; step < STEPS; step += 1) {
    now += random.below(60);
    if (random.below(6) === 0) view = makeView(randomCandidates(random, now));
    applyRandomEvents(history, running, random, now);
    for (const action of dispatch(state, view, now, random).actions) {
      recordOutcome(history, action.ticket, action.kind);
      if (action.kind === 'refuse') continue;
      running.push(action.ticket);
      const request = history.offered.get(action.ticket);
      assert.ok(request && !request.excluded.includes(action.candidate.replica));
      assert.ok(now < request.deadlineAt, 'sent after its deadline');
    }
    for (const count of state.waitingByWorkspace.values()) {
      history.longestQueue = Math.max(history.longestQueue, count);
    }
  }
  return history;
}

function applyRandomEvents(
  history: RoutingHistory,
  running: string[],
  random: Random,
  now: number,
): void {
  const { state, offered } = history;
  for (let count = random.below(5); count > 0; count -= 1) {
    const request = makeRequest(`t${offered.size}`, now, {
      workspace: `w${random.below(3)}`,
      class: (['gate', 'interactive', 'batch'] as const)[random.below(3)],
      promptTokens: 1 + random.below(2_000),
      deadlineAt: now + random.below(4_000),
      excluded: random.below(3) === 0 ? ['r0'] : [],
    });
    offered.set(request.ticket, request);
    if (offerRequest(state, request, MAX_QUEUE_LENGTH, 1).isErr()) {
      recordOutcome(history, request.ticket, 'refuse');
    }
  }
  const ended = running.splice(random.below(running.length + 1), 1)[0];
  if (ended !== undefined) {
    if (random.below(2) === 0) reportFirstToken(state, ended, now);
    reportEnd(state, ended, { kind: random.below(5) === 0 ? 'lost' : 'completed' }, now);
  }
  const ticket = `t${random.below(offered.size + 1)}`;
  if (random.below(4) === 0 && withdrawRequest(state, ticket))
    recordOutcome(history, ticket, 'withdrawn');
}

function recordOutcome(history: RoutingHistory, ticket: string, outcome: string): void {
  assert.ok(
    !history.outcomes.has(ticket),
    `${ticket} already has the outcome ${history.outcomes.get(ticket)}`,
  );
  history.outcomes.set(ticket, outcome);
}

function randomCandidates(random: Random, now: number): ReturnType<typeof makeCandidate>[] {
  return Array.from({ length: random.below(4) }, (_, index) =>
    makeCandidate(`r${index}`, now - random.below(800), {
      running: random.below(10),
      pendingPromptTokens: random.below(3_000),
    }),
  );
}
