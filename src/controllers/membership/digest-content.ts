/**
 * Builds the content of this entry's own digest and limits it to the maximum sizes.
 */
import type { Attempts, InFlightCount, SentCount, WorkspaceDemand } from '../../board/index.js';
import { MAX_DIGEST_LIST_LENGTH, MAX_EXTENSION_LENGTH, type DigestContent } from './messages.js';

/** Maximum number of replicas and workspaces in a digest; those with the most tokens are kept. */
const MAX_SENT_COUNTS = 12;
const MAX_DEMANDS = 16;
/** Rates are rounded so that small fluctuations don't change the digest. */
const RATE_SIGNIFICANT_DIGITS = 2;

/** Source data of a digest; its lists are not limited in length. */
export interface DigestContentSource extends Omit<DigestContent, 'sent' | 'demands' | 'draining'> {
  attempts: Attempts;
  draining: readonly InFlightCount[];
}

/**
 * Builds the content of a digest, truncated to its maximum sizes.
 *
 * Truncation is safe: the other entries wait longer for a draining target that is missing from the
 * list, and the engines' own reports correct sent counts that are missing.
 */
export function buildDigestContent(source: DigestContentSource): DigestContent {
  const { attempts, draining, leaving, extensions, ...rest } = source;
  return {
    ...rest,
    draining: draining.slice(0, MAX_DIGEST_LIST_LENGTH),
    sent: selectLargestSentCounts(attempts.sent),
    demands: selectLargestDemands(attempts.demands),
    leaving: leaving.slice(0, MAX_DIGEST_LIST_LENGTH),
    extensions: dropOversizedExtensions(extensions),
  };
}

function selectLargestSentCounts(sent: readonly SentCount[]): SentCount[] {
  const totalTokens = (count: SentCount): number => count.promptTokens + count.outputTokens;
  return [...sent].sort((a, b) => totalTokens(b) - totalTokens(a)).slice(0, MAX_SENT_COUNTS);
}

function selectLargestDemands(demands: readonly WorkspaceDemand[]): WorkspaceDemand[] {
  const largest = [...demands].sort((a, b) => b.tokensPerSecond - a.tokensPerSecond);
  return largest.slice(0, MAX_DEMANDS).map((demand) => ({
    ...demand,
    requestsPerSecond: roundRate(demand.requestsPerSecond),
    tokensPerSecond: roundRate(demand.tokensPerSecond),
  }));
}

function roundRate(rate: number): number {
  return Number(rate.toPrecision(RATE_SIGNIFICANT_DIGITS));
}

function dropOversizedExtensions(
  extensions: DigestContent['extensions'],
): DigestContent['extensions'] {
  const kept = Object.entries(extensions).filter(([, text]) => text.length <= MAX_EXTENSION_LENGTH);
  return Object.fromEntries(kept);
}
