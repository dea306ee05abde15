/**
 * Calls to plain service instances over undici, one connection pool for each address.
 *
 * Bodies are streamed both ways with back-pressure, so that a call holds a few buffers at most. A
 * connection carries one call at a time; undici destroys it when an answer breaks off, ends early
 * or is followed by bytes that nobody asked for, so that no such bytes are taken for the answer to
 * a later call. An answer that names another request sent from here closes its connection too.
 */
import type { Readable } from 'node:stream';
import { Agent, type Dispatcher } from 'undici';
import type { HeaderField } from '../../controllers/calls/types.js';
import { whenInputIsRead } from '../../core/pending-input/index.js';
import { createConnector, requireFinalResponse } from '../../core/sockets/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseRetryAfter } from '../../core/retry-after/index.js';
import { markSendings, type Sending } from '../engines/sending.js';
import { removeHopByHop } from './headers.js';
import { createSentIds, type SentIds } from './sent-ids.js';
import type { ServiceAnswer, ServiceRequest, Services, ServiceStart } from './types.js';

/** Longest wait for a TCP connection; sites are at most tens of milliseconds apart. */
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_HEADER_BYTES = 32_768;
/** Status of a refusal that may say when to come back. */
const UNAVAILABLE_STATUS = 503;
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * A client for all service instances.
 *
 * @example const start = await createServices().call('10.0.0.9:8080', request, signal);
 */
export function createServices(): Services {
  const connections = {
    connect: createConnector(CONNECT_TIMEOUT_MS),
    maxHeaderSize: MAX_HEADER_BYTES,
  };
  const kept = new Agent({ ...connections, pipelining: 1 });
  // A backend server may close an idle connection just as a call is written to it. That call was
  // not run but looks as if it might have been, and one that must not be repeated then ends as
  // `unknown`. A new connection cannot be idle; without pipelining undici asks that it be closed.
  const fresh = new Agent({ ...connections, pipelining: 0 });
  const keptDispatcher = kept.compose(requireFinalResponse, markSendings);
  const freshDispatcher = fresh.compose(requireFinalResponse, markSendings);
  const ids = createSentIds();
  return {
    call: (address, request, signal) => {
      const dispatcher = request.repeatable ? keptDispatcher : freshDispatcher;
      return whenInputIsRead(() => callService(dispatcher, ids, address, request, signal));
    },
    close: async () => {
      await Promise.all([kept.destroy(), fresh.destroy()]);
    },
  };
}

async function callService(
  dispatcher: Dispatcher,
  ids: SentIds,
  address: string,
  request: ServiceRequest,
  signal: AbortSignal,
): Promise<ServiceStart> {
  const sending: Sending = { begun: false, signal };
  if (signal.aborted) return { kind: 'notSent', reason: 'given up' };
  const id = ids.add(request.headers);
  try {
    const requested = dispatcher.request({
      origin: `http://${address}`,
      path: request.path,
      method: request.method,
      headers: flattenHeaders(request.headers),
      body: wrapBody(request.body),
      headersTimeout: request.timeoutMs,
      bodyTimeout: request.timeoutMs,
      signal,
      opaque: sending,
      responseHeaders: 'raw',
    });
    const response = await raceSignal(requested, signal);
    if (!ids.isForeign(listHeaders(response.headers), id)) {
      return acceptAnswer(request.method, response);
    }
    discard(response);
    return { kind: 'lost', reason: 'the answer is to another request' };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: sending.begun ? 'lost' : 'notSent', reason };
  }
}

/** Rejects when `signal` is aborted: undici itself notices only once it has a connection. */
function raceSignal<Value>(work: Promise<Value>, signal: AbortSignal): Promise<Value> {
  return new Promise((resolve, reject) => {
    const giveUp = (): void => {
      reject(new Error('given up'));
    };
    if (signal.aborted) giveUp();
    signal.addEventListener('abort', giveUp, { once: true });
    work.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', giveUp);
    });
  });
}

/**
 * undici destroys a body stream when its call fails. The caller's request must survive that, to be
 * answered, so undici is given an iterator over it.
 */
function wrapBody(body: ServiceRequest['body']): Dispatcher.RequestOptions['body'] {
  if (body === undefined) return null;
  if (body instanceof Uint8Array) return body;
  const iterator: AsyncIterable<Uint8Array> = {
    [Symbol.asyncIterator]: () => body.iterator({ destroyOnReturn: false }),
  };
  // undici takes any async iterable as a body, but its types name only streams.
  return iterator as unknown as Readable;
}

function acceptAnswer(method: string, response: Dispatcher.ResponseData<unknown>): ServiceStart {
  const headers = listHeaders(response.headers);
  const retryAfterMs = readRetryAfter(response.statusCode, headers);
  const answer: ServiceAnswer = {
    status: response.statusCode,
    ...(retryAfterMs !== undefined && { retryAfterMs }),
    headers: removeHopByHop(headers),
    body: response.body,
  };
  if (method === 'HEAD' || NO_BODY_STATUSES.has(answer.status) || isFramed(headers)) {
    return { kind: 'started', answer };
  }
  // Without length or chunks the end of the body is the end of the connection: a backend server
  // that dies in mid-answer would look like one that finished.
  discard(response);
  return { kind: 'lost', reason: 'the answer does not say where it ends' };
}

/** The longest of several times applies. */
function readRetryAfter(status: number, headers: readonly HeaderField[]): Milliseconds | undefined {
  if (status !== UNAVAILABLE_STATUS) return undefined;
  const times = headers
    .filter(({ name }) => name.toLowerCase() === 'retry-after')
    .map(({ value }) => parseRetryAfter(value))
    .filter((time) => time !== undefined);
  return times.length > 0 ? Math.max(...times) : undefined;
}

/** Closes the connection, so that nothing more of it is taken for an answer. */
function discard({ body }: Dispatcher.ResponseData<unknown>): void {
  body.on('error', () => undefined).destroy();
}

function isFramed(headers: readonly HeaderField[]): boolean {
  return headers.some(({ name, value }) => {
    const lowered = name.toLowerCase();
    return lowered === 'content-length' || (lowered === 'transfer-encoding' && isChunked(value));
  });
}

function isChunked(value: string): boolean {
  return value.toLowerCase().trimEnd().endsWith('chunked');
}

function flattenHeaders(headers: readonly HeaderField[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value]);
}

/** undici hands over names and values in turn when it is asked for raw ones; its types don't say so. */
function listHeaders(headers: Dispatcher.ResponseData<unknown>['headers']): readonly HeaderField[] {
  const raw = headers as unknown as readonly string[];
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    fields.push({ name: String(raw[index]), value: String(raw[index + 1]) });
  }
  return fields;
}
