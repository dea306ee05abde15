/**
 * Times that a backend server of usual speed needs, by the profile of its engine.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel } from '../../ports/index.js';

/** Iterations from the arrival of a request to its first event: the rest of the current one, and its own. */
const FIRST_EVENT_ITERATIONS = 1.5;
/**
 * Added to both times before they are compared. Network, scheduling and the prompts of other requests vary
 * by about this much, which would make short times look uneven.
 */
const TOLERANCE_MS: Milliseconds = 30;

/** Time from sending a request to its first event, with `inFlight` requests at the replica. */
export function expectFirstEventMs(
  profile: EngineProfile,
  model: GroupModel,
  promptTokens: number,
  inFlight: number,
): Milliseconds {
  const prefillMs = (model.pace * promptTokens) / profile.promptTokensPerMs;
  return prefillMs + FIRST_EVENT_ITERATIONS * expectGapMs(profile, model, inFlight);
}

/** Time between two events of a stream, with `inFlight` requests at the replica. */
export function expectGapMs(
  profile: EngineProfile,
  model: GroupModel,
  inFlight: number,
): Milliseconds {
  const generating = Math.min(profile.slots, Math.max(1, inFlight));
  return model.pace * profile.stride * (profile.stepMs + profile.stepPerRequestMs * generating);
}

/**
 * Time by which an iteration that also prefills the prompts of other requests exceeds a usual one at most.
 * The prompts that other gateways send are not known, so that a delay of up to this is not told from slowness.
 */
export function prefillAllowanceMs(profile: EngineProfile, model: GroupModel): Milliseconds {
  return (model.pace * profile.stride * profile.promptChunk) / profile.promptTokensPerMs;
}

/** Ratio of the actual to the expected time; at most 1 if the allowance explains the difference. */
export function compareTimes(
  tookMs: Milliseconds,
  expectedMs: Milliseconds,
  allowanceMs: Milliseconds = 0,
): number {
  const ratio = (tookMs + TOLERANCE_MS) / (expectedMs + TOLERANCE_MS);
  return tookMs <= expectedMs + allowanceMs ? Math.min(1, ratio) : ratio;
}
