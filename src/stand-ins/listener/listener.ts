/**
 * An HTTP listener for stand-ins, from an application of hono.
 */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve, type HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';

/** A listener that is open. */
export interface Listener {
  /** `host:port` as bound; the port is a real one also when 0 was asked for. */
  address: string;
  /** Closes the listener and every connection. */
  stop(): Promise<void>;
}

/** Where to listen. */
export interface HostAndPort {
  host: string;
  port: number;
}

/** Splits `host:port`. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** `host:port` of a bound socket. */
export function formatAddress(bound: AddressInfo): string {
  return `${bound.address}:${bound.port}`;
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
  const { host, port } = parseAddress(address);
  return new ResultAsync(
    new Promise<Result<Listener, Failure<'unreachable'>>>((resolve) => {
      const server = serve({ fetch: app.fetch, hostname: host, port }, (bound) => {
        resolve(ok({ address: formatAddress(bound), stop: () => closeServer(server as Server) }));
      });
      server.once('error', (error: Error) => {
        const reason = `cannot listen: ${error.message}`;
        resolve(err(createFailure('unreachable', { name: address, reason })));
      });
    }),
  );
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
