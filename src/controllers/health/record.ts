/**
 * Updates the health record of one backend server after an event. Each function returns the new
 * value for the board's `health` section, given the previous one.
 *
 * Times are of this process's clock. A report is dated by when it was requested, not when it
 * arrived, so that a slow response is never considered fresh.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

const NEVER = Number.NEGATIVE_INFINITY;

/**
 * Records `report`, returned by a probe sent at `askedAt`.
 *
 * Only a report requested after the last failure clears the failing state: the response to a probe
 * that was in flight when a request failed says nothing about the time after the failure.
 *
 * @example health = recordReport(health, report, askedAt);
 */
export function recordReport(
  previous: InstanceHealth | undefined,
  report: EngineReport,
  askedAt: Milliseconds,
): InstanceHealth {
  if (previous !== undefined && previous.heardAt > askedAt) return previous;
  const updated: InstanceHealth = { report, heardAt: askedAt };
  const failedAt = previous?.failedAt;
  if (previous?.failingSince === undefined || failedAt === undefined) return updated;
  if (askedAt > failedAt) return updated;
  return { ...updated, failingSince: previous.failingSince, failedAt };
}

/**
 * Records a report relayed by a peer. Its age is at most `ageMs` plus `maxExtraAgeMs`, which is the
 * age assumed.
 */
export function recordRelayedReport(
  previous: InstanceHealth | undefined,
  report: EngineReport,
  ageMs: Milliseconds,
  maxExtraAgeMs: Milliseconds,
  now: Milliseconds,
): InstanceHealth {
  return recordReport(previous, report, now - ageMs - maxExtraAgeMs);
}

/**
 * Records a probe or request that failed at `now`. The replica is out of service until a later
 * report shows that the instance has recovered.
 */
export function recordFailure(
  previous: InstanceHealth | undefined,
  now: Milliseconds,
): InstanceHealth {
  const base = previous ?? { heardAt: NEVER };
  return { ...base, failingSince: base.failingSince ?? now, failedAt: now };
}

/**
 * Records a response of a plain service at `now`. Since services are not probed, responses are what
 * clears their failing state.
 */
export function recordResponse(now: Milliseconds): InstanceHealth {
  return { heardAt: now };
}

/** Records a failure that a peer reported `ageMs` ago; ignored if a later report is known. */
export function recordRelayedFailure(
  previous: InstanceHealth | undefined,
  ageMs: Milliseconds,
  now: Milliseconds,
): InstanceHealth {
  const failedAt = now - ageMs;
  if (previous !== undefined && previous.heardAt >= failedAt) return previous;
  if (previous?.failedAt !== undefined && previous.failedAt >= failedAt) return previous;
  return recordFailure(previous, failedAt);
}
