/**
 * Reports in which gateways tell each other which servers are slower than usual.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';

/** What one gateway, or those of one failure domain together, have observed of one server. */
export const speedReportSchema = z.object({
  server: z.string().max(256),
  /** Geometric mean of the actual times relative to the usual ones. */
  slowness: z.number(),
  /** Number of observations, weighted by age. */
  count: z.number(),
  /** Time since the count was weighted. */
  ageMs: z.number(),
  /** Observed while nearly all slots of the server were in use. */
  nearFull: z.literal(true).optional(),
});

export type SpeedReport = z.infer<typeof speedReportSchema>;

/** Half-life of observations. Servers are slow for seconds, so older ones say little. */
const SPEED_HALF_LIFE_MS: Milliseconds = 2_000;
/** Most servers that one digest or summary reports. */
const MAX_SPEED_REPORTS = 32;
/** Bounds of a believable slowness; values beyond are clamped. */
const MAX_SLOWNESS = 16;
/** Observations of one source that count at most, so that no source outweighs all others for long. */
const MAX_COUNT = 64;
/** Reports older than this are ignored. */
const MAX_AGE_MS: Milliseconds = 15_000;
const REPORTED_DIGITS = 100;

/** Returns `slowness` within its bounds, or undefined if it is not a positive number. */
export function boundSlowness(slowness: number): number | undefined {
  if (Number.isNaN(slowness) || slowness <= 0) return undefined;
  return Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, slowness));
}

/** Part of its weight that an observation has after `ageMs`. */
export function ageWeight(ageMs: Milliseconds): number {
  return 0.5 ** (Math.max(0, ageMs) / SPEED_HALF_LIFE_MS);
}

/** Returns the report with its values within bounds, or undefined if it is invalid or too old. */
export function boundReport(report: SpeedReport): SpeedReport | undefined {
  const slowness = boundSlowness(report.slowness);
  const { count, ageMs } = report;
  const isValid = count > 0 && ageMs >= 0 && ageMs <= MAX_AGE_MS;
  if (slowness === undefined || !isValid) return undefined;
  return { ...report, slowness, count: Math.min(MAX_COUNT, count) };
}

/** The reports with their ages increased by `elapsedMs`. */
export function ageSpeedReports(
  reports: readonly SpeedReport[],
  elapsedMs: Milliseconds,
): SpeedReport[] {
  return reports.map((report) => ({ ...report, ageMs: Math.round(report.ageMs + elapsedMs) }));
}

/** Adds up the reports of different sources into one per server, of age 0. */
export function mergeSpeedReports(reports: readonly SpeedReport[]): SpeedReport[] {
  const sums = new Map<string, { report: SpeedReport; count: number; logSum: number }>();
  for (const each of reports) {
    const report = boundReport(each);
    if (report === undefined) continue;
    const key = `${report.nearFull ?? ''} ${report.server}`;
    const count = report.count * ageWeight(report.ageMs);
    const known = sums.get(key);
    sums.set(key, {
      report,
      count: (known?.count ?? 0) + count,
      logSum: (known?.logSum ?? 0) + count * Math.log(report.slowness),
    });
  }
  const merged = [...sums.values()].map(({ report, count, logSum }) => ({
    ...report,
    slowness: roundReported(Math.exp(logSum / count)),
    count: roundReported(Math.min(MAX_COUNT, count)),
    ageMs: 0,
  }));
  return limitReports(merged.filter(({ count }) => count > 0));
}

/** Returns the reports with the most evidence of a difference. */
export function limitReports(reports: readonly SpeedReport[]): SpeedReport[] {
  if (reports.length <= MAX_SPEED_REPORTS) return [...reports];
  const evidenceOf = ({ slowness, count }: SpeedReport): number =>
    Math.abs(Math.log(slowness)) * count;
  return [...reports].sort((a, b) => evidenceOf(b) - evidenceOf(a)).slice(0, MAX_SPEED_REPORTS);
}

export function roundReported(value: number): number {
  return Math.round(value * REPORTED_DIGITS) / REPORTED_DIGITS;
}
