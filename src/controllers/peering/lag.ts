/**
 * Telling a gateway that is late from one whose news are on their way.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A peer is this long ahead before its news are fetched: usually they are on their way already. */
const LATE_AFTER_MS: Milliseconds = 350;

/** Version and revision of a gateway that has heard of none since its start. */
const NOTHING = 0;

/** What a gateway has in force. */
export interface Versions {
  configurationVersion: number;
  fleetRevision: number;
}

/** How long one of the two has been behind without any news of its own. */
class Lag {
  private since: Milliseconds | undefined;
  private at: number | undefined;

  constructor(private readonly lateAfterMs: Milliseconds) {}

  /**
   * Whether `own` has stood still for too long below `known`. One that has nothing is late at once:
   * it refuses all callers, and the store's news, 20 ms after a start, come before any of a peer's.
   */
  isLate(own: number, known: number, now: Milliseconds): boolean {
    if (own === NOTHING) return known > NOTHING;
    if (own !== this.at) this.since = undefined;
    this.at = own;
    if (known <= own) {
      this.since = undefined;
      return false;
    }
    this.since ??= now;
    return now - this.since >= this.lateAfterMs;
  }
}

/**
 * The lag of one gateway. Changed in place, owned by one shell.
 *
 * Guards against a connection to the store that has gone silent: nothing ends it, and news of the
 * backend servers, which come another way, must not hide that the configuration stands still.
 */
export class LagTracker {
  private readonly configuration: Lag;
  private readonly fleet = new Lag(LATE_AFTER_MS);

  /**
   * Guards against a gateway that waits for its turn to read the configuration counting as late: it
   * would fetch each version from a peer, and follow the store itself for seconds after it.
   */
  constructor(configurationReadEveryMs: Milliseconds) {
    this.configuration = new Lag(LATE_AFTER_MS + configurationReadEveryMs);
  }

  /** Whether `own` is late against the newest that others know; to be asked in every round. */
  isLate(own: Versions, known: Versions, now: Milliseconds): boolean {
    const isConfigurationLate = this.configuration.isLate(
      own.configurationVersion,
      known.configurationVersion,
      now,
    );
    const isFleetLate = this.fleet.isLate(own.fleetRevision, known.fleetRevision, now);
    return isConfigurationLate || isFleetLate;
  }
}
