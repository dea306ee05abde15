/**
 * One request to a backend server that sends given bytes, over a connection of this gateway or through
 * another gateway's relay. All parties run in this process, on sockets of loopback.
 */
import { once } from 'node:events';
import { createServer as createHttpServer, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { platform } from '../../platform/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { hardReset } from '../support/hard-reset.js';
import {
  createAttemptSender,
  type Attempt,
  type AttemptFailure,
  type AttemptSender,
} from '../../src/gateway/backends/attempt.js';
import { createConnectionPool } from '../../src/gateway/backends/pool.js';
import { createRelayHandler } from '../../src/gateway/relay/relay-handler.js';
import { RelayedAttempt } from '../../src/gateway/relay/relayed-attempt.js';
import { waitFor } from '../support/waiting.js';

/** How a server ends a connection. */
export type ConnectionEnd = 'close' | 'reset';

/** What a server sends and how it ends the connection right behind it. */
export interface SentAnswer {
  bytes: string;
  end: ConnectionEnd;
  /** Time from the bytes to the end. */
  endAfterMs?: number;
}

export type ExchangePath = 'direct' | 'relayed';

/** What the gateway has made of an answer. */
export interface ExchangeResult {
  /** Whether the answer was taken for whole. */
  isWhole: boolean;
  failure: AttemptFailure | undefined;
  status: number | undefined;
  body: string;
}

export const REQUEST_ID = 'request-1';
const SERVER_ID = 'plain-0';
const RELAY_NAME = 'gateway-1';
const HEAD_END = '\r\n\r\n';
const RESULT_TIMEOUT_MS = 5_000;
const PAUSED_MS = 50;

const ignore = (): void => undefined;

/** Parties of a series of exchanges. */
export class Exchanges {
  /** Stops reading with the first part of a body and goes on after this time. */
  pauseMs = 0;
  private answer: SentAnswer = { bytes: '', end: 'close' };
  private readonly server: Server;
  private readonly relay = createHttpServer();
  private readonly clock = createSystemClock();
  private readonly pool = createConnectionPool({
    clock: this.clock,
    onOpen: ignore,
    maxIdle: () => 0,
  });
  private readonly send: AttemptSender = createAttemptSender(
    this.pool,
    platform.requests,
    this.clock,
    ignore,
  );

  constructor() {
    this.server = createServer((socket) => {
      this.answerOnce(socket);
    });
    const handler = createRelayHandler(this.createRelayOptions());
    this.relay.on('request', (incoming: IncomingMessage, response) => {
      handler.handle(incoming, response);
    });
  }

  async open(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    this.relay.listen(0, '127.0.0.1');
    await Promise.all([once(this.server, 'listening'), once(this.relay, 'listening')]);
  }

  async close(): Promise<void> {
    await this.pool.close();
    this.relay.closeAllConnections();
    this.relay.close();
    this.server.close();
  }

  /** Sends a request and gives it up while the reading of its answer is paused. */
  async giveUp(answer: SentAnswer): Promise<void> {
    this.answer = answer;
    let isPaused = false;
    const attempt = this.sendOver('direct')(this.createRequest(), {
      onNotice: ignore,
      onResponse: ignore,
      onData: () => {
        attempt.pause();
        isPaused = true;
      },
      onEnd: ignore,
      onFailure: ignore,
    });
    await waitFor('the answer', () => isPaused);
    await sleep(PAUSED_MS);
    attempt.cancel();
    await sleep(PAUSED_MS);
  }

  private createRequest(): Parameters<AttemptSender>[0] {
    return {
      server: { id: SERVER_ID, address: addressOf(this.server) },
      method: 'GET',
      path: '/list/x',
      headers: ['Attempt-Id', REQUEST_ID],
      body: undefined,
      requestId: REQUEST_ID,
      requiresNewConnection: true,
      sendUntil: () => Infinity,
    };
  }

  async run(answer: SentAnswer, path: ExchangePath): Promise<ExchangeResult> {
    this.answer = answer;
    const result: ExchangeResult = {
      isWhole: false,
      failure: undefined,
      status: undefined,
      body: '',
    };
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`no result of ${JSON.stringify(answer)}`));
      }, RESULT_TIMEOUT_MS);
      this.start(path, result, () => {
        clearTimeout(timer);
        resolve();
      });
    });
    return result;
  }

  private start(path: ExchangePath, result: ExchangeResult, onFinish: () => void): void {
    const attempt: Attempt = this.sendOver(path)(this.createRequest(), {
      onNotice: ignore,
      onResponse: ({ status }) => {
        result.status = status;
      },
      onData: (chunk) => {
        if (result.body === '') this.pause(attempt);
        result.body += chunk.toString('latin1');
      },
      onEnd: () => {
        result.isWhole = true;
        onFinish();
      },
      onFailure: (failure) => {
        result.failure = failure;
        onFinish();
      },
    });
  }

  private pause(attempt: Attempt): void {
    if (this.pauseMs === 0) return;
    attempt.pause();
    setTimeout(() => {
      attempt.resume();
    }, this.pauseMs);
  }

  private sendOver(path: ExchangePath): AttemptSender {
    if (path === 'direct') return this.send;
    return (request, observer) =>
      new RelayedAttempt(request, observer, {
        pool: this.pool,
        codec: platform.requests,
        clock: this.clock,
        links: {
          chooseRelay: (_server, tried) =>
            tried.size > 0
              ? undefined
              : {
                  name: RELAY_NAME,
                  address: addressOf(this.relay),
                  failureDomain: 'north',
                  cutOffFrom: [],
                },
          avoidRelay: ignore,
        },
        onRelay: ignore,
      }).start();
  }

  /** Unless it waits, ends the connection before the gateway can read any of the answer. */
  private answerOnce(socket: Socket): void {
    const { bytes, end, endAfterMs } = this.answer;
    let received = '';
    socket.on('error', ignore);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (!received.includes(HEAD_END)) return;
      received = '';
      socket.write(bytes, 'latin1');
      const finish = (): void => {
        if (end === 'close') socket.end();
        else hardReset(socket);
      };
      if (endAfterMs === undefined) finish();
      else setTimeout(finish, endAfterMs);
    });
  }

  private createRelayOptions(): Parameters<typeof createRelayHandler>[0] {
    const server = (): unknown => ({
      id: SERVER_ID,
      address: addressOf(this.server),
      service: 'app',
    });
    const section = (read: () => unknown): unknown => ({ read });
    return {
      context: {
        clock: this.clock,
        platform,
        metrics: { relayed: { inc: ignore } },
        logger: { log: ignore },
        board: {
          stop: section(() => undefined),
          serving: section(() => undefined),
          evacuations: section(() => undefined),
          peers: section(() => new Map([['gateway-0', { address: '127.0.0.1:1' }]])),
          fleet: section(() => ({ servers: new Map([[SERVER_ID, server()]]) })),
        },
      },
      availability: { isLeaving: () => false, cooldownLeftMs: () => 0, record: ignore },
      links: { isLost: () => false, investigate: ignore, recordHeard: ignore },
      send: this.send,
      latenessMs: () => 0,
    } as unknown as Parameters<typeof createRelayHandler>[0];
  }
}

function addressOf(server: { address(): unknown }): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
