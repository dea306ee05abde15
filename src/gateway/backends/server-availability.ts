/**
 * What backend servers have said to this gateway of their own availability: that they need a cooldown, or
 * that they are leaving. Everything that sends to a server asks here first.
 */
import { LeavingTable, type ServerRun } from '../../controllers/forwarding/index.js';
import { CooldownTable } from '../../controllers/cooldowns/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServerNotice } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';
import type { ColdServerLimits } from './cold-servers.js';

export interface ServerAvailability {
  /** Records what a server says in its answer to `request`, or to an order or a probe. */
  record(server: ServerRun, notice: ServerNotice, request?: string): void;
  /** Time for which the server is to get nothing from this gateway; 0 if it is not in a cooldown. */
  cooldownLeftMs(server: string): Milliseconds;
  /** Whether the process that is registered under this id has said that it is leaving. */
  isLeaving(server: string): boolean;
}

export function createServerAvailability(
  { board, clock, logger, metrics }: Pick<GatewayContext, 'board' | 'clock' | 'logger' | 'metrics'>,
  cold?: Pick<ColdServerLimits, 'recordNotice'>,
): ServerAvailability {
  const cooldowns = new CooldownTable();
  const leaving = new LeavingTable();

  const recordRetryAfter = (
    server: string,
    retryAfter: Exclude<ServerNotice['retryAfter'], { kind: 'none' }>,
    request: string | undefined,
  ): void => {
    metrics.cooldowns.inc({ kind: retryAfter.kind });
    if (retryAfter.kind === 'named') cooldowns.start(server, retryAfter.forMs, clock.now());
    const forMs = retryAfter.kind === 'named' ? Math.round(retryAfter.forMs) : undefined;
    logger.log('serverAsksForCooldown', { server, request, kind: retryAfter.kind, forMs });
  };
  return {
    record: (server, notice, request) => {
      cold?.recordNotice(server, notice);
      if (notice.retryAfter.kind !== 'none')
        recordRetryAfter(server.id, notice.retryAfter, request);
      if (!notice.leaving) return;
      metrics.leavingAnswers.inc();
      if (leaving.record(server, clock.now()))
        logger.log('serverSaysLeaving', { server: server.id, request });
    },
    cooldownLeftMs: (server) => cooldowns.leftMs(server, clock.now()),
    isLeaving: (server) => {
      const registered = board.fleet.read().servers.get(server);
      return registered !== undefined && leaving.isLeaving(registered);
    },
  };
}
