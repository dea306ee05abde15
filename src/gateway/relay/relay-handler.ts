/**
 * Sends requests of other gateways to backend servers that they don't reach themselves.
 *
 * The other gateway has admitted the request and decides on retries. This one sends it on once, over a
 * link of its own, or reports why it did not.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '../../core/clock/index.js';
import { memoizeLatest } from '../../core/collections/index.js';
import { parseAddress } from '../../core/listening/index.js';
import { whenInputIsRead } from '../../core/pending-input/index.js';
import { hasLeft, onDeparture } from '../../core/sockets/index.js';
import { isEvacuated } from '../../controllers/evacuation/index.js';
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { BackendServer } from '../../ports/index.js';
import type {
  Attempt,
  AttemptFailure,
  AttemptObserver,
  AttemptResponse,
  AttemptSender,
} from '../backends/attempt.js';
import type { ServerAvailability } from '../backends/server-availability.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import { readBody, type BodyResult } from '../requests/request-body.js';
import type { GatewayContext } from '../types.js';
import {
  decodeRelayOrder,
  encodeRelayOutcome,
  hasRelayHeader,
  withoutRelayHeader,
  type RelayOrder,
  type RelayOutcome,
} from './relay-messages.js';

export interface RelayHandler {
  /** Handles a request that another gateway asks to relay; returns false for any other request. */
  handle(incoming: IncomingMessage, response: ServerResponse): boolean;
  /** Resolves when no relayed request is in flight. */
  drain(): Promise<void>;
}

/** A relayed request that has been read. */
interface ReceivedRequest {
  body: BodyResult;
  receivedAt: Milliseconds;
  /** Time that was left for it then. */
  leftMs: Milliseconds;
}

interface RelayHandlerOptions {
  context: GatewayContext;
  availability: ServerAvailability;
  links: Pick<LinkMonitor, 'isLost' | 'investigate' | 'recordHeard'>;
  /** Sends over connections of this gateway. */
  send: AttemptSender;
  /** How late the process was at worst within the last second. */
  latenessMs: () => Milliseconds;
}

/** Relayed requests in flight from which on the other gateway has to ask another one. */
const MAX_IN_FLIGHT = 512;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const BAD_GATEWAY_STATUS = 502;
/** Fields that concern the connection between the gateways only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
]);

export function createRelayHandler(options: RelayHandlerOptions): RelayHandler {
  const { context, availability, links, send, latenessMs } = options;
  const { board, logger, metrics } = context;
  const inFlight = new Set<RelayedRequest>();
  const drainListeners: (() => void)[] = [];
  const hostsOf = memoizeLatest(
    (peers: ReadonlyMap<string, GatewayPeer>) =>
      new Set([...peers.values()].map(({ address }) => parseAddress(address).host)),
  );

  /** The server to send to, or why the other gateway has to ask another one. */
  const admit = (order: RelayOrder): BackendServer | string => {
    if (board.stop.read() !== undefined) return 'the gateway is stopping';
    if (inFlight.size >= MAX_IN_FLIGHT) return 'too many requests are relayed';
    const server = board.fleet.read().servers.get(order.server);
    if (server === undefined) return 'the backend server is not known';
    if (server.leaving || availability.isLeaving(server.id)) return 'the backend server is leaving';
    if (availability.cooldownLeftMs(server.id) > 0) return 'the backend server is cooling down';
    if (isEvacuated(board.evacuations.read(), server.failureDomain))
      return 'its failure domain is evacuated';
    return links.isLost(server.id) ? 'its own link is lost' : server;
  };
  const relay = async (
    order: RelayOrder,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const receivedAt = context.clock.now();
    // The other gateway writes the time that was left into the request for the backend server.
    const leftMs =
      context.platform.requests.decodeRequest(incoming.rawHeaders).deadlineMs ?? Infinity;
    const limits = board.serving.read()?.configuration.limits;
    const body = await readBody(incoming, limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES).result;
    await whenInputIsRead(() => {
      sendOn(order, incoming, response, { body, receivedAt, leftMs });
    });
  };
  const sendOn = (
    order: RelayOrder,
    incoming: IncomingMessage,
    response: ServerResponse,
    { body, receivedAt, leftMs }: ReceivedRequest,
  ): void => {
    if (body.kind !== 'read' || hasLeft(incoming, response)) {
      response.destroy();
      return;
    }
    const server = admit(order);
    if (typeof server === 'string') {
      refuse(response, { kind: 'unavailable', reason: server });
      return;
    }
    const finish = (outcome: RelayOutcome['kind']): void => {
      metrics.relayed.inc({ outcome });
      if (outcome !== 'response') {
        logger.log('relayedRequestEnded', {
          request: order.requestId,
          server: server.id,
          outcome,
          tookMs: Math.round(context.clock.now() - receivedAt),
          lateMs: Math.round(latenessMs()),
        });
      }
      inFlight.delete(relayed);
      if (inFlight.size === 0) for (const listener of drainListeners.splice(0)) listener();
    };
    const relayed = new RelayedRequest(server, response, { availability, links, finish });
    onDeparture(incoming, response, () => {
      relayed.cancel();
    });
    inFlight.add(relayed);
    relayed.start(send, {
      server: { id: server.id, address: server.address },
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: dropHeaders(withoutRelayHeader(incoming.rawHeaders), [
        ...CONNECTION_HEADERS,
        'content-length',
      ]),
      body: body.body,
      requestId: order.requestId,
      requiresNewConnection: order.requiresNewConnection,
      sendUntil: () => receivedAt + leftMs,
    });
  };
  return {
    handle: (incoming, response) => {
      if (!hasRelayHeader(incoming.rawHeaders)) return false;
      response.sendDate = false;
      const order = decodeRelayOrder(incoming.rawHeaders);
      const isPeer = hostsOf(board.peers.read()).has(incoming.socket.remoteAddress ?? '');
      if (order === undefined || !isPeer) {
        refuse(response, { kind: 'unavailable', reason: 'not a valid request of a gateway' });
        return true;
      }
      relay(order, incoming, response).catch((error: unknown) => {
        logger.log('unexpectedError', { reason: String(error), where: 'relay' });
        response.destroy();
      });
      return true;
    },
    drain: () =>
      inFlight.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            drainListeners.push(resolve);
          }),
  };
}

interface RelayedRequestOptions {
  availability: ServerAvailability;
  links: Pick<LinkMonitor, 'investigate' | 'recordHeard'>;
  finish: (outcome: RelayOutcome['kind']) => void;
}

/** One request of another gateway, from its sending to the end of the response. */
class RelayedRequest implements AttemptObserver {
  private attempt: Attempt | undefined;
  private isFinished = false;

  constructor(
    private readonly server: BackendServer,
    private readonly response: ServerResponse,
    private readonly options: RelayedRequestOptions,
  ) {}

  /** The other gateway no longer waits for the response. */
  cancel(): void {
    if (this.isFinished) return;
    this.finish('broken');
    this.attempt?.cancel();
    this.response.destroy();
  }

  start(send: AttemptSender, request: Parameters<AttemptSender>[0]): void {
    this.attempt = send(request, this);
  }

  onNotice(notice: Parameters<AttemptObserver['onNotice']>[0]): void {
    this.options.availability.record(this.server, notice);
  }

  onResponse({ status, headers, framing }: AttemptResponse): void {
    this.options.links.recordHeard(this.server.service);
    if (this.isFinished) return;
    const dropped = framing === 'length' ? [] : ['content-length'];
    this.response.writeHead(status, [
      ...encodeRelayOutcome({ kind: 'response', framing }),
      ...dropHeaders(headers, [...CONNECTION_HEADERS, ...dropped]),
    ]);
    // Lets the other gateway see the head at once, which may come long before the first byte.
    this.response.flushHeaders();
  }

  onData(chunk: Buffer): void {
    if (this.isFinished || this.response.write(chunk)) return;
    this.attempt?.pause();
    this.response.once('drain', () => {
      this.attempt?.resume();
    });
  }

  onEnd(): void {
    this.finish('response');
    this.response.end();
  }

  onFailure(failure: AttemptFailure): void {
    if (this.isFinished) return;
    const kind = toOutcomeKind(failure);
    if (kind === 'notSent') void this.options.links.investigate(this.server.id, 'unreachable');
    this.finish(kind);
    if (this.response.headersSent) this.response.destroy();
    else refuse(this.response, { kind, reason: failure.reason });
  }

  private finish(outcome: RelayOutcome['kind']): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.options.finish(outcome);
  }
}

function toOutcomeKind({ kind }: AttemptFailure): 'unavailable' | 'notSent' | 'broken' {
  switch (kind) {
    case 'notRelayed':
    case 'tooLate':
      return 'unavailable';
    case 'notSent':
    case 'broken':
      return kind;
  }
}

function refuse(response: ServerResponse, outcome: RelayOutcome): void {
  response.writeHead(BAD_GATEWAY_STATUS, [...encodeRelayOutcome(outcome), 'Content-Length', '0']);
  response.end();
}

function dropHeaders(headers: readonly string[], dropped: readonly string[]): string[] {
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return !dropped.includes(name.toLowerCase());
  });
}
