/**
 * Assembles a gateway from its components.
 */
import { randomBytes, randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSection } from '../board/index.js';
import { UNKNOWN_EVACUATIONS, type Evacuations } from '../controllers/evacuation/index.js';
import {
  EMPTY_FLEET,
  planStop,
  type ServingFleet,
  type ServingIndex,
  type StopPlan,
} from '../controllers/forwarding/index.js';
import type { Proof } from '../controllers/freshness/index.js';
import type { GatewayPeer } from '../controllers/peering/index.js';
import { FleetMembers, idleConnectionLimit } from '../controllers/quotas/index.js';
import { createSystemClock, type Milliseconds } from '../core/clock/index.js';
import { createBoundedLogger, type BoundedLogger } from '../core/logger/index.js';
import { createRandom } from '../core/random/index.js';
import { createTicker, type DrivenTicker } from '../core/ticker/index.js';
import { createAttemptSender } from './backends/attempt.js';
import { createConnectionPool } from './backends/pool.js';
import { createEngineCalls } from './backends/engine-calls.js';
import { createColdServerLimits } from './backends/cold-servers.js';
import { createServerAvailability } from './backends/server-availability.js';
import { createGroupsPart } from './groups/groups-part.js';
import { createLinkMonitor } from './links/link-monitor.js';
import { createServerChecks } from './links/server-check.js';
import { registerFreshnessGauges } from './operations/freshness-metrics.js';
import { createOperationsListener } from './operations/listener.js';
import { createGatewayMetrics } from './operations/metrics.js';
import { createPeersPart } from './peers/peers-part.js';
import { unpackConfiguration } from './peers/packed-configuration.js';
import { GATEWAY_KIND } from './peers/registration.js';
import { createPeerClient } from './peers/rpc.js';
import { createBackendTracker } from './requests/backend-tracker.js';
import { createRelayHandler } from './relay/relay-handler.js';
import { createRoutedSender } from './relay/routed-sender.js';
import { createQuarantine } from './requests/quarantine.js';
import { createSpeedTracker } from './requests/speed-tracker.js';
import { createRequestServer } from './requests/request-server.js';
import { createWatchdog } from './requests/watchdog.js';
import type { GatewaySettings } from './settings.js';
import { createObjectStore } from './store/client.js';
import { createConfigurationPart } from './store/configuration-part.js';
import { createEvacuationPart } from './store/evacuation-part.js';
import { createReachabilityTracker } from './store/reachability.js';
import { logDroppedItems } from './store/dropped-items.js';
import { createFleetPart } from './store/fleet-part.js';
import { eraOf, revisionOf } from './store/qualified-revision.js';
import { createReachabilityProbe } from './store/reachability-probe.js';
import type {
  GatewayBoardWriters,
  GatewayContext,
  PeerLoad,
  ServingPlatform,
  StoreReachability,
} from './types.js';

/** A running gateway. */
export interface RunningGateway {
  /** Finishes the requests in flight and stops within the grace period of the settings. */
  stop(): Promise<void>;
  logger: GatewayContext['logger'];
}

const INCARNATION_BYTES = 9;
const MAX_SEED = 2 ** 31 - 1;
/** Time within which the balancer, checking once a second, removes the instance after two failures. */
const BALANCER_REMOVAL_MS: Milliseconds = 3_200;
/** Lets the last responses reach their callers before connections are closed. */
const RESPONSE_FLUSH_MS: Milliseconds = 250;
/** Lets a slow reader receive the last log lines. */
const LOG_FLUSH_MS: Milliseconds = 100;
/** Limits the time for closing components and clients. */
const CLOSE_TIMEOUT_MS: Milliseconds = 250;
/** Idle connections that are kept to each gateway that relays requests. */
const MAX_IDLE_TO_RELAY = 8;
const PRUNE_INTERVAL_MS: Milliseconds = 1_000;

/**
 * Starts a gateway and resolves when it listens.
 *
 * @example const gateway = await createGateway(settings, platform);
 */
export async function createGateway(
  settings: GatewaySettings,
  platform: ServingPlatform,
): Promise<RunningGateway> {
  const board = createBoard(settings);
  const context = createContext(settings, platform, board);
  const { logger, metrics, clock } = context;
  registerFreshnessGauges(context);
  const peerClient = createPeerClient();
  const reachability = createReachabilityTracker(context, board.storeReachability);
  const store = createObjectStore({
    address: settings.store.address,
    codec: logDroppedItems(platform.store, logger),
    timeoutMs: settings.store.timeoutMs,
    clock,
    onCall: () => {
      metrics.storeCalls.inc();
    },
    onOutcome: (outcome) => {
      reachability.record(outcome);
    },
    onFirstEra: (era) => {
      // The restore may have been just before the start, when serving engines look free in the copy.
      if (era > 0) reachability.recordPossibleRestore();
    },
    onRestore: (era, before) => {
      const revision = revisionOf(board.fleet.read().revision);
      logger.log('storeReturnedFromCopy', { era, before, revision });
      metrics.storeReturns.inc();
      reachability.recordRestore();
      peers.refreshRegistration();
    },
  });
  const configuration = createConfigurationPart({
    context,
    store,
    section: board.serving,
    proof: board.configurationProof,
    newestVersion: board.newestVersion,
    fetchFromPeer: async (address, version) => {
      // A gateway without any configuration needs the backend servers as well.
      const fleetRevision = version === 0 ? board.fleet.read().revision : Number.MAX_SAFE_INTEGER;
      const known = { configurationVersion: version, fleetRevision };
      const { configuration: packed, fleet: copy } = await peerClient.catchUp(address, known);
      if (copy) fleet.applySnapshot(copy);
      return packed === undefined ? undefined : unpackConfiguration(packed);
    },
  });
  const fleet = createFleetPart({
    context,
    store,
    reachability,
    section: board.fleet,
    proof: board.fleetProof,
  });
  const evacuation =
    settings.evacuation &&
    createEvacuationPart({
      context,
      store,
      evacuateMs: settings.evacuation.evacuateMs,
      section: board.evacuations,
      proof: board.evacuationProof,
    });
  reachability.onDisruption((at) => {
    configuration.follower.abortCallsBefore(at);
    fleet.follower.abortCallsBefore(at);
    evacuation?.follower.abortCallsBefore(at);
  });
  // A snapshot from a peer may show a restore before any call to the store does.
  board.fleet.subscribe(() => {
    const { revision } = board.fleet.read();
    if (revision > 0) store.observeEra(eraOf(revision));
  });
  board.evacuations.subscribe(() => {
    const revision = board.evacuations.read()?.revision ?? 0;
    if (revision > 0) store.observeEra(eraOf(revision));
  });
  const members = new FleetMembers(settings.name, clock.now());
  const pool = createConnectionPool({
    clock,
    onOpen: () => {
      metrics.connections.inc();
    },
    maxIdle: (id) => {
      const service = board.fleet.read().servers.get(id)?.service ?? '';
      const maxConnections = board.serving.read()?.services.get(service)?.maxConnections ?? 0;
      return idleConnectionLimit(maxConnections, members.size);
    },
  });
  const hasTraffic = (): boolean => board.hasTraffic.read() || backends.hasServed();
  const cold = createColdServerLimits(context, members, hasTraffic);
  const availability = createServerAvailability(context, cold);
  const onProbe = (): void => {
    metrics.probes.inc();
  };
  const checks = createServerChecks({ codec: platform.orders, availability, onProbe });
  const section = board.cutOffServices;
  const links = createLinkMonitor({
    context,
    checks,
    askPeer: (address, server) => peerClient.checkServer(address, server),
    section,
  });
  const engineCalls = createEngineCalls({ codec: platform.orders, onProbe, availability, links });
  const speeds = createSpeedTracker(context);
  const backends = createBackendTracker(context, members, availability, links, cold, speeds);
  backends.onRestart((server) => {
    pool.invalidateServer(server);
  });
  const watchdog = createWatchdog(context, backends);
  watchdog.onTick(() => {
    context.ticker.run();
  });
  watchdog.onTimer((lateMs, dueAt) => {
    speeds.recordTick(lateMs, dueAt);
  });
  const sendOverOwnLink = createAttemptSender(pool, platform.requests, clock, (server) => {
    links.recordNewConnection(server);
  });
  const relayPool = createConnectionPool({
    clock,
    onOpen: () => undefined,
    maxIdle: () => MAX_IDLE_TO_RELAY,
  });
  const send = createRoutedSender({ context, links, pool: relayPool, sendOverOwnLink });
  const relay = createRelayHandler({
    context,
    availability,
    links,
    send: sendOverOwnLink,
    latenessMs: () => watchdog.latenessMs(),
  });
  const quarantine = createQuarantine(context, engineCalls);
  const requestPath = createRequestServer({
    context,
    backends,
    availability,
    watchdog,
    send,
    links,
    quarantine,
    speeds,
  });
  const peers = createPeersPart({
    context,
    client: peerClient,
    links,
    relay,
    store,
    backends,
    speeds,
    members,
    quarantine,
    configuration,
    fleet,
    evacuation,
    section: board.peers,
    candidates: board.ownerCandidates,
    load: board.peerLoad,
  });
  const reachabilityProbe = createReachabilityProbe({
    context,
    store,
    reachability,
    kind: GATEWAY_KIND,
    isFollowing: () => configuration.follower.isOn(),
  });
  const groups = createGroupsPart({
    context,
    store,
    calls: engineCalls,
    backends,
    contact: reachability,
    traffic: board.hasTraffic,
  });
  watchdog.onPause(() => {
    groups.releaseAll();
  });
  const operations = createOperationsListener(context, () => {
    if (board.stop.read() !== undefined) return 'it is stopping';
    if (board.serving.read() === undefined) return 'it has no configuration yet';
    if (board.fleet.read().revision === 0) return 'it knows no backend servers yet';
    if (board.evacuations.read()?.source === 'none') return 'it knows no evacuations yet';
    return undefined;
  });
  const pruning = context.ticker.every(PRUNE_INTERVAL_MS, () => {
    const { servers } = board.fleet.read();
    pool.prune((id) => servers.has(id));
    const peerNames = board.peers.read();
    relayPool.prune((name) => peerNames.has(name));
  });

  const listening = await requestPath.listen();
  if (listening.isErr()) logger.log('listenFailed', { reason: listening.error.message });
  const peersListening = await peers.listen();
  if (peersListening.isErr()) logger.log('listenFailed', { reason: peersListening.error.message });
  const parts = [
    operations,
    configuration,
    fleet,
    ...(evacuation ? [evacuation] : []),
    watchdog,
    links,
    peers,
    groups,
    reachabilityProbe,
  ];
  for (const part of parts) part.start();
  logger.log('gatewayStarted', {
    callers: settings.listen.callers,
    incarnation: context.incarnation,
    startMs: Math.round(clock.now()),
  });
  return {
    logger,
    stop: async () => {
      const startedAt = clock.now();
      const plan = planStop(startedAt, settings.stopping.graceMs);
      board.stop.write(plan);
      logger.log('gatewayStopping', { inFlight: requestPath.inFlight() });
      const draining = Promise.allSettled([
        groups.stop(),
        requestPath.drain(BALANCER_REMOVAL_MS),
        relay.drain(),
        peers.announceStop(),
      ]);
      await Promise.race([draining, sleep(plan.lastAnswerAt - startedAt)]);
      const unfinishedCount = requestPath.inFlight();
      requestPath.endAll();
      await Promise.race([draining, sleep(RESPONSE_FLUSH_MS)]);
      logger.log('gatewayStopped', {
        inFlight: unfinishedCount,
        tookMs: Math.round(clock.now() - startedAt),
      });
      pruning.stop();
      requestPath.close();
      const closing = Promise.allSettled([
        ...parts.map((part) => part.stop()),
        store.close(),
        pool.close(),
        relayPool.close(),
        engineCalls.close(),
        checks.close(),
      ]);
      await Promise.race([closing, sleep(CLOSE_TIMEOUT_MS)]);
      await logger.flush(LOG_FLUSH_MS);
    },
  };
}

function createBoard({ evacuation }: GatewaySettings): GatewayBoardWriters {
  return {
    serving: createSection<ServingIndex | undefined>(undefined),
    configurationProof: createSection<Proof | undefined>(undefined),
    newestVersion: createSection(0),
    fleet: createSection<ServingFleet>(EMPTY_FLEET),
    fleetProof: createSection<Proof | undefined>(undefined),
    evacuations: createSection<Evacuations | undefined>(evacuation && UNKNOWN_EVACUATIONS),
    evacuationProof: createSection<Proof | undefined>(undefined),
    storeReachability: createSection<StoreReachability>({ reachable: false, since: 0 }),
    hasTraffic: createSection(false),
    cutOffServices: createSection<readonly string[]>([]),
    peers: createSection<ReadonlyMap<string, GatewayPeer>>(new Map()),
    ownerCandidates: createSection<ReadonlyMap<string, GatewayPeer>>(new Map()),
    peerLoad: createSection<PeerLoad>({ byServer: new Map(), unheard: 0, isLate: false }),
    stop: createSection<StopPlan | undefined>(undefined),
  };
}

function createContext(
  settings: GatewaySettings,
  platform: ServingPlatform,
  board: GatewayBoardWriters,
): GatewayContext & { logger: BoundedLogger; ticker: DrivenTicker } {
  const clock = createSystemClock();
  const metrics = createGatewayMetrics();
  return {
    settings,
    platform,
    board,
    clock,
    random: createRandom(randomInt(MAX_SEED)),
    ticker: createTicker(clock),
    logger: createBoundedLogger({
      source: settings.name,
      level: settings.logLevel,
      clock,
      onSuppressed: (lines) => {
        metrics.suppressedLines.inc(lines);
      },
    }),
    metrics,
    incarnation: randomBytes(INCARNATION_BYTES).toString('base64url'),
  };
}
