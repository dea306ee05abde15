/**
 * What this entry knows of a replica beyond its last report: its own sends since, and how far
 * first tokens came late.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  FORGET_REPLICA_MS,
  LEARNING_RATE,
  LEAST_SLOWNESS,
  MOST_SLOWNESS,
  SLOW_FROM,
  SLOWNESS_HALF_LIFE_MS,
} from './constants.js';
import { dropBelief } from './prefix-cache.js';
import type { DispatchState, ReplicaTrack, SentRequest } from './state.js';

/** The track of `replica`, begun when there is none. */
export function openTrack(state: DispatchState, replica: string, now: Milliseconds): ReplicaTrack {
  const known = state.replicas.get(replica);
  if (known) return known;
  const track: ReplicaTrack = {
    unreported: [],
    unreportedOutputTokens: 0,
    backlogMs: 0,
    backlogAt: now,
    reportedAt: Number.NEGATIVE_INFINITY,
    lastSentAt: Number.NEGATIVE_INFINITY,
    outstanding: new Map(),
    unanswered: new Map(),
    slowness: 1,
    measuredAt: now,
    touchedAt: now,
  };
  state.replicas.set(replica, track);
  return track;
}

/** Counts a request as sent. */
export function trackSend(track: ReplicaTrack, sent: SentRequest): void {
  track.unreported.push(sent);
  track.backlogMs = backlogAt(track, sent.sentAt) + sent.prefillMs;
  track.backlogAt = sent.sentAt;
  track.lastSentAt = sent.sentAt;
  track.unreportedOutputTokens += sent.outputTokens;
  track.outstanding.set(sent.ticket, sent);
  track.unanswered.set(sent.ticket, sent);
  track.touchedAt = sent.sentAt;
}

/** Counts a request as ended. */
export function trackEnd(track: ReplicaTrack, sent: SentRequest, now: Milliseconds): void {
  sent.endedAt = now;
  track.outstanding.delete(sent.ticket);
  track.unanswered.delete(sent.ticket);
  track.touchedAt = now;
  const index = track.unreported.indexOf(sent);
  if (index < 0) return;
  track.unreported.splice(index, 1);
  track.unreportedOutputTokens -= sent.outputTokens;
}

/** The prefill work left at `now`: an engine works it off as time passes. */
export function backlogAt(track: ReplicaTrack, now: Milliseconds): Milliseconds {
  return Math.max(0, track.backlogMs - Math.max(0, now - track.backlogAt));
}

/**
 * Takes in a report measured at `reportedAt`: forgets the sends that it shows by itself and reckons
 * the prefill work on from it, send by send, so that work that came late is not taken as worked off
 * before it came.
 */
export function settleReport(
  track: ReplicaTrack,
  reportedAt: Milliseconds,
  reportedBacklogMs: Milliseconds,
): void {
  if (track.reportedAt === reportedAt) return;
  track.reportedAt = reportedAt;
  dropReported(track, reportedAt);
  track.backlogMs = reportedBacklogMs;
  track.backlogAt = reportedAt;
  for (const sent of track.unreported) {
    track.backlogMs = backlogAt(track, sent.sentAt) + sent.prefillMs;
    track.backlogAt = Math.max(track.backlogAt, sent.sentAt);
  }
}

function dropReported(track: ReplicaTrack, reportedAt: Milliseconds): void {
  let settled = 0;
  for (const sent of track.unreported) {
    if (sent.sentAt > reportedAt) break;
    track.unreportedOutputTokens -= sent.outputTokens;
    settled += 1;
  }
  if (settled > 0) track.unreported.splice(0, settled);
}

/** Learns from one measured first-token time. */
export function learnSlowness(
  track: ReplicaTrack,
  measuredMs: Milliseconds,
  estimatedMs: Milliseconds,
  now: Milliseconds,
): void {
  const known = fadedSlowness(track, now);
  const ratio = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, measuredMs / estimatedMs));
  track.slowness = known + LEARNING_RATE * (ratio - known);
  track.measuredAt = now;
}

/**
 * The learned ratio, fading towards 1. Guards against avoiding a replica for ever: one that nobody
 * sends to gives no measurement that could clear it, so its ratio has to fade by itself.
 */
export function currentSlowness(track: ReplicaTrack, now: Milliseconds): number {
  const faded = fadedSlowness(track, now);
  return faded < SLOW_FROM ? 1 : faded;
}

function fadedSlowness(track: ReplicaTrack, now: Milliseconds): number {
  const age = Math.max(0, now - track.measuredAt);
  return 1 + (track.slowness - 1) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MS);
}

/**
 * How far the oldest request that waits for its first token is past its estimate. Guards against
 * sending on to a paused engine: it reports no load and ends no request, and this grows with time.
 */
export function overdueMs(track: ReplicaTrack, now: Milliseconds): Milliseconds {
  for (const sent of track.unanswered.values()) {
    return Math.max(0, now - sent.sentAt - sent.estimatedFirstTokenMs);
  }
  return 0;
}

/** Forgets replicas that have not been sent to for long; at most once each such span. */
export function forgetReplicas(state: DispatchState, now: Milliseconds): void {
  if (now - state.forgottenAt < FORGET_REPLICA_MS) return;
  state.forgottenAt = now;
  for (const [replica, track] of state.replicas) {
    if (track.outstanding.size > 0 || now - track.touchedAt < FORGET_REPLICA_MS) continue;
    state.replicas.delete(replica);
    dropBelief(state, replica);
    state.beliefs.delete(replica);
  }
}
