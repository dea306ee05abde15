/**
 * How long a sending may stand still before something is wrong.
 */
import {
  firstEventAfter,
  plainStallAfter,
  stallAfter,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ChosenTarget } from './backends.js';
import type { AdmittedRequest } from './types.js';

/** Silences that count as stalls. */
export interface StallLimits {
  /** Of the whole backend server. */
  serverLimitMs: Milliseconds;
  /** Of this sending alone, while others move there. */
  ownLimitMs: Milliseconds;
}

/** An answer that stands still alone is lost: many times the longest pause between two events. */
const LOST_ANSWER_MS: Milliseconds = 1_500;

/** Until the first event; of a request that has to queue, only its own silence counts. */
export function limitsBeforeAnswer(
  { route, model, service, caller }: AdmittedRequest,
  { inFlight, slots }: ChosenTarget,
  usualFirstMs: Milliseconds,
): StallLimits {
  const profile = service.engine;
  if (!profile || !model) {
    const limitMs = plainStallAfter(route.targetMs);
    return { serverLimitMs: limitMs, ownLimitMs: limitMs };
  }
  const firstEventMs = firstEventAfter(profile, model, caller.promptTokens, usualFirstMs);
  return {
    serverLimitMs: inFlight < slots ? firstEventMs : Infinity,
    ownLimitMs: Math.max(LOST_ANSWER_MS, 2 * firstEventMs),
  };
}

/** Between two events of a stream; undefined for what is not a model's answer. */
export function limitsWithinAnswer({ service, model }: AdmittedRequest): StallLimits | undefined {
  if (!service.engine || !model) return undefined;
  return { serverLimitMs: stallAfter(service.engine, model), ownLimitMs: LOST_ANSWER_MS };
}
