/**
 * The backend servers: their own entries in the store, or what a peer knows while the store is away.
 */
import type { WritableSection } from '../../board/index.js';
import {
  applyFleetChanges,
  applyFleetList,
  expireVanished,
  type FleetChange,
  type ServingFleet,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, StoreChange, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import type { ContactKeeper } from './contact.js';
import { createFollower, type Follower } from './follow.js';

/** Keeps the section `fleet`. */
export interface FleetPart extends GatewayPart {
  /** Takes a whole list that a peer has from a later revision of the store. */
  takeList(servers: readonly BackendServer[], revision: number): void;
  follower: Follower;
}

/**
 * Changes within this span make one call, which all gateways pay for: a replica that forms makes
 * several changes in a row. A lost member is found sooner by other signs.
 */
const PAUSE_MS: Milliseconds = 150;
const EXPIRY_EVERY_MS: Milliseconds = 200;

export function createFleetPart(
  context: GatewayContext,
  store: ObjectStore,
  contact: ContactKeeper,
  section: WritableSection<ServingFleet>,
): FleetPart {
  const { platform, logger, clock } = context;
  let expiry: NodeJS.Timeout | undefined;

  const replace = (next: ServingFleet): void => {
    const before = section.read();
    if (next === before) return;
    logChanges(context, before, next);
    section.write(next);
  };
  const decode = ({ name, value, revision }: StoreObject): BackendServer | undefined => {
    const server = platform.decodeServer(name, value);
    if (server === undefined) logger.log('serverEntryRejected', { server: name, revision });
    return server;
  };
  const decodeChange = ({ object, deleted }: StoreChange): FleetChange[] => {
    if (deleted) return [{ kind: 'absent', id: object.name }];
    const server = decode(object);
    return server ? [{ kind: 'present', server }] : [];
  };
  const takeList = (servers: readonly BackendServer[], revision: number): void => {
    const now = clock.now();
    replace(applyFleetList(section.read(), servers, revision, now, contact.absentFrom(now)));
  };
  const follower = createFollower({
    store,
    kind: platform.serverKind,
    random: context.random,
    pauseMs: PAUSE_MS,
    onList: ({ objects, revision }) => {
      const servers = objects.map(decode).filter((server) => server !== undefined);
      if (revision >= section.read().revision) takeList(servers, findNewest(objects));
    },
    onChanges: ({ changes }) => {
      const now = clock.now();
      const newest = findNewest(changes.map(({ object }) => object));
      const revision = Math.max(section.read().revision, newest);
      const decoded = changes.flatMap(decodeChange);
      const absentFrom = contact.absentFrom(now);
      replace(applyFleetChanges(section.read(), decoded, revision, now, absentFrom));
    },
    onContact: (failure) => {
      contact.record(failure);
    },
  });
  return {
    takeList: (servers, revision) => {
      if (revision > section.read().revision) takeList(servers, revision);
    },
    follower,
    start: () => {
      follower.start();
      expiry = setInterval(() => {
        replace(expireVanished(section.read(), clock.now()));
      }, EXPIRY_EVERY_MS);
    },
    stop: () => {
      clearInterval(expiry);
      return follower.stop();
    },
  };
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
  const { revision } = next;
  for (const server of next.servers.values()) {
    const known = before.servers.get(server.id);
    if (known === server) continue;
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
  for (const id of before.servers.keys()) {
    if (!next.servers.has(id)) logger.log('serverGone', { server: id, revision });
  }
}
