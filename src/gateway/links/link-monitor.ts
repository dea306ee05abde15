/**
 * Finds out whether a backend server that doesn't respond has failed itself, or only the link of this
 * gateway to it, and chooses other gateways to relay requests over lost links.
 */
import type { WritableSection } from '../../board/index.js';
import {
  isReachedByAny,
  LinkTable,
  RelayPeers,
  type LinkChange,
  type RelayPeer,
} from '../../controllers/links/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { TickerTask } from '../../core/ticker/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { ProbeOutcome } from '../backends/probe.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { CheckedServer, ServerChecks } from './server-check.js';
import { createServerComparison, type ServerComparison } from './server-comparison.js';
import { takeRandom } from './take-random.js';
import type { LinkEvidence, LinkVerdict, ServerCheck } from './types.js';

export interface LinkMonitor extends GatewayPart {
  /** Finds out who is at fault when `server` does not respond. Concurrent calls share the answer. */
  investigate(server: string, evidence: LinkEvidence): Promise<LinkVerdict>;
  /** Probes `server` from here and from other gateways. */
  probeFromAll(server: CheckedServer): Promise<ProbeOutcome>;
  /** Records that something came from a server of `service` over a link of this gateway. */
  recordHeard(service: string): void;
  /** Records an answer over a connection that was opened for it. */
  recordNewConnection(server: string): void;
  /** Whether something came from another server of the same service a moment ago. */
  areOthersHeard(server: string): boolean;
  /** Whether requests to `server` have to be relayed by another gateway. */
  isLost(server: string): boolean;
  /** Whether requests reach `server` at all, over a link of this gateway or of another one. */
  isInReach(server: BackendServer): boolean;
  /** Whether neither this gateway nor another one reaches the service. */
  isOutOfReach(service: string): boolean;
  /** Chooses a gateway to relay a request to `server`; undefined if none can. */
  chooseRelay(server: string, excluded: ReadonlySet<string>): RelayPeer | undefined;
  /** Records that a gateway could not relay a request. */
  avoidRelay(peer: string): void;
  /** Checks `server` for another gateway. */
  checkForPeer(server: string): Promise<ServerCheck>;
}

interface LinkMonitorOptions {
  context: GatewayContext;
  checks: ServerChecks;
  /** Has the gateway at `address` check a server. */
  askPeer: (address: string, server: string) => Promise<ServerCheck>;
  section: WritableSection<readonly string[]>;
}

const TICK_MS: Milliseconds = 100;
/** A server over a sound link answers sooner, unless it is stalled as a whole. */
const QUICK_CHECK_TIMEOUT_MS: Milliseconds = 100;

/** Log events of what an observation has changed. */
interface ChangeEvents {
  link: 'linkLost' | 'linkRestored';
  service: 'serviceCutOff' | 'serviceReached';
}

const LOSS: ChangeEvents = { link: 'linkLost', service: 'serviceCutOff' };
const RETURN: ChangeEvents = { link: 'linkRestored', service: 'serviceReached' };

export function createLinkMonitor(options: LinkMonitorOptions): LinkMonitor {
  const { context, checks, section } = options;
  const { board, clock, logger, metrics, random, settings } = context;
  const table = new LinkTable();
  const relays = new RelayPeers();
  const investigations = new Map<string, Promise<LinkVerdict>>();
  let ticking: TickerTask | undefined;

  const findServer = (id: string): BackendServer | undefined => board.fleet.read().servers.get(id);
  const publish = (): void => {
    metrics.lostLinks.set(table.lostCount);
    const cutOff = table.listCutOff();
    if (cutOff.join() !== section.read().join()) section.write(cutOff);
  };
  /** Applies an observation to a server that is still known. */
  const observe = (
    id: string,
    apply: (server: BackendServer) => LinkChange,
    events: ChangeEvents,
  ): void => {
    const server = findServer(id);
    if (server === undefined) return;
    const change = apply(server);
    const { service } = server;
    if (change.link) logger.log(events.link, { server: id, service });
    if (change.service) logger.log(events.service, { service });
    if (change.link || change.service) publish();
  };
  const recordSound = (id: string): void => {
    observe(id, (server) => table.recordSound(server, clock.now()), RETURN);
  };
  const compareServer = createServerComparison({ context, checks, askPeer: options.askPeer });
  const compare = async (server: CheckedServer): Promise<ServerComparison> => {
    const comparison = await compareServer(server);
    if (comparison.kind === 'peersOnly')
      observe(server.id, (known) => table.recordLost(known, clock.now()), LOSS);
    const known = comparison.kind === 'unclear' ? findServer(server.id) : undefined;
    if (known) table.recordSilent(known);
    return comparison;
  };
  const runInvestigation = async (id: string, evidence: LinkEvidence): Promise<LinkVerdict> => {
    const server = findServer(id);
    if (server === undefined) return 'server';
    if (evidence === 'silent') {
      const { kind } = await checks.check(server, QUICK_CHECK_TIMEOUT_MS);
      if (kind === 'answers') return 'server';
    }
    const { kind } = await compare(server);
    if (kind === 'peersOnly' || table.isCutOff(server.service)) return 'link';
    return kind === 'unclear' ? 'unclear' : 'server';
  };
  const checkLink = (server: BackendServer): void => {
    void checks.check(server).then(({ kind }) => {
      if (kind === 'answers') recordSound(server.id);
    });
  };
  const findRandomServer = (service: string): BackendServer | undefined => {
    const servers = [...board.fleet.read().servers.values()];
    return takeRandom(
      random,
      servers.filter((server) => server.service === service),
      1,
    )[0];
  };
  const tick = (): void => {
    const now = clock.now();
    const silent = table.cutOffSilent(now);
    for (const service of silent) logger.log('serviceCutOff', { service });
    if (silent.length > 0) publish();
    const due = [
      ...table.takeDueLinks(now).map(findServer),
      ...table.takeDueServices(now).map(findRandomServer),
    ];
    for (const server of due) if (server) checkLink(server);
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
    probeFromAll: async (server) => {
      const comparison = await compare(server);
      return comparison.kind === 'unclear' ? comparison : comparison.outcome;
    },
    recordHeard: (service) => {
      table.recordHeard(service, clock.now());
    },
    recordNewConnection: (server) => {
      if (!table.isClear) recordSound(server);
    },
    areOthersHeard: (id) => {
      const service = findServer(id)?.service;
      return service !== undefined && table.isHeard(service, clock.now());
    },
    isLost: (id) => {
      const server = table.isClear ? undefined : findServer(id);
      return server !== undefined && table.isLost(server);
    },
    isInReach: (server) =>
      table.isClear ||
      !table.isLost(server) ||
      isReachedByAny(board.peers.read().values(), server.service),
    isOutOfReach: (service) =>
      table.isCutOff(service) && !isReachedByAny(board.peers.read().values(), service),
    chooseRelay: (id, excluded) => {
      const server = findServer(id);
      if (server === undefined) return undefined;
      const { service, failureDomain } = server;
      const preferredDomains = [settings.failureDomain, failureDomain];
      const query = { service, preferredDomains, excluded };
      return relays.choose(board.peers.read().values(), query, clock.now(), random);
    },
    avoidRelay: (peer) => {
      relays.avoid(peer, clock.now());
    },
    checkForPeer: async (id) => {
      const server = findServer(id);
      if (server === undefined || table.isLost(server)) return { kind: 'unknown' };
      const outcome = await checks.check(server);
      return outcome.kind === 'coolingDown' ? { kind: 'unknown' } : outcome;
    },
    start: () => {
      board.fleet.subscribe(() => {
        if (table.isClear) return;
        const { servers } = board.fleet.read();
        table.retain((id) => servers.has(id));
        publish();
      });
      ticking = context.ticker.every(TICK_MS, tick);
    },
    stop: () => {
      ticking?.stop();
    },
  };
}
