/**
 * Input and result of the drain check.
 */
import type { Peer } from '../../board/index.js';
import type { SummaryRecord } from '../membership/index.js';

/** What this entry knows about a target that is to be stopped: an instance or a replica. */
export interface DrainInput {
  target: string;
  /** This entry, which already knows about the drain. */
  self: { name: string; failureDomain: string; inFlight: number };
  /** All entries that may still send requests: those on the platform's list and those heard recently. */
  entries: readonly DrainEntry[];
  peers: ReadonlyMap<string, Peer>;
  /** Summaries of other failure domains whose entries are not known individually. */
  summaries: readonly SummaryRecord[];
  /** Number of requests in flight reported by the target; undefined without a report. */
  reported: number | undefined;
}

/** An entry that may still send requests to the target. */
export interface DrainEntry {
  name: string;
  failureDomain: string;
}

/** A reason why a target can't be stopped yet. */
export type DrainBlocker =
  | { kind: 'inFlight'; entry: string; count: number }
  /** The entry has not confirmed the drain, or is not heard. */
  | { kind: 'unconfirmed'; entry: string }
  /** The target has requests in flight, or has not reported their number. */
  | { kind: 'target'; count?: number };

export type DrainEvaluation = { kind: 'safe' } | { kind: 'waiting'; holders: DrainBlocker[] };
