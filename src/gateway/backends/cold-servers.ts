/**
 * Tells which backend servers are cold, from their entries, their answers and other gateways, and
 * whether this gateway may send to them. Off without the settings section `coldServers`.
 */
import type { ServerRun } from '../../controllers/forwarding/index.js';
import {
  ColdServers,
  type FleetMembers,
  type LimitReport,
} from '../../controllers/quotas/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, ColdProfile, ServerNotice } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';

export interface ColdServerLimits {
  /** Whether any server is or may be cold; most requests need to know no more. */
  isAnyCold(): boolean;
  /** How much longer the server is cold; 0 if it is not, or if its service has no cold servers. */
  leftMs(server: BackendServer): Milliseconds;
  /** Time until this gateway may send a request to the server; 0 if it may now. */
  waitMs(server: BackendServer): Milliseconds;
  /** Requests per second that this gateway may send to the server while it is cold. */
  ownRate(server: BackendServer): number;
  recordSent(server: string): void;
  /** Records that something came from the server. */
  recordContact(server: string): void;
  /** Records that this gateway has no request in flight at the server. */
  recordIdle(server: string): void;
  /** Records what an answer of the server states. */
  recordNotice(server: ServerRun, notice: ServerNotice): void;
  /** Adopts what another gateway was told. */
  adopt(report: LimitReport, peer: string): void;
  /** What this gateway was told by servers, for other gateways. */
  report(): LimitReport[];
  /** Called when an answer to this gateway has shown that a server is cold. */
  onNews(listener: () => void): void;
}

type ColdServersContext = Pick<
  GatewayContext,
  'board' | 'clock' | 'logger' | 'metrics' | 'settings'
>;

export function createColdServerLimits(
  context: ColdServersContext,
  members: FleetMembers,
  hasServed: () => boolean,
): ColdServerLimits {
  const { board, clock, logger, metrics, settings } = context;
  const { coldServers: bounds } = settings;
  if (bounds === undefined) return NO_COLD_SERVERS;
  const table = new ColdServers(members, bounds, settings.servers.heartbeatMs);
  const listeners: (() => void)[] = [];
  /** Servers whose being cold is logged, so that its end is logged as well. */
  const logged = new Set<string>();
  let previous = board.fleet.read();

  const profileOf = (id: string): ColdProfile | undefined => {
    const service = board.fleet.read().servers.get(id)?.service ?? '';
    return board.serving.read()?.services.get(service)?.cold;
  };
  const log = (id: string, evidence: string): void => {
    const profile = profileOf(id);
    const leftMs = profile === undefined ? 0 : table.leftMs(id, profile, clock.now());
    if (profile === undefined || leftMs === 0 || logged.has(id)) return;
    logged.add(id);
    const { perSecond } = profile;
    logger.log('serverCold', { server: id, leftMs: Math.round(leftMs), perSecond, evidence });
  };
  const update = (): void => {
    table.removeEnded(profileOf, clock.now());
    const ids = new Set(table.ids);
    for (const id of logged) {
      if (ids.has(id)) continue;
      logged.delete(id);
      logger.log('serverWarm', { server: id });
    }
    metrics.coldServers.set([...ids].filter((id) => profileOf(id) !== undefined).length);
  };
  board.fleet.subscribe(() => {
    const fleet = board.fleet.read();
    const isServing =
      previous.revision > 0 &&
      (hasServed() || [...board.peers.read().values()].some((peer) => peer.hasServed));
    const before = previous.servers;
    previous = fleet;
    const { changed, servers } = fleet;
    table.observeChanges({ changed, before, servers, isServing }, clock.now());
    for (const id of changed) log(id, 'its entry, or a start');
    update();
  });
  return {
    isAnyCold: () => {
      if (table.ids.next().done) return false;
      update();
      return !table.ids.next().done;
    },
    leftMs: ({ id }) => {
      const profile = profileOf(id);
      return profile === undefined ? 0 : table.leftMs(id, profile, clock.now());
    },
    waitMs: ({ id }) => {
      const profile = profileOf(id);
      return profile === undefined ? 0 : table.waitMs(id, profile, clock.now());
    },
    ownRate: ({ id }) => {
      const profile = profileOf(id);
      return profile === undefined ? 0 : table.ownRate(id, profile, clock.now());
    },
    recordSent: (server) => {
      table.recordSent(server, clock.now());
    },
    recordContact: (server) => {
      table.recordContact(server, clock.now());
    },
    recordIdle: (server) => {
      table.recordIdle(server, clock.now());
    },
    recordNotice: ({ id, startedAt }, { coldForMs }) => {
      if (coldForMs === undefined || profileOf(id) === undefined) return;
      if (board.fleet.read().servers.get(id)?.startedAt !== startedAt) return;
      if (!table.observeNotice(id, coldForMs, clock.now())) return;
      log(id, 'an answer');
      update();
      for (const listener of listeners) listener();
    },
    adopt: (report, peer) => {
      if (profileOf(report.server) === undefined) return;
      if (!table.adopt(report, clock.now())) return;
      log(report.server, `the gateway ${peer}`);
      update();
    },
    report: () => table.report(clock.now()),
    onNews: (listener) => {
      listeners.push(listener);
    },
  };
}

/** For gateways that have no cold servers to keep to. */
export const NO_COLD_SERVERS: ColdServerLimits = {
  isAnyCold: () => false,
  leftMs: () => 0,
  waitMs: () => 0,
  ownRate: () => 0,
  recordSent: () => undefined,
  recordContact: () => undefined,
  recordIdle: () => undefined,
  recordNotice: () => undefined,
  adopt: () => undefined,
  report: () => [],
  onNews: () => undefined,
};
