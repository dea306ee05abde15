/**
 * Types of the board's sections. Timestamps are those of this process's clock.
 */
import type { EngineLoad, EngineReport } from '../adapters/engines/protocol.js';
import type { Milliseconds } from '../core/clock/index.js';
import type { DomainPlan, Instance, Model, Policy, Service, Workspace } from '../objects/index.js';
import type { Section, WritableSection } from './section.js';

/** A value and the platform's revision at which it last changed. */
export interface Versioned<Value> {
  version: number;
  value: Value;
}

/** The operators' configuration as applied at this entry. Written by `configuration`. */
export interface Configuration {
  /** Platform revision up to which all changes are applied; 0 initially. */
  revision: number;
  models: ReadonlyMap<string, Versioned<Model>>;
  services: ReadonlyMap<string, Versioned<Service>>;
  workspaces: ReadonlyMap<string, Versioned<Workspace>>;
  policy: Policy;
  /** Objects whose latest version is invalid; their previous version remains in effect. */
  rejected: readonly RejectedObject[];
  /** When the platform or a peer last confirmed that the configuration is current. */
  confirmedAt: Milliseconds;
}

export interface RejectedObject {
  kind: string;
  name: string;
  version: number;
  reason: string;
}

/** The platform's instance list and the set of leaving instances. Written by `membership`. */
export interface Fleet {
  revision: number;
  instances: ReadonlyMap<string, Instance>;
  /** Backend servers that get no new work, as reported by the list, the server itself or a peer. */
  leaving: ReadonlySet<string>;
}

/** Plans by fabric domain name. Written by `replicas`. */
export type Plans = ReadonlyMap<string, Versioned<DomainPlan>>;

/** Health of one backend server. */
export interface InstanceHealth {
  /** Latest report of an engine; absent for plain services and before the first report. */
  report?: EngineReport;
  /** When the last successful report was received, minus its age if a peer forwarded it. */
  heardAt: Milliseconds;
  /** When the first request or probe failed since the last successful report; absent if none has. */
  failingSince?: Milliseconds;
  /** Time of the latest failure; only a report requested after it clears the failing state. */
  failedAt?: Milliseconds;
}

/** Health by instance name. Written by `health`. */
export type Health = ReadonlyMap<string, InstanceHealth>;

/** Reported load of one replica. */
export interface ReplicaLoad {
  load: EngineLoad;
  /** Time of measurement: time of receipt minus the reported age. */
  measuredAt: Milliseconds;
}

/** Load by replica id. Written by `health`, which receives the engines' reports. */
export type Load = ReadonlyMap<string, ReplicaLoad>;

/** State of another entry. */
export interface Peer {
  name: string;
  incarnation: string;
  address: string;
  failureDomain: string;
  heardAt: Milliseconds;
  /** Configuration revision that the peer has applied. */
  configurationRevision: number;
  /** Whether the peer's watch requests to the platform are answered; absent if unknown. */
  platform?: 'reached' | 'unreached' | 'unwatched';
  ready: boolean;
  stopping: boolean;
  /** The peer's in-flight requests for each leaving instance or draining replica. */
  draining: readonly InFlightCount[];
  /** Requests that the peer sent to each replica in the last digest period. */
  sent: readonly SentCount[];
  /** The peer's demand on each workspace's fleet-wide limits. */
  demands: readonly WorkspaceDemand[];
}

/** Number of requests in flight to `target`, an instance or a replica. */
export interface InFlightCount {
  target: string;
  count: number;
}

/** Requests and tokens sent to one replica. */
export interface SentCount {
  replica: string;
  requests: number;
  promptTokens: number;
  outputTokens: number;
}

/** Demand of one workspace at one entry in the last digest period. */
export interface WorkspaceDemand {
  workspace: string;
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrentRequests: number;
}

/** The other entries by name. Written by `membership`. */
export type Peers = ReadonlyMap<string, Peer>;

/** This entry's share of a workspace's fleet-wide limits. */
export interface WorkspaceShare {
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrentRequests: number;
  /**
   * From the time `at`, only `share` may be used. Prevents an entry whose process was paused from
   * using limits that have been reassigned to other entries in the meantime.
   */
  lapse?: { at: Milliseconds; share: WorkspaceShare };
}

/** Shares by workspace name. Written by `limits`. */
export type Limits = ReadonlyMap<string, WorkspaceShare>;

/** This entry's in-flight requests and demand. Written by `attempts`. */
export interface Attempts {
  /** Number of requests by instance or replica id; absent means none. */
  inFlight: ReadonlyMap<string, number>;
  /** Requests sent since the last digest. */
  sent: readonly SentCount[];
  demands: readonly WorkspaceDemand[];
}

/** Read-only access to all sections. */
export interface Board {
  configuration: Section<Configuration>;
  fleet: Section<Fleet>;
  plans: Section<Plans>;
  health: Section<Health>;
  load: Section<Load>;
  peers: Section<Peers>;
  limits: Section<Limits>;
  attempts: Section<Attempts>;
}

/** Write access to all sections; each section is passed to its single writer. */
export interface BoardWriters {
  configuration: WritableSection<Configuration>;
  fleet: WritableSection<Fleet>;
  plans: WritableSection<Plans>;
  health: WritableSection<Health>;
  load: WritableSection<Load>;
  peers: WritableSection<Peers>;
  limits: WritableSection<Limits>;
  attempts: WritableSection<Attempts>;
}
