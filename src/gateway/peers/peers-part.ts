/**
 * The other gateways: who lives, what they serve, and what they know that this one does not.
 */
import type { ResultAsync } from 'neverthrow';
import type { WritableSection } from '../../board/index.js';
import { roundedAge } from '../../controllers/freshness/index.js';
import {
  PEERING_TICK_MS,
  PeerTable,
  type Digest,
  type GatewayPeer,
  type KnownPeer,
  type Versions,
} from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { Backends } from '../requests/backends.js';
import type { Quarantine } from '../requests/quarantine.js';
import type { ConfigurationPart } from '../store/configuration-part.js';
import type { ObjectStore } from '../store/client.js';
import type { FleetPart } from '../store/fleet-part.js';
import type { GatewayContext, GatewayPart, PeerLoad } from '../types.js';
import { createBehindCheck } from './behind.js';
import { createPeerCalls, createPeerListener } from './link.js';
import type { CatchUp } from './messages.js';
import { createRosterEntry } from './roster-entry.js';
import { createStoreShare } from './store-share.js';

/** Membership and news between gateways. */
export interface PeersPart extends GatewayPart {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Tells those who exchange digests with it at once that this gateway stops. */
  announceStop(): Promise<void>;
  /** The store may have lost this gateway's entry. */
  announceAgain(): void;
}

interface PeersPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  backends: Backends;
  quarantine: Quarantine;
  configuration: ConfigurationPart;
  fleet: FleetPart;
  section: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  load: WritableSection<PeerLoad>;
}

/**
 * Gateways that start together have heard each other after this: they are up within half a second of
 * each other, and the slowest news take 600 ms.
 */
const PEERS_HEARD_MS: Milliseconds = 1_500;

/** All gateways hear of a return of the store at once; it takes some hundred writes a second. */
const ANNOUNCE_WITHIN_MS: Milliseconds = 1_000;

export function createPeersPart(options: PeersPartOptions): PeersPart {
  const { context, section, backends, quarantine, configuration, fleet, store } = options;
  const { settings, clock, logger, board, incarnation } = context;
  const calls = createPeerCalls();
  const self: KnownPeer = {
    name: settings.name,
    address: settings.listen.peers,
    failureDomain: settings.failureDomain,
  };
  const table = new PeerTable(self);
  const incarnations = new Map<string, string>();
  const underWay = new Set<string>();
  const startedAt = clock.now();
  let isStopping = false;
  let publishedAt = Number.NEGATIVE_INFINITY;
  /** Something was heard since the last publishing. */
  let hasNews = false;
  let timer: NodeJS.Timeout | undefined;

  const ownVersions = (): Versions => ({
    configurationVersion: board.serving.read()?.configuration.version ?? 0,
    fleetRevision: board.fleet.read().revision,
  });
  const writeDigest = (): Digest => {
    const now = clock.now();
    return {
      ...self,
      ...ownVersions(),
      incarnation,
      storeReachable: board.storeContact.read().reachable,
      stopping: isStopping,
      hasServed: backends.hasServed(),
      ...writeAges(now),
      load: [...backends.inFlight()],
      suspicions: backends.suspicions.listOwn(now).map(({ server, since, until }) => ({
        server,
        ageMs: Math.round(now - since),
        leftMs: Math.round(until - now),
      })),
      ...quarantine.writeNews(),
    };
  };
  /** How old the proof of each belief is; an age, since clocks differ. */
  const writeAges = (now: Milliseconds): Pick<Digest, 'configurationAgeMs' | 'fleetAgeMs'> => {
    const configurationAgeMs = roundedAge(board.configurationProof.read(), now);
    const fleetAgeMs = roundedAge(board.fleetProof.read(), now);
    return {
      ...(configurationAgeMs !== undefined && { configurationAgeMs }),
      ...(fleetAgeMs !== undefined && { fleetAgeMs }),
    };
  };
  /**
   * Takes the proofs in the answer to a call that was sent at `sentAt`. Only in answers: a digest that
   * came unasked may have waited for this process while it stood still, and look young for that.
   */
  const takeProofs = (answer: Digest, sentAt: Milliseconds): void => {
    const { configurationAgeMs, configurationVersion, fleetAgeMs, fleetRevision } = answer;
    if (configurationAgeMs !== undefined) {
      configuration.takeProof(configurationVersion, sentAt - configurationAgeMs);
    }
    if (fleetAgeMs !== undefined) fleet.takeProof(fleetRevision, sentAt - fleetAgeMs);
  };
  /** With what this gateway knows of others, where it speaks for them. */
  const writeAnswer = (caller?: Digest): Digest => {
    const own = writeDigest();
    const summaries = table.listSummaries(own, clock.now(), caller);
    return {
      ...own,
      ...(summaries.length > 0 && { summaries }),
      ...(caller?.asksForKnown && { known: table.listKnown() }),
    };
  };
  /** After that, those that were not heard are away. */
  const countUnheard = (): number =>
    clock.now() - startedAt < PEERS_HEARD_MS ? table.countUnheard() : 0;
  const publish = (): void => {
    publishedAt = clock.now();
    hasNews = false;
    section.write(table.listAlive(publishedAt));
    options.load.write({
      byServer: table.sumLoad(),
      unheard: countUnheard(),
      isLate: !table.isPairwise(),
    });
  };
  /** What is published names all gateways: a hub, who hears many, publishes once a round. */
  const publishSoon = (): void => {
    hasNews = true;
    if (clock.now() - publishedAt >= PEERING_TICK_MS) publish();
  };
  const takeDigest = (digest: Digest): void => {
    if (digest.name === self.name) return;
    for (const { server, ageMs, leftMs } of table.take(digest, clock.now())) {
      if (backends.learnSuspicion(server, ageMs, leftMs)) {
        logger.log('suspicionLearned', { server, peer: digest.name, ageMs });
      }
    }
    if (incarnations.get(digest.name) !== digest.incarnation) {
      incarnations.set(digest.name, digest.incarnation);
      logger.log('peerHeard', { peer: digest.name, address: digest.address });
    }
    quarantine.takeNews(digest);
    configuration.hearOf(digest.configurationVersion);
    publishSoon();
  };
  const exchange = async (peer: KnownPeer): Promise<void> => {
    if (underWay.has(peer.name)) return;
    underWay.add(peer.name);
    const isNew = section.read().size === 0;
    const sentAt = clock.now();
    try {
      const own = { ...writeAnswer(), asksForKnown: isNew };
      const answer = await calls.exchange(peer.address, own);
      takeDigest(answer);
      takeProofs(answer, sentAt);
    } catch (error) {
      if (section.read().has(peer.name)) {
        logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
      }
    } finally {
      underWay.delete(peer.name);
    }
  };
  const share = createStoreShare({ context, table, configuration, fleet, calls });
  const checkBehind = createBehindCheck(context, calls, {
    listHeard: () => table.listHeard().map(({ digest }) => digest),
    own: ownVersions,
    take: ({ configuration: version, fleet: copy }: CatchUp) => {
      if (version) configuration.take(version, 'peer');
      if (copy) fleet.takeCopy(copy);
      if (version ?? copy) share.distrust();
    },
  });
  const entry = createRosterEntry({
    context,
    store,
    self,
    quarantine,
    onPeer: (peer) => {
      table.learn(peer, clock.now());
    },
  });
  const listener = createPeerListener(settings.listen.peers, {
    exchange: (digest) => {
      takeDigest(digest);
      return writeAnswer(digest);
    },
    catchUp: (has) => {
      const index = board.serving.read();
      const isNewer = index && index.configuration.version > has.configurationVersion;
      return {
        ...(isNewer && { configuration: index.configuration }),
        ...(board.fleet.read().revision > has.fleetRevision && { fleet: fleet.copy() }),
      };
    },
    takeNews: (news) => {
      fleet.takeNews(news);
    },
    hearOf: (version) => {
      configuration.hearOf(version);
    },
  });
  const tick = (): void => {
    const now = clock.now();
    const silent = table.dropSilent(now);
    for (const { peer, silentMs } of silent) {
      incarnations.delete(peer);
      logger.log('peerSilent', { peer, silentMs: Math.round(silentMs) });
    }
    const isChanged = silent.length > 0 || board.peerLoad.read().unheard !== countUnheard();
    if (hasNews || isChanged) publish();
    for (const peer of table.listDue(now)) void exchange(peer);
    share.review(now);
    checkBehind();
  };
  return {
    listen: () => listener.listen(),
    start: () => {
      for (const address of settings.seeds) {
        table.learn({ name: address, address, failureDomain: '' }, clock.now());
      }
      void entry.announce();
      share.review(clock.now());
      timer = setInterval(tick, PEERING_TICK_MS);
      // A stall is told within this failure domain at once: they send there as well.
      backends.onSuspicion(() => {
        for (const peer of table.listNearPartners()) void exchange(peer);
      });
      // A request that ends servers may come to any gateway next.
      quarantine.onReport(() => {
        for (const peer of table.listPartners()) void exchange(peer);
      });
    },
    announceAgain: () => {
      const afterMs = context.random.fraction() * ANNOUNCE_WITHIN_MS;
      setTimeout(() => {
        entry.writeAgain();
      }, afterMs).unref();
    },
    announceStop: async () => {
      isStopping = true;
      entry.stop();
      await Promise.allSettled(
        table.listPartners().map((peer) => calls.exchange(peer.address, writeDigest())),
      );
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all([listener.close(), calls.close()]);
    },
  };
}
