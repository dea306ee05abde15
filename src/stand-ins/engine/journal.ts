/**
 * What an engine stand-in did, for an observer outside the system. Instants are of the wall clock,
 * so that journals of several processes on one machine can be compared.
 */
import type { Order } from '../../adapters/engines/index.js';

/** An order as it was received. */
export interface JournaledOrder {
  at: number;
  kind: Order['kind'];
  replica: string;
  fence: number;
  /** `staleObeyed`: old, and obeyed because the engine ignores fencing numbers. */
  outcome: 'obeyed' | 'staleObeyed' | 'refused';
  reason?: string;
}

/** Why an attempt ended. */
export type AttemptEndReason =
  'stop' | 'length' | 'cancelled' | 'disconnected' | 'replicaLost' | 'released' | 'fault';

/** A completion that was accepted. Times are absent until they are known. */
export interface JournaledAttempt {
  attempt: string;
  model: string;
  replica: string;
  fence: number;
  priority: number;
  resumeFrom: number;
  startedAt: number;
  firstTokenAt?: number;
  endedAt?: number;
  end?: AttemptEndReason;
  /** Tokens sent. */
  tokens: number;
}

/** A change of the engine's state. */
export interface JournaledState {
  at: number;
  state: string;
  replica?: string;
  fence: number;
}

/** The newest entries of each kind. */
export interface EngineJournal {
  instance: string;
  incarnation: string;
  orders: readonly JournaledOrder[];
  attempts: readonly JournaledAttempt[];
  states: readonly JournaledState[];
}

const MAX_ENTRIES = 20_000;

/** Adds `entry` and drops the oldest beyond the bound. */
export function journalEntry<Entry>(entries: Entry[], entry: Entry): void {
  entries.push(entry);
  if (entries.length > MAX_ENTRIES) entries.splice(0, MAX_ENTRIES / 10);
}
