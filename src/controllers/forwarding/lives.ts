/**
 * Lives of backend servers: the starts under one id, told apart.
 *
 * Guards against what was seen of a former life speaking for or against the next one. A server that
 * starts again under its id holds nothing and has done nothing yet; taken for its former life it
 * would be avoided for failures that are not its own, or be counted on for work that it lost.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

interface KnownLife {
  startedAt: number | undefined;
  /** When it was first seen here; before that, what was seen under its id was another life. */
  since: Milliseconds;
  /** When its entry was last there. */
  seenAt: Milliseconds;
}

/** Longer than any request or suspicion of a life outlasts its entry; later there is nothing to tell apart. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

/** The life that each id stands for. Changed in place, owned by one shell. */
export class LifeTable {
  private readonly lives = new Map<string, KnownLife>();

  /** Takes the servers as they are now; returns the ids under which another life has begun. */
  update(servers: ReadonlyMap<string, BackendServer>, now: Milliseconds): string[] {
    const restarted: string[] = [];
    for (const [id, { startedAt }] of servers) {
      const known = this.lives.get(id);
      if (known?.startedAt === startedAt && known !== undefined) {
        known.seenAt = now;
        continue;
      }
      if (known !== undefined) restarted.push(id);
      const since = known === undefined ? Number.NEGATIVE_INFINITY : now;
      this.lives.set(id, { startedAt, since, seenAt: now });
    }
    for (const [id, { seenAt }] of this.lives) {
      if (!servers.has(id) && now - seenAt > FORGET_AFTER_MS) this.lives.delete(id);
    }
    return restarted;
  }

  /** When the life under `id` was first seen here, if another one was known before it. */
  since(id: string): Milliseconds {
    return this.lives.get(id)?.since ?? Number.NEGATIVE_INFINITY;
  }
}
