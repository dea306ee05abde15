/**
 * One entry, put together from its parts.
 *
 * The peer listener comes first, since the entry's own digest names its address; the listener for
 * callers comes last, when everything behind it runs. A stop goes the other way round.
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
import { createHeldBytes, type HeldBytes } from '../core/held-bytes/index.js';
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
import { createRequests } from './requests/index.js';
import { abandonEntry, stopEntry } from './stop-entry.js';
import type { EntryParts, RunningEntry } from './running-entry.js';
import type { EntryContext } from './types.js';

/** Enough that no two starts of an entry share one; every digest carries it, so it is short. */
const INCARNATION_BYTES = 9;
const MAX_SEED = 2 ** 31 - 1;
/** Longest call to another entry; longer than the longest way between regions by far. */
const PEER_TIMEOUT_MS = 2_000;

/**
 * Starts an entry and resolves when it listens. It is ready for callers when `/readyz` says so.
 * Fails with `unreachable` when one of its addresses can't be bound.
 *
 * @example
 * const entry = await createEntry(settings);
 * if (entry.isOk()) process.once('SIGTERM', () => void entry.value.stop());
 */
export function createEntry(
  settings: EntrySettings,
): ResultAsync<RunningEntry, Failure<'unreachable'>> {
  const late: LateParts = {};
  const peerServer = createPeerServer({
    address: settings.listen.peers,
    handlers: createLateHandlers(late),
    onSent: (bytes) => late.countSent?.(bytes),
  });
  return peerServer.listen().andThen((bound) => {
    const context = createContext(settings, settings.listen.advertisedPeers ?? bound);
    return openEntry(context, peerServer, late);
  });
}

function openEntry(
  context: EntryContext & Connections,
  peerServer: RpcListener,
  late: LateParts,
): ResultAsync<RunningEntry, Failure<'unreachable'>> {
  const parts = createParts(context, peerServer, (bytes) => late.countSent?.(bytes));
  late.handlers = parts.membership.handlers;
  late.countSent = (bytes) => {
    parts.membership.countSent(bytes);
  };
  for (const part of listInStartOrder(parts)) part.start();
  return parts.operators
    .listen()
    .andThen((operators) => parts.callers.listen().map((callers) => ({ operators, callers })))
    .map(({ operators, callers }) => describeEntry(context, parts, operators, callers))
    .orElse((failure) =>
      ResultAsync.fromSafePromise(abandonEntry(parts)).andThen(() => err(failure)),
    );
}

function describeEntry(
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

/** The clients whose connections end with the entry, and the count of what waits in it. */
interface Connections {
  platform: PlatformClient;
  engines: EngineClient;
  unread: HeldBytes;
}

/** What exists only after the peer listener is open, since it needs that listener's address. */
interface LateParts {
  handlers?: PeerHandlers;
  countSent?: (bytes: number) => void;
}

/** Peers may call as soon as the listener is open, a moment before the part behind it exists. */
function createLateHandlers(late: LateParts): PeerHandlers {
  const resolve = (): PeerHandlers => {
    if (late.handlers === undefined) throw new Error('the entry is still starting');
    return late.handlers;
  };
  return {
    exchange: (message) => resolve().exchange(message),
    changesSince: (since) => resolve().changesSince(since),
  };
}

function createContext(settings: EntrySettings, peerAddress: string): EntryContext & Connections {
  const { name, region, failureDomain } = settings;
  const board = createBoard();
  const logger = createLogger(name, settings.logLevel);
  const random = createRandom(randomInt(MAX_SEED));
  const { address, timeoutMs } = settings.platform;
  const platform = createPlatformClient({ address, timeoutMs, random, logger });
  const unread = createHeldBytes();
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
    unread,
  };
}

function createParts(
  context: EntryContext & Connections,
  peerServer: RpcListener,
  countSent: (bytes: number) => void,
): EntryParts {
  const { board, logger, settings } = context;
  const peers = createPeerClient({ timeoutMs: PEER_TIMEOUT_MS, onSent: countSent });
  const configuration = createConfiguration(context, peers);
  const health = createHealthPart(context);
  const limits = createLimits(context, () => configuration.platformAt());
  const membership = createMembership(context, configuration, peers, {
    extensions: [
      health.extension,
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
  const metrics = createMetrics(context.unread);
  const eligible = createEligibleReplicas(board, settings.health.freshMs);
  const requests = createRequests(context, {
    services,
    onceCalls,
    eligible,
    health,
    metrics,
    refresh: () => configuration.refresh(),
    hasBeenReady: createLatch(() => membership.readiness().kind === 'ready'),
  });
  const readiness = (): Failure<'notReady' | 'stopping'> | undefined => {
    if (parts.isLeaving) return createFailure('stopping');
    const state = membership.readiness();
    return state.kind === 'ready' ? undefined : createFailure('notReady', { reason: state.reason });
  };
  const callers = createCallers({
    address: settings.listen.callers,
    settings: settings.callers,
    path: requests.path,
    readiness,
    isStopping: () => parts.isLeaving,
    unread: context.unread,
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
    isLeaving: false,
  };
  return parts;
}

function listInStartOrder(parts: EntryParts) {
  const { configuration, membership, health, limits, replicas, onceCalls, requests } = parts;
  return [configuration, membership, health, limits, replicas, onceCalls, requests];
}

/** Answers true from the first time on that `isReached` did. */
function createLatch(isReached: () => boolean): () => boolean {
  let reached = false;
  return () => {
    reached ||= isReached();
    return reached;
  };
}
