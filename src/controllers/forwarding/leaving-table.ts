/**
 * Tracks backend servers that have said in an answer that they are shutting down. Their entries in the
 * store may show it later, or never.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

/** One run of a server, see `BackendServer.startedAt`. */
export type ServerRun = Pick<BackendServer, 'id' | 'startedAt'>;

interface LeavingRun {
  startedAt: number | undefined;
  recordedAt: Milliseconds;
}

/** A server that still runs after this time is tried again, in case its answer was wrong. */
const RETENTION_MS: Milliseconds = 3_600_000;

/**
 * The runs that are leaving. Mutable; has a single owner.
 *
 * They are kept when the server's entry disappears, since it may come back while the server still runs.
 */
export class LeavingTable {
  private readonly runs = new Map<string, LeavingRun[]>();

  /** Records a leaving run; returns false if it is known already. */
  record(run: ServerRun, now: Milliseconds): boolean {
    this.dropOld(now);
    if (this.isLeaving(run)) return false;
    const { id, startedAt } = run;
    this.runs.set(id, [...(this.runs.get(id) ?? []), { startedAt, recordedAt: now }]);
    return true;
  }

  isLeaving({ id, startedAt }: ServerRun): boolean {
    return this.runs.get(id)?.some((run) => run.startedAt === startedAt) ?? false;
  }

  private dropOld(now: Milliseconds): void {
    for (const [id, runs] of this.runs) {
      const kept = runs.filter(({ recordedAt }) => now - recordedAt < RETENTION_MS);
      if (kept.length > 0) this.runs.set(id, kept);
      else this.runs.delete(id);
    }
  }
}
