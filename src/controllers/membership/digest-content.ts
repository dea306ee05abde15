/**
 * What this entry says of itself in its digest.
 */
import type { Attempts, InFlightCount, SentCount, WorkspaceDemand } from '../../board/index.js';
import { DIGEST_LIST_LENGTH, EXTENSION_LENGTH, type DigestContent } from './messages.js';

/** Replicas and workspaces of a digest; the ones with the most are kept. */
const SENT_LENGTH = 12;
const DEMANDS_LENGTH = 16;
/** Digits of a rate that are told: small changes are no change of the digest. */
const RATE_DIGITS = 2;

/** What the digest is made from; lists of any length. */
export interface ContentSource extends Omit<DigestContent, 'sent' | 'demands' | 'draining'> {
  attempts: Attempts;
  draining: readonly InFlightCount[];
}

/**
 * The content of a digest, cut to its bounds.
 *
 * A draining target that is cut off the list is held up at the other entries, never released too
 * early; what is cut off the sent counts is corrected by the engines' own reports.
 */
export function composeContent(source: ContentSource): DigestContent {
  const { attempts, draining, leaving, extensions, ...rest } = source;
  return {
    ...rest,
    draining: draining.slice(0, DIGEST_LIST_LENGTH),
    sent: largestSent(attempts.sent),
    demands: largestDemands(attempts.demands),
    leaving: leaving.slice(0, DIGEST_LIST_LENGTH),
    extensions: dropLongExtensions(extensions),
  };
}

function largestSent(sent: readonly SentCount[]): SentCount[] {
  const weigh = (count: SentCount): number => count.promptTokens + count.outputTokens;
  return [...sent].sort((a, b) => weigh(b) - weigh(a)).slice(0, SENT_LENGTH);
}

function largestDemands(demands: readonly WorkspaceDemand[]): WorkspaceDemand[] {
  const largest = [...demands].sort((a, b) => b.tokensPerSecond - a.tokensPerSecond);
  return largest.slice(0, DEMANDS_LENGTH).map((demand) => ({
    ...demand,
    requestsPerSecond: roundRate(demand.requestsPerSecond),
    tokensPerSecond: roundRate(demand.tokensPerSecond),
  }));
}

function roundRate(rate: number): number {
  return Number(rate.toPrecision(RATE_DIGITS));
}

function dropLongExtensions(extensions: DigestContent['extensions']): DigestContent['extensions'] {
  const kept = Object.entries(extensions).filter(([, text]) => text.length <= EXTENSION_LENGTH);
  return Object.fromEntries(kept);
}
