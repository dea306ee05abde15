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
import { admitRequest } from './admission.js';
import type { Backends } from './backends.js';
import { readBody, type BodyRead } from './request-body.js';
import { computeFingerprint } from './fingerprint.js';
import type { Quarantine } from './quarantine.js';
import { createReply, type Reply } from './reply.js';
import { reportUnread } from './request-report.js';
import { RequestRun, type RunTools } from './request-forwarder.js';
import { createStopping, refuseStopped } from './shutdown.js';
import type { RequestHead } from './types.js';
import { createWaitingLines } from './request-queues.js';
import type { Watchdog, WatchedRequest } from './watchdog.js';

/** The listener for callers. */
export interface RequestPath {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Requests that have not had their final answer. */
  inFlight(): number;
  /**
   * Connections that stay idle are closed after `graceMs`, when the balancer sends nobody any more;
   * answers tell callers to close theirs sooner. Resolves when none is left.
   */
  drain(graceMs: Milliseconds): Promise<void>;
  /** Gives every request that is still under way its end. */
  endAll(): void;
  close(): void;
}

interface RequestPathOptions {
  context: GatewayContext;
  backends: Backends;
  watchdog: Watchdog;
  send: AttemptSender;
  quarantine: Quarantine;
}

/** Held longer than callers keep a connection, so that none closes as a request arrives. */
const IDLE_MARGIN_MS: Milliseconds = 2_000;
/** Above what any configuration allows; the parser answers larger heads by itself. */
const MAX_HEADER_BYTES = 65_536;
const DEFAULT_IDLE_MS: Milliseconds = 60_000;
const DEFAULT_BODY_BYTES = 4_194_304;

export function createRequestPath(options: RequestPathOptions): RequestPath {
  const { context, watchdog } = options;
  const { board, clock, metrics, logger } = context;
  const stopping = createStopping(context);
  const lines = createWaitingLines(clock);
  watchdog.onTick(() => {
    lines.serve();
  });
  const tools: RunTools = { ...options, stopping, lines };
  let inFlight = 0;

  const count = (change: 1 | -1): void => {
    inFlight += change;
    metrics.setInFlight(inFlight);
  };
  const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = clock.now();
    const reply = createReply(response, () => stopping.isUnderWay());
    const admitted = admitRequest(context, incoming, arrivedAt);
    if (admitted.isErr()) {
      refuse(context, reply, incoming, admitted.error);
      return;
    }
    const head = admitted.value;
    const maxBytes = board.serving.read()?.configuration.limits.maxBodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readWhileItMayBegin(head, maxBytes);
    switch (body.kind) {
      case 'aborted':
        reportUnread(context, head);
        return;
      case 'givenUp':
        refuse(context, reply, incoming, refuseStopped());
        return;
      case 'tooLarge':
        refuse(context, reply, incoming, createFailure('bodyTooLarge', { limitBytes: maxBytes }));
        return;
      case 'read':
        run(head, body.body, response, reply);
    }
  };
  /** A body that comes slowly may be whole only when what is left of a stop is too short. */
  const readWhileItMayBegin = async (head: RequestHead, maxBytes: number): Promise<BodyRead> => {
    const reading = readBody(head.incoming, maxBytes);
    const giveUpLate = (now: Milliseconds): void => {
      if (!stopping.mayBegin(head, now)) reading.giveUp();
    };
    const watched: WatchedRequest = {
      onTick: giveUpLate,
      onGraceOver: () => {
        reading.giveUp();
      },
    };
    giveUpLate(clock.now());
    watchdog.requests.add(watched);
    const read = await reading.result;
    watchdog.requests.delete(watched);
    return read;
  };
  const run = (
    head: RequestHead,
    body: Buffer | undefined,
    response: ServerResponse,
    reply: Reply,
  ): void => {
    count(1);
    const fingerprint = computeFingerprint({ ...head, body });
    const requestRun = new RequestRun({ ...head, body, fingerprint }, reply, tools, () => {
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
    drain: (graceMs) => drainServer(server, graceMs),
    endAll: () => {
      for (const request of [...watchdog.requests]) request.onGraceOver();
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
  { board, clock, logger, metrics, platform }: GatewayContext,
  reply: Reply,
  incoming: IncomingMessage,
  failure: Failure,
): void {
  const id = platform.requests.decodeRequest(incoming.rawHeaders).id ?? '(none)';
  metrics.countError(failure.kind);
  metrics.requests.inc({ route: 'none', outcome: 'refused' });
  const stop = board.stop.read();
  logger.log('requestRefusedAtDoor', {
    request: id,
    kind: failure.kind,
    reason: failure.message,
    leftMs: stop && Math.round(stop.lastAnswerAt - clock.now()),
  });
  reply.fail(failure, id);
}
