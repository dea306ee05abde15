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
  /** Present if the report is that the server is cold for this long, and of no limit that it names. */
  coldForMs: z.number().nonnegative().exactOptional(),
});

export type LimitReport = z.infer<typeof limitReportSchema>;

/** The reports with their ages increased by `elapsedMs`. */
export function ageLimitReports(
  reports: readonly LimitReport[],
  elapsedMs: Milliseconds,
): LimitReport[] {
  return reports.map((report) => ({ ...report, ageMs: Math.round(report.ageMs + elapsedMs) }));
}

/** Returns the newest report of each server, of its limit and of its being cold. */
export function newestLimitReports(reports: readonly LimitReport[]): LimitReport[] {
  const newest = new Map<string, LimitReport>();
  for (const report of reports) {
    const key = `${report.coldForMs === undefined ? 'limit' : 'cold'} ${report.server}`;
    const other = newest.get(key);
    if (other === undefined || report.ageMs < other.ageMs) newest.set(key, report);
  }
  return [...newest.values()];
}
