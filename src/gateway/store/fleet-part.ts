/**
 * Tracks the backend servers, from their entries in the store or from a peer.
 */
import type { WritableSection } from '../../board/index.js';
import { laterProof, type Proof } from '../../controllers/freshness/index.js';
import {
  applyFleetChanges,
  compareWithList,
  completeList,
  expireVanished,
  fingerprintFleet,
  serverIdOf,
  listChanged,
  diffFleet,
  resolveEntry,
  type FleetChange,
  type FleetVersion,
  type ServingFleet,
} from '../../controllers/forwarding/index.js';
import { incarnationKey } from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { memoizeLatest } from '../../core/collections/index.js';
import type { TickerTask } from '../../core/ticker/index.js';
import type { BackendServer, StoreChange, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { computeEntryExpiry, ENTRY_RECOVERY_MS, type ReachabilityTracker } from './reachability.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';
import { eraOf, revisionOf } from './qualified-revision.js';

/** Changes of backend servers, as relayed by the gateway that follows the store for its domain. */
export interface FleetUpdate {
  /** The update applies to a fleet that is complete up to this revision. */
  since: number;
  revision: number;
  /** Delay until absent servers count as gone; not zero around an outage of the store. */
  absentInMs: Milliseconds;
  changes: readonly FleetChange[];
  /** The changes name all entries that the store has, so all others are absent. */
  isWhole?: boolean;
  /** What `fingerprintFleet` returns of the fleet after the changes. */
  fingerprint?: string;
}

/** All backend servers known to one gateway. */
export interface FleetSnapshot {
  revision: number;
  servers: readonly BackendServer[];
  /** Servers whose entries have disappeared, with the time left until they count as gone. */
  vanished: readonly { id: string; leftMs: Milliseconds }[];
  /** Names of entries that can't be read, of servers that are not known; absent if there are none. */
  unreadable?: readonly string[];
}

/** Writes the board sections `fleet` and `fleetProof`. */
export interface FleetPart extends GatewayPart {
  follower: FollowerSwitch;
  /** What other gateways are told of the known fleet. */
  version(): FleetVersion;
  /** Records that a peer with `version` had confirmed at `at` that there was nothing newer. */
  recordProof(version: FleetVersion, at: Milliseconds): void;
  /**
   * Compares the own list with the fleet of the peer `name`. If the peer may have missed a removal, the
   * own fleet gets the revision of the list, and the listeners the whole of it.
   */
  observePeer(version: FleetVersion, name: string): void;
  /** Calls `listener` with each update that came from the store itself. */
  onUpdate(listener: (update: FleetUpdate) => void): void;
  /** Applies an update from a peer. One that leaves a gap is ignored; a whole copy closes the gap. */
  applyUpdate(update: FleetUpdate): void;
  snapshot(): FleetSnapshot;
  /** Applies the state of a peer if its revision is later. */
  applySnapshot(copy: FleetSnapshot): void;
}

interface FleetPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  reachability: ReachabilityTracker;
  section: WritableSection<ServingFleet>;
  proof: WritableSection<Proof | undefined>;
}

/** Changes within this time share one call to the store; forming a replica makes several in a row. */
const COALESCE_MS: Milliseconds = 150;
const EXPIRY_INTERVAL_MS: Milliseconds = 200;
/** Longer than the age of any copy that the store is restored from. */
const GONE_RETENTION_MS: Milliseconds = 60_000;

export function createFleetPart(options: FleetPartOptions): FleetPart {
  const { context, store, reachability, section, proof } = options;
  const { platform, logger, clock, settings } = context;
  const entryExpiryMs = computeEntryExpiry(settings.servers.heartbeatMs);
  const listeners: ((update: FleetUpdate) => void)[] = [];
  /** Incarnations of servers that are gone, with the time at which they were removed. */
  const goneIncarnations = new Map<string, Milliseconds>();
  let expiring: TickerTask | undefined;
  let relistTimers: NodeJS.Timeout[] = [];
  /** Revision of the newest list; 0 once what a peer knows has taken its place. */
  let listRevision = 0;
  /** When this gateway last detected that the store was restored from an older copy. */
  let restoredAt = Number.NEGATIVE_INFINITY;

  const commit = (next: ServingFleet): void => {
    const before = section.read();
    if (next === before) return;
    trackGone(before, next);
    logChanges(context, before, next);
    section.write(next);
  };
  const trackGone = (before: ServingFleet, next: ServingFleet): void => {
    const now = clock.now();
    for (const id of next.changed) {
      const server = before.servers.get(id);
      const current = next.servers.get(id);
      if (server && !current) goneIncarnations.set(incarnationKey(server), now);
      // It has rewritten its entry, so later lists show it as it is.
      if (current && !current.leaving) goneIncarnations.delete(incarnationKey(current));
    }
    for (const [incarnation, at] of goneIncarnations)
      if (now - at > GONE_RETENTION_MS) goneIncarnations.delete(incarnation);
  };
  /** Keeps an incarnation out of service whose leaving or removal was lost in a restore. */
  const preserveLeaving = (server: BackendServer): BackendServer => {
    const known = section.read().servers.get(server.id);
    const isSameIncarnation =
      known !== undefined && incarnationKey(known) === incarnationKey(server);
    const hasLeft =
      goneIncarnations.has(incarnationKey(server)) || (isSameIncarnation && known.leaving);
    return hasLeft ? { ...server, leaving: true } : server;
  };
  /**
   * Reconciles a listed server with the known one after a restore. At first the known state of the
   * same incarnation wins, since it is later than the restored copy; the servers then rewrite their
   * entries. A second list picks up entries that were rewritten before the first one. A third one, when
   * entries of servers that are gone have expired, shows which of the servers kept out of service live.
   */
  const reconcileListed = (server: BackendServer): BackendServer => {
    const sinceRestoreMs = clock.now() - restoredAt;
    if (sinceRestoreMs >= entryExpiryMs) return server;
    const known = section.read().servers.get(server.id);
    const isSameIncarnation =
      known !== undefined && incarnationKey(known) === incarnationKey(server);
    return isSameIncarnation && sinceRestoreMs < ENTRY_RECOVERY_MS
      ? known
      : preserveLeaving(server);
  };
  /** Detects from `revision` that the store was restored, and schedules the later lists. */
  const detectRestore = (revision: number): boolean => {
    const known = section.read().revision;
    if (known === 0 || eraOf(revision) <= eraOf(known)) return false;
    restoredAt = clock.now();
    relistTimers.forEach(clearTimeout);
    relistTimers = [ENTRY_RECOVERY_MS, entryExpiryMs].map((afterMs) =>
      setTimeout(() => {
        follower.relist();
      }, afterMs),
    );
    return true;
  };
  const decode = ({ name, value, revision }: StoreObject): BackendServer | undefined => {
    const known = section.read().servers.get(name);
    const entry = platform.decodeServer(name, value);
    const decoded = entry && { ...entry, entryRevision: revision };
    const server = resolveEntry(known, decoded);
    if (decoded === undefined || server !== decoded) {
      logger.log('serverEntryRejected', {
        server: name,
        revision: revisionOf(revision),
        known: known !== undefined,
      });
    }
    return server;
  };
  const decodeChange = ({ object, deleted }: StoreChange): FleetChange => {
    if (deleted) return { kind: 'absent', id: object.name };
    const server = decode(object);
    return server ? { kind: 'present', server } : { kind: 'unreadable', id: object.name };
  };
  /** When absent servers count as gone, both here and at the sender of the update. */
  const absenceEffectiveFrom = (now: Milliseconds, delayMs: Milliseconds): Milliseconds =>
    Math.max(reachability.absenceEffectiveFrom(now), now + delayMs);
  /** The fleet with the changes of `update`. */
  const resolveUpdate = ({ revision, absentInMs, changes, isWhole }: FleetUpdate): ServingFleet => {
    const now = clock.now();
    const effectiveAt = absenceEffectiveFrom(now, absentInMs);
    const known = section.read();
    const complete = isWhole ? completeList(known, changes) : changes;
    return applyFleetChanges(known, complete, revision, now, effectiveAt);
  };
  /** Applies changes received from the store and passes them to the listeners. */
  const applyFromStore = (update: Omit<FleetUpdate, 'absentInMs'>): void => {
    const now = clock.now();
    const absentInMs = reachability.absenceEffectiveFrom(now) - now;
    commit(resolveUpdate({ ...update, absentInMs }));
    const fingerprint = fingerprintFleet(section.read());
    for (const listener of listeners) listener({ ...update, absentInMs, fingerprint });
  };
  /** Gives the known fleet, which is as listed, the revision of the list, and passes it on whole. */
  const publishList = (): void => {
    const known = section.read();
    const { servers, vanished, unreadable } = known;
    const now = clock.now();
    commit({ ...known, revision: listRevision, changed: [] });
    const present = [...servers.values()].filter(({ id }) => !vanished.has(id));
    const update: FleetUpdate = {
      since: 0,
      revision: listRevision,
      absentInMs: Math.max(reachability.absenceEffectiveFrom(now), ...vanished.values()) - now,
      changes: diffFleet({ ...known, servers: new Map() }, present, [...unreadable]),
      isWhole: true,
      fingerprint: fingerprintFleet(known),
    };
    for (const listener of listeners) listener(update);
  };
  const version = (): FleetVersion => {
    const known = section.read();
    return {
      fleetRevision: known.revision,
      ...(listRevision > known.revision && { fleetListRevision: listRevision }),
      fleetFingerprint: fingerprintFleet(known),
    };
  };
  /**
   * Whether this gateway knows as much as one at `revision`. A list after a restore does not cover what was
   * known before: the restored copy may lack entries that are about to be written again.
   */
  const isCovered = (revision: number): boolean => {
    const isListed = revision <= listRevision && eraOf(revision) === eraOf(listRevision);
    return revision <= section.read().revision || isListed;
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.serverKind,
    context,
    proof,
    maxStalenessMs: context.settings.servers.drainMs,
    coalesceMs: COALESCE_MS,
    waitsForReachability: true,
    onList: ({ objects, revision }) => {
      if (revision < section.read().revision) return;
      const known = section.read();
      const decoded = objects.map(decode).filter((server) => server !== undefined);
      const readable = new Set(decoded.map(({ id }) => id));
      const unreadable = objects.map(({ name }) => name).filter((name) => !readable.has(name));
      const isRestored = detectRestore(revision);
      const servers = decoded.map(reconcileListed);
      // Neither a removal nor a return to service after a restore has an object with a revision; only
      // the list's own revision makes peers apply them.
      const needsListRevision = isAnyMissing(known, objects) || isAnyBackInService(known, servers);
      // A later page may show objects newer than changes that the first page lacks.
      const newestListed = Math.min(revision, findNewestRevision(objects));
      const newest = Math.max(known.revision, needsListRevision ? revision : newestListed);
      listRevision = Math.max(listRevision, revision);
      // After a restore peers may know more of the old history than this gateway; `since` makes them
      // fetch a whole copy.
      const since = isRestored ? newest : 0;
      const changes = diffFleet(known, servers, unreadable);
      applyFromStore({ since, revision: newest, changes, isWhole: true });
    },
    onChanges: ({ changes }) => {
      const newest = findNewestRevision(changes.map(({ object }) => object));
      const { revision: since } = section.read();
      const revision = Math.max(since, newest);
      applyFromStore({ since, revision, changes: changes.map(decodeChange) });
    },
  });
  return {
    follower,
    version,
    recordProof: (peer, at) => {
      reachability.recordPeerContact(at);
      const own = version();
      if (peer.fleetRevision > own.fleetRevision) return;
      if (compareWithList(peer, own) === 'different') return;
      proof.write(laterProof(proof.read(), { at, source: 'peer' }));
    },
    onUpdate: (listener) => {
      listeners.push(listener);
    },
    observePeer: (peer, name) => {
      const own = version();
      if (own.fleetListRevision === undefined) return;
      const comparison = compareWithList(own, peer);
      const isNewer = peer.fleetRevision > own.fleetRevision;
      // The newest change that the peer knows is a removal, which the list includes.
      if (comparison === 'same' && isNewer)
        commit({ ...section.read(), revision: peer.fleetRevision, changed: [] });
      if (comparison !== 'different' && !(comparison === 'unknown' && isNewer)) return;
      logger.log('fleetDiffers', {
        peer: name,
        revision: revisionOf(own.fleetRevision),
        peerRevision: revisionOf(peer.fleetRevision),
        listRevision: revisionOf(own.fleetListRevision),
      });
      publishList();
    },
    applyUpdate: (update) => {
      const { revision } = section.read();
      if (update.since > revision || isCovered(update.revision)) return;
      // Only a copy also tells what is to be kept after a restore.
      if (update.isWhole && revision > 0 && eraOf(update.revision) > eraOf(revision)) return;
      const next = resolveUpdate(update);
      const { fingerprint = fingerprintFleet(next) } = update;
      // Without what the sender knows, the later revision would hide what this gateway has missed.
      if (fingerprintFleet(next) !== fingerprint) return;
      listRevision = 0;
      commit(next);
    },
    snapshot: () => {
      const { revision, servers, vanished, unreadable } = section.read();
      const now = clock.now();
      return {
        ...(unreadable.size > 0 && { unreadable: [...unreadable] }),
        revision,
        servers: listServers(servers),
        vanished: [...vanished].map(([id, at]) => ({ id, leftMs: Math.max(0, at - now) })),
      };
    },
    applySnapshot: ({ revision, servers, vanished, unreadable = [] }) => {
      const before = section.read();
      // A copy that the own list covers may still have a server that is no longer listed.
      if (isCovered(revision)) return;
      listRevision = 0;
      detectRestore(revision);
      const now = clock.now();
      const listed = diffFleet(before, servers, unreadable);
      let next = applyFleetChanges(before, listed, revision, now, absenceEffectiveFrom(now, 0));
      for (const { id, leftMs } of vanished) {
        const absent: FleetChange[] = [{ kind: 'absent', id }];
        next = applyFleetChanges(next, absent, revision, now, absenceEffectiveFrom(now, leftMs));
      }
      const affected = [...listed.map(serverIdOf), ...vanished.map(({ id }) => id)];
      commit({ ...next, changed: listChanged(before, next.servers, affected) });
    },
    start: () => {
      expiring = context.ticker.every(EXPIRY_INTERVAL_MS, () => {
        commit(expireVanished(section.read(), clock.now()));
      });
    },
    stop: async () => {
      expiring?.stop();
      relistTimers.forEach(clearTimeout);
      await follower.stop();
    },
  };
}

/** The same list for all copies of one fleet. */
const listServers = memoizeLatest((servers: ServingFleet['servers']): readonly BackendServer[] => [
  ...servers.values(),
]);

/** Whether a known entry that is not yet marked as vanished is missing from `objects`. */
function isAnyMissing(
  { servers, vanished, unreadable }: ServingFleet,
  objects: readonly StoreObject[],
): boolean {
  const names = new Set(objects.map(({ name }) => name));
  const known = [...servers.keys(), ...unreadable];
  return known.some((id) => !names.has(id) && !vanished.has(id));
}

/** Whether a server is listed in service that is known as leaving. */
function isAnyBackInService({ servers }: ServingFleet, listed: readonly BackendServer[]): boolean {
  return listed.some(({ id, leaving }) => !leaving && servers.get(id)?.leaving === true);
}

/**
 * The highest revision of `objects`. The store's own revision also grows with objects of other kinds
 * and would make a gateway that has just listed appear ahead of one that knows as much.
 */
function findNewestRevision(objects: readonly StoreObject[]): number {
  return objects.reduce((newest, { revision }) => Math.max(newest, revision), 0);
}

/** Logs one line for each backend server that has changed. */
function logChanges({ logger }: GatewayContext, before: ServingFleet, next: ServingFleet): void {
  const revision = revisionOf(next.revision);
  for (const id of next.changed) {
    const server = next.servers.get(id);
    if (server === undefined) {
      logger.log('serverGone', { server: id, revision });
      continue;
    }
    const known = before.servers.get(id);
    const membership = server.engine?.membership;
    logger.log(known ? 'serverChanged' : 'serverAppeared', {
      server: server.id,
      service: server.service,
      address: server.address,
      leaving: server.leaving,
      group: membership?.group,
      state: membership?.state,
      lastModel: server.engine?.lastModel,
      staged: server.engine?.staged.join(','),
      domain: server.engine?.fabricDomain,
      revision,
    });
  }
}
