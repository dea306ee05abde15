/**
 * Passes urgent news on at once, from hub to hub and from hubs to the gateways of their failure domains.
 *
 * With exchanges alone, each gateway of a large fleet would go on sending to a stalled server for about
 * as long as a request lasts, and a change would cross two hubs and use up most of the time within which
 * it has to be in force.
 */
import type { EvacuationState } from '../../controllers/evacuation/index.js';
import {
  addressQuarantineNews,
  type KnownPeer,
  type PeerTable,
  type QuarantineNews,
  type ReportedSuspicion,
} from '../../controllers/peering/index.js';
import type { GatewayContext } from '../types.js';
import type { PeerClient } from './rpc.js';
import { SuspicionRelay } from './suspicion-relay.js';

/** Relays what is new here, so that nothing goes round. */
export interface NewsRelay {
  suspicions(suspicions: readonly ReportedSuspicion[]): void;
  evacuations(state: EvacuationState): void;
  /** `isOwnDomain`: the reports come from this failure domain. */
  quarantine(news: QuarantineNews, isOwnDomain: boolean): void;
}

export function createNewsRelay(
  self: KnownPeer,
  table: PeerTable,
  client: PeerClient,
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
): NewsRelay {
  const logFailure = (peer: KnownPeer, call: Promise<void>): Promise<void> =>
    call.catch((error: unknown) => {
      logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
    });
  const sendTo = (peer: KnownPeer, call: Promise<void>): void => {
    void logFailure(peer, call);
  };
  const suspicionRelay = new SuspicionRelay(clock, (peer, suspicions) =>
    logFailure(peer, client.sendSuspicions(peer.address, suspicions)),
  );
  return {
    suspicions: (suspicions) => {
      if (suspicions.length === 0) return;
      suspicionRelay.relay(table.listRelayPeers(), suspicions);
    },
    evacuations: (state) => {
      if (!table.isHub()) return;
      const peers = table.isPairwise() ? table.listPartners() : table.listRelayPeers();
      for (const peer of peers) sendTo(peer, client.sendEvacuations(peer.address, state));
    },
    quarantine: ({ reports, quarantined }, isOwnDomain) => {
      if (reports.length + quarantined.length === 0) return;
      const addressed = addressQuarantineNews(
        table.listRelayPeers(),
        self.failureDomain,
        quarantined,
        isOwnDomain ? reports : [],
      );
      for (const { peer, news } of addressed)
        sendTo(peer, client.sendQuarantineNews(peer.address, news));
    },
  };
}
