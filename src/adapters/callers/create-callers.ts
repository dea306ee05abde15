/**
 * The listener for callers: OpenAI-style completions, plain services, liveness and readiness.
 *
 * hono routes; answers are written to Node's own response, which gives back-pressure and lets a
 * broken answer destroy its connection. Node's strict parser refuses requests with both
 * Content-Length and Transfer-Encoding or with more than one length before they get here.
 */
import { createHash, randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import type { ResultAsync } from 'neverthrow';
import type { Credentials } from '../../controllers/attempts/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { hasLeft, onDeparture, takePlace } from '../../core/sockets/index.js';
import type { BufferedBytesTracker } from '../../core/buffered-bytes/index.js';
import { closeServer, drainServer, listenOn } from '../../core/listening/index.js';
import type { Logger } from '../../core/logger/index.js';
import { createAnswerBudget, type AnswerBudget } from '../../core/responses/index.js';
import type { EntrySettings } from '../../core/settings/index.js';
import { renderFailure, sendFailure, sendJson } from './answers.js';
import { serveCompletion } from './completions.js';
import { GRACE_OVER } from './grace.js';
import { resolveServiceTarget, serveServiceCall } from './service-calls.js';
import type { RequestHead, RequestPath } from './types.js';

export interface CallersOptions {
  /** `host:port` to listen on; port 0 takes a free one. */
  address: string;
  settings: EntrySettings['callers'];
  path: RequestPath;
  /** Why callers are to go elsewhere; undefined while they are welcome. */
  readiness: () => Failure<'notReady' | 'stopping'> | undefined;
  /** Whether connections are to be closed after their next answer. */
  isStopping: () => boolean;
  /** Counts what answers hold until their callers read on. */
  unread: BufferedBytesTracker;
  logger: Logger;
}

/** The listener for callers. */
export interface Callers {
  /** Resolves with the `host:port` listened on. */
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /**
   * Resolves when every answer under way has been sent and no connection is left. Idle ones are
   * given `graceMs` to be closed by their callers; then no more connections are taken.
   */
  drain(graceMs: Milliseconds): Promise<void>;
  /** Aborts all requests under way with the reason that the grace of the stop is over. */
  endAll(): void;
  /** Closes everything, also what is under way. */
  close(): Promise<void>;
}

/** What aborts each request under way. */
type OpenRequests = Set<AbortController>;

interface ServingOptions extends CallersOptions {
  open: OpenRequests;
  /** Bounds the answers that are held until they are complete. */
  answers: AnswerBudget;
}

interface Env {
  Bindings: HttpBindings;
}

const MAX_HEADER_BYTES = 16_384;
/** Longer than balancers keep idle connections, so that they never reuse one being closed here. */
const KEEP_ALIVE_MS = 75_000;
/** Above every service timeout; single bodies have their own bounds. */
const REQUEST_TIMEOUT_MS = 900_000;
const CONNECTION_CHECK_MS = 1_000;
const BEARER = /^Bearer +(\S+)$/i;

/**
 * A listener for callers; it does not listen yet.
 *
 * @example const address = await createCallers(options).listen();
 */
export function createCallers(options: CallersOptions): Callers {
  const open: OpenRequests = new Set();
  const answer = createListener(createApp({ ...options, open, answers: createAnswerBudget() }));
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: options.settings.bodyTimeoutMs,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      insecureHTTPParser: false,
      requireHostHeader: true,
    },
    // hono's adapter rejects only when it could not answer; the connection is closed by then.
    (request, response) => void answer(request, response),
  );
  server.on('clientError', answerBadRequest);
  return {
    listen: () => listenOn(server, options.address),
    drain: (graceMs) => drainServer(server, graceMs),
    endAll: () => {
      for (const request of open) request.abort(GRACE_OVER);
    },
    close: () => closeServer(server),
  };
}

/**
 * hono answers HEAD with a fresh response made of a route's own one, which loses the mark that the
 * answer has been written already; it would be written a second time.
 */
function createListener(app: Hono<Env>): ReturnType<typeof getRequestListener> {
  const serveOne = async (request: Request, env: HttpBindings): Promise<Response> => {
    const response = await app.fetch(request, env);
    return env.outgoing.headersSent ? RESPONSE_ALREADY_SENT : response;
  };
  return getRequestListener((request, env) => serveOne(request, env as HttpBindings), {
    overrideGlobalObjects: false,
  });
}

function createApp(options: ServingOptions): Hono<Env> {
  const app = new Hono<Env>();
  app.get('/livez', (context) => context.text('live\n'));
  app.get('/readyz', (context) => serveReadiness(context, options));
  app.get('/v1/models', (context) => serve(context, options, serveModels));
  app.post('/v1/chat/completions', (context) => serve(context, options, serveOneCompletion));
  app.all('/services/*', (context) => serve(context, options, serveOneServiceCall));
  app.notFound((context) => serveUnknownRoute(context));
  app.onError((error, context) => serveUnexpected(error, context, options));
  return app;
}

type Serve = (
  options: ServingOptions,
  head: RequestHead,
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Identifies the caller, then leaves the answer to `handler`. */
async function serve(
  context: Context<Env>,
  options: ServingOptions,
  handler: Serve,
): Promise<Response> {
  const { incoming, outgoing } = context.env;
  const place = takePlace(incoming.socket);
  if (place.isBehindClose) {
    // Its answer could not be sent, so it must not run. What is left of it is read, so that the end of
    // the connection is noticed.
    incoming.resume();
    return RESPONSE_ALREADY_SENT;
  }
  const id = randomUUID();
  outgoing.setHeader('X-Request-Id', id);
  outgoing.once(
    'close',
    options.unread.track(() => outgoing.writableLength),
  );
  if (options.isStopping() && place.closeIfLast()) outgoing.setHeader('Connection', 'close');
  const caller = options.path.identify(readCredentials(incoming, options));
  if (caller.isErr()) {
    refuseUnread(incoming, outgoing, caller.error, id);
    return RESPONSE_ALREADY_SENT;
  }
  const gone = new AbortController();
  if (hasLeft(incoming, outgoing)) gone.abort();
  else {
    onDeparture(incoming, outgoing, () => {
      gone.abort();
    });
  }
  const head: RequestHead = { id, caller: caller.value, signal: gone.signal };
  options.open.add(gone);
  try {
    await handler(options, head, incoming, outgoing);
  } finally {
    options.open.delete(gone);
  }
  limitFlush(outgoing, options.settings.bodyTimeoutMs);
  return RESPONSE_ALREADY_SENT;
}

/**
 * Closes the connection of a caller that takes nothing of the end of its answer for `timeoutMs`. A
 * phone that went out of reach would otherwise hold the answer's buffers until TCP gives up, many
 * minutes later. A slow reader is no such caller: each part that it takes starts the span again.
 */
function limitFlush(response: ServerResponse, timeoutMs: Milliseconds): void {
  if (response.writableFinished || response.destroyed) return;
  response.setTimeout(timeoutMs, () => response.destroy());
}

function refuseUnread(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  id: string,
): void {
  if (!request.complete) response.setHeader('Connection', 'close');
  sendFailure(response, failure, id);
}

function readCredentials(request: IncomingMessage, { settings }: CallersOptions): Credentials {
  const { headers } = request;
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const trusted = settings.workspaceHeader?.toLowerCase();
  return {
    keyHash: key === undefined ? undefined : createHash('sha256').update(key).digest('hex'),
    workspace: trusted === undefined ? undefined : headers[trusted]?.toString(),
    class: headers['x-request-class']?.toString(),
    deadline: headers['x-request-deadline-ms']?.toString(),
  };
}

const serveModels: Serve = ({ path }, { caller }, _request, response) => {
  const data = path.listModels(caller).map((id) => ({ id, object: 'model', owned_by: 'operator' }));
  sendJson(response, 200, JSON.stringify({ object: 'list', data }));
};

const serveOneCompletion: Serve = ({ path, settings }, head, request, response) => {
  const bounds = { maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs };
  return serveCompletion(path, head, bounds, request, response);
};

const serveOneServiceCall: Serve = (
  { path, settings, unread, answers },
  head,
  request,
  response,
) => {
  const target = resolveServiceTarget(request.url ?? '');
  if (!target) {
    const failure = createFailure('routeUnknown', { name: request.url ?? '' });
    refuseUnread(request, response, failure, head.id);
    return;
  }
  const trusted = settings.workspaceHeader?.toLowerCase();
  const identifiedByHeader = trusted !== undefined && request.headers[trusted] !== undefined;
  // A key that identified the caller here is no business of the backend server's.
  const usedFields = identifiedByHeader ? [trusted] : ['authorization'];
  const { bodyTimeoutMs } = settings;
  return serveServiceCall(
    path,
    head,
    target,
    { usedFields, bodyTimeoutMs, unread, answers },
    request,
    response,
  );
};

function serveReadiness(context: Context<Env>, { readiness }: CallersOptions): Response {
  const failure = readiness();
  if (!failure) return context.text('ready\n');
  return context.json(renderFailure(failure, ''), 503);
}

function serveUnknownRoute(context: Context<Env>): Response {
  const { incoming, outgoing } = context.env;
  const name = `${incoming.method ?? ''} ${context.req.path}`;
  refuseUnread(incoming, outgoing, createFailure('routeUnknown', { name }), randomUUID());
  return RESPONSE_ALREADY_SENT;
}

function serveUnexpected(
  error: Error,
  context: Context<Env>,
  { logger }: CallersOptions,
): Response {
  logger.log('unexpectedError', { reason: error.message, stack: error.stack });
  const { outgoing } = context.env;
  // Closing the connection leaves no doubt that the answer is not whole.
  outgoing.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Answers what Node's parser refused; nothing of such a request was passed on. */
function answerBadRequest(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const failure = createFailure('invalidRequest', { reason: 'it is not well-formed HTTP' });
  const body = JSON.stringify(renderFailure(failure, randomUUID()));
  const head = [
    'HTTP/1.1 400 Bad Request',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
