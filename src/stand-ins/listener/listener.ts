/**
 * An HTTP listener for stand-ins, from an application of hono.
 */
import type { Server } from 'node:http';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';
import type { Failure } from '../../core/errors/index.js';
import { closeServer, listenOn } from '../../core/listening/index.js';

/** A listener that is open. */
export interface Listener {
  /** `host:port` as bound; the port is a real one also when 0 was asked for. */
  address: string;
  /** Closes the listener and every connection. */
  stop(): Promise<void>;
}

/**
 * Serves `app` at `address`. Fails with `unreachable` when the address can't be bound.
 *
 * @example const listener = await openListener(app, '127.0.0.1:0');
 */
export function openListener(
  app: Hono<{ Bindings: HttpBindings }>,
  address: string,
): ResultAsync<Listener, Failure<'unreachable'>> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server;
  return listenOn(server, address).map((bound) => ({
    address: bound,
    stop: () => closeServer(server),
  }));
}
