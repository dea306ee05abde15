/**
 * The engines over HTTP.
 *
 * Streams and short calls have connections of their own, so that a probe never waits behind a
 * stream. Nothing is repeated here: whether a call is made again is decided elsewhere.
 */
import { err, ResultAsync, type Result } from 'neverthrow';
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import {
  createConnector,
  isConnectionRefused,
  requireFinalResponse,
} from '../../core/sockets/index.js';
import {
  createBufferedBytesTracker,
  type BufferedBytesTracker,
} from '../../core/buffered-bytes/index.js';
import { readAnswer, readEmpty, readRefusal } from './answers.js';
import { describeError } from './chunk-stream.js';
import { startCompletion } from './completion.js';
import { sendOnce } from './order-connection.js';
import { cacheEventListSchema, engineReportSchema } from './protocol.js';
import type { EngineReport, Order } from './protocol.js';
import { markSendings } from './sending.js';
import { createReportCache } from './report-cache.js';
import { callWhole } from './short-call.js';
import type { EngineFailure, Engines } from './types.js';

/** Bounds of the client; what is left out has the default named. */
interface EngineClientSettings {
  /** Longest wait for a connection. Default 1,000. */
  connectTimeoutMs?: Milliseconds;
  /** Longest wait for the first byte of a completion's answer. Default 10,000. */
  answerTimeoutMs?: Milliseconds;
  /** Longest silence within a stream. Default 30,000. */
  silenceTimeoutMs?: Milliseconds;
  /** Longest wait for a cancel or for cache events. Default 2,000. */
  callTimeoutMs?: Milliseconds;
  /** Streams to one engine at a time. Default 256. */
  streamsPerEngine?: number;
  /** Largest event of a stream. Default 65,536. */
  maxEventBytes?: number;
  /** Largest answer of a short call. Default 1,048,576. */
  maxAnswerBytes?: number;
}

/** The engines and the connections to them. */
export interface EngineClient extends Engines {
  /** Drops all connections; streams that are under way end in an `error`. */
  close(): Promise<void>;
}

const DEFAULTS = {
  connectTimeoutMs: 1_000,
  answerTimeoutMs: 10_000,
  silenceTimeoutMs: 30_000,
  callTimeoutMs: 2_000,
  streamsPerEngine: 256,
  maxEventBytes: 65_536,
  maxAnswerBytes: 1_048_576,
} as const;

/** Short calls to one engine at a time. */
const CALLS_PER_ENGINE = 2;
/** An idle connection is closed here before the engine closes it. */
const KEEP_ALIVE_MS = 4_000;

/**
 * A client for all engines. What completions hold for callers that don't read is counted in `unread`.
 *
 * @example
 * const engines = createEngineClient();
 * const report = await engines.health('10.0.0.7:9000', 400);
 */
export function createEngineClient(
  given: EngineClientSettings = {},
  unread: BufferedBytesTracker = createBufferedBytesTracker(),
): EngineClient {
  const settings = { ...DEFAULTS, ...given };
  const calls = new Agent({
    connections: CALLS_PER_ENGINE,
    connect: createConnector(settings.connectTimeoutMs),
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxResponseSize: settings.maxAnswerBytes,
  });
  const streams = new Agent({
    connections: settings.streamsPerEngine,
    connect: createConnector(settings.connectTimeoutMs),
    headersTimeout: settings.answerTimeoutMs,
    bodyTimeout: settings.silenceTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  const marked = streams.compose(requireFinalResponse, markSendings);
  const limitedCalls = calls.compose(requireFinalResponse);

  const reports = createReportCache();

  const call = (
    address: string,
    path: string,
    method: 'GET' | 'POST',
    timeoutMs: Milliseconds,
    headers: Readonly<Record<string, string>> = {},
  ) =>
    ResultAsync.fromPromise(
      callWhole(limitedCalls, address, path, method, timeoutMs, headers),
      (error) => createFailure('unreachable', { name: address, reason: describeError(error) }),
    );

  return {
    health: (address, timeoutMs) =>
      call(address, '/health', 'GET', timeoutMs, reports.listHeaders(address)).andThen((answer) =>
        reports.read(address, answer),
      ),
    checkProcess: async (address, { instance, incarnation }, timeoutMs) => {
      try {
        const answer = await callWhole(limitedCalls, address, '/health', 'GET', timeoutMs, {});
        const report = readAnswer(address, answer, engineReportSchema);
        if (report.isErr()) return 'unconfirmed';
        const isOther =
          report.value.instance !== instance ||
          (incarnation !== undefined && report.value.incarnation !== incarnation);
        return isOther ? 'ended' : 'alive';
      } catch (error) {
        return isConnectionRefused(error) ? 'ended' : 'unconfirmed';
      }
    },
    order: (address, order, timeoutMs) =>
      sendOrder(address, order, timeoutMs, settings.maxAnswerBytes),
    complete: (address, request, signal) =>
      startCompletion(marked, address, request, signal, settings.maxEventBytes, unread),
    cancel: (address, attempt) =>
      call(
        address,
        `/v1/attempts/${encodeURIComponent(attempt)}/cancel`,
        'POST',
        settings.callTimeoutMs,
      ).andThen((answer) => readEmpty(address, answer)),
    cacheEvents: (address, since) =>
      call(address, `/cache-events?since=${since}`, 'GET', settings.callTimeoutMs).andThen(
        (answer) => readAnswer(address, answer, cacheEventListSchema),
      ),
    close: async () => {
      await Promise.all([calls.destroy(), streams.destroy()]);
    },
  };
}

function sendOrder(
  address: string,
  order: Order,
  timeoutMs: Milliseconds,
  maxAnswerBytes: number,
): ResultAsync<EngineReport, EngineFailure> {
  const sent = sendOnce(
    `http://${address}`,
    '/orders',
    JSON.stringify(order),
    timeoutMs,
    maxAnswerBytes,
  );
  return ResultAsync.fromPromise(sent, (error) =>
    createFailure('unreachable', { name: address, reason: describeError(error) }),
  ).andThen((answer): Result<EngineReport, EngineFailure> => {
    const refusal = readRefusal(answer);
    if (!refusal) return readAnswer(address, answer, engineReportSchema);
    const reason = `${refusal.refusal}: ${refusal.reason}`;
    return err(createFailure('orderRefused', { name: address, reason }));
  });
}
