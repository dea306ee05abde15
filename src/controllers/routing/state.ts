/**
 * What the dispatcher remembers between events: a plain object, changed in place and owned by one
 * shell.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestClass } from '../../objects/index.js';
import type { Candidate, WaitingRequest } from './types.js';

/** The requests of one workspace that wait for one model in one class, first come first. */
export interface Lane {
  workspace: string;
  weight: number;
  requests: WaitingRequest[];
  /** Weighted tokens served so far; the lane with the least is served next. */
  served: number;
}

/** The lanes of one class. */
export interface ClassQueue {
  class: RequestClass;
  lanes: Map<string, Lane>;
  /** `served` of the lane served last: where a lane starts that was empty. */
  served: number;
  /** `served` of lanes that went empty ahead of the others, so that coming back clears nothing. */
  left: Map<string, number>;
  /** Tokens of higher classes served while this class had requests waiting. */
  passedOver: number;
}

/** Everything that waits for one model. */
export interface ModelQueue {
  model: string;
  classes: ClassQueue[];
  length: number;
  /** When the model was first seen without any replica; absent while it has one. */
  emptySince?: Milliseconds;
  /** Mean span between two sends while requests waited; absent until two such sends. */
  sendIntervalMs?: Milliseconds;
  /** Mean span between two places coming free, by the replicas' reports at the last choice. */
  slotMs: Milliseconds;
  /** The least wait at a replica as the last choice found it. */
  engineWaitMs: Milliseconds;
  /** Mean span from first token to end, for each token that was asked for at most. */
  answerMsPerToken?: Milliseconds;
  /** Tickets whose wait has not been estimated yet. */
  unjudged: string[];
  /** The last send after which requests still waited. */
  lastBusySendAt?: Milliseconds;
}

/** A request that was sent and has not ended. */
export interface SentRequest {
  ticket: string;
  workspace: string;
  model: string;
  replica: string;
  sentAt: Milliseconds;
  /** Prompt tokens that the engine was believed not to have cached. */
  promptTokens: number;
  /** The time that their prefill takes. */
  prefillMs: Milliseconds;
  outputTokens: number;
  estimatedFirstTokenMs: Milliseconds;
  /** The estimate before the learned ratio was applied. */
  plainFirstTokenMs: Milliseconds;
  firstTokenAt?: Milliseconds;
  endedAt?: Milliseconds;
}

/** What this entry knows of one replica beyond its reports. */
export interface ReplicaTrack {
  /** Own sends that the last report can't show yet, oldest first. */
  unreported: SentRequest[];
  unreportedOutputTokens: number;
  /** Prefill work left at `backlogAt`, reckoned on from the report measured at `reportedAt`. */
  backlogMs: Milliseconds;
  backlogAt: Milliseconds;
  reportedAt: Milliseconds;
  lastSentAt: Milliseconds;
  /** Own requests in flight, oldest first. */
  outstanding: Map<string, SentRequest>;
  /** Own requests that wait for their first token, oldest first. */
  unanswered: Map<string, SentRequest>;
  /** Measured over estimated first-token time, and when it was last measured. */
  slowness: number;
  measuredAt: Milliseconds;
  touchedAt: Milliseconds;
}

/** Which prefixes one replica is believed to have cached, least recently used first. */
export interface CacheBelief {
  incarnation?: string;
  /** The last cache event taken in. */
  sequence?: number;
  prefixes: Map<string, number>;
}

/** The candidates of one array by their distance; built once for each array. */
export interface CandidateIndex {
  source: readonly Candidate[];
  local: Candidate[];
  region: Candidate[];
  remote: Candidate[];
  byReplica: Map<string, Candidate>;
  /** Replicas of the own region by the hash of their name, for the homes of prefixes. */
  ring: RingPlace[];
}

/** A replica's place on the ring of hashes. */
export interface RingPlace {
  hash: number;
  candidate: Candidate;
}

/** What one workspace has sent and when it last asked for anything. */
export interface WorkspaceTrack {
  weight: number;
  inFlight: number;
  /** Of those in flight, the ones that wait for their first token. */
  unanswered: number;
  /** When it last asked for anything. */
  activeAt: Milliseconds;
  /** Requests that arrived of late as they counted then, older ones less. */
  arrivals: number;
}

/** Recent failures of one instance of a plain service. */
export interface InstanceTrack {
  failures: number;
  avoidUntil: Milliseconds;
}

/** The dispatcher's memory. */
export interface DispatchState {
  queues: Map<string, ModelQueue>;
  /** Waiting requests by ticket. */
  waiting: Map<string, WaitingRequest>;
  /** Waiting requests of each workspace, over all models and classes. */
  waitingOf: Map<string, number>;
  workspaces: Map<string, WorkspaceTrack>;
  sent: Map<string, SentRequest>;
  replicas: Map<string, ReplicaTrack>;
  beliefs: Map<string, CacheBelief>;
  /** Replicas believed to hold a prefix, by its hash. */
  holders: Map<string, Set<string>>;
  candidates: Map<string, CandidateIndex>;
  peers: { source: readonly SentCount[]; byReplica: Map<string, SentCount> };
  /** Mean part of prompt tokens that own sends were estimated to need prefilled. */
  uncachedPart: number;
  /** No waiting request's deadline is earlier. */
  nextDeadlineAt: Milliseconds;
  instances: Map<string, InstanceTrack>;
  forgottenAt: Milliseconds;
}

/**
 * The memory of a dispatcher that has seen nothing yet.
 *
 * @example const state = createDispatchState();
 */
export function createDispatchState(): DispatchState {
  return {
    queues: new Map(),
    waiting: new Map(),
    waitingOf: new Map(),
    workspaces: new Map(),
    sent: new Map(),
    replicas: new Map(),
    beliefs: new Map(),
    holders: new Map(),
    candidates: new Map(),
    peers: { source: [], byReplica: new Map() },
    uncachedPart: 1,
    nextDeadlineAt: Number.POSITIVE_INFINITY,
    instances: new Map(),
    forgottenAt: 0,
  };
}
