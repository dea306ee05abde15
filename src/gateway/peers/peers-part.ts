/**
 * Tracks the other gateways: which are alive, their load, and state that is newer than this one's.
 */
import type { ResultAsync } from 'neverthrow';
import type { WritableSection } from '../../board/index.js';
import {
  computeProofBounds,
  proofAge,
  roundedProofAge,
} from '../../controllers/freshness/index.js';
import {
  collectLimitReports,
  collectSpeedSources,
  observeMembers,
  PEERING_TICK_MS,
  PeerTable,
  type Digest,
  haveSameDuties,
  type GatewayPeer,
  type KnownPeer,
  type ReportedSuspicion,
  type Versions,
} from '../../controllers/peering/index.js';
import { ProofQuestions } from '../../controllers/propagation/index.js';
import type { FleetMembers } from '../../controllers/quotas/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { TickerTask } from '../../core/ticker/index.js';
import type { BackendTracker } from '../requests/backend-tracker.js';
import type { SpeedTracker } from '../requests/speed-tracker.js';
import type { Quarantine } from '../requests/quarantine.js';
import type { ConfigurationPart } from '../store/configuration-part.js';
import type { ObjectStore } from '../store/client.js';
import type { EvacuationPart } from '../store/evacuation-part.js';
import type { FleetPart } from '../store/fleet-part.js';
import type { GatewayContext, GatewayPart, PeerLoad } from '../types.js';
import { createCatchUpCheck } from './catch-up.js';
import { createFollowControl } from './follow-control.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { RelayHandler } from '../relay/relay-handler.js';
import { createNewsRelay } from './news-relay.js';
import { createPeerListener, type PeerClient, type PeerHandlers } from './rpc.js';
import type { CatchUpResponse, FreshnessReport } from './messages.js';
import { packConfiguration, unpackConfiguration } from './packed-configuration.js';
import { createGatewayRegistration } from './registration.js';

/** Membership and state exchange between gateways. */
export interface PeersPart extends GatewayPart {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Immediately notifies all exchange partners that this gateway is stopping. */
  announceStop(): Promise<void>;
  /** Rewrites this gateway's entry in the store, which may have been lost. */
  refreshRegistration(): void;
}

interface PeersPartOptions {
  context: GatewayContext;
  client: PeerClient;
  links: Pick<LinkMonitor, 'checkForPeer'>;
  relay: Pick<RelayHandler, 'handle'>;
  store: ObjectStore;
  backends: BackendTracker;
  speeds: SpeedTracker;
  members: FleetMembers;
  quarantine: Quarantine;
  configuration: ConfigurationPart;
  fleet: FleetPart;
  /** Absent if evacuations are not followed. */
  evacuation: EvacuationPart | undefined;
  section: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  candidates: WritableSection<ReadonlyMap<string, GatewayPeer>>;
  load: WritableSection<PeerLoad>;
}

/** Time after which gateways that start together have heard from each other. */
const STARTUP_DISCOVERY_MS: Milliseconds = 1_500;

/** Longest time between two checks of the gateways that may hold duties of the fleet. */
const CANDIDATES_INTERVAL_MS: Milliseconds = 500;
/** Maximum random delay before rewriting the entry, so that gateways don't all write at once. */
const REGISTRATION_JITTER_MS: Milliseconds = 1_000;

export function createPeersPart(options: PeersPartOptions): PeersPart {
  const { context, client, section, backends, members, quarantine, configuration, fleet, store } =
    options;
  const { evacuation } = options;
  const { settings, clock, logger, board, incarnation } = context;
  const self: KnownPeer = {
    name: settings.name,
    address: settings.listen.peers,
    failureDomain: settings.failureDomain,
  };
  const table = new PeerTable(self);
  const relay = createNewsRelay(self, table, client, context);
  const incarnations = new Map<string, string>();
  const proofQuestions = new ProofQuestions(self.failureDomain);
  const proofBounds = computeProofBounds(settings.configuration.applyMs);
  const pendingExchanges = new Set<string>();
  const startedAt = clock.now();
  let isStopping = false;
  let publishedAt = Number.NEGATIVE_INFINITY;
  let candidatesAt = Number.NEGATIVE_INFINITY;
  let hasUnpublishedChanges = false;
  let ticking: TickerTask | undefined;

  const ownVersions = (): Versions => ({
    configurationVersion: board.serving.read()?.configuration.version ?? 0,
    fleetRevision: board.fleet.read().revision,
  });
  const createDigest = (): Digest => {
    const now = clock.now();
    const limits = backends.listRateLimits();
    const speeds = options.speeds.report();
    const cutOffFrom = board.cutOffServices.read();
    const evacuations = evacuation?.report();
    return {
      ...self,
      ...ownVersions(),
      ...fleet.version(),
      incarnation,
      membersHash: members.fingerprint,
      storeReachable: board.storeReachability.read().reachable,
      ...(cutOffFrom.length > 0 && { cutOffFrom: [...cutOffFrom] }),
      stopping: isStopping,
      hasServed: board.hasTraffic.read() || backends.hasServed(),
      ...createProofAges(now),
      load: [...backends.inFlight()],
      suspicions: listOwnSuspicions(now),
      ...(limits.length > 0 && { limits }),
      ...(evacuations && { evacuations }),
      ...(speeds.length > 0 && { speeds }),
      ...quarantine.buildDigest(),
    };
  };
  /** Ages of the proofs that local state is current. Ages are sent because clocks differ. */
  const createProofAges = (
    now: Milliseconds,
  ): Pick<Digest, 'configurationAgeMs' | 'fleetAgeMs'> => {
    const configurationAgeMs = roundedProofAge(board.configurationProof.read(), now);
    const fleetAgeMs = roundedProofAge(board.fleetProof.read(), now);
    return {
      ...(configurationAgeMs !== undefined && { configurationAgeMs }),
      ...(fleetAgeMs !== undefined && { fleetAgeMs }),
    };
  };
  /**
   * Accepts the proofs in the response to a call that was sent at `sentAt`. Proofs in incoming calls
   * are ignored: a call that was queued while this process was paused would look too recent.
   */
  const acceptProofs = (response: FreshnessReport, sentAt: Milliseconds): void => {
    const { configurationAgeMs, configurationVersion, fleetAgeMs } = response;
    if (configurationAgeMs !== undefined) {
      configuration.recordProof(configurationVersion, sentAt - configurationAgeMs);
    }
    if (fleetAgeMs !== undefined) fleet.recordProof(response, sentAt - fleetAgeMs);
  };
  const acceptDigestProofs = (response: Digest, sentAt: Milliseconds): void => {
    acceptProofs(response, sentAt);
    const { revision = 0, ageMs } = response.evacuations ?? {};
    if (ageMs !== undefined) evacuation?.recordProof(revision, sentAt - ageMs);
  };
  const askForProof = async (now: Milliseconds): Promise<void> => {
    const ageMs = proofAge(board.configurationProof.read(), now) ?? Infinity;
    const isOld = ageMs > proofBounds.askAfterMs(table.hubInterval());
    const peer = proofQuestions.next(now, isOld, board.peers.read().values(), context.random);
    if (peer === undefined) return;
    try {
      const report = await client.askFreshness(peer.address);
      acceptProofs(report, now);
      configuration.noteVersion(report.configurationVersion, peer.address);
    } catch {
      // The next question goes to another gateway.
    }
  };
  /** The own digest plus, on a hub, summaries of the failure domains. */
  const createExchangeDigest = (caller?: Digest): Digest => {
    const own = createDigest();
    const summaries = table.listSummaries(own, clock.now(), caller);
    return {
      ...own,
      ...(summaries.length > 0 && { summaries }),
      ...(caller?.asksForKnown && { known: table.listKnown() }),
    };
  };
  /** After {@link STARTUP_DISCOVERY_MS}, peers that were never heard from are considered down. */
  const countUnheard = (): number =>
    clock.now() - startedAt < STARTUP_DISCOVERY_MS ? table.countUnheard() : 0;
  /** Gateways also become candidates, or cease to be, without a message. */
  const publishCandidates = (): void => {
    candidatesAt = clock.now();
    const candidates = table.listCandidates();
    if (!haveSameDuties(candidates, options.candidates.read()))
      options.candidates.write(candidates);
  };
  const publish = (): void => {
    publishedAt = clock.now();
    hasUnpublishedChanges = false;
    section.write(table.listAlive(publishedAt));
    publishCandidates();
    options.load.write({
      byServer: table.sumLoad(),
      unheard: countUnheard(),
      isLate: !table.isPairwise(),
    });
  };
  /** Publishes at most once per tick, because publishing lists all gateways. */
  const publishThrottled = (): void => {
    hasUnpublishedChanges = true;
    if (clock.now() - publishedAt >= PEERING_TICK_MS) publish();
  };
  /** Only those that are new here are relayed, so that none goes round. */
  const adoptSuspicions = (suspicions: readonly ReportedSuspicion[], peer: string): void => {
    const adopted = suspicions.filter(({ server, ageMs, leftMs }) =>
      backends.adoptPeerSuspicion(server, ageMs, leftMs),
    );
    for (const { server, ageMs } of adopted)
      logger.log('suspicionLearned', { server, peer, ageMs });
    relay.suspicions(adopted);
  };
  const listOwnSuspicions = (now: Milliseconds): ReportedSuspicion[] =>
    backends.suspicions.listConfirmed(now).map(({ server, since, until }) => ({
      server,
      ageMs: Math.round(now - since),
      leftMs: Math.round(until - now),
    }));
  const applyDigest = (digest: Digest, isResponse: boolean): void => {
    if (digest.name === self.name) return;
    observeMembers(members, digest, clock.now(), isResponse);
    adoptSuspicions(table.applyDigest(digest, clock.now()), digest.name);
    for (const report of collectLimitReports(digest)) {
      backends.adoptRateLimit(report, digest.name);
    }
    options.speeds.adopt(collectSpeedSources(digest));
    if (incarnations.get(digest.name) !== digest.incarnation) {
      incarnations.set(digest.name, digest.incarnation);
      logger.log('peerHeard', { peer: digest.name, address: digest.address });
    }
    const isOwnDomain = digest.failureDomain === self.failureDomain;
    relay.quarantine(quarantine.mergeDigest(digest), isOwnDomain);
    configuration.noteVersion(digest.configurationVersion, digest.address);
    fleet.observePeer(digest, digest.name);
    if (digest.evacuations) evacuation?.applyState(digest.evacuations, digest.name);
    publishThrottled();
  };
  const exchange = async (peer: KnownPeer): Promise<void> => {
    if (pendingExchanges.has(peer.name)) return;
    pendingExchanges.add(peer.name);
    const hasNoPeers = section.read().size === 0;
    const sentAt = clock.now();
    try {
      const own = { ...createExchangeDigest(), asksForKnown: hasNoPeers };
      const response = await client.exchange(peer.address, own);
      applyDigest(response, true);
      acceptDigestProofs(response, sentAt);
    } catch (error) {
      if (section.read().has(peer.name)) {
        logger.log('peerCallFailed', { peer: peer.name, reason: String(error) });
      }
    } finally {
      pendingExchanges.delete(peer.name);
    }
  };
  const followControl = createFollowControl({
    context,
    table,
    configuration,
    fleet,
    evacuation,
    client,
  });
  const checkCatchUp = createCatchUpCheck(context, client, {
    listDigests: () => table.listCatchUpSources().map(({ digest }) => digest),
    ownVersions,
    apply: ({ configuration: configurationCopy, fleet: fleetCopy }: CatchUpResponse) => {
      if (configurationCopy) configuration.apply(unpackConfiguration(configurationCopy), 'peer');
      if (fleetCopy) fleet.applySnapshot(fleetCopy);
      if (configurationCopy ?? fleetCopy) followControl.forceFollow();
    },
  });
  const registration = createGatewayRegistration({
    context,
    store,
    self,
    members,
    quarantine,
    onPeer: (peer) => {
      table.addPeer(peer, clock.now());
    },
  });
  const handlers: PeerHandlers = {
    exchange: (digest) => {
      applyDigest(digest, false);
      return createExchangeDigest(digest);
    },
    catchUp: (versions) => {
      const index = board.serving.read();
      const isNewer = index && index.configuration.version > versions.configurationVersion;
      return {
        ...(isNewer && {
          configuration: packConfiguration(index.configuration),
          configurationVersion: index.configuration.version,
        }),
        ...(board.fleet.read().revision > versions.fleetRevision && { fleet: fleet.snapshot() }),
      };
    },
    applyFleetUpdate: (update) => {
      fleet.applyUpdate(update);
    },
    applySuspicions: (suspicions) => {
      adoptSuspicions(suspicions, 'relayed');
    },
    applyQuarantineNews: (news) => {
      relay.quarantine(quarantine.mergeNews(news, 'relayed'), false);
    },
    applyEvacuations: (state) => {
      evacuation?.applyState(state, 'relayed');
    },
    applyConfigurationNotice: (notice) => {
      configuration.applyNotice(notice, notice.holder ?? '');
    },
    reportFreshness: () => ({
      ...ownVersions(),
      ...fleet.version(),
      ...createProofAges(clock.now()),
    }),
    checkServer: (server) => options.links.checkForPeer(server),
  };
  const listener = createPeerListener(settings.listen.peers, handlers, options.relay);
  const tick = (): void => {
    const now = clock.now();
    const timedOut = table.removeTimedOut(now);
    for (const { peer, silentMs } of timedOut) {
      incarnations.delete(peer);
      logger.log('peerSilent', { peer, silentMs: Math.round(silentMs) });
    }
    const hasPeerChanges = timedOut.length > 0 || board.peerLoad.read().unheard !== countUnheard();
    if (hasUnpublishedChanges || hasPeerChanges) publish();
    else if (now - candidatesAt >= CANDIDATES_INTERVAL_MS) publishCandidates();
    for (const peer of table.listDuePeers(now)) void exchange(peer);
    followControl.update(now);
    checkCatchUp();
    configuration.pursue();
    void askForProof(now);
    registration.update(now);
  };
  return {
    listen: () => listener.listen(),
    start: () => {
      for (const address of settings.seeds) {
        table.addPeer({ name: address, address, failureDomain: '' }, clock.now());
      }
      void registration.register();
      followControl.update(clock.now());
      ticking = context.ticker.every(PEERING_TICK_MS, tick);
      // Gateways in this failure domain use the same backend servers, so they hear of changes at once.
      const notifyDomain = (): void => {
        for (const peer of table.listDomainPartners()) void exchange(peer);
      };
      backends.onSuspicion((server) => {
        notifyDomain();
        relay.suspicions(listOwnSuspicions(clock.now()).filter((own) => own.server === server));
      });
      backends.onRateLimitChange(notifyDomain);
      evacuation?.onChange((state) => {
        relay.evacuations(state);
      });
      options.speeds.onNews(notifyDomain);
      // Other gateways must neither choose this one as a relay nor leave fabric domains to it.
      board.cutOffServices.subscribe(() => {
        for (const peer of table.listPartners()) void exchange(peer);
      });
      // The next copy of a harmful request may reach any gateway, so report it immediately.
      quarantine.onReport((quarantined) => {
        for (const peer of table.listPartners()) void exchange(peer);
        relay.quarantine({ reports: [], quarantined: [...quarantined] }, true);
      });
    },
    refreshRegistration: () => {
      const delayMs = context.random.fraction() * REGISTRATION_JITTER_MS;
      setTimeout(() => {
        registration.refresh();
      }, delayMs).unref();
      registration.relist(2 * REGISTRATION_JITTER_MS);
    },
    announceStop: async () => {
      isStopping = true;
      registration.stop();
      await Promise.allSettled(
        table.listPartners().map((peer) => client.exchange(peer.address, createDigest())),
      );
    },
    stop: async () => {
      ticking?.stop();
      registration.close();
      await Promise.all([listener.close(), client.close()]);
    },
  };
}
