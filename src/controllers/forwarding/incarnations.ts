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
}

/** Longer than any request or suspicion of a life outlasts its entry; later there is nothing to tell apart. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

/** The life that each id stands for. Changed in place, owned by one shell. */
export class LifeTable {
  private readonly lives = new Map<string, KnownLife>();
  /** Those whose entries are not there, since when. */
  private readonly absent = new Map<string, Milliseconds>();

  /** Takes what has changed of the servers; returns the ids under which another life has begun. */
  update(
    changed: Iterable<string>,
    servers: ReadonlyMap<string, BackendServer>,
    now: Milliseconds,
  ): string[] {
    const restarted: string[] = [];
    for (const id of changed) {
      const server = servers.get(id);
      if (server === undefined) this.absent.set(id, now);
      else if (this.takePresent(server, now)) restarted.push(id);
    }
    for (const [id, at] of this.absent) {
      if (now - at <= FORGET_AFTER_MS) continue;
      this.absent.delete(id);
      this.lives.delete(id);
    }
    return restarted;
  }

  /** Whether another life has begun. */
  private takePresent({ id, startedAt }: BackendServer, now: Milliseconds): boolean {
    this.absent.delete(id);
    const known = this.lives.get(id);
    if (known !== undefined && known.startedAt === startedAt) return false;
    const since = known === undefined ? Number.NEGATIVE_INFINITY : now;
    this.lives.set(id, { startedAt, since });
    return known !== undefined;
  }

  /** When the life under `id` was first seen here, if another one was known before it. */
  since(id: string): Milliseconds {
    return this.lives.get(id)?.since ?? Number.NEGATIVE_INFINITY;
  }
}
