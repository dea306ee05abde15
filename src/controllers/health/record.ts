/**
 * What one event teaches about one backend server. Each function gives the new entry of the
 * board's `health` section from the one before.
 *
 * Instants are of this process's clock and lean to the safe side: a report counts as heard when it
 * was asked for, not when it came, so that a slow answer is never taken for a fresh one.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

const NEVER = Number.NEGATIVE_INFINITY;

/**
 * A probe sent at `askedAt` brought `report`.
 *
 * A probe may have been under way when a request failed; its answer says nothing about the time
 * after the failure. So failing ends only with a report that was asked for after the last failure.
 *
 * @example health = recordReport(health, report, askedAt);
 */
export function recordReport(
  previous: InstanceHealth | undefined,
  report: EngineReport,
  askedAt: Milliseconds,
): InstanceHealth {
  if (previous !== undefined && previous.heardAt > askedAt) return previous;
  const heard: InstanceHealth = { report, heardAt: askedAt };
  const failedAt = previous?.failedAt;
  if (previous?.failingSince === undefined || failedAt === undefined) return heard;
  if (askedAt > failedAt) return heard;
  return { ...heard, failingSince: previous.failingSince, failedAt };
}

/**
 * A peer passed on a report that it heard `ageMs` ago. `transitMs` is the longest time that the
 * peer's message can have been under way; it counts as age.
 */
export function recordPassedReport(
  previous: InstanceHealth | undefined,
  report: EngineReport,
  ageMs: Milliseconds,
  transitMs: Milliseconds,
  now: Milliseconds,
): InstanceHealth {
  return recordReport(previous, report, now - ageMs - transitMs);
}

/**
 * A probe or a request failed at `now`. It counts at once: the replica is out of service until a
 * later report shows the instance well.
 */
export function recordFailure(
  previous: InstanceHealth | undefined,
  now: Milliseconds,
): InstanceHealth {
  const base = previous ?? { heardAt: NEVER };
  return { ...base, failingSince: base.failingSince ?? now, failedAt: now };
}

/**
 * A plain service answered at `now`: it has no probes, so its answers are what ends its failing.
 */
export function recordAnswer(now: Milliseconds): InstanceHealth {
  return { heardAt: now };
}

/** A peer found the instance failing `ageMs` ago; ignored when a later report is known. */
export function recordPassedFailure(
  previous: InstanceHealth | undefined,
  ageMs: Milliseconds,
  now: Milliseconds,
): InstanceHealth {
  const failedAt = now - ageMs;
  if (previous !== undefined && previous.heardAt >= failedAt) return previous;
  if (previous?.failedAt !== undefined && previous.failedAt >= failedAt) return previous;
  return recordFailure(previous, failedAt);
}
