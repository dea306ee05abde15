/**
 * Assembles and starts an entry.
 *
 * The peer listener opens first, since the entry's own digest contains its address. The listener
 * for callers opens last, once all parts are running.
 */
import { randomBytes, randomInt } from 'node:crypto';
import { err, ResultAsync } from 'neverthrow';
import { createCallers } from '../adapters/callers/index.js';
import { createEngineClient, type EngineClient } from '../adapters/engines/index.js';
import { createOperators } from '../adapters/operators/index.js';
import {
  createPeerClient,
  createPeerServer,
  type PeerHandlers,
  type RpcListener,
} from '../adapters/peers/index.js';
import { createPlatformClient, type PlatformClient } from '../adapters/platform/index.js';
import { createServices } from '../adapters/services/index.js';
import { createBoard } from '../board/index.js';
import { createEligibleReplicas } from '../controllers/health/index.js';
import { createSystemClock } from '../core/clock/index.js';
import { createFailure, type Failure } from '../core/errors/index.js';
import {
  createBufferedBytesTracker,
  type BufferedBytesTracker,
} from '../core/buffered-bytes/index.js';
import { createLogger } from '../core/logger/index.js';
import { createMetrics } from '../core/metrics/index.js';
import { createRandom } from '../core/random/index.js';
import type { EntrySettings } from '../core/settings/index.js';
import { createOnceCalls } from './calls/index.js';
import { createConfiguration } from './configuration/index.js';
import { createHealthPart } from './health/index.js';
import { createLimits } from './limits/index.js';
import { createMembership } from './membership/index.js';
import { createOperations } from './operations/index.js';
import { createReplicasPart } from './replicas/index.js';
import { createRequestQuarantine, createRequests } from './requests/index.js';
import { abortEntryStart, stopEntry } from './stop-entry.js';
import type { EntryParts, RunningEntry } from './running-entry.js';
import type { EntryContext } from './types.js';

/** Makes incarnations unique; kept short, since every digest contains one. */
const INCARNATION_BYTES = 9;
const MAX_SEED = 2 ** 31 - 1;
/** Timeout of a call to another entry, far above the latency between regions. */
const PEER_TIMEOUT_MS = 2_000;

/**
 * Starts an entry and resolves once it listens. `/readyz` tells when it is ready for callers.
 * Fails with `unreachable` when one of its addresses can't be bound.
 *
 * @example
 * const entry = await createEntry(settings);
 * if (entry.isOk()) process.once('SIGTERM', () => void entry.value.stop());
 */
export function createEntry(
  settings: EntrySettings,
): ResultAsync<RunningEntry, Failure<'unreachable'>> {
  const deferred: DeferredParts = {};
  const peerServer = createPeerServer({
    address: settings.listen.peers,
    handlers: createDeferredHandlers(deferred),
    onSent: (bytes) => deferred.countSent?.(bytes),
  });
  return peerServer.listen().andThen((boundAddress) => {
    const context = createContext(settings, settings.listen.advertisedPeers ?? boundAddress);
    return startEntry(context, peerServer, deferred);
  });
}

function startEntry(
  context: EntryContext & EntryResources,
  peerServer: RpcListener,
  deferred: DeferredParts,
): ResultAsync<RunningEntry, Failure<'unreachable'>> {
  const parts = createParts(context, peerServer, (bytes) => deferred.countSent?.(bytes));
  deferred.handlers = parts.membership.handlers;
  deferred.countSent = (bytes) => {
    parts.membership.countSent(bytes);
  };
  for (const part of listInStartOrder(parts)) part.start();
  return parts.operators
    .listen()
    .andThen((operators) => parts.callers.listen().map((callers) => ({ operators, callers })))
    .map(({ operators, callers }) => createRunningEntry(context, parts, operators, callers))
    .orElse((failure) =>
      ResultAsync.fromSafePromise(abortEntryStart(parts)).andThen(() => err(failure)),
    );
}

function createRunningEntry(
  context: EntryContext,
  parts: EntryParts,
  operatorsAddress: string,
  callersAddress: string,
): RunningEntry {
  const peersAddress = context.identity.peerAddress;
  context.logger.log('entryStarted', { callers: callersAddress, peers: peersAddress });
  return {
    callersAddress,
    operatorsAddress,
    peersAddress,
    stop: () => stopEntry(context, parts),
  };
}

/** Clients that are closed with the entry, and the count of unread bytes held in memory. */
interface EntryResources {
  platform: PlatformClient;
  engines: EngineClient;
  unreadBytes: BufferedBytesTracker;
}

/** Created only after the peer listener is open, since they need its address. */
interface DeferredParts {
  handlers?: PeerHandlers;
  countSent?: (bytes: number) => void;
}

/** Creates handlers that reject the calls of peers until the membership part exists. */
function createDeferredHandlers(deferred: DeferredParts): PeerHandlers {
  const getHandlers = (): PeerHandlers => {
    if (deferred.handlers === undefined) throw new Error('the entry is still starting');
    return deferred.handlers;
  };
  return {
    exchange: (message) => getHandlers().exchange(message),
    changesSince: (since) => getHandlers().changesSince(since),
  };
}

function createContext(
  settings: EntrySettings,
  peerAddress: string,
): EntryContext & EntryResources {
  const { name, region, failureDomain } = settings;
  const board = createBoard();
  const logger = createLogger(name, settings.logLevel);
  const random = createRandom(randomInt(MAX_SEED));
  const { address, timeoutMs } = settings.platform;
  const platform = createPlatformClient({ address, timeoutMs, random, logger });
  const unread = createBufferedBytesTracker();
  const engines = createEngineClient({}, unread);
  return {
    identity: {
      name,
      incarnation: randomBytes(INCARNATION_BYTES).toString('base64url'),
      address: settings.listen.callers,
      peerAddress,
      region,
      failureDomain,
    },
    settings,
    board,
    writers: board,
    clock: createSystemClock(),
    random,
    logger,
    platform,
    engines,
    unreadBytes: unread,
  };
}

function createParts(
  context: EntryContext & EntryResources,
  peerServer: RpcListener,
  countSent: (bytes: number) => void,
): EntryParts {
  const { board, logger, settings } = context;
  const peers = createPeerClient({ timeoutMs: PEER_TIMEOUT_MS, onSent: countSent });
  const configuration = createConfiguration(context, peers);
  const health = createHealthPart(context);
  const limits = createLimits(context, () => configuration.platformAt());
  const quarantine = createRequestQuarantine(context);
  const membership = createMembership(context, configuration, peers, {
    extensions: [
      health.extension,
      quarantine.extension,
      {
        name: 'limits',
        export: () => limits.exportDigest(),
        import: (peer, text) => {
          limits.importDigest(peer, text);
        },
      },
    ],
  });
  const replicas = createReplicasPart(context, {
    keepReport: (report, askedAt) => {
      health.keepReport(report, askedAt);
    },
  });
  const onceCalls = createOnceCalls(context);
  const services = createServices();
  const metrics = createMetrics({ unreadBytes: context.unreadBytes });
  const eligible = createEligibleReplicas(board, settings.health.freshMs);
  const requests = createRequests(context, {
    services,
    onceCalls,
    eligible,
    health,
    quarantine,
    metrics,
    refresh: () => configuration.refresh(),
    hasBeenReady: createLatch(() => membership.readiness().kind === 'ready'),
  });
  const readiness = (): Failure<'notReady' | 'stopping'> | undefined => {
    if (parts.isStopping) return createFailure('stopping');
    const state = membership.readiness();
    return state.kind === 'ready' ? undefined : createFailure('notReady', { reason: state.reason });
  };
  const callers = createCallers({
    address: settings.listen.callers,
    settings: settings.callers,
    path: requests.path,
    readiness,
    isStopping: () => parts.isStopping,
    unread: context.unreadBytes,
    logger,
  });
  const operations = createOperations(context, {
    configuration,
    membership,
    readiness,
    metrics: () => metrics.render(),
  });
  const operators = createOperators(settings.listen.operators, operations);
  const parts: EntryParts = {
    configuration,
    membership,
    health,
    limits,
    replicas,
    onceCalls,
    requests,
    callers,
    operators,
    clients: [services, peers, context.platform, context.engines],
    peerServer,
    isStopping: false,
  };
  return parts;
}

function listInStartOrder(parts: EntryParts) {
  const { configuration, membership, health, limits, replicas, onceCalls, requests } = parts;
  return [configuration, membership, health, limits, replicas, onceCalls, requests];
}

/** Returns a function that stays true once `condition` has been true in one of its calls. */
function createLatch(condition: () => boolean): () => boolean {
  let hasBeenTrue = false;
  return () => {
    hasBeenTrue ||= condition();
    return hasBeenTrue;
  };
}
