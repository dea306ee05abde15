/**
 * HTTP listener for the balancer's readiness checks and for metrics.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseAddress } from '../../core/listening/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';

/** Returns why the gateway is not ready for callers, or undefined when it is. */
export type ReadinessCheck = () => string | undefined;

interface OperationsReply {
  status: number;
  text: string;
}

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
  const reply = async ({ method, url = '/' }: IncomingMessage): Promise<OperationsReply> => {
    const [path] = url.split('?');
    const isRead = method === 'GET' || method === 'HEAD';
    if (isRead && path === '/readyz') {
      const reason = updateReadiness();
      return reason === undefined ? { status: 200, text: 'ready' } : { status: 503, text: reason };
    }
    if (isRead && path === '/metrics') return { status: 200, text: await metrics.render() };
    return { status: 404, text: '404 Not Found' };
  };
  const servers: Server[] = [];
  return {
    start: () => {
      for (const address of new Set([settings.listen.readiness, settings.listen.metrics])) {
        const { host, port } = parseAddress(address);
        const server = createServer((request, response) => {
          reply(request).then(
            (answer) => {
              write(response, answer);
            },
            () => {
              write(response, { status: 500, text: 'Internal Server Error' });
            },
          );
        });
        server.on('error', (error: Error) => {
          logger.log('listenFailed', { address, reason: error.message });
        });
        server.listen(port, host);
        servers.push(server);
      }
    },
    stop: () => {
      for (const server of servers) server.close();
    },
  };
}

function write(response: ServerResponse, { status, text }: OperationsReply): void {
  const length = Buffer.byteLength(text);
  response.writeHead(status, {
    'content-type': 'text/plain; charset=UTF-8',
    'content-length': length,
  });
  response.end(text);
}
