/**
 * Reports of requests under which backend servers end, on their way through digests.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestReport } from '../quarantine/index.js';
import type { Digest } from './types.js';

/** All reports in a digest, those of whom its sender speaks for included. */
export function collectReports({ reports = [], summaries = [] }: Digest): RequestReport[] {
  const told = summaries.flatMap(({ reports: passed = [], ageMs }) => ageReports(passed, ageMs));
  return [...reports, ...told];
}

/** The reports as they are after `passedMs`. */
export function ageReports(
  reports: readonly RequestReport[],
  passedMs: Milliseconds,
): RequestReport[] {
  return reports.map((report) => ({ ...report, ageMs: Math.round(report.ageMs + passedMs) }));
}
