/**
 * Timeouts and progress tracking for the detection of stalled backend servers.
 *
 * A replica that lost a member, or a server that hangs, keeps accepting requests and reports its
 * failure only seconds later. Requests of one server are processed together, so the server counts as
 * stalled when none of them has made progress for several times the usual pause between two events.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel } from '../../ports/index.js';

/**
 * Multiple of the longest usual pause after which a target counts as stalled. A pause is longest when
 * every decode step between two events also prefills a full prompt chunk of another request.
 */
const STALL_PAUSE_MULTIPLE = 2;
/** Minimum stall timeout; exceeds network delays and pauses of a busy gateway. */
const MIN_STALL_MS: Milliseconds = 300;
/** Minimum timeout for the first event of a request that got a free slot. */
const MIN_FIRST_EVENT_MS: Milliseconds = 700;
/** Timeout for a plain response, as a multiple of the route's target time. */
const PLAIN_STALL_MULTIPLE = 2;

/** How long a stream of `model` may make no progress before its replica is suspected. */
export function streamStallTimeout(profile: EngineProfile, model: GroupModel): Milliseconds {
  const decodeStepMs = profile.stepMs + profile.stepPerRequestMs * profile.slots;
  const prefillMs = profile.promptChunk / profile.promptTokensPerMs;
  const pauseMs = profile.stride * (decodeStepMs + prefillMs) * model.pace;
  return Math.max(MIN_STALL_MS, STALL_PAUSE_MULTIPLE * pauseMs);
}

/**
 * Timeout for the first event, as a multiple of the usual time to a first event. On fully loaded replicas
 * half of the requests began within 343 ms and the slowest after 719 ms, about twice that; as much again
 * is margin.
 */
const FIRST_EVENT_MULTIPLE = 4;

/**
 * How long a request that got a free slot may wait for its first event before its replica is
 * suspected. `usualMs` is the current usual time to a first event of the model.
 *
 * Keeps loaded replicas from being mistaken for stalled ones: excluding them would overload the
 * remaining replicas until none is left.
 */
export function firstEventTimeout(
  profile: EngineProfile,
  model: GroupModel,
  promptTokens: number,
  usualMs: Milliseconds = 0,
): Milliseconds {
  const prefillMs = (2 * promptTokens * model.pace) / profile.promptTokensPerMs;
  return Math.max(MIN_FIRST_EVENT_MS, FIRST_EVENT_MULTIPLE * usualMs) + prefillMs;
}

/** How long a plain response may take before its backend server is suspected. */
export function plainStallTimeout(targetMs: Milliseconds): Milliseconds {
  return Math.max(MIN_STALL_MS, PLAIN_STALL_MULTIPLE * targetMs);
}

/** Time of the last progress seen at each backend server. Mutable; has a single owner. */
export class ProgressTracker {
  private readonly lastAt = new Map<string, Milliseconds>();

  /** Records that data arrived from `server`. */
  record(server: string, now: Milliseconds): void {
    this.lastAt.set(server, now);
  }

  /** When data last arrived from `server`; -Infinity if never. */
  lastProgress(server: string): Milliseconds {
    return this.lastAt.get(server) ?? Number.NEGATIVE_INFINITY;
  }

  forget(server: string): void {
    this.lastAt.delete(server);
  }
}
