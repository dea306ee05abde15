/**
 * HTTP listener for the balancer's readiness checks and for metrics.
 */
import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import { parseAddress } from '../../core/listening/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';

/** Returns why the gateway is not ready for callers, or undefined when it is. */
export type ReadinessCheck = () => string | undefined;

export function createOperationsListener(
  context: GatewayContext,
  checkReadiness: ReadinessCheck,
): GatewayPart {
  const { settings, metrics, logger } = context;
  let lastReason: string | undefined = 'it has just started';
  const updateReadiness = (): string | undefined => {
    const reason = checkReadiness();
    if (reason !== lastReason) {
      lastReason = reason;
      metrics.readiness.set(reason === undefined ? 1 : 0);
      if (reason === undefined) logger.log('gatewayReady');
      else logger.log('gatewayNotReady', { reason });
    }
    return reason;
  };
  const app = new Hono();
  app.get('/readyz', (c) => {
    const reason = updateReadiness();
    return reason === undefined ? c.text('ready') : c.text(reason, 503);
  });
  app.get('/metrics', async (c) => c.text(await metrics.render()));
  const servers: ReturnType<typeof serve>[] = [];
  return {
    start: () => {
      for (const address of new Set([settings.listen.readiness, settings.listen.metrics])) {
        const { host, port } = parseAddress(address);
        const server = serve({ fetch: app.fetch, hostname: host, port });
        server.on('error', (error: Error) => {
          logger.log('listenFailed', { address, reason: error.message });
        });
        servers.push(server);
      }
    },
    stop: () => {
      for (const server of servers) server.close();
    },
  };
}
