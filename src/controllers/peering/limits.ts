/**
 * Reports in digests of the rates that backend servers name.
 */
import { ageLimitReports, type LimitReport } from '../quotas/index.js';
import type { Digest } from './types.js';

/** All limit reports in a digest, including those in its domain summaries. */
export function collectLimitReports({ limits = [], summaries = [] }: Digest): LimitReport[] {
  const forwarded = summaries.flatMap(({ limits: summarized = [], ageMs }) =>
    ageLimitReports(summarized, ageMs),
  );
  return [...limits, ...forwarded];
}
