/**
 * Finds out whether a backend server that doesn't respond has failed itself, or only the link of this
 * gateway to it, by asking another gateway.
 */
import { LinkTable, type LinkChange } from '../../controllers/links/index.js';
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { ProbeOutcome } from '../backends/probe.js';
import type { PeerClient } from '../peers/rpc.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { CheckedServer, ServerChecks } from './server-check.js';
import type { LinkEvidence, LinkVerdict, ServerCheck } from './types.js';

export interface LinkMonitor extends GatewayPart {
  /** Finds out who is at fault when `server` does not respond. Concurrent calls share the answer. */
  investigate(server: string, evidence: LinkEvidence): Promise<LinkVerdict>;
  /** Asks another gateway for the outcome of a probe that failed here. */
  confirmProbe(server: CheckedServer, outcome: ProbeOutcome): Promise<ProbeOutcome>;
  /** Records an answer over a connection that was opened for it. */
  recordNewConnection(server: string): void;
  /** Checks `server` for another gateway. */
  checkForPeer(server: string): Promise<ServerCheck>;
}

interface LinkMonitorOptions {
  context: GatewayContext;
  checks: ServerChecks;
  peers: Pick<PeerClient, 'checkServer'>;
}

/** Where a server answers. */
type Comparison = { kind: 'here' | 'peersOnly'; outcome: ProbeOutcome } | { kind: 'nowhere' };

const TICK_MS: Milliseconds = 100;
/** A server over a sound link answers sooner, unless it is stalled as a whole. */
const QUICK_CHECK_TIMEOUT_MS: Milliseconds = 100;
/** Gateways that are asked at the same time, since some of them may have lost their links as well. */
const ASKED_PEERS = 3;

export function createLinkMonitor({ context, checks, peers }: LinkMonitorOptions): LinkMonitor {
  const { board, clock, logger, metrics, random } = context;
  const table = new LinkTable();
  const investigations = new Map<string, Promise<LinkVerdict>>();
  let timer: NodeJS.Timeout | undefined;

  const findServer = (id: string): BackendServer | undefined => board.fleet.read().servers.get(id);
  const logChange = ({ id, service }: BackendServer, change: LinkChange, isLost: boolean): void => {
    metrics.lostLinks.set(table.lostCount);
    if (change.link) logger.log(isLost ? 'linkLost' : 'linkRestored', { server: id, service });
    if (change.service) logger.log(isLost ? 'serviceCutOff' : 'serviceReached', { service });
  };
  const recordLost = (id: string): void => {
    const server = findServer(id);
    if (server) logChange(server, table.recordLost(server, clock.now()), true);
  };
  const recordSound = (id: string): void => {
    const server = findServer(id);
    if (server) logChange(server, table.recordSound(server, clock.now()), false);
  };
  const takeRandomPeers = (): GatewayPeer[] => {
    const left = [...board.peers.read().values()];
    const taken: GatewayPeer[] = [];
    while (left.length > 0 && taken.length < ASKED_PEERS)
      taken.push(...left.splice(random.below(left.length), 1));
    return taken;
  };
  const askPeer = async ({ name, address }: GatewayPeer, server: string): Promise<ServerCheck> => {
    try {
      return await peers.checkServer(address, server);
    } catch (error) {
      logger.log('peerCallFailed', { peer: name, reason: String(error) });
      return { kind: 'unknown' };
    }
  };
  /** Resolves with the first answer of the server to another gateway; `unknown` if there is none. */
  const askPeers = async (server: string): Promise<ServerCheck> => {
    const asked = takeRandomPeers().map(async (peer) => {
      const outcome = await askPeer(peer, server);
      if (outcome.kind !== 'answers') throw new Error(outcome.kind);
      return outcome;
    });
    return Promise.any(asked).catch((): ServerCheck => ({ kind: 'unknown' }));
  };
  /**
   * Checks the server from here and from other gateways at the same time, so that one that has just
   * recovered is not taken for one behind a lost link.
   */
  const compareWithPeers = async (server: CheckedServer): Promise<Comparison> => {
    const [own, peers] = await Promise.all([checks.check(server), askPeers(server.id)]);
    if (own.kind === 'answers') return { kind: 'here', outcome: own };
    if (peers.kind !== 'answers') return { kind: 'nowhere' };
    recordLost(server.id);
    return { kind: 'peersOnly', outcome: peers };
  };
  const runInvestigation = async (id: string, evidence: LinkEvidence): Promise<LinkVerdict> => {
    const server = findServer(id);
    if (server === undefined) return 'server';
    if (evidence === 'silent') {
      const { kind } = await checks.check(server, QUICK_CHECK_TIMEOUT_MS);
      if (kind === 'answers') return 'server';
    }
    const { kind } = await compareWithPeers(server);
    return kind === 'peersOnly' || table.isCutOff(server.service) ? 'link' : 'server';
  };
  const checkDueLinks = (): void => {
    for (const id of table.takeDueChecks(clock.now())) {
      const server = findServer(id);
      if (server === undefined) continue;
      void checks.check(server).then(({ kind }) => {
        if (kind === 'answers') recordSound(id);
      });
    }
  };
  return {
    investigate: (server, evidence) => {
      const running = investigations.get(server);
      if (running) return running;
      const started = runInvestigation(server, evidence).finally(() => {
        investigations.delete(server);
      });
      investigations.set(server, started);
      return started;
    },
    confirmProbe: async (server, outcome) => {
      const comparison = await compareWithPeers(server);
      return comparison.kind === 'nowhere' ? outcome : comparison.outcome;
    },
    recordNewConnection: (server) => {
      if (table.lostCount > 0) recordSound(server);
    },
    checkForPeer: async (id) => {
      const server = findServer(id);
      if (server === undefined || table.isLost(server)) return { kind: 'unknown' };
      const outcome = await checks.check(server);
      return outcome.kind === 'coolingDown' ? { kind: 'unknown' } : outcome;
    },
    start: () => {
      board.fleet.subscribe(() => {
        if (table.lostCount === 0) return;
        const { servers } = board.fleet.read();
        table.retain((id) => servers.has(id));
        metrics.lostLinks.set(table.lostCount);
      });
      timer = setInterval(checkDueLinks, TICK_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
