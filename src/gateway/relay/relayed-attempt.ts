/**
 * An attempt at a backend server that another gateway relays, because the own link to it is lost.
 *
 * The request goes over one other gateway, which sends it on over a link of its own or not at all. If
 * it can't, the next gateway is tried: nothing has reached the server by then.
 */
import type { Dispatcher } from 'undici';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { isFinalStatus, isInterimStatus } from '../../core/responses/index.js';
import type { RequestCodec } from '../../ports/index.js';
import {
  readRawHeaders,
  TOO_LATE_REASON,
  type Attempt,
  type AttemptObserver,
  type AttemptRequest,
  type AttemptResponse,
} from '../backends/attempt.js';
import { countFromRequest, type BackendConnection } from '../backends/connection.js';
import type { BackendAddress, ConnectionPool } from '../backends/pool.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import {
  decodeRelayOutcome,
  encodeRelayOrder,
  withoutRelayHeader,
  type RelayOutcome,
} from './relay-messages.js';

export interface RelayedAttemptOptions {
  /** Connections to the other gateways, by name. */
  pool: ConnectionPool;
  codec: RequestCodec;
  clock: Clock;
  links: Pick<LinkMonitor, 'chooseRelay' | 'avoidRelay'>;
  /** Called with the name of each gateway that is asked to relay the request. */
  onRelay: (request: AttemptRequest, peer: string) => void;
}

/** Gateways that are tried for one attempt. */
const MAX_RELAYS = 3;

/** Tries one gateway after the other until one has sent the request on. */
export class RelayedAttempt implements Attempt {
  readonly server: BackendAddress;
  readonly isRelayed = true;
  private readonly tried = new Set<string>();
  private current: RelayExchange | undefined;
  private isCancelled = false;
  /** A relay could not connect to the server, which is why it may have failed itself. */
  private notSentReason: string | undefined;

  constructor(
    private readonly request: AttemptRequest,
    private readonly observer: AttemptObserver,
    private readonly options: RelayedAttemptOptions,
  ) {
    this.server = request.server;
  }

  start(): this {
    this.tryNext();
    return this;
  }

  cancel(): void {
    this.isCancelled = true;
    this.current?.cancel();
  }

  get writtenAt(): Milliseconds | undefined {
    return this.current?.writtenAt;
  }

  pause(): void {
    this.current?.pause();
  }

  resume(): void {
    this.current?.resume();
  }

  private tryNext(): void {
    const { clock, links, onRelay } = this.options;
    const mayTry = this.tried.size < MAX_RELAYS && clock.now() <= this.request.sendUntil();
    const peer = mayTry ? links.chooseRelay(this.server.id, this.tried) : undefined;
    if (peer === undefined) {
      // Reported later, because the caller does not have this attempt yet.
      queueMicrotask(() => {
        this.giveUp();
      });
      return;
    }
    this.tried.add(peer.name);
    onRelay(this.request, peer.name);
    const relay = { id: peer.name, address: peer.address };
    this.current = new RelayExchange(
      relay,
      this.request,
      this.observer,
      this.options,
      (failure) => {
        this.handleFailure(peer.name, failure);
      },
    );
    this.current.start();
  }

  private handleFailure(peer: string, failure: RelayFailure): void {
    if (this.isCancelled) return;
    if (failure.kind === 'broken') {
      this.observer.onFailure(failure);
      return;
    }
    this.options.links.avoidRelay(peer);
    if (failure.kind === 'notSent') this.notSentReason = failure.reason;
    this.tryNext();
  }

  private giveUp(): void {
    if (this.isCancelled) return;
    const reason = this.notSentReason;
    this.observer.onFailure(
      reason === undefined
        ? { kind: 'notRelayed', reason: 'no other gateway relayed it' }
        : { kind: 'notSent', reason },
    );
  }
}

type RelayFailure = Exclude<RelayOutcome, { kind: 'response' }>;

/** One request to one relay. */
class RelayExchange implements Dispatcher.DispatchHandler {
  writtenAt: Milliseconds | undefined;
  private readonly connection: BackendConnection;
  private controller: Dispatcher.DispatchController | undefined;
  private isFinished = false;

  constructor(
    private readonly relay: BackendAddress,
    private readonly request: AttemptRequest,
    private readonly observer: AttemptObserver,
    private readonly options: RelayedAttemptOptions,
    private readonly onFailure: (failure: RelayFailure) => void,
  ) {
    this.connection = options.pool.acquire(relay, request.requiresNewConnection);
  }

  start(): void {
    const { method, path, headers, body, requestId, requiresNewConnection } = this.request;
    const order = encodeRelayOrder({
      server: this.request.server.id,
      ...(requestId !== undefined && { requestId }),
      requiresNewConnection,
    });
    try {
      this.connection.client.dispatch(
        { method, path, headers: [...order, ...headers], body: body ?? null, idempotent: false },
        this,
      );
    } catch (error) {
      this.onResponseError(undefined, error);
    }
  }

  cancel(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.closeConnection();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    countFromRequest(this.connection.state);
    if (this.isFinished) return;
    const now = this.options.clock.now();
    if (now <= this.request.sendUntil()) {
      this.writtenAt = now;
      return;
    }
    this.fail({ kind: 'unavailable', reason: TOO_LATE_REASON });
    controller.abort(new Error(TOO_LATE_REASON));
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isFinished || isInterimStatus(status)) return;
    if (!isFinalStatus(status)) {
      this.fail({ kind: 'broken', reason: `the answer has the status ${status}` });
      return;
    }
    const rawHeaders = readRawHeaders(controller.rawHeaders);
    const outcome = decodeRelayOutcome(rawHeaders);
    if (outcome?.kind === 'response') {
      this.relayHead(status, withoutRelayHeader(rawHeaders), outcome.framing);
      return;
    }
    this.fail(outcome ?? { kind: 'unavailable', reason: `status ${status} of a gateway` });
  }

  private relayHead(status: number, headers: string[], framing: AttemptResponse['framing']): void {
    const head = this.options.codec.decodeResponse(status, headers);
    this.observer.onNotice(head.notice);
    this.observer.onResponse({ ...head, status, headers, framing });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection.state.received.body += chunk.length;
    if (!this.isFinished) this.observer.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.options.pool.release(this.relay, this.connection);
    this.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: unknown): void {
    const reason = error instanceof Error ? error.message : 'unknown error';
    const mayHaveBeenSent = this.connection.state.connected;
    this.fail({ kind: mayHaveBeenSent ? 'broken' : 'unavailable', reason });
  }

  private fail(failure: RelayFailure): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.closeConnection();
    this.onFailure(failure);
  }

  private closeConnection(): void {
    this.connection.state.ended = true;
    void this.connection.client.destroy();
  }
}
