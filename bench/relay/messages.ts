/**
 * What the processes of the relay benchmark tell each other.
 */

/** A process by its job. */
export type Role = 'engine' | 'baseline' | 'entry';

/** Sent by a process when it listens. */
export interface Listening {
  kind: 'listening';
  address: string;
}

/** Processor time and memory of a process since its start. */
export interface Usage {
  kind: 'usage';
  cpuMs: number;
  residentBytes: number;
}

export type Report = Listening | Usage;

/** The environment of a process: its job and where the engine listens. */
export const ROLE_VARIABLE = 'RELAY_BENCH_ROLE';
export const ENGINE_VARIABLE = 'RELAY_BENCH_ENGINE';

/** A prompt that the engine answers with one token and then holds open. */
export const HOLD = 'hold';
