/**
 * Connections to backend servers, kept for the next request.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { openConnection, type BackendConnection } from './connection.js';

/** Where a connection goes. The id tells apart servers that used one address in turn. */
export interface BackendAddress {
  id: string;
  address: string;
}

/** Connections by backend server. */
export interface ConnectionPool {
  /** One that no request uses; a new one when there is none, or when `fresh` is asked for. */
  acquire(to: BackendAddress, fresh: boolean): BackendConnection;
  /** The request on it has its whole answer. */
  release(to: BackendAddress, connection: BackendConnection): void;
  /**
   * The server has started again under its id: closes what is kept to its former life, and keeps
   * nothing of it later. Its connections lead to a process that has ended, or to another address.
   */
  endLife(id: string): void;
  /** Closes what is kept to servers that `isKnown` does not hold. */
  prune(isKnown: (id: string) => boolean): void;
  close(): Promise<void>;
}

interface PoolOptions {
  clock: Clock;
  /** Called with each connection that is opened. */
  onOpen: () => void;
}

/** Older idle connections may be closed by the other side at the moment they are used. */
const REUSE_WITHIN_MS: Milliseconds = 3_000;
/** Kept to one server; more were needed only in a burst that is over. */
const MOST_IDLE = 8;

export function createConnectionPool({ clock, onOpen }: PoolOptions): ConnectionPool {
  const idle = new Map<string, BackendConnection[]>();
  /** Lives that have ended, by id; only ids that have started again are in it. */
  const ended = new Map<string, number>();

  const lifeOf = (id: string): number => ended.get(id) ?? 0;
  const drop = (id: string, connection: BackendConnection): void => {
    const kept = idle.get(id)?.filter((other) => other !== connection) ?? [];
    if (kept.length > 0) idle.set(id, kept);
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
    acquire: (to, fresh) => {
      const kept = fresh ? undefined : idle.get(to.id);
      for (let connection = kept?.pop(); connection; connection = kept?.pop()) {
        const { state } = connection;
        if (!state.ended && clock.now() - state.idleSince < REUSE_WITHIN_MS) return connection;
        discard(connection);
      }
      onOpen();
      const created = openConnection(to.address, lifeOf(to.id), () => {
        drop(to.id, created);
      });
      return created;
    },
    release: (to, connection) => {
      if (connection.state.ended) return;
      const kept = idle.get(to.id) ?? [];
      const isFormer = connection.state.life !== lifeOf(to.id);
      if (isFormer || kept.length >= MOST_IDLE) {
        discard(connection);
        return;
      }
      connection.state.idleSince = clock.now();
      kept.push(connection);
      idle.set(to.id, kept);
    },
    endLife: (id) => {
      ended.set(id, lifeOf(id) + 1);
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
