/**
 * Tracks backend servers that have refused a request and named a time for which this process is to send
 * them nothing: their cooldown.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A server that asks for more is tried again after this time, in case it is an error. */
const MAX_COOLDOWN_MS: Milliseconds = 3_600_000;

/**
 * The cooldowns in force, by server id. Mutable; has a single owner.
 *
 * A cooldown also holds for a process that starts again under the id, since an overloaded server that
 * crashed needs it at least as much.
 */
export class CooldownTable {
  private readonly endsAt = new Map<string, Milliseconds>();

  /** Starts a cooldown of `forMs` at `now`. A shorter one does not end a longer one. */
  start(server: string, forMs: Milliseconds, now: Milliseconds): void {
    this.dropEnded(now);
    const endsAt = now + Math.min(forMs, MAX_COOLDOWN_MS);
    if (endsAt > now + this.leftMs(server, now)) this.endsAt.set(server, endsAt);
  }

  /** Time until the server may get requests again; 0 if it is not in a cooldown. */
  leftMs(server: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.endsAt.get(server) ?? now) - now);
  }

  private dropEnded(now: Milliseconds): void {
    for (const [server, endsAt] of this.endsAt) if (endsAt <= now) this.endsAt.delete(server);
  }
}
