/**
 * The serving configuration: routes, services, workspaces and limits.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** Whether requests of a route may be executed more than once. */
export type Repeatability =
  /** May be executed any number of times. */
  | 'safe'
  /** Must be executed at most once. */
  | 'once'
  /** An event stream; may be executed again if the route is resumable. */
  | 'stream';

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Maps matching requests to services and defines how they are handled. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  /** At least one; the weights are relative to their sum. */
  targets: readonly RouteTarget[];
  repeatability: Repeatability;
  /** An interrupted stream may be resumed at another backend server after its last event. */
  resumable: boolean;
  /** Maximum number of backend servers that a request is sent to. */
  maxAttempts: number;
  /** Maximum time that a caller waits. */
  timeoutMs: Milliseconds;
  /** Target latency of the response, or of its first event. */
  targetMs: Milliseconds;
  /** Target for the longest gap between two events; absent for routes without streaming. */
  targetEventGapMs?: Milliseconds;
  /** 0 is the highest priority. */
  priority: number;
  /** Whether callers may omit the API key. */
  anonymous: boolean;
}

/** A model served by replicas that each consist of several instances. */
export interface GroupModel {
  name: string;
  /** Number of instances in one replica. */
  size: number;
  /** Multiplier for all processing times of a replica; higher is slower. */
  pace: number;
  /** Fraction of the instances that should serve the model until demand has been measured, 0 to 1. */
  share: number;
  /** Time to load the weights from the weight store. */
  loadMs: Milliseconds;
  /** Time to load the weights from the instance's own host. */
  warmMs: Milliseconds;
}

/** Performance characteristics and load limits of the engines of one service. */
export interface EngineProfile {
  models: readonly GroupModel[];
  /** Maximum number of concurrent requests of one replica. */
  slots: number;
  /** Tokens of concurrent requests that fit into the memory of one replica; absent if unknown. */
  memoryTokens?: number;
  /** Generation steps per scheduler iteration; each event contains the tokens of one iteration. */
  stride: number;
  /** Base duration of one generation step. */
  stepMs: Milliseconds;
  /** Added to the duration of a step for each generating request. */
  stepPerRequestMs: Milliseconds;
  /** Prompt tokens processed per millisecond. */
  promptTokensPerMs: number;
  /** Maximum number of prompt tokens processed in one step. */
  promptChunk: number;
  /** Number of concurrent weight loads that still run at full speed. */
  loadsAtOnce: number;
  /** Maximum number of weight loads started per second. */
  loadsPerSecond: number;
  /** Time from the `open` order until the replica serves requests. */
  formMs: Milliseconds;
}

/** What a backend server bears while it is cold, which it is after a start or at any other time. */
export interface ColdProfile {
  /** Requests per second of all gateways together; a cold server crashes well above this rate. */
  perSecond: number;
  /** How long a server is cold after it has started. */
  startMs: Milliseconds;
}

/** A named set of backend servers. */
export interface ServingService {
  name: string;
  /** Maximum number of connections that one backend server accepts in total. */
  maxConnections: number;
  /** Present only if the backend servers are engines that form replicas. */
  engine?: EngineProfile;
  /** Present only if the backend servers are cold for some time after they start. */
  cold?: ColdProfile;
}

/** A workspace whose callers authenticate with one of its API keys. */
export interface ServingWorkspace {
  name: string;
  keys: readonly string[];
  /** Overrides the priority of the route. */
  priority?: number;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: Milliseconds;
  /** Keep-alive timeout: how long an idle connection of a caller stays open. */
  idleTimeoutMs: Milliseconds;
}

/** The complete serving configuration written by operators. */
export interface ServingConfiguration {
  /** Increases with each change, not necessarily by one. */
  version: number;
  routes: readonly Route[];
  services: readonly ServingService[];
  /** Absent if callers need no API keys. */
  workspaces?: readonly ServingWorkspace[];
  limits: CallerLimits;
}
