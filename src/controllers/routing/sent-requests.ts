/**
 * Updates the state of the dispatcher on events of sent requests.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { clearReplicaCache } from './prefix-cache.js';
import type { DispatchState, SentRequest } from './state.js';
import { updateSlowdown, recordReplicaEnd } from './replica-stats.js';
import type { SentOutcome } from './types.js';
import { recordGenerationTime } from './wait-estimates.js';

/**
 * Records that the first token of a sent request arrived.
 *
 * @example reportFirstToken(state, ticket, clock.now());
 */
export function reportFirstToken(state: DispatchState, ticket: string, now: Milliseconds): void {
  const sent = state.sent.get(ticket);
  const stats = sent && state.replicas.get(sent.replica);
  if (!stats || sent.firstTokenAt !== undefined) return;
  sent.firstTokenAt = now;
  decrementAwaitingFirstToken(state, sent);
  stats.awaitingFirstToken.delete(ticket);
  updateSlowdown(stats, now - sent.sentAt, sent.unadjustedFirstTokenMs, now);
}

/**
 * Records that a sent request ended. If the replica could not be reached or lost the request, its
 * cache is assumed to be lost as well.
 *
 * @example reportEnd(state, ticket, { kind: 'completed', outputTokens: 80 }, clock.now());
 */
export function reportEnd(
  state: DispatchState,
  ticket: string,
  outcome: SentOutcome,
  now: Milliseconds,
): void {
  const sent = state.sent.get(ticket);
  if (!sent) return;
  state.sent.delete(ticket);
  if (sent.firstTokenAt === undefined) decrementAwaitingFirstToken(state, sent);
  const workspace = state.workspaces.get(sent.workspace);
  if (workspace) workspace.inFlight -= 1;
  const stats = state.replicas.get(sent.replica);
  if (stats) recordReplicaEnd(stats, sent, now);
  const queue = state.queues.get(sent.model);
  if (outcome.retryAfterMs !== undefined)
    state.cooldowns.start(sent.replica, outcome.retryAfterMs, now);
  if (queue && outcome.kind === 'completed') recordGenerationTime(queue, sent, now);
  if (outcome.kind === 'notSent' || outcome.kind === 'lost') clearReplicaCache(state, sent.replica);
}

function decrementAwaitingFirstToken(state: DispatchState, sent: SentRequest): void {
  const workspace = state.workspaces.get(sent.workspace);
  if (workspace) workspace.awaitingFirstToken -= 1;
}
