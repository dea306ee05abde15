/**
 * Starting and shutting down HTTP listeners.
 */
import type { Server } from 'node:http';
import { Server as SocketServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Milliseconds } from '../clock/index.js';
import { createFailure, type Failure } from '../errors/index.js';
import { trackIdleConnections, type IdleConnections } from './idle-connections.js';

export interface HostAndPort {
  host: string;
  port: number;
}

const CONNECTION_POLL_MS = 50;
const idleConnections = new WeakMap<Server, IdleConnections>();

/** Splits `host:port`. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Formats the address of a bound socket as `host:port`. */
export function formatAddress(bound: AddressInfo): string {
  return `${bound.address}:${bound.port}`;
}

/**
 * Listens on `address` (`host:port`; port 0 picks a free port) and resolves with the bound address.
 * Fails with `unreachable` if the address cannot be bound, for example because it is in use.
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
      const onError = (error: Error): void => {
        const reason = `cannot listen: ${error.message}`;
        resolve(err(createFailure('unreachable', { name: address, reason })));
      };
      server.once('error', onError);
      server.listen(port, host, () => {
        server.off('error', onError);
        resolve(ok(formatAddress(server.address() as AddressInfo)));
      });
    }),
  );
}

/** Closes the listener and all connections, including active ones. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/**
 * Shuts the server down gracefully: resolves when all pending responses have been sent and all
 * connections are closed. The server must have been started with {@link listenOn}.
 *
 * Closing an idle connection can race with a request that is already on the network. For up to
 * `graceMs`, requests are therefore still served, so that clients that receive `Connection: close`
 * can close their connections themselves.
 */
export async function drainServer(server: Server, graceMs: Milliseconds): Promise<void> {
  const deadline = performance.now() + graceMs;
  while (performance.now() < deadline && (await countConnections(server)) > 0) {
    await sleep(CONNECTION_POLL_MS);
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
    // Connections with pending responses become idle later, so idle ones are closed repeatedly.
    const sweep = setInterval(() => {
      idleConnections.get(server)?.closeIdle();
    }, CONNECTION_POLL_MS);
    // Bypasses http.Server.close(), which also closes connections that it considers idle although
    // their response is still being sent.
    SocketServer.prototype.close.call(server, () => {
      clearInterval(sweep);
      resolve();
    });
  });
}
