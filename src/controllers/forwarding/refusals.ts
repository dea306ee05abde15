/**
 * Remembers which servers have just refused a request unrun, so that the next requests go elsewhere.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

/** Why a server refused: it no longer heads its replica, or has no free slot. */
export type RefusalKind = 'moved' | 'full';

interface Refusal {
  /** The entry by which the request was sent. */
  server: BackendServer;
  until: Milliseconds;
}

/**
 * A head that has moved is avoided until its entry changes. The limit lets it be used again if the entry
 * was right after all.
 */
const MOVED_MS: Milliseconds = 3_000;
/** With 24 slots that are free again after about a second each, a slot is free after some 40 ms. */
const FULL_MS: Milliseconds = 100;
/** HTTP status by which a server refuses a request that is meant for another one. */
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

/** The reason of a refusal with `status`; undefined if it tells nothing of the next requests. */
export function refusalKindOf(status: number): RefusalKind | undefined {
  if (status === STATUS_MISDIRECTED) return 'moved';
  return status === STATUS_UNAVAILABLE ? 'full' : undefined;
}

/** Recent refusals by server. Mutable; has a single owner. */
export class RefusalTable {
  private readonly refusals = new Map<string, Refusal>();

  record(server: BackendServer, kind: RefusalKind, now: Milliseconds): void {
    const until = now + (kind === 'moved' ? MOVED_MS : FULL_MS);
    const known = this.refusals.get(server.id);
    if (known?.server === server && known.until >= until) return;
    this.refusals.set(server.id, { server, until });
  }

  /** Whether a request that is sent by the entry `server` would probably be refused. */
  isRefusing(server: BackendServer, now: Milliseconds): boolean {
    const known = this.refusals.get(server.id);
    if (known === undefined) return false;
    if (known.server === server && now < known.until) return true;
    this.refusals.delete(server.id);
    return false;
  }

  get isEmpty(): boolean {
    return this.refusals.size === 0;
  }

  forget(server: string): void {
    this.refusals.delete(server);
  }
}
