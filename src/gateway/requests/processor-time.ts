/**
 * Processor time that the process has used.
 */
import { cpuUsage } from 'node:process';
import type { Milliseconds } from '../../core/clock/index.js';

const MICROSECONDS_PER_MS = 1_000;

/** Measures spans of processor time. */
export class ProcessorTime {
  private last = cpuUsage();

  /** What was used since the previous call, or since the start of the measurement. */
  takeMs(): Milliseconds {
    const { user, system } = cpuUsage(this.last);
    this.last = cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
  }
}
