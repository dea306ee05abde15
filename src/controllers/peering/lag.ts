/**
 * Detects a gateway whose state lags behind that of its peers.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Time allowed for an update to arrive on the regular path. */
const LAG_TOLERANCE_MS: Milliseconds = 350;

/** Version or revision of a gateway that has received none since its start. */
const NO_VERSION = 0;

/** Versions of the state that a gateway has applied. */
export interface Versions {
  configurationVersion: number;
  fleetRevision: number;
}

/** Measures how long one version has been behind without advancing. */
class LagTimer {
  private behindSince: Milliseconds | undefined;
  private lastSeen: number | undefined;

  constructor(private readonly toleranceMs: Milliseconds) {}

  /**
   * Whether `own` has been below `newest` for too long without advancing. A gateway without any state
   * is late at once, because it has to refuse all requests.
   */
  isLate(own: number, newest: number, now: Milliseconds): boolean {
    if (own === NO_VERSION) return newest > NO_VERSION;
    if (own !== this.lastSeen) this.behindSince = undefined;
    this.lastSeen = own;
    if (newest <= own) {
      this.behindSince = undefined;
      return false;
    }
    this.behindSince ??= now;
    return now - this.behindSince >= this.toleranceMs;
  }
}

/**
 * Tracks the lag of one gateway. Mutable, with a single owner.
 *
 * Configuration and fleet are tracked separately: if a store connection hangs, one of them may stop
 * advancing while the other is still updated.
 */
export class LagTracker {
  private readonly configuration: LagTimer;
  private readonly fleet = new LagTimer(LAG_TOLERANCE_MS);

  /** A gateway that is waiting for its next scheduled read of the configuration is not late. */
  constructor(configurationReadIntervalMs: Milliseconds) {
    this.configuration = new LagTimer(LAG_TOLERANCE_MS + configurationReadIntervalMs);
  }

  /** Whether `own` lags behind the `newest` versions of the peers. Has to be called on every tick. */
  isLate(own: Versions, newest: Versions, now: Milliseconds): boolean {
    const isConfigurationLate = this.configuration.isLate(
      own.configurationVersion,
      newest.configurationVersion,
      now,
    );
    const isFleetLate = this.fleet.isLate(own.fleetRevision, newest.fleetRevision, now);
    return isConfigurationLate || isFleetLate;
  }
}
