/**
 * One HTTP call to the platform: bounded in time and in the size of its answer.
 */
import { ResultAsync } from 'neverthrow';
import { Agent, type Dispatcher } from 'undici';
import { createConnector } from '../../core/sockets/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseRetryAfter } from '../../core/retry-after/index.js';
import { raceSignal } from '../engines/race-signal.js';
import { createContact } from './contact.js';

/** What is asked of the platform. */
export interface PlatformCall {
  method: 'GET' | 'PUT' | 'POST';
  path: string;
  /** JSON; absent for GET. */
  body?: string;
  timeoutMs: Milliseconds;
  signal?: AbortSignal;
}

/** An answer that arrived whole. */
export interface PlatformAnswer {
  status: number;
  /** From Retry-After. */
  retryAfterMs: Milliseconds | undefined;
  text: string;
}

/**
 * Why there is no answer. `notSent`: no connection could be made, so that not one byte can have
 * reached the platform. `lost`: the call may have taken effect, and may still do so.
 */
export interface CallFailure {
  kind: 'notSent' | 'lost';
  reason: string;
}

/** Makes calls to one address. */
export interface PlatformCaller {
  call(call: PlatformCall): ResultAsync<PlatformAnswer, CallFailure>;
  /** See {@link Contact}. */
  onReturn(listener: () => void): () => void;
  close(): Promise<void>;
}

/** Lists of all objects are the largest answers. */
const MAX_ANSWER_BYTES = 64 * 1_048_576;
const CONNECTIONS = 64;

/**
 * A caller with its own connections.
 *
 * @example const caller = createPlatformCaller('10.0.0.5:7000', 2_000);
 */
export function createPlatformCaller(
  address: string,
  connectTimeoutMs: Milliseconds,
): PlatformCaller {
  const contact = createContact();
  const doubted = new Set<Agent>();
  let agent = openAgent(connectTimeoutMs);
  let isClosed = false;

  const begin = (used: Agent, call: PlatformCall): Promise<PlatformAnswer> => {
    const answer = request(used, address, call);
    // undici itself notices an aborted signal only once it has a connection.
    return call.signal ? raceSignal(answer, call.signal) : answer;
  };
  /**
   * Guards against connections that went silent together, as when a link's state is lost: each that
   * is kept would cost one more call its whole timeout. After a call without an answer no other is
   * sent on a connection from before; calls that are under way there may still end.
   */
  const doubt = (used: Agent): void => {
    if (isClosed || used !== agent) return;
    agent = openAgent(connectTimeoutMs);
    doubted.add(used);
    // It rejects only when the caller is closed meanwhile, which ends the agent and its calls.
    const ending = used.close().catch(() => undefined);
    void ending.finally(() => doubted.delete(used));
  };
  return {
    call: (call) => {
      const used = agent;
      return ResultAsync.fromPromise(begin(used, call), describeCallError)
        .andTee(({ status }) => {
          contact.noteAnswer(status);
        })
        .orTee(() => {
          // A call that its own caller ended says nothing of the platform.
          if (call.signal?.aborted === true) return;
          contact.noteLoss();
          doubt(used);
        });
    },
    onReturn: (listener) => contact.onReturn(listener),
    close: async () => {
      isClosed = true;
      await Promise.all([agent, ...doubted].map((one) => one.destroy()));
    },
  };
}

function openAgent(connectTimeoutMs: Milliseconds): Agent {
  return new Agent({
    connections: CONNECTIONS,
    connect: createConnector(connectTimeoutMs),
    // The whole call is bounded by its own timeout.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function request(agent: Agent, address: string, call: PlatformCall): Promise<PlatformAnswer> {
  const timeout = AbortSignal.timeout(Math.ceil(call.timeoutMs));
  const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
  const response = await agent.request({
    origin: `http://${address}`,
    method: call.method,
    path: call.path,
    body: call.body ?? null,
    headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
    signal,
  });
  const text = await readBounded(response.body);
  return { status: response.statusCode, retryAfterMs: readRetryAfter(response), text };
}

async function readBounded(body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_ANSWER_BYTES) throw new Error(`the answer is over ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function readRetryAfter(response: Dispatcher.ResponseData): Milliseconds | undefined {
  return parseRetryAfter(String(response.headers['retry-after'] ?? ''));
}

/**
 * Tells calls that were certainly not sent from the others. Only an error of `connect` itself is
 * proof: a reset or a timeout may come after the platform has read the whole call.
 */
function describeCallError(error: unknown): CallFailure {
  if (!(error instanceof Error)) return { kind: 'lost', reason: String(error) };
  const { code, syscall } = error as NodeJS.ErrnoException;
  const isNotSent = syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
  const reason = error.message === '' ? (code ?? error.name) : error.message;
  return { kind: isNotSent ? 'notSent' : 'lost', reason };
}
