/**
 * State of a dispatcher between calls: a plain object with a single owner, mutated in place.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestClass } from '../../objects/index.js';
import { CooldownTable } from '../cooldowns/index.js';
import type { Candidate, WaitingRequest } from './types.js';

/** Queued requests of one workspace for one model and class, ordered by arrival. */
export interface WorkspaceQueue {
  workspace: string;
  weight: number;
  requests: WaitingRequest[];
  /** Served tokens divided by the weight; the queue with the lowest value is served next. */
  virtualTime: number;
}

/** The workspace queues of one class. */
export interface ClassQueue {
  class: RequestClass;
  workspaceQueues: Map<string, WorkspaceQueue>;
  /** Highest virtual time at which a request was served; new workspace queues start here. */
  virtualTime: number;
  /** Virtual times of emptied queues that were ahead, restored when the workspace returns. */
  carriedVirtualTimes: Map<string, number>;
  /** Tokens served from higher classes while this class had queued requests. */
  bypassedCost: number;
}

/** All queued requests for one model. */
export interface ModelQueue {
  model: string;
  classes: ClassQueue[];
  length: number;
  /** Since when the model has had no replica; absent while it has one. */
  noReplicaSince?: Milliseconds;
  /** Mean interval between sends while the queue is not empty; absent until two such sends. */
  sendIntervalMs?: Milliseconds;
  /** Mean interval at which batch slots become free, estimated in the last choice of a replica. */
  slotIntervalMs: Milliseconds;
  /** Shortest wait at any replica sampled in the last choice. */
  minEngineWaitMs: Milliseconds;
  /** Mean time from first token to completion, per token of the requested maximum. */
  generationMsPerToken?: Milliseconds;
  /** Tickets of new requests whose deadline has not been checked against the estimated wait. */
  uncheckedTickets: string[];
  /** Last send, if requests remained queued after it. */
  lastBackloggedSendAt?: Milliseconds;
}

/** A request in flight. */
export interface SentRequest {
  ticket: string;
  workspace: string;
  model: string;
  replica: string;
  sentAt: Milliseconds;
  /** Prompt tokens assumed not to be cached at the engine. */
  uncachedPromptTokens: number;
  /** Estimated prefill time of the uncached tokens. */
  prefillMs: Milliseconds;
  outputTokens: number;
  estimatedFirstTokenMs: Milliseconds;
  /** The estimate without the replica's slowdown. */
  unadjustedFirstTokenMs: Milliseconds;
  firstTokenAt?: Milliseconds;
  endedAt?: Milliseconds;
}

/** Statistics of one replica that this entry keeps in addition to the load reports. */
export interface ReplicaStats {
  /** Sends that the last load report does not include yet, oldest first. */
  unreportedSends: SentRequest[];
  unreportedOutputTokens: number;
  /** Remaining prefill time at `backlogUpdatedAt`, based on the report measured at `reportedAt`. */
  prefillBacklogMs: Milliseconds;
  backlogUpdatedAt: Milliseconds;
  reportedAt: Milliseconds;
  lastSentAt: Milliseconds;
  /** Requests of this entry in flight, oldest first. */
  outstanding: Map<string, SentRequest>;
  /** Requests of this entry that await their first token, oldest first. */
  awaitingFirstToken: Map<string, SentRequest>;
  /** Ratio of measured to estimated time to first token, as of `slowdownMeasuredAt`. */
  slowdown: number;
  slowdownMeasuredAt: Milliseconds;
  lastActivityAt: Milliseconds;
}

/** Prefixes that one replica has probably cached. */
export interface ReplicaCache {
  incarnation?: string;
  /** Sequence number of the last cache event that was applied. */
  lastSequence?: number;
  /** Token counts by prefix hash, least recently used first. */
  prefixes: Map<string, number>;
}

/** Candidates grouped by distance. Valid for one `source` array. */
export interface CandidateIndex {
  source: readonly Candidate[];
  sameDomain: Candidate[];
  sameRegion: Candidate[];
  otherRegions: Candidate[];
  byReplica: Map<string, Candidate>;
  /** Replicas in the region of the entry, sorted by hash. */
  hashRing: RingNode[];
}

/** A replica on the consistent-hash ring. */
export interface RingNode {
  hash: number;
  candidate: Candidate;
}

/** Recent load of one workspace on this entry. */
export interface WorkspaceStats {
  weight: number;
  inFlight: number;
  /** Requests in flight that await their first token. */
  awaitingFirstToken: number;
  lastArrivalAt: Milliseconds;
  /** Exponentially decayed number of arrivals, as of `lastArrivalAt`. */
  decayedArrivals: number;
}

/** Failures of one service instance since its last success. */
export interface InstanceFailures {
  consecutiveFailures: number;
  ejectedUntil: Milliseconds;
}

/** State of one dispatcher. */
export interface DispatchState {
  queues: Map<string, ModelQueue>;
  /** Queued requests by ticket. */
  waiting: Map<string, WaitingRequest>;
  /** Number of queued requests per workspace, over all models and classes. */
  waitingByWorkspace: Map<string, number>;
  workspaces: Map<string, WorkspaceStats>;
  /** Requests in flight by ticket. */
  sent: Map<string, SentRequest>;
  replicas: Map<string, ReplicaStats>;
  replicaCaches: Map<string, ReplicaCache>;
  /** Replicas that have probably cached a prefix, by its hash. */
  replicasByPrefix: Map<string, Set<string>>;
  /** By model. */
  candidateIndexes: Map<string, CandidateIndex>;
  peerSends: { source: readonly SentCount[]; byReplica: Map<string, SentCount> };
  /** Mean fraction of prompt tokens assumed not to be cached, over the sends of this entry. */
  uncachedFraction: number;
  /** Lower bound of the deadlines of all queued requests. */
  nextDeadlineAt: Milliseconds;
  instanceFailures: Map<string, InstanceFailures>;
  /** Of replicas and service instances. */
  cooldowns: CooldownTable;
  lastPrunedAt: Milliseconds;
}

/**
 * Creates the initial state of a dispatcher.
 *
 * @example const state = createDispatchState();
 */
export function createDispatchState(): DispatchState {
  return {
    queues: new Map(),
    waiting: new Map(),
    waitingByWorkspace: new Map(),
    workspaces: new Map(),
    sent: new Map(),
    replicas: new Map(),
    replicaCaches: new Map(),
    replicasByPrefix: new Map(),
    candidateIndexes: new Map(),
    peerSends: { source: [], byReplica: new Map() },
    uncachedFraction: 1,
    nextDeadlineAt: Number.POSITIVE_INFINITY,
    instanceFailures: new Map(),
    cooldowns: new CooldownTable(),
    lastPrunedAt: 0,
  };
}
