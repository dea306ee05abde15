/**
 * Types of a running entry: its parts and its public interface.
 */
import type { Callers } from '../adapters/callers/index.js';
import type { Operators } from '../adapters/operators/index.js';
import type { RpcListener } from '../adapters/peers/index.js';
import type { OnceCalls } from '../controllers/calls/index.js';
import type { ConfigurationPart } from './configuration/index.js';
import type { HealthPart } from './health/index.js';
import type { Limits } from './limits/index.js';
import type { MembershipPart } from './membership/index.js';
import type { ReplicasPart } from './replicas/index.js';
import type { Requests } from './requests/index.js';
import type { Part } from './types.js';

/** A client or server that holds connections. */
export interface Closable {
  close(): Promise<void>;
}

/** The parts of one running entry and the state of its shutdown. */
export interface EntryParts {
  configuration: ConfigurationPart;
  membership: MembershipPart;
  health: HealthPart;
  limits: Limits;
  replicas: ReplicasPart;
  onceCalls: OnceCalls & Part;
  requests: Requests;
  callers: Callers;
  operators: Operators;
  /** Clients to close when the entry stops. */
  clients: readonly Closable[];
  peerServer: RpcListener;
  /** Whether a stop was requested; readiness checks then fail. */
  isStopping: boolean;
  /** Resolves when the stop has completed; undefined until one is requested. */
  stopCompleted?: Promise<void>;
}

/** An entry whose listeners are open. */
export interface RunningEntry {
  /** Addresses are of the form `host:port`. */
  callersAddress: string;
  operatorsAddress: string;
  peersAddress: string;
  /** Finishes the requests in flight, then stops the entry. */
  stop(): Promise<void>;
}
