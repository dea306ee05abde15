/**
 * Finding backend servers at which nothing moves.
 *
 * Guards against a replica that lost a member, or a server that went silent: it keeps accepting
 * requests, says nothing, and its own verdict comes seconds later. Several requests of one server
 * share its work, so the server stands still when none of them has moved for many times the usual
 * pause between two events.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel } from '../../ports/index.js';

/**
 * Longest usual pauses after which a target counts as stalled. A pause is longest when every step
 * between two events also reads a whole piece of somebody's prompt.
 */
const PAUSES_UNTIL_STALLED = 2;
/** Least wait before a stall is believed: delays of links and of a busy entry stay below it. */
const LEAST_STALL_MS: Milliseconds = 300;
/** Wait for the first event of a request that found a free slot. */
const FIRST_EVENT_MS: Milliseconds = 700;
/** Wait for a plain answer, as a multiple of the route's aim. */
const PLAIN_TARGETS_UNTIL_STALLED = 2;

/** How long a stream of `model` may stand still before its replica is suspected. */
export function stallAfter(profile: EngineProfile, model: GroupModel): Milliseconds {
  const generating = profile.stepMs + profile.stepPerRequestMs * profile.slots;
  const reading = profile.promptChunk / profile.promptTokensPerMs;
  const pause = profile.stride * (generating + reading) * model.pace;
  return Math.max(LEAST_STALL_MS, PAUSES_UNTIL_STALLED * pause);
}

/**
 * Multiples of the usual time to a first event that a replica may take for one. Of 144 requests at full
 * replicas half began within 343 ms and the slowest after 719 ms, about twice that; as much again is
 * the margin.
 */
const USUAL_TIMES_UNTIL_STALLED = 4;

/**
 * How long a request may wait for its first event before its replica is suspected, when a slot was
 * free for it. One that has to queue may wait for as long as others take. `usualMs` is what first
 * events of the model take now.
 *
 * Guards against replicas that are merely full being taken for ones that stand still: each that is
 * left out for it makes the others fuller, until none is left.
 */
export function firstEventAfter(
  profile: EngineProfile,
  model: GroupModel,
  promptTokens: number,
  usualMs: Milliseconds = 0,
): Milliseconds {
  const reading = (2 * promptTokens * model.pace) / profile.promptTokensPerMs;
  return Math.max(FIRST_EVENT_MS, USUAL_TIMES_UNTIL_STALLED * usualMs) + reading;
}

/** How long a plain answer may take before its backend server is suspected. */
export function plainStallAfter(targetMs: Milliseconds): Milliseconds {
  return PLAIN_TARGETS_UNTIL_STALLED * targetMs;
}

/** What moves at one backend server, as this entry sees it. Changed in place, owned by one shell. */
export class ProgressTracker {
  private readonly lastAt = new Map<string, Milliseconds>();

  /** Something came from `server`. */
  record(server: string, now: Milliseconds): void {
    this.lastAt.set(server, now);
  }

  /** When something last came from `server`. */
  lastProgress(server: string): Milliseconds {
    return this.lastAt.get(server) ?? Number.NEGATIVE_INFINITY;
  }

  forget(server: string): void {
    this.lastAt.delete(server);
  }
}
