/**
 * Determines whether this entry's configuration is current enough to serve callers.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** The information from which readiness is determined. Times are negative infinity if unknown. */
export interface ReadinessInput {
  startedAt: Milliseconds;
  /** When the platform last confirmed the configuration. */
  platformConfirmedAt: Milliseconds;
  /** When another entry was last heard. */
  peerHeardAt: Milliseconds;
  /** Whether the configuration of an entry that was ready is in force here. */
  caughtUp: boolean;
  /** Whether other entries are known from the settings or the platform's list. */
  hasPeers: boolean;
  revision: number;
  /** Time without contact to the platform and peers after which the entry counts as isolated. */
  isolationMs: Milliseconds;
  /** How long a starting entry waits for a ready peer if the platform has answered. */
  startupMs: Milliseconds;
}

export type Readiness = { kind: 'ready' } | { kind: 'notReady'; reason: string };

/**
 * Returns the readiness of this entry with regard to its configuration.
 *
 * The platform may answer from an outdated copy, so a starting entry first catches up with a ready
 * peer and relies on the platform alone only if no peer answers. An isolated entry is not ready,
 * because its configuration may have been replaced.
 */
export function evaluateReadiness(input: ReadinessInput, now: Milliseconds): Readiness {
  const { platformConfirmedAt, peerHeardAt, revision, caughtUp, hasPeers } = input;
  const hasPlatformAnswered = platformConfirmedAt > Number.NEGATIVE_INFINITY;
  if (!hasPlatformAnswered && revision === 0) return notReady('it has no configuration yet');
  const mayStartAlone =
    hasPlatformAnswered && (!hasPeers || now - input.startedAt >= input.startupMs);
  if (!caughtUp && !mayStartAlone) return notReady('it has not caught up with another entry yet');
  if (now - Math.max(platformConfirmedAt, peerHeardAt) > input.isolationMs) {
    return notReady('it has no contact to the platform or any other entry');
  }
  return { kind: 'ready' };
}

function notReady(reason: string): Readiness {
  return { kind: 'notReady', reason };
}

/** Fraction of the isolation time after which the platform is probed. */
const PROBE_FRACTION = 1 / 3;

/**
 * Whether to probe the platform because nothing was heard for a while. A pending watch doesn't show
 * whether the platform is still reachable.
 */
export function shouldProbePlatform(
  lastContactAt: Milliseconds,
  isolationMs: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - lastContactAt > isolationMs * PROBE_FRACTION;
}
