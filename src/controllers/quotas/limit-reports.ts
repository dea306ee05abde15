/**
 * Reports in which gateways tell each other the limits that backend servers name.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';

/** One gateway's newest observation of one server. */
export const limitReportSchema = z.object({
  server: z.string(),
  /** Requests per second of all gateways together; null if the server no longer names a limit. */
  perSecond: z.number().nonnegative().nullable(),
  ageMs: z.number().nonnegative(),
});

export type LimitReport = z.infer<typeof limitReportSchema>;

/** The reports with their ages increased by `elapsedMs`. */
export function ageLimitReports(
  reports: readonly LimitReport[],
  elapsedMs: Milliseconds,
): LimitReport[] {
  return reports.map((report) => ({ ...report, ageMs: Math.round(report.ageMs + elapsedMs) }));
}

/** Returns the newest report of each server. */
export function newestLimitReports(reports: readonly LimitReport[]): LimitReport[] {
  const newest = new Map<string, LimitReport>();
  for (const report of reports) {
    const other = newest.get(report.server);
    if (other === undefined || report.ageMs < other.ageMs) newest.set(report.server, report);
  }
  return [...newest.values()];
}
