/**
 * The request path: the listener for callers and everything under way behind it.
 *
 * `node:http` without a framework: answers are passed on byte by byte, with headers as they came, and
 * the moment at which a connection closes is part of what a caller is told.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { drainServer, listenOn } from '../../core/listening/index.js';
import type { AttemptSender } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import { admitRequest, type RequestHead } from './admission.js';
import type { Backends } from './backends.js';
import { readBody } from './body.js';
import { createReply, type Reply } from './reply.js';
import { RequestRun } from './run.js';
import type { Watchdog } from './watchdog.js';

/** The listener for callers. */
export interface RequestPath {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Requests that have not had their final answer. */
  inFlight(): number;
  /**
   * Answers from now on tell callers to close their connections; those that stay idle are closed
   * after `graceMs`, when the balancer sends nobody any more. Resolves when none is left.
   */
  drain(graceMs: Milliseconds): Promise<void>;
  close(): void;
}

interface RequestPathOptions {
  context: GatewayContext;
  backends: Backends;
  watchdog: Watchdog;
  send: AttemptSender;
}

/** Held longer than callers keep a connection, so that none closes as a request arrives. */
const IDLE_MARGIN_MS: Milliseconds = 2_000;
/** Above what any configuration allows; the parser answers larger heads by itself. */
const MAX_HEADER_BYTES = 65_536;
const DEFAULT_IDLE_MS: Milliseconds = 60_000;
const DEFAULT_BODY_BYTES = 4_194_304;

export function createRequestPath(options: RequestPathOptions): RequestPath {
  const { context } = options;
  const { board, clock, metrics, logger } = context;
  let inFlight = 0;
  let isStopping = false;

  const count = (change: 1 | -1): void => {
    inFlight += change;
    metrics.setInFlight(inFlight);
  };
  const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = clock.now();
    const reply = createReply(response, () => isStopping);
    const admitted = admitRequest(context, incoming, arrivedAt);
    if (admitted.isErr()) {
      refuse(context, reply, incoming, admitted.error);
      return;
    }
    const maxBytes = board.serving.read()?.configuration.limits.maxBodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readBody(incoming, maxBytes);
    switch (body.kind) {
      case 'aborted':
        return;
      case 'tooLarge':
        refuse(context, reply, incoming, createFailure('bodyTooLarge', { limitBytes: maxBytes }));
        return;
      case 'read':
        run(admitted.value, body.body, response, reply);
    }
  };
  const run = (
    head: RequestHead,
    body: Buffer | undefined,
    response: ServerResponse,
    reply: Reply,
  ): void => {
    count(1);
    const requestRun = new RequestRun({ ...head, body }, reply, options, () => {
      count(-1);
    });
    response.once('close', () => {
      requestRun.abandon();
    });
    requestRun.start();
  };
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAliveTimeout: DEFAULT_IDLE_MS },
    (incoming, response) => {
      response.sendDate = false;
      handle(incoming, response).catch((error: unknown) => {
        logger.log('unexpectedError', { reason: String(error), where: 'request' });
        response.destroy();
      });
    },
  );
  server.requestTimeout = 0;
  board.serving.subscribe(() => {
    applyLimits(server, board.serving.read()?.configuration.limits.idleTimeoutMs);
  });
  return {
    listen: () => listenOn(server, context.settings.listen.callers),
    inFlight: () => inFlight,
    drain: (graceMs) => {
      isStopping = true;
      return drainServer(server, graceMs);
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function applyLimits(server: Server, idleTimeoutMs: Milliseconds = DEFAULT_IDLE_MS): void {
  server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
}

function refuse(
  { logger, metrics, platform }: GatewayContext,
  reply: Reply,
  incoming: IncomingMessage,
  failure: Failure,
): void {
  const id = platform.requests.decodeRequest(incoming.rawHeaders).id ?? '(none)';
  metrics.countError(failure.kind);
  metrics.requests.inc({ route: 'none', outcome: 'refused' });
  logger.log('requestRefusedAtDoor', { request: id, kind: failure.kind, reason: failure.message });
  reply.fail(failure, id);
}
