/**
 * What the dispatcher learns of requests that it sent.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { dropBelief } from './prefix-cache.js';
import type { DispatchState, SentRequest } from './state.js';
import { learnSlowness, trackEnd } from './replica-stats.js';
import type { SentOutcome } from './types.js';
import { recordAnswer } from './wait-estimates.js';

/**
 * The first token of a sent request arrived.
 *
 * @example reportFirstToken(state, ticket, clock.now());
 */
export function reportFirstToken(state: DispatchState, ticket: string, now: Milliseconds): void {
  const sent = state.sent.get(ticket);
  const track = sent && state.replicas.get(sent.replica);
  if (!track || sent.firstTokenAt !== undefined) return;
  sent.firstTokenAt = now;
  countAnswered(state, sent);
  track.unanswered.delete(ticket);
  learnSlowness(track, now - sent.sentAt, sent.plainFirstTokenMs, now);
}

/**
 * A sent request has ended. Frees what it was counted for; a replica that could not be reached or
 * lost the request also loses the belief in its cache.
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
  if (sent.firstTokenAt === undefined) countAnswered(state, sent);
  const workspace = state.workspaces.get(sent.workspace);
  if (workspace) workspace.inFlight -= 1;
  const track = state.replicas.get(sent.replica);
  if (track) trackEnd(track, sent, now);
  const queue = state.queues.get(sent.model);
  if (queue && outcome.kind === 'completed') recordAnswer(queue, sent, now);
  if (outcome.kind === 'notSent' || outcome.kind === 'lost') dropBelief(state, sent.replica);
}

function countAnswered(state: DispatchState, sent: SentRequest): void {
  const workspace = state.workspaces.get(sent.workspace);
  if (workspace) workspace.unanswered -= 1;
}
