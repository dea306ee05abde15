/**
 * Opening and closing the listeners of HTTP servers.
 */
import type { Server } from 'node:http';
import { Server as SocketServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Milliseconds } from '../clock/index.js';
import { createFailure, type Failure } from '../errors/index.js';
import { trackIdleConnections, type IdleConnections } from './idle-connections.js';

/** Where to listen. */
export interface HostAndPort {
  host: string;
  port: number;
}

const CONNECTION_SWEEP_MS = 50;
const idleConnections = new WeakMap<Server, IdleConnections>();

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
 * Listens on `address`, `host:port` with port 0 for a free one, and resolves with the address as
 * bound. Fails with `unreachable` when it can't be bound, for example because it is taken.
 *
 * @example const address = await listenOn(createServer(handle), '127.0.0.1:0');
 */
export function listenOn(
  server: Server,
  address: string,
): ResultAsync<string, Failure<'unreachable'>> {
  const { host, port } = parseAddress(address);
  idleConnections.set(server, trackIdleConnections(server));
  return new ResultAsync(
    new Promise<Result<string, Failure<'unreachable'>>>((resolve) => {
      const refuse = (error: Error): void => {
        const reason = `cannot listen: ${error.message}`;
        resolve(err(createFailure('unreachable', { name: address, reason })));
      };
      server.once('error', refuse);
      server.listen(port, host, () => {
        server.off('error', refuse);
        resolve(ok(formatAddress(server.address() as AddressInfo)));
      });
    }),
  );
}

/** Closes the listener and every connection, also those in use. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/**
 * Resolves when every answer under way has been sent and no connection is left. Only for a server
 * that listens by {@link listenOn}.
 *
 * A connection closed here as idle may have a request on its way: its caller sees a broken
 * connection for a request in flight. So requests are still answered for `graceMs`, and callers
 * that are told `Connection: close` meanwhile close their connections themselves.
 */
export async function drainServer(server: Server, graceMs: Milliseconds): Promise<void> {
  const endAt = performance.now() + graceMs;
  while (performance.now() < endAt && (await countConnections(server)) > 0) {
    await sleep(CONNECTION_SWEEP_MS);
  }
  await closeWhenIdle(server);
}

function countConnections(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((error, count) => {
      resolve(error === null ? count : 0);
    });
  });
}

function closeWhenIdle(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // A connection goes idle when its last answer has been sent, which may be after this moment.
    const sweep = setInterval(() => {
      idleConnections.get(server)?.closeIdle();
    }, CONNECTION_SWEEP_MS);
    // Not the HTTP server's own close: at once it would close connections whose answer has ended
    // here and is still being sent, and their callers would get a part of it.
    SocketServer.prototype.close.call(server, () => {
      clearInterval(sweep);
      resolve();
    });
  });
}
