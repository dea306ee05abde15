/**
 * Backend servers as their own entries describe them.
 */

/** How far an instance is in its replica. `broken`: it had members missing for too long. */
export type MembershipState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** The replica that an instance belongs to, by its own word. */
export interface GroupMembership {
  group: string;
  /** Grows with each forming in a fabric domain; engines refuse a lower one than they have seen. */
  epoch: number;
  /** Position among the members; requests go to rank 0, the head. */
  rank: number;
  state: MembershipState;
}

/** One life of a backend server. A restart is another one, which may have the same id. */
export interface BackendServer {
  id: string;
  service: string;
  /** `host:port`; used again by others after its end. */
  address: string;
  failureDomain: string;
  /** Requests that it works on at once. */
  slots: number;
  /** It gets nothing new: it has said that it is about to stop, or its entry can't be read now. */
  leaving: boolean;
  /**
   * Unix millisecond of its start, by its own clock. With the id it names its life; it only tells
   * lives apart, of two the higher need not be the newer. Absent where the server does not say it.
   */
  startedAt?: number;
  /** Absent for services that are no engines. */
  engine?: EngineState;
}

/** What an engine says of itself. */
export interface EngineState {
  fabricDomain: string;
  /** Models whose weights are on its host. */
  staged: readonly string[];
  /** The model of its replica, as far as it is loaded. */
  model?: string;
  /**
   * The model of the last replica that it was ready in since its start. It joins another replica of
   * that model sooner than a warm load takes, also after it has left. Not told by the engine: kept
   * from what it reported before.
   */
  lastModel?: string;
  membership?: GroupMembership;
}
