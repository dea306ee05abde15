/**
 * A stand-in for one backend server of the platform: an engine that forms groups, or a plain service.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { hardReset } from '../../../src/core/sockets/index.js';
import type { StoreStandIn } from './store.js';

/** One request that arrived. */
export interface Arrival {
  id: string;
  server: string;
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
  /** When, by the scenario's own clock. */
  at: number;
  /** It began to run. */
  ran: boolean;
  /** When the server ended under it. */
  endedAt?: number;
}

interface Membership {
  members: readonly string[];
  name: string;
  epoch: number;
  rank: number;
  state: 'joining' | 'ready' | 'open' | 'closing' | 'broken';
}

interface Order {
  operation: string;
  group: string;
  epoch: number;
  model: string;
  members: string[];
}

/** What a backend server does to the next requests. */
export type EngineFault =
  | { kind: 'none' }
  /** Accepts and says nothing more; running streams stop. */
  | { kind: 'stall' }
  /** Runs the request and breaks the connection before the answer. */
  | { kind: 'loseAnswer' }
  /** Breaks a stream off after `events`, within an event. */
  | { kind: 'cutStream'; events: number }
  /** Says that it did not run it. */
  | { kind: 'refuse' }
  /** Sends an answer of another request first. */
  | { kind: 'foreignAnswer' }
  /** Answers without a length and resets before the end. */
  | { kind: 'resetUnframed' }
  /** Answers without a length and ends the connection. */
  | { kind: 'unframed' }
  | { kind: 'fail' }
  /** Ends when it begins to run a request with this body, and starts again later. */
  | { kind: 'endUnder'; body: string; backAfterMs: number }
  | { kind: 'encode' };

export interface EngineOptions {
  id: string;
  service: string;
  zone: string;
  domain?: string;
  store: StoreStandIn;
  /** Shared by all servers of a scenario. */
  journal: Arrival[];
  /** Events of each stream. */
  events?: number;
  gapMs?: number;
  /** Where others reach it, if not at its own address. */
  advertised?: (address: string) => Promise<string>;
  /** All engines, for those that check what members of a replica must never see. */
  fleet?: ReadonlyMap<string, EngineStandIn>;
  /** What no engine must see, as it was seen. */
  breaches?: string[];
}

const JOIN_MS = 30;
const RESET_AFTER_MS = 20;

export class EngineStandIn {
  fault: EngineFault = { kind: 'none' };
  membership: Membership | undefined;
  /** Models on the host. */
  staged: string[] = [];
  orders: string[] = [];
  /** Orders are not answered and carried out this much later. */
  lateByMs = 0;
  /** Replicas that this life was ready in. */
  readonly readyIn = new Set<string>();
  hasCrashed = false;
  /** Unix millisecond of its start. */
  private born = Date.now();
  private model: string | undefined;
  private seenEpoch = 0;
  private leaving = false;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private port = 0;
  private reached = '';

  constructor(readonly options: EngineOptions) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        response.destroy();
      });
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Ends at once and starts again under its id, at its address, with nothing of before. */
  async restart(): Promise<void> {
    this.crash();
    this.born = Math.max(Date.now(), this.born + 1);
    this.membership = undefined;
    this.model = undefined;
    this.staged = [];
    this.orders = [];
    this.readyIn.clear();
    this.seenEpoch = 0;
    this.leaving = false;
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.hasCrashed = false;
    this.report();
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = (this.server.address() as AddressInfo).port;
    const own = `127.0.0.1:${this.port}`;
    this.reached = (await this.options.advertised?.(own)) ?? own;
    this.report();
  }

  get address(): string {
    return this.reached;
  }

  /** Ends at once, without a word to the store. */
  crash(): void {
    this.hasCrashed = true;
    this.server.close();
    for (const socket of this.sockets) hardReset(socket);
  }

  close(): void {
    this.crash();
  }

  drain(): void {
    this.leaving = true;
    this.report();
  }

  report(): void {
    if (this.hasCrashed) return;
    const { id, service, zone, domain, store } = this.options;
    const group = this.membership ?? null;
    const models = this.model ? [{ name: this.model, version: 1, adapters: [] }] : [];
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 12,
      state: this.leaving ? 'draining' : 'ready',
      born: this.born,
      sequence: 1,
      cold_remaining_ms: 0,
      ...(domain && { stage: 'dual', models, domain, staged: this.staged, group }),
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'Instance-Id': this.options.id }).end();
      return;
    }
    if (this.fault.kind === 'stall') return;
    if (request.url === '/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ born: this.born }));
    } else if (request.url === '/order') {
      await this.takeOrder(JSON.parse(body) as Order, response);
    } else {
      await this.serve(request, body, response);
    }
  }

  private async takeOrder(order: Order, response: ServerResponse): Promise<void> {
    if (this.lateByMs > 0) {
      response.destroy();
      await sleep(this.lateByMs);
      if (this.hasCrashed) return;
    }
    this.orders.push(`${order.operation} ${order.group}`);
    const answer = (status: number): void => {
      response.writeHead(status, { 'content-length': 0 }).end();
    };
    const own = this.membership && keyOf(this.membership);
    const isMine = own === keyOf({ name: order.group, epoch: order.epoch });
    switch (order.operation) {
      case 'join':
        if (order.epoch < this.seenEpoch) {
          answer(412);
          return;
        }
        if (isMine) {
          answer(200);
          return;
        }
        answer(202);
        await this.join(order);
        return;
      case 'open':
        if (!isMine || this.membership?.state !== 'ready') answer(409);
        else {
          answer(202);
          this.setState('open');
        }
        return;
      case 'close':
        if (isMine) this.setState('ready');
        answer(isMine ? 202 : 200);
        return;
      case 'leave':
        if (isMine) this.membership = undefined;
        this.report();
        answer(200);
        return;
      case 'stage':
        this.staged = [order.model];
        this.report();
        answer(202);
        return;
      default:
        answer(400);
    }
  }

  private async join(order: Order): Promise<void> {
    this.checkLeft(order);
    this.seenEpoch = order.epoch;
    const { group, epoch, members } = order;
    const rank = members.indexOf(this.options.id);
    this.membership = { name: group, epoch, members, rank, state: 'joining' };
    this.report();
    const { born } = this;
    await sleep(JOIN_MS);
    if (born !== this.born) return;
    this.model = order.model;
    if (this.staged.length === 0) this.staged = [order.model];
    if (this.membership.name !== order.group) return;
    this.readyIn.add(keyOf(this.membership));
    this.setState('ready');
  }

  /** No member may go to another replica while the head of its own still takes requests. */
  private checkLeft(order: Order): void {
    const { membership, options } = this;
    if (membership === undefined || membership.name === order.group) return;
    const head = options.fleet?.get(membership.members[0] ?? '');
    const isServing = head?.membership?.state === 'open' || head?.membership?.state === 'closing';
    const isSame = head?.membership?.name === membership.name && !head.hasCrashed;
    if (!isSame || !isServing) return;
    options.breaches?.push(`${options.id} joined ${order.group} while ${membership.name} is open`);
  }

  /** No request may begin in a replica with a member that never was ready in it. */
  private checkWhole(): void {
    const { membership, options } = this;
    for (const id of membership?.members ?? []) {
      const member = options.fleet?.get(id);
      if (!membership || !member || member.hasCrashed) continue;
      if (member.readyIn.has(keyOf(membership))) continue;
      options.breaches?.push(`${membership.name} served while ${id} was never ready in it`);
    }
  }

  private setState(state: Membership['state']): void {
    if (this.membership) this.membership = { ...this.membership, state };
    this.report();
  }

  private async serve(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    const { id: server, domain } = this.options;
    const id = String(request.headers['attempt-id'] ?? '');
    const arrival: Arrival = {
      id,
      server,
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body,
      at: performance.now(),
      ran: false,
    };
    this.options.journal.push(arrival);
    if (domain && this.membership?.state !== 'open') {
      response.writeHead(421, { 'Instance-Id': server, 'content-length': 0 }).end();
      return;
    }
    if (this.fault.kind === 'refuse') {
      response.writeHead(503, { 'Not-Executed': '1', 'content-length': 0 }).end();
      return;
    }
    arrival.ran = true;
    this.checkWhole();
    if (this.fault.kind === 'endUnder' && this.fault.body === body) {
      await this.endUnder(arrival, this.fault.backAfterMs);
      return;
    }
    if (domain) await this.stream(request, response, id);
    else await this.answer(response, id);
  }

  private async endUnder(arrival: Arrival, backAfterMs: number): Promise<void> {
    await sleep(this.options.gapMs ?? 5);
    if (this.hasCrashed) return;
    arrival.endedAt = performance.now();
    this.crash();
    await sleep(backAfterMs);
    await this.restart();
  }

  private async answer(response: ServerResponse, id: string): Promise<void> {
    const head = { 'Attempt-Id': id, 'Response-Seal': `seal-${this.options.id}` };
    const body = `answer to ${id}`;
    await sleep(this.options.gapMs ?? 5);
    switch (this.fault.kind) {
      case 'loseAnswer':
        hardReset(response.socket);
        return;
      case 'fail':
        response.writeHead(500, { ...head, 'content-length': 4 }).end('fail');
        return;
      case 'encode':
        response
          .writeHead(200, { ...head, 'content-encoding': 'gzip', 'content-length': 2 })
          .end('xx');
        return;
      case 'foreignAnswer':
        response
          .writeHead(200, { ...head, 'Attempt-Id': 'another', 'content-length': 7 })
          .end('foreign');
        return;
      case 'unframed':
        response.socket?.end(
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n\r\nanswer`,
        );
        return;
      case 'resetUnframed':
        response.socket?.write(
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n\r\nanswer`,
          () => void resetSoon(response),
        );
        return;
      default:
        response.writeHead(200, { ...head, 'content-length': Buffer.byteLength(body) }).end(body);
    }
  }

  private async stream(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): Promise<void> {
    const { events = 10, gapMs = 10 } = this.options;
    const from = Number(request.headers['last-event-id'] ?? 0);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Response-Seal': `seal-${this.options.id}`,
    });
    for (let event = from + 1; event <= events; event += 1) {
      await sleep(gapMs);
      if (this.isStalled() || response.destroyed) return;
      if (this.fault.kind === 'cutStream' && event > this.fault.events) {
        response.write(`id: ${event}\ndata: par`, () => void resetSoon(response));
        return;
      }
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
    }
    response.end();
  }

  private isStalled(): boolean {
    return this.fault.kind === 'stall';
  }
}

function keyOf({ name, epoch }: Pick<Membership, 'name' | 'epoch'>): string {
  return `${name} ${epoch}`;
}

/** What was written is on its way first: a reset in the same moment would overtake its own data. */
async function resetSoon(response: ServerResponse): Promise<void> {
  await sleep(RESET_AFTER_MS);
  hardReset(response.socket);
}
