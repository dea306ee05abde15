/**
 * Inputs and outputs of the dispatcher, which decides when a queued request is sent and to which
 * replica. An entry is a process that accepts requests from callers and runs one dispatcher.
 *
 * The caller reports events (`offerRequest`, `reportEnd`, …) and then calls `dispatch`, which
 * returns the actions to perform. The dispatcher does no I/O and sets no timers: requests that
 * can't be sent yet stay queued, and the result says when to call `dispatch` again.
 */
import type { ReplicaLoad, SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { RequestClass } from '../../objects/index.js';

/** Location of an entry, a replica or an instance. */
export interface Location {
  region: string;
  failureDomain: string;
}

/** A replica that is currently eligible for requests; see `listEligibleReplicas` in `health`. */
export interface Candidate {
  replica: string;
  model: string;
  fence: number;
  /** The instance with rank 0, which receives the requests. */
  leader: string;
  address: string;
  members: readonly string[];
  location: Location;
  /** Undefined until the first load report. */
  load: ReplicaLoad | undefined;
}

/**
 * A prompt prefix that an engine may have cached. Lists of prefixes are sorted by length,
 * ascending.
 */
export interface Prefix {
  hash: string;
  tokens: number;
}

/** A queued request. */
export interface WaitingRequest {
  /** Unique within the entry; identifies the request in actions. */
  ticket: string;
  workspace: string;
  class: RequestClass;
  model: string;
  /** Estimated from the length of the prompt. */
  promptTokens: number;
  maxTokens: number;
  prefixes: readonly Prefix[];
  arrivedAt: Milliseconds;
  deadlineAt: Milliseconds;
  /** Replicas that must not receive the request, such as those where an earlier attempt failed. */
  excluded: readonly string[];
  /** Whether an earlier attempt may have run. If so, a refusal must not state that none did. */
  mayHaveRun?: boolean;
  /** Since when all replicas of the model have been in `excluded`; absent while one is not. */
  noCandidateSince?: Milliseconds;
}

/** An action that the caller of `dispatch` performs. */
export type DispatchAction =
  | {
      kind: 'send';
      ticket: string;
      candidate: Candidate;
      estimatedFirstTokenMs: Milliseconds;
      /** Whether the workspace is a noisy neighbor; the engine priority is then lowered. */
      isCrowding: boolean;
    }
  /** Final: the request leaves the queue and the failure is returned to its caller. */
  | { kind: 'refuse'; ticket: string; failure: Failure };

/** Result of a `dispatch` call. */
export interface DispatchResult {
  actions: readonly DispatchAction[];
  /**
   * When to call `dispatch` again if no event arrives earlier; absent when the queues are empty.
   */
  wakeAt?: Milliseconds;
}

/** External data that a `dispatch` call reads. */
export interface DispatchView {
  /** Location of this entry. */
  entryLocation: Location;
  /**
   * The eligible replicas of a model. Must return the same array while nothing changes, since the
   * index of candidates is cached by array identity.
   */
  candidatesOf(model: string): readonly Candidate[];
  /** Recent sends of peers, from their digests. Cached by array identity like the candidates. */
  peersSent: readonly SentCount[];
  /** The period that `peersSent` covers. */
  peersPeriodMs?: Milliseconds;
  /** Number of entries that share the replicas, including this one. Default: 1. */
  entryCount?: number;
}

/** Outcome of a sent request. */
export interface SentOutcome {
  kind: 'completed' | 'cancelled' | 'refused' | 'notSent' | 'lost' | 'failed';
  /** The time that a refusing engine asked to be left alone for. */
  retryAfterMs?: Milliseconds;
  /** Generated output tokens, if known. */
  outputTokens?: number;
  /** Prompt tokens served from the prefix cache of the engine. */
  cachedTokens?: number;
}

/** An instance of a service without replicas that is currently eligible for calls. */
export interface InstanceCandidate {
  instance: string;
  address: string;
  location: Location;
}
