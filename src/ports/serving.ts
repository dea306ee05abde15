/**
 * One accepted version of the serving configuration, as a single value.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** How often a request of a route may run. */
export type Repeatability =
  /** May run any number of times. */
  | 'safe'
  /** Runs at most once. */
  | 'once'
  /** A stream of events; it may run again when the route allows resuming. */
  | 'stream';

/** A service that a route sends to, with its share of the route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Which requests go where, and what may be done with them. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  /** At least one; the weights are relative to their sum. */
  targets: readonly RouteTarget[];
  repeatability: Repeatability;
  /** A stream of this route may go on at another backend server from its last event. */
  resumable: boolean;
  /** Backend servers that one request may run at. */
  maxAttempts: number;
  /** Longest time that a caller is kept waiting. */
  timeoutMs: Milliseconds;
  /** Time to the answer, or to its first event, that the operator aims at. */
  targetMs: Milliseconds;
  /** Longest pause between two events that the operator aims at; absent for plain answers. */
  targetPauseMs?: Milliseconds;
  /** Rank; 0 goes first. */
  priority: number;
  /** Callers need no key. */
  anonymous: boolean;
}

/** A model that a replica of several instances serves. */
export interface GroupModel {
  name: string;
  /** Instances of one replica. */
  size: number;
  /** Factor on all processing times of a replica. */
  pace: number;
  /** Part of the instances that should serve it while no demand has been measured, 0 to 1. */
  share: number;
  /** Loading of the weights from the weight store. */
  loadMs: Milliseconds;
  /** Loading of the weights from the instance's own host. */
  warmMs: Milliseconds;
}

/** What is known of the engines of one service. */
export interface EngineProfile {
  models: readonly GroupModel[];
  /** Requests that one replica works on at once. */
  slots: number;
  /** Generation steps between two visits of the scheduler; an event holds the tokens of one visit. */
  stride: number;
  /** Time of one generation step, without its requests. */
  stepMs: Milliseconds;
  /** Added to a step by each request that generates. */
  stepPerRequestMs: Milliseconds;
  /** Prompt tokens read in one millisecond. */
  promptTokensPerMs: number;
  /** Prompt tokens read at most in one step. */
  promptChunk: number;
  /** Loads that run at full speed together. */
  loadsAtOnce: number;
  /** Loads that may begin in one second. */
  loadsPerSecond: number;
  /** From the order to open until a replica serves. */
  formMs: Milliseconds;
}

/** A named set of backend servers. */
export interface ServingService {
  name: string;
  /** Connections that one backend server accepts from all callers together. */
  maxConnections: number;
  /** Present when the backend servers are engines that form replicas. */
  engine?: EngineProfile;
}

/** Who may call: the holder of one of the keys. */
export interface ServingWorkspace {
  name: string;
  keys: readonly string[];
  /** Goes before the priority of the route. */
  priority?: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: Milliseconds;
  /** Callers may use a connection again until it has been idle this long. */
  idleTimeoutMs: Milliseconds;
}

/** Everything that operators decide about serving. */
export interface ServingConfiguration {
  /** Grows with each change, not always by one. */
  version: number;
  routes: readonly Route[];
  services: readonly ServingService[];
  /** Absent when callers need no keys. */
  workspaces?: readonly ServingWorkspace[];
  limits: CallerLimits;
}
