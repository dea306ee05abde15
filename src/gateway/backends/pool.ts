/**
 * Pool of reusable connections to backend servers.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { openConnection, type BackendConnection } from './connection.js';

/** Address of a backend server. The id distinguishes servers that use an address in turn. */
export interface BackendAddress {
  id: string;
  address: string;
}

/** Idle connections by backend server. */
export interface ConnectionPool {
  /** Returns an idle connection, or a new one if there is none or `requiresNew` is set. */
  acquire(server: BackendAddress, requiresNew: boolean): BackendConnection;
  /** Returns a connection to the pool after a complete response. */
  release(server: BackendAddress, connection: BackendConnection): void;
  /**
   * Called when a server has restarted under its id. Closes idle connections to the previous
   * process, and the ones in use once they are released.
   */
  invalidateServer(id: string): void;
  /** Closes idle connections to servers that are no longer known. */
  prune(isKnown: (id: string) => boolean): void;
  close(): Promise<void>;
}

interface PoolOptions {
  clock: Clock;
  /** Called for each new connection. */
  onOpen: () => void;
  /** The number of idle connections to keep to a server; read at each release. */
  maxIdle: (id: string) => number;
}

/** Connections idle for longer are not reused, because the server may be closing them. */
const MAX_REUSABLE_IDLE_MS: Milliseconds = 3_000;

export function createConnectionPool({ clock, onOpen, maxIdle }: PoolOptions): ConnectionPool {
  const idle = new Map<string, BackendConnection[]>();
  /** Number of restarts by server id; servers that have not restarted are absent. */
  const generations = new Map<string, number>();

  const generationOf = (id: string): number => generations.get(id) ?? 0;
  const removeIdle = (id: string, connection: BackendConnection): void => {
    const remaining = idle.get(id)?.filter((other) => other !== connection) ?? [];
    if (remaining.length > 0) idle.set(id, remaining);
    else idle.delete(id);
  };
  const discard = (connection: BackendConnection): void => {
    connection.state.ended = true;
    void connection.client.destroy();
  };
  const closeIdle = (id: string): void => {
    const connections = idle.get(id) ?? [];
    idle.delete(id);
    connections.forEach(discard);
  };
  return {
    acquire: (server, requiresNew) => {
      const idleConnections = requiresNew ? undefined : idle.get(server.id);
      for (
        let connection = idleConnections?.pop();
        connection;
        connection = idleConnections?.pop()
      ) {
        const { state } = connection;
        if (!state.ended && clock.now() - state.idleSince < MAX_REUSABLE_IDLE_MS) return connection;
        discard(connection);
      }
      onOpen();
      const opened = openConnection(server.address, generationOf(server.id), () => {
        removeIdle(server.id, opened);
      });
      return opened;
    },
    release: (server, connection) => {
      if (connection.state.ended) return;
      const idleConnections = idle.get(server.id) ?? [];
      const isOutdated = connection.state.generation !== generationOf(server.id);
      if (isOutdated || idleConnections.length >= maxIdle(server.id)) {
        discard(connection);
        return;
      }
      connection.state.isFirstUse = false;
      connection.state.idleSince = clock.now();
      idleConnections.push(connection);
      idle.set(server.id, idleConnections);
    },
    invalidateServer: (id) => {
      generations.set(id, generationOf(id) + 1);
      closeIdle(id);
    },
    prune: (isKnown) => {
      for (const id of [...idle.keys()]) if (!isKnown(id)) closeIdle(id);
    },
    close: async () => {
      const all = [...idle.values()].flat();
      idle.clear();
      await Promise.all(all.map(({ client }) => client.destroy()));
    },
  };
}
