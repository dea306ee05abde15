/**
 * What stands on the board, section by section. Instants are of this process's clock.
 */
import type { EngineLoad, EngineReport } from '../adapters/engines/protocol.js';
import type { Milliseconds } from '../core/clock/index.js';
import type { DomainPlan, Instance, Model, Policy, Service, Workspace } from '../objects/index.js';
import type { Section, WritableSection } from './section.js';

/** A value with the platform's revision of its last change. */
export interface Versioned<Value> {
  version: number;
  value: Value;
}

/** What operators wrote, as it is in force at this entry. Written by `configuration`. */
export interface Configuration {
  /** All changes up to this revision of the platform are in force; 0 before the first. */
  revision: number;
  models: ReadonlyMap<string, Versioned<Model>>;
  services: ReadonlyMap<string, Versioned<Service>>;
  workspaces: ReadonlyMap<string, Versioned<Workspace>>;
  policy: Policy;
  /** Objects whose newest version was not valid: the version before stays in force. */
  rejected: readonly RejectedObject[];
  /** When this entry last heard that its configuration is current, from platform or peer. */
  confirmedAt: Milliseconds;
}

export interface RejectedObject {
  kind: string;
  name: string;
  version: number;
  reason: string;
}

/** The platform's list of instances, plus whom others report to be leaving. Written by `membership`. */
export interface Fleet {
  revision: number;
  instances: ReadonlyMap<string, Instance>;
  /** Backend servers that get no new work: the list, their own word or a peer's, the first to arrive. */
  leaving: ReadonlySet<string>;
}

/** The plan of each fabric domain, by its name. Written by `replicas`. */
export type Plans = ReadonlyMap<string, Versioned<DomainPlan>>;

/** What is known of one backend server. */
export interface InstanceHealth {
  /** The last report of an engine; absent for plain services and before the first. */
  report?: EngineReport;
  /** When the last good report was received here, less its age when a peer passed it on. */
  heardAt: Milliseconds;
  /** When the first request or probe failed since the last good report; absent when none has. */
  failingSince?: Milliseconds;
  /** When the last of these failed: only a report asked for later ends the failing. */
  failedAt?: Milliseconds;
}

/** By instance name. Written by `health`. */
export type Health = ReadonlyMap<string, InstanceHealth>;

/** Load of one replica, by its id, as reported. */
export interface ReplicaLoad {
  load: EngineLoad;
  /** When it was measured: receipt less the reported age. */
  measuredAt: Milliseconds;
}

/** By replica id. Written by `health`, which receives the engines' reports. */
export type Load = ReadonlyMap<string, ReplicaLoad>;

/** What is known of one other entry. */
export interface Peer {
  name: string;
  incarnation: string;
  address: string;
  failureDomain: string;
  heardAt: Milliseconds;
  /** The configuration revision that it has in force. */
  configurationRevision: number;
  /** Whether its own watch of the platform is answered; absent means not known. */
  platform?: 'reached' | 'unreached' | 'unwatched';
  ready: boolean;
  stopping: boolean;
  /** Requests in flight at it, for each leaving instance or draining replica. */
  draining: readonly InFlightCount[];
  /** Requests that it sent to each replica in the last digest period. */
  sent: readonly SentCount[];
  /** What it asks of each workspace's fleet-wide limits. */
  demands: readonly WorkspaceDemand[];
}

/** `target` names an instance or a replica. */
export interface InFlightCount {
  target: string;
  count: number;
}

export interface SentCount {
  replica: string;
  requests: number;
  promptTokens: number;
  outputTokens: number;
}

/** Rates over the last digest period that a workspace asked for at one entry. */
export interface WorkspaceDemand {
  workspace: string;
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrentRequests: number;
}

/** By entry name, without this entry itself. Written by `membership`. */
export type Peers = ReadonlyMap<string, Peer>;

/** The part of one workspace's fleet-wide limits that this entry may use. */
export interface WorkspaceShare {
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrentRequests: number;
  /**
   * From `at` on only `share` may be used. Guards against an entry that was paused and wakes with
   * a share that has been given to others meanwhile.
   */
  lapse?: { at: Milliseconds; share: WorkspaceShare };
}

/** By workspace name. Written by `limits`. */
export type Limits = ReadonlyMap<string, WorkspaceShare>;

/** What this entry has in flight. Written by `attempts`. */
export interface Attempts {
  /** By instance or replica id; absent means none. */
  inFlight: ReadonlyMap<string, number>;
  /** What was sent since the last digest. */
  sent: readonly SentCount[];
  demands: readonly WorkspaceDemand[];
}

/** All sections, for reading. */
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

/** The same sections with the right to write; each is handed to its one writer. */
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
