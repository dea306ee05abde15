/**
 * Calls to plain service instances over undici, one connection pool for each address.
 *
 * Bodies are streamed both ways with back-pressure, so that a call holds a few buffers at most. A
 * connection carries one call at a time; undici destroys it when an answer breaks off, ends early
 * or is followed by bytes that nobody asked for, so that no such bytes are taken for the answer to
 * a later call.
 */
import type { Readable } from 'node:stream';
import { Agent, type Dispatcher } from 'undici';
import type { HeaderField } from '../../controllers/calls/types.js';
import { markSendings, type Sending } from '../engines/sending.js';
import { removeHopByHop } from './headers.js';
import type { ServiceAnswer, ServiceRequest, Services, ServiceStart } from './types.js';

/** Longest wait for a TCP connection; sites are at most tens of milliseconds apart. */
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_HEADER_BYTES = 32_768;
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * A client for all service instances.
 *
 * @example const start = await createServices().call('10.0.0.9:8080', request, signal);
 */
export function createServices(): Services {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxHeaderSize: MAX_HEADER_BYTES,
    pipelining: 1,
  });
  const dispatcher = agent.compose(markSendings);
  return {
    call: (address, request, signal) => callService(dispatcher, address, request, signal),
    close: () => agent.destroy(),
  };
}

async function callService(
  dispatcher: Dispatcher,
  address: string,
  request: ServiceRequest,
  signal: AbortSignal,
): Promise<ServiceStart> {
  const sending: Sending = { begun: false, signal };
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
    return acceptAnswer(request.method, await raceSignal(requested, signal));
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
  const headers = listHeaders(response.headers as unknown as readonly string[]);
  const answer: ServiceAnswer = {
    status: response.statusCode,
    headers: removeHopByHop(headers),
    body: response.body,
  };
  if (method === 'HEAD' || NO_BODY_STATUSES.has(answer.status) || isFramed(headers)) {
    return { kind: 'started', answer };
  }
  // Without length or chunks the end of the body is the end of the connection: a backend server
  // that dies in mid-answer would look like one that finished.
  response.body.on('error', () => undefined).destroy();
  return { kind: 'lost', reason: 'the answer does not say where it ends' };
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

function listHeaders(raw: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    fields.push({ name: String(raw[index]), value: String(raw[index + 1]) });
  }
  return fields;
}
