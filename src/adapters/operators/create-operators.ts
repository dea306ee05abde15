/**
 * The listener for operators. It knows no users: bind it to a network that only operators reach.
 */
import { createServer } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { ResultAsync } from 'neverthrow';
import type { Failure } from '../../core/errors/index.js';
import { closeServer, listenOn } from '../../core/listening/index.js';
import { createOperatorRoutes } from './routes.js';
import type { Operations } from './types.js';

/** The listener for operators. */
export interface Operators {
  /** Resolves with the `host:port` listened on. */
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  close(): Promise<void>;
}

/**
 * A listener on `address`; port 0 takes a free one.
 *
 * @example const url = await createOperators('127.0.0.1:7001', operations).listen();
 */
export function createOperators(address: string, operations: Operations): Operators {
  const app = createOperatorRoutes(operations);
  const handle = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  // hono's adapter rejects only when it could not answer; the connection is closed by then.
  const server = createServer((request, response) => void handle(request, response));
  return {
    listen: () => listenOn(server, address),
    close: () => closeServer(server),
  };
}
