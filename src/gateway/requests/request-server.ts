/**
 * The HTTP server for callers.
 *
 * Uses `node:http` without a framework to relay responses with unchanged bytes and headers and to
 * control when connections close.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { drainServer, listenOn } from '../../core/listening/index.js';
import { inputFirst } from '../../core/pending-input/index.js';
import { createAnswerBudget } from '../../core/responses/index.js';
import { hasLeft, onDeparture, takePlace } from '../../core/sockets/index.js';
import type { AttemptSender } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import { admitRequest } from './admission.js';
import type { ServerAvailability } from '../backends/server-availability.js';
import type { BackendTracker } from './backend-tracker.js';
import { readBody, type BodyResult } from './request-body.js';
import { computeFingerprints } from './fingerprint.js';
import type { Quarantine } from './quarantine.js';
import { createReply, type Reply } from './reply.js';
import { reportIncompleteBody, reportRefusal } from './request-report.js';
import { RequestForwarder, type ForwarderDependencies } from './request-forwarder.js';
import { createStartupWait } from './startup-wait.js';
import { createShutdownPolicy, createStoppingFailure } from './shutdown.js';
import type { RequestHead } from './types.js';
import { createRequestQueues } from './request-queues.js';
import type { SpeedTracker } from './speed-tracker.js';
import type { Watchdog, WatchedRequest } from './watchdog.js';

/** The running HTTP server for callers. */
export interface RequestServer {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  /** Requests without a final response. */
  inFlight(): number;
  /**
   * Closes idle connections after `graceMs`, when the load balancer no longer sends requests here.
   * Until then responses carry `Connection: close`. Resolves when no connection is left.
   */
  drain(graceMs: Milliseconds): Promise<void>;
  /** Ends all requests that are still in flight. */
  endAll(): void;
  close(): void;
}

interface RequestServerOptions {
  context: GatewayContext;
  backends: BackendTracker;
  availability: ServerAvailability;
  watchdog: Watchdog;
  send: AttemptSender;
  links: ForwarderDependencies['links'];
  quarantine: Quarantine;
  speeds: SpeedTracker;
}

/** Added to the callers' idle timeout, so that the server does not close as a request arrives. */
const IDLE_TIMEOUT_MARGIN_MS: Milliseconds = 2_000;
/** Above what any configuration allows; the HTTP parser rejects larger headers. */
const MAX_HEADER_BYTES = 65_536;
const DEFAULT_IDLE_TIMEOUT_MS: Milliseconds = 60_000;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

export function createRequestServer(options: RequestServerOptions): RequestServer {
  const { context, watchdog } = options;
  const { board, clock, metrics, logger } = context;
  const shutdown = createShutdownPolicy(context);
  const queues = createRequestQueues(clock, inputFirst);
  watchdog.onTick(() => {
    queues.dispatch();
  });
  const answers = createAnswerBudget();
  const dependencies: ForwarderDependencies = {
    ...options,
    shutdown,
    queues,
    answers,
    inputFirst,
  };
  const waitForConfiguration = createStartupWait(context);
  let inFlight = 0;

  const updateInFlight = (change: 1 | -1): void => {
    inFlight += change;
    metrics.setInFlight(inFlight);
  };
  const handleRequest = async (
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const arrivedAt = clock.now();
    const place = takePlace(incoming.socket);
    if (place.isBehindClose) {
      const { id = '(none)' } = context.platform.requests.decodeRequest(incoming.rawHeaders);
      reportRefusal(context, id, createStoppingFailure());
      // The rest of it is read, so that the end of the connection is noticed.
      incoming.resume();
      return;
    }
    const closesConnection = (): boolean => shutdown.isShuttingDown() && place.closeIfLast();
    const reply = createReply(response, closesConnection, answers);
    const startup = waitForConfiguration();
    if (startup !== undefined) await startup;
    if (hasLeft(incoming, response)) return;
    const admitted = admitRequest(context, incoming, arrivedAt);
    if (admitted.isErr()) {
      rejectRequest(context, reply, incoming, admitted.error);
      return;
    }
    const head = admitted.value;
    const maxBytes =
      board.serving.read()?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readBodyBeforeShutdown(head, maxBytes);
    switch (body.kind) {
      case 'aborted':
        reportIncompleteBody(context, head);
        return;
      case 'cancelled':
        rejectRequest(context, reply, incoming, createStoppingFailure());
        return;
      case 'tooLarge':
        rejectRequest(
          context,
          reply,
          incoming,
          createFailure('bodyTooLarge', { limitBytes: maxBytes }),
        );
        return;
      case 'read':
        forwardRequest(head, body.body, response, reply);
    }
  };
  /** Cancels the read when a shutdown leaves too little time to run the request. */
  const readBodyBeforeShutdown = async (
    head: RequestHead,
    maxBytes: number,
  ): Promise<BodyResult> => {
    const reader = readBody(head.incoming, maxBytes);
    const cancelIfTooLate = (now: Milliseconds): void => {
      if (now > shutdown.latestStart(head)) reader.cancel();
    };
    const watched: WatchedRequest = {
      onTick: cancelIfTooLate,
      onShutdownDeadline: () => {
        reader.cancel();
      },
    };
    cancelIfTooLate(clock.now());
    watchdog.requests.add(watched);
    const result = await reader.result;
    watchdog.requests.delete(watched);
    return result;
  };
  const forwardRequest = (
    head: RequestHead,
    body: Buffer | undefined,
    response: ServerResponse,
    reply: Reply,
  ): void => {
    updateInFlight(1);
    const fingerprints = computeFingerprints({ ...head, body });
    const [fingerprint = ''] = fingerprints;
    const forwarder = new RequestForwarder(
      { ...head, body, fingerprint, fingerprints },
      reply,
      dependencies,
      () => {
        updateInFlight(-1);
      },
    );
    // A caller that has left while its body was read gets nothing sent.
    if (hasLeft(head.incoming, response)) {
      forwarder.handleCallerDisconnect();
      return;
    }
    onDeparture(head.incoming, response, () => {
      // A response that is complete here may still be delivered to a caller that only ended its side.
      if (forwarder.isFinished) return;
      forwarder.handleCallerDisconnect();
      response.destroy();
    });
    forwarder.start();
  };
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS },
    (incoming, response) => {
      response.sendDate = false;
      handleRequest(incoming, response).catch((error: unknown) => {
        logger.log('unexpectedError', { reason: String(error), where: 'request' });
        response.destroy();
      });
    },
  );
  server.requestTimeout = 0;
  board.serving.subscribe(() => {
    applyIdleTimeout(server, board.serving.read()?.configuration.limits.idleTimeoutMs);
  });
  return {
    listen: () => listenOn(server, context.settings.listen.callers),
    inFlight: () => inFlight,
    drain: (graceMs) => drainServer(server, graceMs),
    endAll: () => {
      for (const request of [...watchdog.requests]) request.onShutdownDeadline();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function applyIdleTimeout(
  server: Server,
  idleTimeoutMs: Milliseconds = DEFAULT_IDLE_TIMEOUT_MS,
): void {
  server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
}

function rejectRequest(
  context: GatewayContext,
  reply: Reply,
  incoming: IncomingMessage,
  failure: Failure,
): void {
  const id = context.platform.requests.decodeRequest(incoming.rawHeaders).id ?? '(none)';
  reportRefusal(context, id, failure);
  reply.sendFailure(failure, id);
}
