/**
 * How long an attempt may make no progress before it counts as stalled.
 */
import {
  firstEventTimeout,
  plainStallTimeout,
  streamStallTimeout,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ChosenTarget } from './backend-tracker.js';
import type { AdmittedRequest } from './types.js';

/** Times without progress that count as a stall. */
export interface StallLimits {
  /** Without progress of any attempt at the backend server. */
  serverStallMs: Milliseconds;
  /** Without progress of this attempt, while others at the backend server progress. */
  attemptStallMs: Milliseconds;
}

/** A single response without progress for this long counts as lost. */
const LOST_RESPONSE_MS: Milliseconds = 1_500;

/**
 * Limits until the first event. A request that queues at the backend server says nothing about the
 * server, so only the limit of its own attempt applies.
 */
export function limitsBeforeFirstEvent(
  { route, model, service, caller }: AdmittedRequest,
  { inFlight, slots }: ChosenTarget,
  expectedFirstEventMs: Milliseconds,
): StallLimits {
  const profile = service.engine;
  if (!profile || !model) {
    const limitMs = plainStallTimeout(route.targetMs);
    return { serverStallMs: limitMs, attemptStallMs: limitMs };
  }
  const firstEventMs = firstEventTimeout(profile, model, caller.promptTokens, expectedFirstEventMs);
  return {
    serverStallMs: inFlight < slots ? firstEventMs : Infinity,
    attemptStallMs: Math.max(LOST_RESPONSE_MS, 2 * firstEventMs),
  };
}

/** Limits between two events of a stream; undefined for responses that no model generates. */
export function limitsBetweenEvents({ service, model }: AdmittedRequest): StallLimits | undefined {
  if (!service.engine || !model) return undefined;
  return {
    serverStallMs: streamStallTimeout(service.engine, model),
    attemptStallMs: LOST_RESPONSE_MS,
  };
}
