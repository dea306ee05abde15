/**
 * What the parts of a gateway share.
 */
import type { Section, WritableSection } from '../board/index.js';
import type { ServingFleet, ServingIndex, StopPlan } from '../controllers/forwarding/index.js';
import type { Proof } from '../controllers/freshness/index.js';
import type { GatewayPeer } from '../controllers/peering/index.js';
import type { Clock, Milliseconds } from '../core/clock/index.js';
import type { Logger } from '../core/logger/index.js';
import type { Random } from '../core/random/index.js';
import type {
  BackendServer,
  OrderDialect,
  RequestDialect,
  ServingConfiguration,
  StoreDialect,
} from '../ports/index.js';
import type { GatewayMetrics } from './operations/metrics.js';
import type { GatewaySettings } from './settings.js';

/** A platform that gateways run on: how its store, engines, callers and configuration are written. */
export interface ServingPlatform {
  store: StoreDialect;
  orders: OrderDialect;
  requests: RequestDialect;
  /** The kind of objects that hold one backend server each. */
  serverKind: string;
  decodeServer(name: string, value: unknown): BackendServer | undefined;
  /** Where the configuration stands. */
  configurationKind: string;
  configurationName: string;
  decodeConfiguration(value: unknown): DecodedConfiguration;
}

/** A configuration as read, or why it can't be. */
export type DecodedConfiguration =
  { kind: 'decoded'; configuration: ServingConfiguration } | { kind: 'invalid'; reason: string };

/** How this gateway stands with the store. */
export interface StoreReachability {
  reachable: boolean;
  /** When that last changed. */
  since: Milliseconds;
}

/** What the other gateways have under way. */
export interface PeerLoad {
  /** Requests, by backend server. */
  byServer: ReadonlyMap<string, number>;
  /** Gateways that live, as far as is known, and whose requests are not counted yet. */
  unheard: number;
  /** It comes over hubs, and is about as old as a request lasts. */
  isLate: boolean;
}

/** Where the parts leave what they know. Each section has one writer. */
export interface GatewayBoard {
  /** The version in force; absent before the first. */
  serving: Section<ServingIndex | undefined>;
  /** Since when the version in force is known to be the newest. */
  configurationProof: Section<Proof | undefined>;
  fleet: Section<ServingFleet>;
  /** Since when what is known of the backend servers is known to be the newest. */
  fleetProof: Section<Proof | undefined>;
  storeContact: Section<StoreReachability>;
  /** By name. */
  peers: Section<ReadonlyMap<string, GatewayPeer>>;
  peerLoad: Section<PeerLoad>;
  /** Absent until the gateway is told to stop. */
  stop: Section<StopPlan | undefined>;
}

/** The writers of all sections, handed out one by one. */
export interface GatewayBoardWriters extends GatewayBoard {
  serving: WritableSection<ServingIndex | undefined>;
  configurationProof: WritableSection<Proof | undefined>;
  fleet: WritableSection<ServingFleet>;
  fleetProof: WritableSection<Proof | undefined>;
  storeContact: WritableSection<StoreReachability>;
  peers: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  peerLoad: WritableSection<PeerLoad>;
  stop: WritableSection<StopPlan | undefined>;
}

/** What every part of a gateway is given. */
export interface GatewayContext {
  settings: GatewaySettings;
  platform: ServingPlatform;
  board: GatewayBoard;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: GatewayMetrics;
  /** One for each start of the process. */
  incarnation: string;
}

/** A part with a life of its own. */
export interface GatewayPart {
  start(): void;
  stop(): Promise<void> | void;
}
