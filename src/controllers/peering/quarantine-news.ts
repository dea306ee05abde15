/**
 * Who is told at once of servers that ended under requests, and of quarantines.
 *
 * In large fleets exchanges are too slow for it: any gateway may get the next harmful request. Hubs
 * collect the reports of all failure domains, so they are the first to see enough of them.
 */
import * as z from 'zod';
import {
  quarantineNoticeSchema,
  requestReportSchema,
  type QuarantineNotice,
  type RequestReport,
} from '../quarantine/index.js';
import type { KnownPeer } from './types.js';

const MAX_REPORTS = 1_000;
const MAX_NOTICES = 200;

export const quarantineNewsSchema = z.object({
  reports: z.array(requestReportSchema).max(MAX_REPORTS),
  quarantined: z.array(quarantineNoticeSchema).max(MAX_NOTICES),
});

/** Reports and quarantines that were unknown to the sender. */
export type QuarantineNews = z.infer<typeof quarantineNewsSchema>;

/** News for one gateway. */
export interface AddressedNews {
  peer: KnownPeer;
  news: QuarantineNews;
}

/**
 * What a gateway passes on to `peers`, those that it tells of urgent news. Quarantines go to all of them,
 * reports from its own failure domain to the hubs of the others.
 */
export function addressQuarantineNews(
  peers: readonly KnownPeer[],
  failureDomain: string,
  quarantined: readonly QuarantineNotice[],
  ownDomainReports: readonly RequestReport[],
): AddressedNews[] {
  return peers
    .map((peer) => {
      const reports = peer.failureDomain === failureDomain ? [] : [...ownDomainReports];
      return { peer, news: { reports, quarantined: [...quarantined] } };
    })
    .filter(({ news }) => news.reports.length + news.quarantined.length > 0);
}
