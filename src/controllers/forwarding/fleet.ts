/**
 * The gateway's view of the registered backend servers, and how changes in the store update it.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

/** All known backend servers. Immutable. */
export interface ServingFleet {
  /** All changes up to this store revision are included; 0 before the first list. */
  revision: number;
  servers: ReadonlyMap<string, BackendServer>;
  /** Ids of the servers that differ from the previous state. */
  changed: readonly string[];
  /** Servers whose entries disappeared around a store outage, with the time of their removal. */
  vanished: ReadonlyMap<string, Milliseconds>;
  /** Names of entries that can't be read, of servers that are not known. */
  unreadable: ReadonlySet<string>;
}

/** The fleet before the first list from the store. */
export const EMPTY_FLEET: ServingFleet = {
  revision: 0,
  servers: new Map(),
  changed: [],
  vanished: new Map(),
  unreadable: new Set(),
};

/** A change of one backend server's entry in the store. */
export type FleetChange =
  | { kind: 'present'; server: BackendServer }
  | { kind: 'absent'; id: string }
  /** The entry is there, but the sender can't read it and does not know the server. */
  | { kind: 'unreadable'; id: string };

/**
 * Returns `fleet` with `changes` applied. `absentFrom` is the time at which absent entries are
 * removed: `now`, or later after a store outage.
 *
 * Entries expire during a store outage because they can't be renewed, and reappear shortly after it.
 * Without the delay, each outage would remove all capacity and disband all replicas.
 */
export function applyFleetChanges(
  fleet: ServingFleet,
  changes: readonly FleetChange[],
  revision: number,
  now: Milliseconds,
  absentFrom: Milliseconds,
): ServingFleet {
  const servers = new Map(fleet.servers);
  const vanished = new Map(fleet.vanished);
  const unreadable = new Set(fleet.unreadable);
  for (const change of changes) {
    unreadable.delete(serverIdOf(change));
    switch (change.kind) {
      case 'present':
        setIfChanged(servers, change.server);
        vanished.delete(change.server.id);
        break;
      case 'absent':
        if (absentFrom > now && servers.has(change.id)) vanished.set(change.id, absentFrom);
        else servers.delete(change.id);
        break;
      case 'unreadable': {
        const server = resolveEntry(servers.get(change.id), undefined);
        if (server === undefined) unreadable.add(change.id);
        else setIfChanged(servers, server);
        vanished.delete(change.id);
        break;
      }
    }
  }
  const changed = listChanged(fleet, servers, changes.map(serverIdOf));
  return { revision, servers, vanished, unreadable, changed };
}

/** Returns the id of the changed server. */
export function serverIdOf(change: FleetChange): string {
  return change.kind === 'present' ? change.server.id : change.id;
}

/** Returns the ids in `touched` whose server differs between `before` and `servers`. */
export function listChanged(
  before: ServingFleet,
  servers: ServingFleet['servers'],
  touched: Iterable<string>,
): string[] {
  return [...new Set(touched)].filter((id) => before.servers.get(id) !== servers.get(id));
}

/** Stores `server` only if it differs, so that unchanged servers keep their object identity. */
function setIfChanged(servers: Map<string, BackendServer>, server: BackendServer): void {
  const before = servers.get(server.id);
  // An answer that was under way while a peer's copy brought a later entry.
  if ((before?.entryRevision ?? 0) > (server.entryRevision ?? Infinity)) return;
  const after = withLastModel(before, server);
  if (!isDeepStrictEqual(before, after)) servers.set(server.id, after);
}

/** Adds the model that `server` last reported since its current start, if any. */
function withLastModel(before: BackendServer | undefined, server: BackendServer): BackendServer {
  const { engine } = server;
  const previousModel =
    before?.startedAt === server.startedAt ? before?.engine?.lastModel : undefined;
  const lastModel = engine?.model ?? previousModel;
  if (engine === undefined || lastModel === undefined) return server;
  return { ...server, engine: { ...engine, lastModel } };
}

/**
 * Resolves a server from its previous state `known` and its decoded entry `read`; undefined when the
 * entry is unreadable and the server unknown.
 *
 * An unreadable entry was overwritten by another writer, so the server may be gone: it is marked as
 * leaving and gets no new requests, but keeps its state until its own entry is readable again. An
 * entry without a start time counts as overwritten when the server reported one before.
 */
export function resolveEntry(
  known: BackendServer | undefined,
  read: BackendServer | undefined,
): BackendServer | undefined {
  const lacksStart = known?.startedAt !== undefined && read?.startedAt === undefined;
  if (read !== undefined && !lacksStart) return read;
  return known && { ...known, leaving: true };
}

/** Converts a full list into changes: known servers that are not listed are absent. */
export function diffFleet(
  fleet: ServingFleet,
  listed: readonly BackendServer[],
  unreadable: readonly string[] = [],
): readonly FleetChange[] {
  return completeList(fleet, [
    ...listed.map((server): FleetChange => ({ kind: 'present', server })),
    ...unreadable.map((id): FleetChange => ({ kind: 'unreadable', id })),
  ]);
}

/** Adds to `listed`, which names all entries, that those of `fleet` that it does not name are absent. */
export function completeList(
  fleet: ServingFleet,
  listed: readonly FleetChange[],
): readonly FleetChange[] {
  const named = new Set(listed.map(serverIdOf));
  const absent = [...fleet.servers.keys(), ...fleet.unreadable].filter((id) => !named.has(id));
  return [...listed, ...absent.map((id): FleetChange => ({ kind: 'absent', id }))];
}

/** Removes the vanished servers that are due; returns `fleet` itself when there are none. */
export function expireVanished(fleet: ServingFleet, now: Milliseconds): ServingFleet {
  const expired = [...fleet.vanished].filter(([, at]) => at <= now).map(([id]) => id);
  if (expired.length === 0) return fleet;
  const servers = new Map(fleet.servers);
  const vanished = new Map(fleet.vanished);
  for (const id of expired) {
    servers.delete(id);
    vanished.delete(id);
  }
  return { ...fleet, servers, vanished, changed: expired.filter((id) => fleet.servers.has(id)) };
}
