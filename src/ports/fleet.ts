/**
 * Backend servers, as described by the entries that they write to the object store.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** State of an instance in its replica. `broken`: members were missing for too long. */
export type MembershipState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** The replica that an instance reports to be a member of. */
export interface GroupMembership {
  group: string;
  /** Increases each time a replica is formed in the fabric domain; engines refuse outdated epochs. */
  epoch: number;
  /** Position among the members; requests go to rank 0, the head. */
  rank: number;
  state: MembershipState;
}

/** One run of a backend server process. A restarted server may have the same id. */
export interface BackendServer {
  id: string;
  service: string;
  /** `host:port`; may be reused by another server after this one has ended. */
  address: string;
  failureDomain: string;
  /** Maximum number of concurrent requests. */
  slots: number;
  /** Receives no new requests: it is shutting down, or its entry is currently invalid. */
  leaving: boolean;
  /**
   * Start time in Unix milliseconds, by the server's own clock. Identifies a run together with the
   * id. Compare for equality only: the higher of two values isn't necessarily the newer run. Absent
   * if the server doesn't report it.
   */
  startedAt?: number;
  /** How much longer the server is cold, by its last entry; absent if the entry does not say. */
  coldForMs?: Milliseconds;
  /** Store revision of the entry that this was read from. */
  entryRevision?: number;
  /** Present only for engines. */
  engine?: EngineState;
}

/** State that an engine reports in its entry, and what has been derived from earlier entries. */
export interface EngineState {
  fabricDomain: string;
  /** Models whose weights are stored on the engine's host. */
  staged: readonly string[];
  /** The model that the engine has loaded for its replica, if any. */
  model?: string;
  /**
   * The model of the last replica in which the engine was ready since its start, also after it has
   * left that replica. Joining another replica of this model takes less time than a warm load. Not
   * reported by the engine, but derived from its earlier entries.
   */
  lastModel?: string;
  membership?: GroupMembership;
}
