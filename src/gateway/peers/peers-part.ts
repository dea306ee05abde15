/**
 * The other gateways: who lives, what they serve, and what they know that this one does not.
 */
import type { ResultAsync } from 'neverthrow';
import type { WritableSection } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { Backends } from '../requests/backends.js';
import type { ConfigurationPart } from '../store/configuration-part.js';
import type { ObjectStore } from '../store/client.js';
import type { FleetPart } from '../store/fleet-part.js';
import type { GatewayContext, GatewayPart, GatewayPeer } from '../types.js';
import type { Digest, KnownPeer } from './digest.js';
import { createPeerCalls, createPeerListener, type CatchUp } from './link.js';

/** Membership and news between gateways. */
export interface PeersPart extends GatewayPart {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Tells all others at once that this gateway stops. */
  announceStop(): Promise<void>;
}

interface PeersPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  backends: Backends;
  configuration: ConfigurationPart;
  fleet: FleetPart;
  section: WritableSection<ReadonlyMap<string, GatewayPeer>>;
}

/** Kind of the objects by which gateways find each other; one for each name. */
const GATEWAY_KIND = 'gateways';
/** Within a failure domain bytes are free; the load of a replica changes in some hundred ms. */
const NEAR_EVERY_MS: Milliseconds = 200;
/** Between failure domains bytes are dear, and requests seldom go there. */
const FAR_EVERY_MS: Milliseconds = 600;
/** Periods without a call after which the other side calls. */
const TAKE_OVER_PERIODS = 2;
/** Three digests of the slower pace missed. */
const SILENT_AFTER_MS: Milliseconds = 2_000;
const FORGET_AFTER_MS: Milliseconds = 15_000;
const TICK_MS: Milliseconds = 100;
/** A peer is this long ahead before its news is fetched: usually the store's own word is on its way. */
const BEHIND_MS: Milliseconds = 350;

export function createPeersPart(options: PeersPartOptions): PeersPart {
  const { context, section, backends, configuration, fleet, store } = options;
  const { settings, clock, logger, board, incarnation } = context;
  const calls = createPeerCalls();
  const known = new Map<string, KnownPeer>();
  const dueAt = new Map<string, Milliseconds>();
  const underWay = new Set<string>();
  let isStopping = false;
  let timer: NodeJS.Timeout | undefined;
  let behindSince: Milliseconds | undefined;
  let behindAt = '';
  let isCatchingUp = false;

  const self: KnownPeer = {
    name: settings.name,
    address: settings.listen.peers,
    failureDomain: settings.failureDomain,
  };
  const writeDigest = (): Digest => {
    const now = clock.now();
    return {
      ...self,
      incarnation,
      storeReachable: board.storeContact.read().reachable,
      stopping: isStopping,
      hasServed: backends.hasServed(),
      configurationVersion: board.serving.read()?.configuration.version ?? 0,
      fleetRevision: board.fleet.read().revision,
      load: [...backends.inFlight()],
      suspicions: backends.suspicions.listOwn(now).map(({ server, since, until }) => ({
        server,
        ageMs: Math.round(now - since),
        leftMs: Math.round(until - now),
      })),
    };
  };
  const learn = (peer: KnownPeer): void => {
    if (peer.name === self.name) return;
    // A seed is known by its address until it says its name.
    if (peer.name !== peer.address) known.delete(peer.address);
    known.set(peer.name, {
      name: peer.name,
      address: peer.address,
      failureDomain: peer.failureDomain,
    });
  };
  const takeDigest = (digest: Digest): void => {
    if (digest.name === self.name) return;
    learn(digest);
    digest.known?.forEach(learn);
    const now = clock.now();
    const before = section.read().get(digest.name);
    const peers = new Map(section.read());
    if (digest.stopping) peers.delete(digest.name);
    else peers.set(digest.name, toPeer(digest, now));
    section.write(peers);
    if (before?.incarnation !== digest.incarnation) {
      logger.log('peerHeard', { peer: digest.name, address: digest.address });
    }
    for (const { server, ageMs, leftMs } of digest.suspicions) {
      if (backends.learnSuspicion(server, ageMs, leftMs)) {
        logger.log('suspicionLearned', { server, peer: digest.name, ageMs });
      }
    }
  };
  const exchange = async (peer: KnownPeer): Promise<void> => {
    if (underWay.has(peer.name)) return;
    underWay.add(peer.name);
    const isNew = section.read().size === 0;
    try {
      takeDigest(await calls.exchange(peer.address, { ...writeDigest(), asksForKnown: isNew }));
    } catch (error) {
      if (section.read().has(peer.name)) {
        logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
      }
    } finally {
      underWay.delete(peer.name);
    }
  };
  const dropSilent = (now: Milliseconds): void => {
    const silent = [...section.read().values()].filter((p) => now - p.heardAt > SILENT_AFTER_MS);
    if (silent.length === 0) return;
    const peers = new Map(section.read());
    for (const { name, heardAt } of silent) {
      peers.delete(name);
      logger.log('peerSilent', { peer: name, silentMs: Math.round(now - heardAt) });
      setTimeout(() => {
        if (!section.read().has(name)) known.delete(name);
      }, FORGET_AFTER_MS).unref();
    }
    section.write(peers);
  };
  const sendDue = (now: Milliseconds): void => {
    for (const peer of known.values()) {
      const everyMs = peer.failureDomain === self.failureDomain ? NEAR_EVERY_MS : FAR_EVERY_MS;
      const heardAt = section.read().get(peer.name)?.heardAt ?? Number.NEGATIVE_INFINITY;
      // An exchange tells both sides: one of them calls, the other only when that one is silent.
      const waitMs = self.name < peer.name ? everyMs : TAKE_OVER_PERIODS * everyMs;
      if (now < (dueAt.get(peer.name) ?? 0) || now - heardAt < waitMs - TICK_MS) continue;
      dueAt.set(peer.name, now + everyMs);
      void exchange(peer);
    }
  };
  const catchUp = async (): Promise<void> => {
    const source = findSource();
    if (source === undefined) {
      behindSince = undefined;
      return;
    }
    const now = clock.now();
    // Still hearing news of its own, this gateway is only a moment behind.
    const knows = `${board.serving.read()?.configuration.version} ${board.fleet.read().revision}`;
    if (knows !== behindAt) behindSince = undefined;
    behindAt = knows;
    behindSince ??= now;
    if (now - behindSince < BEHIND_MS || isCatchingUp) return;
    isCatchingUp = true;
    try {
      const since = {
        configurationVersion: board.serving.read()?.configuration.version ?? 0,
        fleetRevision: board.fleet.read().revision,
      };
      takeCatchUp(await calls.catchUp(source.address, since), source, now - behindSince);
    } catch (error) {
      logger.log('peerCallFailed', { peer: source.name, reason: String(error) });
    } finally {
      isCatchingUp = false;
      behindSince = undefined;
    }
  };
  /** The nearest peer that knows more than this gateway. */
  const findSource = (): GatewayPeer | undefined => {
    const version = board.serving.read()?.configuration.version ?? 0;
    const { revision } = board.fleet.read();
    const ahead = [...section.read().values()].filter(
      (peer) =>
        peer.configurationVersion > version ||
        (peer.storeReachable && peer.fleetRevision > revision),
    );
    const isNear = (peer: GatewayPeer): boolean => peer.failureDomain === self.failureDomain;
    return ahead.find(isNear) ?? ahead[0];
  };
  const takeCatchUp = (answer: CatchUp, source: GatewayPeer, behindMs: Milliseconds): void => {
    logger.log('caughtUpFromPeer', {
      peer: source.name,
      behindMs: Math.round(behindMs),
      configuration: answer.configuration?.version,
      fleet: answer.fleet?.revision,
    });
    if (answer.configuration) {
      configuration.take(answer.configuration, 'peer');
      configuration.follower.restart();
    }
    if (answer.fleet) {
      fleet.takeList(answer.fleet.servers, answer.fleet.revision);
      fleet.follower.restart();
    }
  };
  const announce = async (): Promise<void> => {
    const written = await store.write(GATEWAY_KIND, self.name, { ...self, incarnation });
    const conflict = written.isOk() && written.value.kind === 'conflict' && written.value.object;
    if (conflict) {
      await store.write(GATEWAY_KIND, self.name, { ...self, incarnation }, conflict.revision);
    }
    const listed = await store.list(GATEWAY_KIND);
    if (listed.isErr()) {
      logger.log('peerCallFailed', { peer: 'store', reason: listed.error.message });
      return;
    }
    for (const { value } of listed.value.objects) {
      const peer = value as KnownPeer;
      if (typeof peer.name === 'string' && typeof peer.address === 'string') learn(peer);
    }
  };
  const listener = createPeerListener(settings.listen.peers, {
    exchange: (digest) => {
      takeDigest(digest);
      const answer = writeDigest();
      return digest.asksForKnown ? { ...answer, known: [...known.values()] } : answer;
    },
    catchUp: (since) => {
      const index = board.serving.read();
      const { revision, servers } = board.fleet.read();
      return {
        ...(index &&
          index.configuration.version > since.configurationVersion && {
            configuration: index.configuration,
          }),
        ...(revision > since.fleetRevision && {
          fleet: { revision, servers: [...servers.values()] },
        }),
      };
    },
  });
  const tick = (): void => {
    const now = clock.now();
    dropSilent(now);
    sendDue(now);
    void catchUp();
  };
  return {
    listen: () => listener.listen(),
    start: () => {
      for (const address of settings.seeds) {
        if (address !== self.address) learn({ name: address, address, failureDomain: '' });
      }
      void announce();
      timer = setInterval(tick, TICK_MS);
      // A stall is told to the gateways of this failure domain at once: they send there as well.
      backends.onSuspicion(() => {
        for (const peer of known.values()) {
          if (peer.failureDomain === self.failureDomain) void exchange(peer);
        }
      });
    },
    announceStop: async () => {
      isStopping = true;
      await Promise.allSettled(
        [...known.values()].map((peer) => calls.exchange(peer.address, writeDigest())),
      );
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all([listener.close(), calls.close()]);
    },
  };
}

function toPeer(digest: Digest, now: Milliseconds): GatewayPeer {
  const { name, address, failureDomain, incarnation, storeReachable, stopping } = digest;
  return {
    name,
    address,
    failureDomain,
    incarnation,
    heardAt: now,
    storeReachable,
    stopping,
    hasServed: digest.hasServed,
    configurationVersion: digest.configurationVersion,
    fleetRevision: digest.fleetRevision,
    load: new Map(digest.load),
  };
}
