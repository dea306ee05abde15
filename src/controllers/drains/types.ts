/**
 * The messages of the drain decision.
 */
import type { Peer } from '../../board/index.js';
import type { SummaryRecord } from '../membership/index.js';

/** What is known of one target that is to be stopped: an instance or a replica. */
export interface DrainQuestion {
  target: string;
  /** This entry itself. It asks, so it knows of the drain. */
  self: { name: string; failureDomain: string; inFlight: number };
  /** Every entry that may still send: those in the platform's list and those heard lately. */
  entries: readonly DrainEntry[];
  peers: ReadonlyMap<string, Peer>;
  /** Of other failure domains, where their entries are not known one by one. */
  summaries: readonly SummaryRecord[];
  /** What the target says is in flight at it; undefined when it has not said, 0 when it says none. */
  reported: number | undefined;
}

export interface DrainEntry {
  name: string;
  failureDomain: string;
}

/** Who keeps a target from being stopped. */
export type DrainHolder =
  | { kind: 'inFlight'; entry: string; count: number }
  /** Has not said yet that it knows of the drain, or is not heard. */
  | { kind: 'unconfirmed'; entry: string }
  /** The target itself has some in flight, or has not said. */
  | { kind: 'target'; count?: number };

export type DrainJudgement = { kind: 'safe' } | { kind: 'waiting'; holders: DrainHolder[] };
