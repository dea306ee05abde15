/**
 * What the parts of one entry are given when the entry is put together.
 */
import type { Callers } from '../adapters/callers/index.js';
import type { Engines } from '../adapters/engines/types.js';
import type { PeerServer } from '../adapters/peers/index.js';
import type { Platform } from '../adapters/platform/types.js';
import type { Board, BoardWriters } from '../board/index.js';
import type { OnceCalls } from '../controllers/calls/index.js';
import type { Clock } from '../core/clock/index.js';
import type { Logger } from '../core/logger/index.js';
import type { Random } from '../core/random/index.js';
import type { EntrySettings } from '../core/settings/index.js';
import type { ConfigurationPart } from './configuration/index.js';
import type { HealthPart } from './health/index.js';
import type { Limits } from './limits/index.js';
import type { MembershipPart } from './membership/index.js';
import type { ReplicasPart } from './replicas/index.js';
import type { Requests } from './requests/index.js';

/** Which entry this is; a restart has another incarnation. */
export interface EntryIdentity {
  name: string;
  incarnation: string;
  /** `host:port` for callers. */
  address: string;
  /** `host:port` for the other entries. */
  peerAddress: string;
  region: string;
  failureDomain: string;
}

/** Built once at the rim and passed to every part. */
export interface EntryContext {
  identity: EntryIdentity;
  settings: EntrySettings;
  board: Board;
  writers: BoardWriters;
  clock: Clock;
  random: Random;
  logger: Logger;
  platform: Platform;
  engines: Engines;
}

/** A part of the entry that runs on its own: a loop that feeds a decision and performs its actions. */
export interface Part {
  start(): void;
  /** Ends its loops; resolves when none of its calls is under way. */
  stop(): Promise<void>;
}

/** Something that holds connections. */
export interface Closable {
  close(): Promise<void>;
}

/** The parts of one running entry, and how far its stop has come. */
export interface EntryParts {
  configuration: ConfigurationPart;
  membership: MembershipPart;
  health: HealthPart;
  limits: Limits;
  replicas: ReplicasPart;
  onceCalls: OnceCalls & Part;
  requests: Requests;
  callers: Callers;
  /** Whatever holds connections to others. */
  clients: readonly Closable[];
  peerServer: PeerServer;
  /** The entry has been told to stop: the balancer and the other entries are to know. */
  isLeaving: boolean;
  stopped?: Promise<void>;
}

/** An entry that listens. */
export interface RunningEntry {
  /** `host:port` each. */
  callersAddress: string;
  operatorsAddress?: string;
  peersAddress: string;
  /** Finishes what is in flight, then ends. */
  stop(): Promise<void>;
}
