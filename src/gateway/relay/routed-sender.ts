/**
 * Sends attempts over connections of this gateway, or through another one if the own link is lost.
 */
import type { AttemptSender } from '../backends/attempt.js';
import type { ConnectionPool } from '../backends/pool.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { GatewayContext } from '../types.js';
import { RelayedAttempt, type RelayedAttemptOptions } from './relayed-attempt.js';

interface RoutedSenderOptions {
  context: GatewayContext;
  links: LinkMonitor;
  /** Connections to the other gateways. */
  pool: ConnectionPool;
  sendOverOwnLink: AttemptSender;
}

export function createRoutedSender(options: RoutedSenderOptions): AttemptSender {
  const { context, links, pool, sendOverOwnLink } = options;
  const relayOptions: RelayedAttemptOptions = {
    pool,
    clock: context.clock,
    codec: context.platform.requests,
    links,
    onRelay: ({ server, requestId }, peer) => {
      context.logger.log('requestRelayed', { request: requestId, server: server.id, peer });
    },
  };
  return (request, observer) =>
    links.isLost(request.server.id)
      ? new RelayedAttempt(request, observer, relayOptions).start()
      : sendOverOwnLink(request, observer);
}
