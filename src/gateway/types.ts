/**
 * Types shared by the components of a gateway.
 */
import type { Section, WritableSection } from '../board/index.js';
import type { Evacuations } from '../controllers/evacuation/index.js';
import type { ServingFleet, ServingIndex, StopPlan } from '../controllers/forwarding/index.js';
import type { Proof } from '../controllers/freshness/index.js';
import type { GatewayPeer } from '../controllers/peering/index.js';
import type { Clock, Milliseconds } from '../core/clock/index.js';
import type { Logger } from '../core/logger/index.js';
import type { Random } from '../core/random/index.js';
import type { Ticker } from '../core/ticker/index.js';
import type {
  BackendServer,
  OrderCodec,
  RequestCodec,
  ServingConfiguration,
  StoreCodec,
} from '../ports/index.js';
import type { GatewayMetrics } from './operations/metrics.js';
import type { GatewaySettings } from './settings.js';

/** Adapter of a platform: encodings of its store, engines, requests and configuration. */
export interface ServingPlatform {
  store: StoreCodec;
  orders: OrderCodec;
  requests: RequestCodec;
  /** Kind of the store objects that describe one backend server each. */
  serverKind: string;
  decodeServer(name: string, value: unknown): BackendServer | undefined;
  /** Kind and name of the store object that holds the configuration. */
  configurationKind: string;
  configurationName: string;
  decodeConfiguration(value: unknown): DecodedConfiguration;
  /** Kind of the store objects that each name one evacuated failure domain. */
  evacuationKind: string;
}

/** A decoded configuration, or the reason why it is invalid. */
export type DecodedConfiguration =
  { kind: 'decoded'; configuration: ServingConfiguration } | { kind: 'invalid'; reason: string };

/** Whether this gateway reaches the store. */
export interface StoreReachability {
  reachable: boolean;
  /** When `reachable` last changed. */
  since: Milliseconds;
}

/** Requests in flight at the other gateways. */
export interface PeerLoad {
  /** Requests in flight, by backend server. */
  byServer: ReadonlyMap<string, number>;
  /** Number of gateways known to be alive whose requests are not included yet. */
  unheard: number;
  /** The counts are relayed by hubs, and about as old as a request lasts. */
  isLate: boolean;
}

/** State shared between components. Each section has one writer. */
export interface GatewayBoard {
  /** The active configuration; undefined before the first. */
  serving: Section<ServingIndex | undefined>;
  /** Last confirmation that the active configuration is the newest. */
  configurationProof: Section<Proof | undefined>;
  /** The newest version of the configuration that any gateway is known to have active. */
  newestVersion: Section<number>;
  fleet: Section<ServingFleet>;
  /** Last confirmation that the known backend servers are up to date. */
  fleetProof: Section<Proof | undefined>;
  /** Undefined if evacuations are not followed. */
  evacuations: Section<Evacuations | undefined>;
  /** Last confirmation that the known evacuations are up to date. */
  evacuationProof: Section<Proof | undefined>;
  storeReachability: Section<StoreReachability>;
  /** Whether a stored plan says that the gateways have served requests, perhaps before they restarted. */
  hasTraffic: Section<boolean>;
  /** Services whose servers this gateway reaches through other gateways only. */
  cutOffServices: Section<readonly string[]>;
  /** Peers by name. */
  peers: Section<ReadonlyMap<string, GatewayPeer>>;
  /** Other gateways that are not known to be gone, by name, whether they were heard from lately or not. */
  ownerCandidates: Section<ReadonlyMap<string, GatewayPeer>>;
  peerLoad: Section<PeerLoad>;
  /** Undefined until the gateway is told to stop. */
  stop: Section<StopPlan | undefined>;
}

/** Writable view of the board; each component receives only the sections that it writes. */
export interface GatewayBoardWriters extends GatewayBoard {
  serving: WritableSection<ServingIndex | undefined>;
  configurationProof: WritableSection<Proof | undefined>;
  newestVersion: WritableSection<number>;
  fleet: WritableSection<ServingFleet>;
  fleetProof: WritableSection<Proof | undefined>;
  evacuations: WritableSection<Evacuations | undefined>;
  evacuationProof: WritableSection<Proof | undefined>;
  storeReachability: WritableSection<StoreReachability>;
  hasTraffic: WritableSection<boolean>;
  cutOffServices: WritableSection<readonly string[]>;
  peers: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  ownerCandidates: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  peerLoad: WritableSection<PeerLoad>;
  stop: WritableSection<StopPlan | undefined>;
}

/** Dependencies passed to every component of a gateway. */
export interface GatewayContext {
  settings: GatewaySettings;
  platform: ServingPlatform;
  board: GatewayBoard;
  clock: Clock;
  random: Random;
  /** Runs the periodic work of all components at the same wake-ups. */
  ticker: Ticker;
  logger: Logger;
  metrics: GatewayMetrics;
  /** Identifies this run of the process. */
  incarnation: string;
}

/** A component with its own lifecycle. */
export interface GatewayPart {
  start(): void;
  stop(): Promise<void> | void;
}
