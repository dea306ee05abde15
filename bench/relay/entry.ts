/**
 * The request path of one entry before a single engine; the board is filled by hand.
 */
import { createHash } from 'node:crypto';
import { createCallers, type Callers } from '../../src/adapters/callers/index.js';
import { createEngineClient, engineReportSchema } from '../../src/adapters/engines/index.js';
import type { Platform } from '../../src/adapters/platform/index.js';
import { createServices } from '../../src/adapters/services/index.js';
import { createBoard, type BoardWriters } from '../../src/board/index.js';
import type { EligibleReplicas } from '../../src/controllers/health/index.js';
import type { Candidate } from '../../src/controllers/routing/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createBufferedBytesTracker } from '../../src/core/buffered-bytes/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createMetrics } from '../../src/core/metrics/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { createRequestQuarantine, createRequests } from '../../src/entry/requests/index.js';
import type { EntryContext } from '../../src/entry/types.js';
import { modelSchema, replicaSchema, workspaceSchema } from '../../src/objects/index.js';

export const MODEL = 'assistant';
export const KEY = 'bench-key';
const REPLICA = 'replica-1';
const ENGINE = 'engine-1';
const ADDRESS = '127.0.0.1:0';
const PLENTY = { requestsPerSecond: 1e9, tokensPerSecond: 1e12, concurrentRequests: 1e9 };
const BATCH_SIZE = 4_096;

/** The callers' listener of an entry whose only engine is at `engine`. */
export function createBenchEntry(engine: string): Callers {
  const board = createBoard();
  fillBoard(board);
  const context = createContext(board);
  const requests = createRequests(context, {
    services: createServices(),
    // No benchmark calls a service.
    onceCalls: { run: () => Promise.reject(new Error('not part of this benchmark')) },
    eligible: createEligible(engine),
    health: { reportFailure: () => undefined, reportAnswer: () => undefined },
    quarantine: createRequestQuarantine(context),
    metrics: createMetrics(),
    hasBeenReady: () => true,
  });
  requests.start();
  return createCallers({
    address: ADDRESS,
    settings: context.settings.callers,
    path: requests.path,
    readiness: () => undefined,
    isStopping: () => false,
    unread: createBufferedBytesTracker(),
    logger: silentLogger,
  });
}

function fillBoard(board: BoardWriters): void {
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  const workspace = { version: 1, value: workspaceSchema.parse({ keyHashes }) };
  const model = { version: 1, value: modelSchema.parse({ replicas: 1 }) };
  board.configuration.write({
    ...board.configuration.read(),
    revision: 1,
    models: new Map([[MODEL, model]]),
    workspaces: new Map([['bench', workspace]]),
  });
  board.limits.write(new Map([['bench', PLENTY]]));
  fillReplica(board);
}

/** A replica of one engine whose report never grows old: without it requests are moved away. */
function fillReplica(board: BoardWriters): void {
  const place = { id: REPLICA, fence: 1, model: MODEL, weights: '1' };
  const members = [{ instance: ENGINE, incarnation: '1' }];
  const replica = replicaSchema.parse({ ...place, phase: 'whole', members });
  const plan = { fence: 1, replicas: [replica], spares: [] };
  board.plans.write(new Map([['fabric', { version: 1, value: plan }]]));
  const report = engineReportSchema.parse({
    instance: ENGINE,
    incarnation: '1',
    state: 'ready',
    replica: { ...place, rank: 0, size: 1 },
    fence: 1,
    leaving: false,
    inFlight: 0,
    adapters: [],
    cacheSequence: 0,
  });
  board.health.write(new Map([[ENGINE, { report, heardAt: Number.POSITIVE_INFINITY }]]));
}

function createContext(board: BoardWriters): EntryContext {
  const settings = entrySettingsSchema.parse({
    name: 'entry-1',
    failureDomain: 'west',
    listen: { callers: ADDRESS, operators: ADDRESS, peers: ADDRESS },
    platform: { address: ADDRESS },
    callers: { queueLength: BATCH_SIZE },
  });
  return {
    identity: {
      name: 'entry-1',
      incarnation: '1',
      address: ADDRESS,
      peerAddress: ADDRESS,
      region: 'default',
      failureDomain: 'west',
    },
    settings,
    board,
    writers: board,
    clock: createSystemClock(),
    random: createRandom(1),
    logger: silentLogger,
    platform: {} as Platform,
    engines: createEngineClient({ streamsPerEngine: BATCH_SIZE }),
  };
}

function createEligible(address: string): EligibleReplicas {
  const load = {
    running: 0,
    waiting: 0,
    pendingPromptTokens: 0,
    pendingOutputTokens: 0,
    batchSize: BATCH_SIZE,
    prefillMsPerToken: 0,
    decodeMsPerToken: 0,
    cacheUse: 0,
    ageMs: 0,
  };
  const candidate: Candidate = {
    replica: REPLICA,
    model: MODEL,
    fence: 1,
    leader: ENGINE,
    address,
    members: [ENGINE],
    location: { region: 'default', failureDomain: 'west' },
    load: { load, measuredAt: 0 },
  };
  const list = [candidate];
  const index = { byModel: new Map([[MODEL, list]]), validUntil: Number.POSITIVE_INFINITY };
  return { list: () => list, index: () => index };
}
