/**
 * What backend servers have said to this gateway of their own availability: that they want rest, or
 * that they are leaving. Everything that sends to a server asks here first.
 */
import { LeavingTable, type ServerRun } from '../../controllers/forwarding/index.js';
import { RestTable } from '../../controllers/rests/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServerNotice } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';

export interface ServerAvailability {
  /** Records what a server says in its answer to `request`, or to an order or a probe. */
  record(server: ServerRun, notice: ServerNotice, request?: string): void;
  /** Time for which the server wants nothing from this gateway; 0 if it has not asked for rest. */
  restLeftMs(server: string): Milliseconds;
  /** Whether the process that is registered under this id has said that it is leaving. */
  isLeaving(server: string): boolean;
}

export function createServerAvailability({
  board,
  clock,
  logger,
  metrics,
}: Pick<GatewayContext, 'board' | 'clock' | 'logger' | 'metrics'>): ServerAvailability {
  const rests = new RestTable();
  const leaving = new LeavingTable();

  const recordRest = (
    server: string,
    rest: Exclude<ServerNotice['rest'], { kind: 'none' }>,
    request: string | undefined,
  ): void => {
    metrics.restRequests.inc({ kind: rest.kind });
    if (rest.kind === 'named') rests.ask(server, rest.forMs, clock.now());
    const forMs = rest.kind === 'named' ? Math.round(rest.forMs) : undefined;
    logger.log('serverAsksForRest', { server, request, kind: rest.kind, forMs });
  };
  return {
    record: (server, notice, request) => {
      if (notice.rest.kind !== 'none') recordRest(server.id, notice.rest, request);
      if (!notice.leaving) return;
      metrics.leavingAnswers.inc();
      if (leaving.record(server, clock.now()))
        logger.log('serverSaysLeaving', { server: server.id, request });
    },
    restLeftMs: (server) => rests.leftMs(server, clock.now()),
    isLeaving: (server) => {
      const registered = board.fleet.read().servers.get(server);
      return registered !== undefined && leaving.isLeaving(registered);
    },
  };
}
