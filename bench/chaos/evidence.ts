/**
 * What an observer outside the system saw of one run. Instants are of the wall clock, in
 * milliseconds, as in the journals of the stand-ins.
 */
import type { JournalEntry } from '../../src/stand-ins/platform/index.js';
import type { EngineJournal } from '../../src/stand-ins/engine/index.js';
import type { ServiceJournal } from '../../src/stand-ins/service/index.js';
import type { CallReply, Question, Reply } from '../../features/promises/callers.js';

/** A span in which one start of an engine ran no code. A killed one never runs again. */
export interface DeadSpan {
  instance: string;
  incarnation: string;
  from: number;
  until: number;
}

/** A stream that a caller asked for, and what came of it. */
export interface AskedStream {
  entry: string;
  question: Question;
  reply: Reply;
  startedAt: number;
  endedAt: number;
}

/** A call of a plain service. `marker` is in its body and in no other call's. */
export interface MadeCall {
  entry: string;
  handling: 'once' | 'single';
  marker: string;
  reply: CallReply;
}

/** The configuration that an entry had in force at some moment. */
export interface RevisionSight {
  entry: string;
  at: number;
  revision: number;
  ready: boolean;
}

/** Two changes based on the same version, made through two entries. */
export interface OperatorRace {
  expected: number;
  statuses: readonly number[];
}

/** Everything that the invariants are judged by. */
export interface Evidence {
  streams: AskedStream[];
  calls: MadeCall[];
  dead: DeadSpan[];
  /** By incarnation. */
  engineJournals: Map<string, EngineJournal>;
  serviceJournals: Map<string, ServiceJournal>;
  plans: readonly JournalEntry[];
  revisions: RevisionSight[];
  races: OperatorRace[];
  /** From the end of the faults until everything served again; absent when it never did. */
  recoveryMs?: number;
  /** What was still missing when the wait for recovery was given up. */
  missing?: string;
}

/** Evidence of nothing so far. */
export function createEvidence(): Evidence {
  return {
    streams: [],
    calls: [],
    dead: [],
    engineJournals: new Map(),
    serviceJournals: new Map(),
    plans: [],
    revisions: [],
    races: [],
  };
}
