/**
 * `ANY /services/:service/*`: plain HTTP, passed through.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { HeaderField, StoredAnswer } from '../../controllers/calls/types.js';
import { removeHopByHop, type ServiceAnswer } from '../services/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { acceptsChunks, HeldBody, type AnswerBudget } from '../../core/responses/index.js';
import type { BufferedBytesTracker } from '../../core/buffered-bytes/index.js';
import { sendFailure } from './answers.js';
import { readBody } from './body.js';
import type { CallBody, RequestHead, RequestPath, ServiceCall, ServiceOutput } from './types.js';

/** The name and the rest of a path below `/services/`. */
export interface ServiceTarget {
  service: string;
  path: string;
  query: string;
}

export interface ServiceCallOptions {
  /** Header fields that are not passed on, in lower case. */
  usedFields: readonly string[];
  /** Longest wait for a body that is read whole. */
  bodyTimeoutMs: Milliseconds;
  /** Counts what an answer holds until its caller reads on. */
  unread: BufferedBytesTracker;
  /** Bounds the answers that are held until they are complete. */
  answers: AnswerBudget;
}

/** Header fields that this entry sets itself or has used up. */
const OWN_FIELDS: readonly string[] = ['host', 'expect', 'x-request-id', 'x-workspace'];

/**
 * The target of a raw request target such as `/services/slots/bookings?day=2`. Dot segments are
 * resolved first, so that a rule and the backend server see the same path.
 */
export function resolveServiceTarget(rawTarget: string): ServiceTarget | undefined {
  if (!URL.canParse(rawTarget, 'http://entry')) return undefined;
  const { pathname, search } = new URL(rawTarget, 'http://entry');
  const match = /^\/services\/([^/]+)(\/.*)?$/.exec(pathname);
  const [, service, path = '/'] = match ?? [];
  return service === undefined ? undefined : { service, path, query: search };
}

const NO_BYTES = new Uint8Array(0);

/** Serves one call of a plain service. Resolves when its answer has been written. */
export async function serveServiceCall(
  requestPath: RequestPath,
  head: RequestHead,
  target: ServiceTarget,
  { usedFields, bodyTimeoutMs, unread, answers }: ServiceCallOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const call: ServiceCall = {
    ...head,
    ...target,
    method: request.method ?? 'GET',
    headers: listRequestHeaders(request, usedFields),
    body: hasBody(request) ? createBody(request, bodyTimeoutMs) : undefined,
    idempotencyKey: request.headers['idempotency-key']?.toString(),
  };
  const failure = await requestPath.callService(call, createOutput(response, unread, answers));
  if (failure === undefined || response.headersSent || response.destroyed) return;
  if (!request.complete) response.setHeader('Connection', 'close');
  sendFailure(response, failure, head.id);
}

function createOutput(
  response: ServerResponse,
  unread: BufferedBytesTracker,
  answers: AnswerBudget,
): ServiceOutput {
  return {
    relay: async (answer) => {
      const release = unread.track(() => answer.body.readableLength);
      const end = await relayAnswer(response, answer, answers);
      release();
      return end;
    },
    send: (answer, replayed) => {
      sendStored(response, answer, replayed);
    },
  };
}

async function relayAnswer(
  response: ServerResponse,
  answer: ServiceAnswer,
  answers: AnswerBudget,
): Promise<'whole' | 'cut' | 'callerGone'> {
  const isBroken = watchError(answer.body);
  try {
    if (!acceptsChunks(response.req) && !hasLength(answer)) {
      const held = new HeldBody(response, answers);
      sendStored(response, { ...answer, body: await readHeld(answer.body, held) }, false);
      return 'whole';
    }
    writeHead(response, answer.status, answer.headers);
    // A body that breaks off destroys the caller's connection: the last chunk or the rest of the
    // declared length never comes, so that the part is not taken for the whole.
    await pipeline(answer.body, response);
    return 'whole';
  } catch {
    const isCut = isBroken() || !response.headersSent;
    answer.body.destroy();
    response.destroy();
    return isCut ? 'cut' : 'callerGone';
  }
}

function hasLength({ headers }: ServiceAnswer): boolean {
  return headers.some(({ name }) => name.toLowerCase() === 'content-length');
}

async function readHeld(body: Readable, held: HeldBody): Promise<Buffer> {
  for await (const part of body as AsyncIterable<Buffer>)
    if (!held.add(part)) throw new Error('the answer is too long to be held');
  return held.concat();
}

function watchError(body: Readable): () => boolean {
  let broken = false;
  body.once('error', () => {
    broken = true;
  });
  return () => broken;
}

function sendStored(response: ServerResponse, answer: StoredAnswer, replayed: boolean): void {
  const headers = answer.headers.filter(({ name }) => name.toLowerCase() !== 'content-length');
  if (replayed) headers.push({ name: 'Idempotency-Replayed', value: 'true' });
  const bodiless = answer.status === 204 || answer.status === 304;
  if (!bodiless) headers.push({ name: 'Content-Length', value: String(answer.body.length) });
  writeHead(response, answer.status, headers);
  response.end(answer.body);
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: readonly HeaderField[],
): void {
  for (const { name, value } of headers) {
    if (name.toLowerCase() !== 'x-request-id') response.appendHeader(name, value);
  }
  response.writeHead(status);
  // Sends the head without waiting for the body. flushHeaders would write it as UTF-8, which turns
  // each byte beyond ASCII of a field into two; before bytes it is written as it came.
  response.write(NO_BYTES);
}

function listRequestHeaders(
  request: IncomingMessage,
  usedFields: readonly string[],
): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? '';
    fields.push({ name, value: request.rawHeaders[index + 1] ?? '' });
  }
  return removeHopByHop(fields, new Set([...OWN_FIELDS, ...usedFields]));
}

function hasBody({ headers }: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined) return true;
  return headers['content-length'] !== undefined && headers['content-length'] !== '0';
}

function createBody(request: IncomingMessage, timeoutMs: Milliseconds): CallBody {
  return {
    bytes: readLength(request),
    readWhole: (maxBytes) => readBody(request, { maxBytes, timeoutMs }),
    stream: request,
  };
}

function readLength({ headers }: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
