/**
 * Sending a completion: from the request to the first byte of the answer.
 */
import type { Dispatcher } from 'undici';
import type { BufferedBytesTracker } from '../../core/buffered-bytes/index.js';
import { whenInputIsRead } from '../../core/pending-input/index.js';
import { readRefusal } from './answers.js';
import { describeError, readChunks } from './chunk-stream.js';
import type { EngineRequest } from './protocol.js';
import { raceSignal } from './race-signal.js';
import type { Sending } from './sending.js';
import type { CompletionStart } from './types.js';

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Sends `request` once. `dispatcher` has to mark sendings; `unread` counts what the answer holds. */
export function startCompletion(
  ...args: Parameters<typeof sendCompletion>
): Promise<CompletionStart> {
  return whenInputIsRead(() => sendCompletion(...args));
}

async function sendCompletion(
  dispatcher: Dispatcher,
  address: string,
  request: EngineRequest,
  signal: AbortSignal,
  maxEventBytes: number,
  unread: BufferedBytesTracker,
): Promise<CompletionStart> {
  if (signal.aborted) return { kind: 'notSent', reason: 'cancelled' };
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
      return { kind: 'started', chunks: readChunks(response.body, request, maxEventBytes, unread) };
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
