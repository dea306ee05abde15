/**
 * The engines over HTTP.
 *
 * Streams and short calls have connections of their own, so that a probe never waits behind a
 * stream. Nothing is repeated here: whether a call is made again is decided elsewhere.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Agent, type Dispatcher } from 'undici';
import type { z } from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import { describeError, readChunks } from './chunk-stream.js';
import { sendOnce, type WholeAnswer } from './order-connection.js';
import { parseJson } from './parse-chunk.js';
import { cacheEventListSchema, engineRefusalSchema, engineReportSchema } from './protocol.js';
import type { EngineRefusal, EngineReport, EngineRequest, Order } from './protocol.js';
import { markSendings, type Sending } from './sending.js';
import type { CompletionStart, EngineFailure, Engines } from './types.js';

/** Bounds of the client; what is left out has the default named. */
export interface EngineClientSettings {
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
const JSON_HEADERS = { 'content-type': 'application/json' };
/** Statuses with which an engine refuses a completion before anything ran. */
const REFUSAL_STATUSES: readonly number[] = [400, 409, 429, 503];

/**
 * A client for all engines.
 *
 * @example
 * const engines = createEngineClient();
 * const report = await engines.health('10.0.0.7:9000', 400);
 */
export function createEngineClient(given: EngineClientSettings = {}): EngineClient {
  const settings = { ...DEFAULTS, ...given };
  const calls = new Agent({
    connections: CALLS_PER_ENGINE,
    connect: { timeout: settings.connectTimeoutMs },
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxResponseSize: settings.maxAnswerBytes,
  });
  const streams = new Agent({
    connections: settings.streamsPerEngine,
    connect: { timeout: settings.connectTimeoutMs },
    headersTimeout: settings.answerTimeoutMs,
    bodyTimeout: settings.silenceTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  const marked = streams.compose(markSendings);

  const call = (address: string, path: string, method: 'GET' | 'POST', timeoutMs: Milliseconds) =>
    ResultAsync.fromPromise(callWhole(calls, address, path, method, timeoutMs), (error) =>
      createFailure('unreachable', { name: address, reason: describeError(error) }),
    );

  return {
    health: (address, timeoutMs) =>
      call(address, '/health', 'GET', timeoutMs).andThen((answer) =>
        readAnswer(address, answer, engineReportSchema),
      ),
    order: (address, order, timeoutMs) =>
      sendOrder(address, order, timeoutMs, settings.maxAnswerBytes),
    complete: (address, request, signal) =>
      startCompletion(marked, address, request, signal, settings.maxEventBytes),
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

/** Makes a short call; rejects at `timeoutMs` also when no connection has been made by then. */
async function callWhole(
  dispatcher: Dispatcher,
  address: string,
  path: string,
  method: 'GET' | 'POST',
  timeoutMs: Milliseconds,
): Promise<WholeAnswer> {
  const giveUp = new AbortController();
  const { signal } = giveUp;
  const answer = async (): Promise<WholeAnswer> => {
    const response = await dispatcher.request({
      origin: `http://${address}`,
      path,
      method,
      signal,
    });
    return { status: response.statusCode, body: await response.body.text() };
  };
  const timer = setTimeout(() => {
    giveUp.abort(new Error(`no answer within ${timeoutMs} ms`));
  }, timeoutMs);
  try {
    return await raceSignal(answer(), signal);
  } finally {
    clearTimeout(timer);
  }
}

/** Rejects when `signal` is aborted: undici itself notices only once it has a connection. */
async function raceSignal<Value>(work: Promise<Value>, signal: AbortSignal): Promise<Value> {
  return new Promise((resolve, reject) => {
    const giveUp = (): void => {
      reject(signal.reason instanceof Error ? signal.reason : new Error('cancelled'));
    };
    if (signal.aborted) giveUp();
    signal.addEventListener('abort', giveUp, { once: true });
    work.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', giveUp);
    });
  });
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

async function startCompletion(
  dispatcher: Dispatcher,
  address: string,
  request: EngineRequest,
  signal: AbortSignal,
  maxEventBytes: number,
): Promise<CompletionStart> {
  const sending: Sending = { begun: false, signal };
  try {
    const requested = dispatcher.request({
      origin: `http://${address}`,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      signal,
      opaque: sending,
    });
    const response = await raceSignal(requested, signal);
    if (isStream(response)) {
      return { kind: 'started', chunks: readChunks(response.body, request, maxEventBytes) };
    }
    return await readNoStream(response, maxEventBytes);
  } catch (error) {
    // An engine that closes an idle connection in the moment when a request is written to it
    // looks like one that could not be reached. The request was begun, so it counts as lost: the
    // engine may have read it before it closed.
    return { kind: sending.begun ? 'lost' : 'notSent', reason: describeError(error) };
  }
}

function isStream({ statusCode, headers }: Dispatcher.ResponseData<unknown>): boolean {
  return statusCode === 200 && String(headers['content-type']).startsWith('text/event-stream');
}

/** A refusal, when it is one that engines give; any other answer proves nothing. */
async function readNoStream(
  response: Dispatcher.ResponseData<unknown>,
  maxBytes: number,
): Promise<CompletionStart> {
  const status = response.statusCode;
  const body = await readBounded(response.body, maxBytes);
  const refusal = readRefusal({ status, body });
  if (refusal) return { kind: 'refused', refusal };
  return { kind: 'lost', reason: `the engine answered with status ${status}` };
}

async function readBounded(
  body: Dispatcher.ResponseData['body'],
  maxBytes: number,
): Promise<string> {
  const parts: Uint8Array[] = [];
  let bytes = 0;
  for await (const part of body as AsyncIterable<Uint8Array>) {
    parts.push(part);
    bytes += part.length;
    if (bytes > maxBytes) throw new Error(`the answer is longer than ${maxBytes} bytes`);
  }
  return Buffer.concat(parts).toString();
}

function readRefusal({ status, body }: WholeAnswer): EngineRefusal | undefined {
  if (!REFUSAL_STATUSES.includes(status)) return undefined;
  return engineRefusalSchema.safeParse(parseJson(body)).data;
}

function readAnswer<Schema extends z.ZodType>(
  address: string,
  { status, body }: WholeAnswer,
  schema: Schema,
): Result<z.infer<Schema>, EngineFailure> {
  if (status !== 200) return err(unexpectedStatus(address, status));
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return ok(parsed.data);
  const reason = parsed.error.issues[0]?.message ?? 'not understood';
  return err(createFailure('messageInvalid', { from: address, reason }));
}

function readEmpty(address: string, { status }: WholeAnswer): Result<void, EngineFailure> {
  return status === 204 ? ok(undefined) : err(unexpectedStatus(address, status));
}

function unexpectedStatus(address: string, status: number): EngineFailure {
  return createFailure('messageInvalid', { from: address, reason: `status ${status}` });
}
