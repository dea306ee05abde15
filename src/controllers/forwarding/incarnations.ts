/**
 * Tracks incarnations of backend servers: successive starts under the same id.
 *
 * A restarted server has no state and no history. Observations of its previous incarnation must not
 * count against it, and requests in flight there must not count as running.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

interface KnownIncarnation {
  startedAt: number | undefined;
  /** When this incarnation was first seen; earlier observations belong to a previous one. */
  since: Milliseconds;
}

/** Exceeds the time that any request or suspicion can outlast its server's entry. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

/** The current incarnation of each server id. Mutable; has a single owner. */
export class IncarnationTable {
  private readonly incarnations = new Map<string, KnownIncarnation>();
  /** Servers without an entry, and the time since when. */
  private readonly absentSince = new Map<string, Milliseconds>();

  /** Applies changed servers; returns the ids of those that restarted. */
  update(
    changed: Iterable<string>,
    servers: ReadonlyMap<string, BackendServer>,
    now: Milliseconds,
  ): string[] {
    const restarted: string[] = [];
    for (const id of changed) {
      const server = servers.get(id);
      if (server === undefined) this.absentSince.set(id, now);
      else if (this.recordPresent(server, now)) restarted.push(id);
    }
    for (const [id, at] of this.absentSince) {
      if (now - at <= FORGET_AFTER_MS) continue;
      this.absentSince.delete(id);
      this.incarnations.delete(id);
    }
    return restarted;
  }

  /** Records a present server; true when it restarted. */
  private recordPresent({ id, startedAt }: BackendServer, now: Milliseconds): boolean {
    this.absentSince.delete(id);
    const known = this.incarnations.get(id);
    if (known !== undefined && known.startedAt === startedAt) return false;
    const since = known === undefined ? Number.NEGATIVE_INFINITY : now;
    this.incarnations.set(id, { startedAt, since });
    return known !== undefined;
  }

  /** When the current incarnation of `id` was first seen; -Infinity if no earlier one is known. */
  since(id: string): Milliseconds {
    return this.incarnations.get(id)?.since ?? Number.NEGATIVE_INFINITY;
  }
}
