/**
 * Reports in digests of servers that are slower than usual.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { ageSpeedReports, mergeSpeedReports, type SpeedReport } from '../speed/index.js';
import type { Digest } from './types.js';

/** The reports of one gateway, or of those of one failure domain except for the receiver. */
export interface SpeedSource {
  source: string;
  reports: readonly SpeedReport[];
}

/** The sources in a digest. Each replaces what the source reported before, also if it is empty. */
export function collectSpeedSources(digest: Digest): SpeedSource[] {
  const { name, failureDomain, speeds = [], summaries = [] } = digest;
  // The summary of its own failure domain contains the reports of the sender.
  const isSummarized = summaries.some((summary) => summary.failureDomain === failureDomain);
  return [
    { source: `gateway ${name}`, reports: isSummarized ? [] : speeds },
    ...summaries.map((summary) => ({
      source: `domain ${summary.failureDomain}`,
      reports: ageSpeedReports(summary.speeds ?? [], summary.ageMs),
    })),
  ];
}

/** The reports of all gateways of a failure domain but `caller`, summed up by server. */
export function summarizeSpeeds(
  own: Digest,
  received: readonly { digest: Digest; receivedAt: Milliseconds }[],
  now: Milliseconds,
  caller?: Digest,
): SpeedReport[] {
  const others = received.filter(({ digest }) => digest.name !== caller?.name);
  return mergeSpeedReports([
    ...(own.speeds ?? []),
    ...others.flatMap(({ digest, receivedAt }) =>
      ageSpeedReports(digest.speeds ?? [], now - receivedAt),
    ),
  ]);
}
