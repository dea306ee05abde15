/**
 * The backend servers as this entry knows them, and which of them may take requests.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';

/** All known backend servers. Replaced, never changed in place. */
export interface ServingFleet {
  /** The store's revision that it stands for; 0 before the first list. */
  revision: number;
  servers: ReadonlyMap<string, BackendServer>;
  /** Servers that are not what they were in the fleet before: who follows changes looks at these alone. */
  changed: readonly string[];
  /** Entries that vanished around an outage of the store, with the instant at which they count as gone. */
  vanished: ReadonlyMap<string, Milliseconds>;
}

/** The fleet before anything is known. */
export const EMPTY_FLEET: ServingFleet = {
  revision: 0,
  servers: new Map(),
  changed: [],
  vanished: new Map(),
};

/** One change of a backend server's entry. */
export type FleetChange =
  { kind: 'present'; server: BackendServer } | { kind: 'absent'; id: string };

/**
 * `fleet` after `changes`. `absentFrom` is the instant from which entries that are now absent count
 * as gone: now, or later after an outage of the store.
 *
 * Guards against an outage of the store being taken for the death of all backend servers: entries
 * lapse while nobody can renew them and are back a moment after its return. Without the delay each
 * outage would take all capacity out of service and tear all replicas apart.
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
  for (const change of changes) {
    switch (change.kind) {
      case 'present':
        keepChange(servers, change.server);
        vanished.delete(change.server.id);
        break;
      case 'absent':
        if (absentFrom > now && servers.has(change.id)) vanished.set(change.id, absentFrom);
        else servers.delete(change.id);
        break;
    }
  }
  const changed = listChanged(fleet, servers, changes.map(idOf));
  return { revision, servers, vanished, changed };
}

/** The server that `change` is about. */
export function idOf(change: FleetChange): string {
  return change.kind === 'present' ? change.server.id : change.id;
}

/** Those of `touched` that are not in `servers` what they were in `before`. */
export function listChanged(
  before: ServingFleet,
  servers: ServingFleet['servers'],
  touched: Iterable<string>,
): string[] {
  return [...new Set(touched)].filter((id) => before.servers.get(id) !== servers.get(id));
}

/** A server that is as it was stays the same value, so that a list changes only what has changed. */
function keepChange(servers: Map<string, BackendServer>, server: BackendServer): void {
  const before = servers.get(server.id);
  const after = keepLastModel(before, server);
  if (!isDeepStrictEqual(before, after)) servers.set(server.id, after);
}

/** `server` with the model that it was last seen with in the same life; another one has none. */
function keepLastModel(before: BackendServer | undefined, server: BackendServer): BackendServer {
  const { engine } = server;
  const known = before?.startedAt === server.startedAt ? before?.engine?.lastModel : undefined;
  const lastModel = engine?.model ?? known;
  if (engine === undefined || lastModel === undefined) return server;
  return { ...server, engine: { ...engine, lastModel } };
}

/**
 * What the newest entry of a server says of it, with `known` as what was known of it and `read` as
 * what could be read of the entry; undefined when it names no server that is known.
 *
 * Guards against an entry that another writer has left: its server may be there or not, so it gets
 * nothing new from now on. What is known of it is kept: its replica finishes what it has, and it
 * comes back as it was when its own entry can be read again. An entry without its start is one of
 * another writer's where the server has told its start before.
 */
export function readEntry(
  known: BackendServer | undefined,
  read: BackendServer | undefined,
): BackendServer | undefined {
  const lacksStart = known?.startedAt !== undefined && read?.startedAt === undefined;
  if (read !== undefined && !lacksStart) return read;
  return known && { ...known, leaving: true };
}

/** What a whole list says: what it lacks is absent. */
export function listChanges(
  fleet: ServingFleet,
  listed: readonly BackendServer[],
): readonly FleetChange[] {
  const present = new Set(listed.map(({ id }) => id));
  const absent = [...fleet.servers.keys()].filter((id) => !present.has(id));
  return [
    ...listed.map((server): FleetChange => ({ kind: 'present', server })),
    ...absent.map((id): FleetChange => ({ kind: 'absent', id })),
  ];
}

/** `fleet` without the vanished entries whose time has come; the same value when there are none. */
export function expireVanished(fleet: ServingFleet, now: Milliseconds): ServingFleet {
  const due = [...fleet.vanished].filter(([, at]) => at <= now).map(([id]) => id);
  if (due.length === 0) return fleet;
  const servers = new Map(fleet.servers);
  const vanished = new Map(fleet.vanished);
  for (const id of due) {
    servers.delete(id);
    vanished.delete(id);
  }
  return { ...fleet, servers, vanished, changed: due.filter((id) => fleet.servers.has(id)) };
}
