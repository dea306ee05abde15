/**
 * Request reports in digests, which tell whether backend servers ended while handling a request.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestReport } from '../quarantine/index.js';
import type { Digest } from './types.js';

/** All reports in a digest, including those in its domain summaries. */
export function collectReports({ reports = [], summaries = [] }: Digest): RequestReport[] {
  const forwarded = summaries.flatMap(({ reports: summarized = [], ageMs }) =>
    ageReports(summarized, ageMs),
  );
  return [...reports, ...forwarded];
}

/** The reports with their ages increased by `elapsedMs`. */
export function ageReports(
  reports: readonly RequestReport[],
  elapsedMs: Milliseconds,
): RequestReport[] {
  return reports.map((report) => ({ ...report, ageMs: Math.round(report.ageMs + elapsedMs) }));
}
