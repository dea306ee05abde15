/**
 * Processor time that the process has used.
 */
import { cpuUsage } from 'node:process';
import type { Milliseconds } from '../../core/clock/index.js';

const MICROSECONDS_PER_MS = 1_000;
/** The system is asked no more often, because asking takes processor time too. */
const READ_EVERY_MS: Milliseconds = 1_000;

/** Measures spans of processor time that begin at most a second ago. */
export class ProcessorTime {
  private last = cpuUsage();
  private readAt = Number.NEGATIVE_INFINITY;

  /** Begins a new span if the current one is old. */
  refresh(now: Milliseconds): void {
    if (now - this.readAt < READ_EVERY_MS) return;
    this.last = cpuUsage();
    this.readAt = now;
  }

  /** What was used since the current span began. */
  usedMs(): Milliseconds {
    const { user, system } = cpuUsage(this.last);
    return (user + system) / MICROSECONDS_PER_MS;
  }
}
