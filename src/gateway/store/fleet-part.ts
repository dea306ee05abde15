/**
 * The backend servers: their own entries in the store, or what a peer knows while the store is away.
 */
import type { WritableSection } from '../../board/index.js';
import { laterProof, type Proof } from '../../controllers/freshness/index.js';
import {
  applyFleetChanges,
  expireVanished,
  idOf,
  listChanged,
  listChanges,
  readEntry,
  type FleetChange,
  type ServingFleet,
} from '../../controllers/forwarding/index.js';
import { lifeKey } from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, StoreChange, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { RETURN_MS, type ContactKeeper } from './contact.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';
import { eraOf, revisionOf } from './place.js';

/** Changes of backend servers, as the gateway that follows them passes them on. */
export interface FleetNews {
  /** Whoever knows everything up to this revision knows everything up to `revision` with it. */
  since: number;
  revision: number;
  /** In how long what is absent counts as gone: after an outage of the store not at once. */
  absentInMs: Milliseconds;
  changes: readonly FleetChange[];
}

/** All backend servers, as one gateway knows them. */
export interface FleetCopy {
  revision: number;
  servers: readonly BackendServer[];
  /** Those whose entries vanished, with the time until they count as gone. */
  vanished: readonly { id: string; leftMs: Milliseconds }[];
}

/** Keeps the section `fleet`. */
export interface FleetPart extends GatewayPart {
  follower: FollowerSwitch;
  /** A peer that knows everything up to `revision` knew at `at` that there was nothing newer. */
  takeProof(revision: number, at: Milliseconds): void;
  /** Called with each change that came from the store itself. */
  onNews(listener: (news: FleetNews) => void): void;
  /** Takes what the gateway that follows has heard; a gap is left to {@link takeCopy}. */
  takeNews(news: FleetNews): void;
  copy(): FleetCopy;
  /** Takes what a peer has from a later revision of the store. */
  takeCopy(copy: FleetCopy): void;
}

interface FleetPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  contact: ContactKeeper;
  section: WritableSection<ServingFleet>;
  proof: WritableSection<Proof | undefined>;
}

/**
 * Changes within this span make one call, which is paid for: a replica that forms makes several
 * changes in a row. A lost member is found sooner by other signs.
 */
const PAUSE_MS: Milliseconds = 150;
const EXPIRY_EVERY_MS: Milliseconds = 200;
/** Longer than the store's copies are old. */
const REMEMBER_GONE_MS: Milliseconds = 60_000;

export function createFleetPart(options: FleetPartOptions): FleetPart {
  const { context, store, contact, section, proof } = options;
  const { platform, logger, clock } = context;
  const listeners: ((news: FleetNews) => void)[] = [];
  /** Lives of servers that are there no more, with the time at which they went. */
  const gone = new Map<string, Milliseconds>();
  let expiry: NodeJS.Timeout | undefined;
  let relist: NodeJS.Timeout | undefined;
  /** When it was first known that the store had come back from a copy. */
  let returnedFromCopyAt = Number.NEGATIVE_INFINITY;

  const replace = (next: ServingFleet): void => {
    const before = section.read();
    if (next === before) return;
    noteGone(before, next);
    logChanges(context, before, next);
    section.write(next);
  };
  const noteGone = (before: ServingFleet, next: ServingFleet): void => {
    const now = clock.now();
    for (const id of next.changed) {
      const server = before.servers.get(id);
      if (server && !next.servers.has(id)) gone.set(lifeKey(server), now);
    }
    for (const [life, at] of gone) if (now - at > REMEMBER_GONE_MS) gone.delete(life);
  };
  /** A life of a server whose word to leave, or end, was lost with the rest stays out of service. */
  const keepLeaving = (server: BackendServer): BackendServer => {
    const known = section.read().servers.get(server.id);
    const isSame = known !== undefined && lifeKey(known) === lifeKey(server);
    const hasLeft = gone.has(lifeKey(server)) || (isSame && known.leaving);
    return hasLeft ? { ...server, leaving: true } : server;
  };
  /**
   * What counts of a list after a return from a copy. At first, of a life that is known, what is known,
   * which is later than the copy; changes are what the servers write again. One more list, when all have
   * had the time, brings those that had written before the first.
   */
  const judgeListed = (server: BackendServer): BackendServer => {
    const returnedForMs = clock.now() - returnedFromCopyAt;
    if (returnedForMs >= 2 * RETURN_MS) return server;
    const known = section.read().servers.get(server.id);
    const isKnown = known !== undefined && lifeKey(known) === lifeKey(server);
    return isKnown && returnedForMs < RETURN_MS ? known : keepLeaving(server);
  };
  /** Whether `revision` is of a later history than what is known; from then on the copy is doubted. */
  const noteReturn = (revision: number): boolean => {
    const known = section.read().revision;
    if (known === 0 || eraOf(revision) <= eraOf(known)) return false;
    returnedFromCopyAt = clock.now();
    clearTimeout(relist);
    relist = setTimeout(() => {
      follower.listAnew();
    }, RETURN_MS);
    return true;
  };
  const decode = ({ name, value, revision }: StoreObject): BackendServer | undefined => {
    const known = section.read().servers.get(name);
    const read = platform.decodeServer(name, value);
    const server = readEntry(known, read);
    if (read === undefined || server !== read) {
      logger.log('serverEntryRejected', {
        server: name,
        revision: revisionOf(revision),
        known: known !== undefined,
      });
    }
    return server;
  };
  const decodeChange = ({ object, deleted }: StoreChange): FleetChange[] => {
    if (deleted) return [{ kind: 'absent', id: object.name }];
    const server = decode(object);
    return server ? [{ kind: 'present', server }] : [];
  };
  /** From when on what vanishes counts as gone, here and where the news of it come from. */
  const absentFrom = (now: Milliseconds, inMs: Milliseconds): Milliseconds =>
    Math.max(contact.absentFrom(now), now + inMs);
  const apply = ({ revision, absentInMs, changes }: Omit<FleetNews, 'since'>): void => {
    const now = clock.now();
    const from = absentFrom(now, absentInMs);
    replace(applyFleetChanges(section.read(), changes, revision, now, from));
  };
  /** What the store itself says. */
  const takeFromStore = (
    since: number,
    revision: number,
    changes: readonly FleetChange[],
  ): void => {
    const now = clock.now();
    const absentInMs = contact.absentFrom(now) - now;
    const news = { since, revision, absentInMs, changes };
    apply(news);
    for (const listener of listeners) listener(news);
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.serverKind,
    context,
    proof,
    boundMs: context.settings.servers.drainMs,
    pauseMs: PAUSE_MS,
    onList: ({ objects, revision }) => {
      if (revision < section.read().revision) return;
      const known = section.read();
      const read = objects.map(decode).filter((server) => server !== undefined);
      const isRewound = noteReturn(revision);
      const servers = read.map(judgeListed);
      // No object shows that another one has gone: only the list's own revision is later than that.
      const isOneGone = hasLeft(known, objects);
      const newest = Math.max(known.revision, isOneGone ? revision : findNewest(objects));
      // The others may know more of the former history than this gateway: each takes a whole copy.
      const since = isRewound ? newest : known.revision;
      takeFromStore(since, newest, listChanges(known, servers));
    },
    onChanges: ({ changes }) => {
      const newest = findNewest(changes.map(({ object }) => object));
      const { revision } = section.read();
      takeFromStore(revision, Math.max(revision, newest), changes.flatMap(decodeChange));
    },
  });
  return {
    follower,
    takeProof: (revision, at) => {
      if (revision > section.read().revision) return;
      proof.write(laterProof(proof.read(), { at, source: 'peer' }));
    },
    onNews: (listener) => {
      listeners.push(listener);
    },
    takeNews: (news) => {
      const { revision } = section.read();
      if (news.since <= revision && news.revision > revision) apply(news);
    },
    copy: () => {
      const { revision, servers, vanished } = section.read();
      const now = clock.now();
      return {
        revision,
        servers: [...servers.values()],
        vanished: [...vanished].map(([id, at]) => ({ id, leftMs: Math.max(0, at - now) })),
      };
    },
    takeCopy: ({ revision, servers, vanished }) => {
      const before = section.read();
      if (revision <= before.revision) return;
      noteReturn(revision);
      const now = clock.now();
      const listed = listChanges(before, servers);
      let next = applyFleetChanges(before, listed, revision, now, absentFrom(now, 0));
      for (const { id, leftMs } of vanished) {
        const absent: FleetChange[] = [{ kind: 'absent', id }];
        next = applyFleetChanges(next, absent, revision, now, absentFrom(now, leftMs));
      }
      const touched = [...listed.map(idOf), ...vanished.map(({ id }) => id)];
      replace({ ...next, changed: listChanged(before, next.servers, touched) });
    },
    start: () => {
      expiry = setInterval(() => {
        replace(expireVanished(section.read(), clock.now()));
      }, EXPIRY_EVERY_MS);
    },
    stop: async () => {
      clearInterval(expiry);
      clearTimeout(relist);
      await follower.stop();
    },
  };
}

/** A server that is known, and not about to be forgotten, is not among `objects`. */
function hasLeft({ servers, vanished }: ServingFleet, objects: readonly StoreObject[]): boolean {
  const names = new Set(objects.map(({ name }) => name));
  return [...servers.keys()].some((id) => !names.has(id) && !vanished.has(id));
}

/**
 * The last revision of any of `objects`. The store's own revision grows with objects of all kinds,
 * and would make a gateway that has just listed look ahead of one that knows as much.
 */
function findNewest(objects: readonly StoreObject[]): number {
  return objects.reduce((newest, { revision }) => Math.max(newest, revision), 0);
}

/** One line for each backend server that is thought to be something else than before. */
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
