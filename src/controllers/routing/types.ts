/**
 * The messages of the dispatch decision: which waiting request goes to which replica, and when.
 *
 * The shell reports events (`offerRequest`, `reportEnd`, …) and then calls `dispatch`, which
 * returns the actions to perform. Nothing here waits: a request that can't be sent yet stays in
 * its workspace's queue, and `dispatch` says when to be called again at the latest.
 */
import type { ReplicaLoad, SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { RequestClass } from '../../objects/index.js';

/** Where an entry or a replica stands. */
export interface Location {
  region: string;
  failureDomain: string;
}

/** A replica that may be sent requests now; `listEligibleReplicas` in `health` makes the list. */
export interface Candidate {
  replica: string;
  model: string;
  fence: number;
  /** The instance of rank 0 and its address. */
  leader: string;
  address: string;
  members: readonly string[];
  location: Location;
  /** Absent until a first report. */
  load: ReplicaLoad | undefined;
}

/** The start of a prompt that may be in an engine's prefix cache; longer ones come later. */
export interface Prefix {
  hash: string;
  tokens: number;
}

/** A request that waits to be sent. */
export interface WaitingRequest {
  /** Unique in this entry; names the request in actions. */
  ticket: string;
  workspace: string;
  class: RequestClass;
  model: string;
  /** Estimated. */
  promptTokens: number;
  maxTokens: number;
  prefixes: readonly Prefix[];
  arrivedAt: Milliseconds;
  deadlineAt: Milliseconds;
  /** Replicas that it must not go to (again). */
  excluded: readonly string[];
  /** An earlier attempt may have run: a refusal then never says that the request was not run. */
  mayHaveRun?: boolean;
}

/** What the shell has to do. */
export type DispatchAction =
  | {
      kind: 'send';
      ticket: string;
      candidate: Candidate;
      estimatedFirstTokenMs: Milliseconds;
      /** Its workspace crowds out others: give it a lower priority at the engine. */
      isCrowding: boolean;
    }
  /** Final, to be answered at once. */
  | { kind: 'refuse'; ticket: string; failure: Failure };

/** What a call of `dispatch` decided. */
export interface Dispatch {
  actions: readonly DispatchAction[];
  /** Call again then, if no event came before; absent when nothing waits. */
  wakeAt?: Milliseconds;
}

/** What a decision may look at; nothing here is kept by the dispatcher. */
export interface DispatchView {
  /** Where this entry stands. */
  here: Location;
  /**
   * The replicas of a model that may be sent requests now. Return the same array until it changes:
   * it is indexed once for each array.
   */
  candidatesOf(model: string): readonly Candidate[];
  /** What peers sent lately, from their digests; the same array until it changes. */
  peersSent: readonly SentCount[];
  /** The span that `peersSent` covers. */
  peersPeriodMs?: Milliseconds;
  /** Entries that send to the same replicas, this one included; 1 when absent. */
  entries?: number;
}

/** How a sent request ended, as far as the dispatcher learns from it. */
export interface SentOutcome {
  kind: 'completed' | 'cancelled' | 'refused' | 'notSent' | 'lost' | 'failed';
  /** Output tokens that were generated, as far as they are known. */
  outputTokens?: number;
  /** Prompt tokens that the engine found in its cache. */
  cachedTokens?: number;
}

/** A plain service's instance that may be sent calls now. */
export interface InstanceCandidate {
  instance: string;
  address: string;
  location: Location;
}
