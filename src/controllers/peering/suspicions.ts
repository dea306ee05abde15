/**
 * Suspicions of backend servers on their way between gateways.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { ReportedSuspicion } from './types.js';

/** The suspicion after `elapsedMs`; nothing if it is over by then. */
export function ageSuspicion(
  { server, ageMs, leftMs }: ReportedSuspicion,
  elapsedMs: Milliseconds,
): ReportedSuspicion[] {
  const remainingMs = Math.round(leftMs - elapsedMs);
  return remainingMs > 0
    ? [{ server, ageMs: Math.round(ageMs + elapsedMs), leftMs: remainingMs }]
    : [];
}
