/**
 * A stand-in for one backend server of the platform: an engine that forms groups, or a plain service.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { hardReset } from '../../support/hard-reset.js';
import type { StoreStandIn } from './store.js';

/** One received request. */
export interface Arrival {
  id: string;
  server: string;
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
  /** Time of arrival on the clock of the scenario. */
  at: number;
  /** Whether the server began to run it. */
  ran: boolean;
  /** When the server crashed while running it. */
  endedAt?: number;
  /** When it stopped to work on it, by its end or since its connection was closed. */
  stoppedAt?: number;
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

/** How a backend server treats the next requests. */
export type EngineFault =
  | { kind: 'none' }
  /** Accepts requests without answering; running streams stop. */
  | { kind: 'stall' }
  /** Runs the request and resets the connection before the answer. */
  | { kind: 'loseAnswer' }
  /** Interrupts a stream within the event that follows `events`. */
  | { kind: 'cutStream'; events: number }
  /** Answers that it did not run the request. */
  | { kind: 'refuse' }
  /** Sends an answer that belongs to another request. */
  | { kind: 'foreignAnswer' }
  /** Answers without a length and resets before the end. */
  | { kind: 'resetUnframed' }
  /** Answers and streams without a length and ends the connection. */
  | { kind: 'unframed' }
  | { kind: 'fail' }
  /** Answers `failing` of `of` calls with an error. */
  | { kind: 'failSome'; failing: number; of: number }
  /** Crashes when it begins to run a request with this body, and restarts later. */
  | { kind: 'endUnder'; body: string; backAfterMs: number }
  /** Sends `begin` and then `repeat` without end, until the caller closes the connection. */
  | { kind: 'endless'; begin: (id: string) => string; repeat: string }
  /** Sends `render(id)` and ends the connection right behind it. */
  | { kind: 'cut'; render: (id: string) => string; end: 'close' | 'reset' }
  | { kind: 'encode' };

/** Crashes when it has begun to write an answer to a prompt with this part, and restarts later. */
export interface CrashingPart {
  part: string;
  how: StreamCrash;
  backAfterMs: number;
}

/** What an engine has sent of a stream when it crashes, and how its connections close. */
export type StreamCrash =
  /** The head alone; its connections are reset. */
  | 'after the head'
  /** Some events; its connections are reset. */
  | 'after some events'
  /** A part of an event, without length or chunks; its connections close. */
  | 'within an unframed event'
  /** Whole events, without length or chunks; its connections close. */
  | 'after unframed events';

/** How a server answers requests to one path. */
export interface Pace {
  /** Answers that it did not run the request. */
  refuses?: boolean;
  /** Time until it refuses. */
  refuseAfterMs?: number;
  /** Time until the head of a stream. */
  headMs?: number;
  /** Time until an answer, or until the first event of a stream. */
  firstMs?: number;
  events?: number;
  gapMs?: number;
  /** Size of each event. */
  eventBytes?: number;
}

export interface EngineOptions {
  id: string;
  service: string;
  zone: string;
  domain?: string;
  store: StoreStandIn;
  /** Shared by all servers of a scenario. */
  journal: Arrival[];
  /** Number of events in each stream. */
  events?: number;
  gapMs?: number;
  /** Answers requests to this path at a pace of their own. */
  paceOf?: (path: string) => Pace;
  /** Maps its own address to the one in its entry, such as that of a proxy. */
  advertised?: (address: string) => Promise<string>;
  /** All engines, to check the invariants of replicas. */
  fleet?: ReadonlyMap<string, EngineStandIn>;
  /** Collects violated invariants. */
  breaches?: string[];
  /** Collects when loads of weights have begun, at all engines. */
  loadTimes?: number[];
  /** Time that staging takes; none if absent. */
  stageMs?: number;
}

const JOIN_MS = 30;
const RESET_AFTER_MS = 20;
const ENDLESS_PART_BYTES = 16_384;
/** How long an engine writes before it crashes under the request. */
const CRASH_AFTER_MS = 60;

export class EngineStandIn {
  fault: EngineFault = { kind: 'none' };
  /** Beside the fault. */
  crashingPart: CrashingPart | undefined;
  membership: Membership | undefined;
  /** Models staged on the host. */
  staged: string[] = [];
  orders: string[] = [];
  /** When positive, orders are not answered and are carried out after this delay. */
  orderDelayMs = 0;
  /** Replicas that this incarnation was ready in. */
  readonly readyGroups = new Set<string>();
  hasCrashed = false;
  runningStreams = 0;
  /** Requests that it works on; it drops them when their connection closes. */
  readonly working = new Set<string>();
  /** Bytes of each answer without end, once its connection was closed. */
  readonly endlessBytes: number[] = [];
  /** Named in its answers as the requests per second that it takes from all gateways together. */
  namedLimit: string | string[] | undefined;
  /** `Retry-After` of its refusals. */
  retryAfter: string | string[] | undefined;
  /** Refuses orders and reports as well, as long as its fault is to refuse. */
  refusesCalls = false;
  /** `Server-Leaving` of all its answers; its entry does not show it. */
  leavingNotice: string | undefined;
  /** Until when it is cold, in Unix milliseconds. */
  coldUntil = 0;
  /** Where it tells that it is cold, or since when it is not. */
  coldShownIn: 'entries' | 'answers' = 'entries';
  /** When it received an order or was asked for a report, on the clock of the scenario. */
  readonly callTimes: number[] = [];
  /** Start time in Unix milliseconds. */
  private born = Date.now();
  private model: string | undefined;
  private seenEpoch = 0;
  private answered = 0;
  private leaving = false;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private port = 0;
  private advertisedAddress = '';

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

  /** Crashes and starts again with the same id and address and without its former state. */
  async restart(): Promise<void> {
    this.crash();
    this.born = Math.max(Date.now(), this.born + 1);
    this.membership = undefined;
    this.model = undefined;
    this.staged = [];
    this.orders = [];
    this.readyGroups.clear();
    this.seenEpoch = 0;
    this.leaving = false;
    this.leavingNotice = undefined;
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.hasCrashed = false;
    this.report();
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = (this.server.address() as AddressInfo).port;
    const ownAddress = `127.0.0.1:${this.port}`;
    this.advertisedAddress = (await this.options.advertised?.(ownAddress)) ?? ownAddress;
    this.report();
  }

  get address(): string {
    return this.advertisedAddress;
  }

  /** Stops at once without updating its entry. */
  crash(how: 'reset' | 'close' = 'reset'): void {
    this.hasCrashed = true;
    this.server.close();
    for (const socket of this.sockets) {
      if (how === 'reset') hardReset(socket);
      else socket.destroySoon();
    }
  }

  close(): void {
    this.crashingPart = undefined;
    this.crash();
  }

  drain(): void {
    this.leaving = true;
    this.report();
  }

  turnCold(forMs: number, shownIn: 'entries' | 'answers'): void {
    this.coldUntil = Date.now() + forMs;
    this.coldShownIn = shownIn;
    this.report();
  }

  private get coldLeftMs(): number {
    return Math.max(0, this.coldUntil - Date.now());
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
      ...(this.coldShownIn === 'entries' && { cold_remaining_ms: this.coldLeftMs }),
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
    if (this.leavingNotice !== undefined) response.setHeader('Server-Leaving', this.leavingNotice);
    if (this.coldShownIn === 'answers') response.setHeader('Cold-Ms', String(this.coldLeftMs));
    const isCall = request.url === '/report' || request.url === '/order';
    if (isCall) this.callTimes.push(performance.now());
    if (isCall && this.refusesCalls && this.fault.kind === 'refuse') this.refuse(response);
    else if (request.url === '/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ born: this.born }));
    } else if (request.url === '/order') {
      await this.takeOrder(JSON.parse(body) as Order, response);
    } else {
      await this.serve(request, body, response);
    }
  }

  private async takeOrder(order: Order, response: ServerResponse): Promise<void> {
    if (this.orderDelayMs > 0) {
      response.destroy();
      await sleep(this.orderDelayMs);
      if (this.hasCrashed) return;
    }
    this.orders.push(`${order.operation} ${order.group}`);
    const answer = (status: number): void => {
      response.writeHead(status, { 'content-length': 0 }).end();
    };
    const ownKey = this.membership && groupKey(this.membership);
    const isOwnGroup = ownKey === groupKey({ name: order.group, epoch: order.epoch });
    switch (order.operation) {
      case 'join':
        if (order.epoch < this.seenEpoch) {
          answer(412);
          return;
        }
        if (isOwnGroup) {
          answer(200);
          return;
        }
        answer(202);
        await this.join(order);
        return;
      case 'open':
        if (!isOwnGroup || this.membership?.state !== 'ready') answer(409);
        else {
          answer(202);
          this.setState('open');
        }
        return;
      case 'close':
        if (isOwnGroup) this.setState('ready');
        answer(isOwnGroup ? 202 : 200);
        return;
      case 'leave':
        if (isOwnGroup) this.membership = undefined;
        this.report();
        answer(200);
        return;
      case 'stage':
        answer(202);
        await this.stage(order.model);
        return;
      default:
        answer(400);
    }
  }

  private async stage(model: string): Promise<void> {
    const { loadTimes, stageMs = 0 } = this.options;
    if (!this.staged.includes(model)) loadTimes?.push(performance.now());
    const { born } = this;
    if (stageMs > 0) await sleep(stageMs);
    if (born !== this.born) return;
    this.staged = [model];
    this.report();
  }

  private async join(order: Order): Promise<void> {
    this.checkPreviousGroupClosed(order);
    if (this.model !== order.model && !this.staged.includes(order.model))
      this.options.loadTimes?.push(performance.now());
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
    this.readyGroups.add(groupKey(this.membership));
    this.setState('ready');
  }

  /** Invariant: no member joins another replica while the head of its current one serves requests. */
  private checkPreviousGroupClosed(order: Order): void {
    const { membership, options } = this;
    if (membership === undefined || membership.name === order.group) return;
    const head = options.fleet?.get(membership.members[0] ?? '');
    const isServing = head?.membership?.state === 'open' || head?.membership?.state === 'closing';
    const isSame = head?.membership?.name === membership.name && !head.hasCrashed;
    if (!isSame || !isServing) return;
    options.breaches?.push(`${options.id} joined ${order.group} while ${membership.name} is open`);
  }

  /** Invariant: no request begins in a replica with a member that was never ready in it. */
  private checkAllMembersReady(): void {
    const { membership, options } = this;
    for (const id of membership?.members ?? []) {
      const member = options.fleet?.get(id);
      if (!membership || !member || member.hasCrashed) continue;
      if (member.readyGroups.has(groupKey(membership))) continue;
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
    if (this.namedLimit !== undefined) response.setHeader('Server-Limit', this.namedLimit);
    if (domain && this.membership?.state !== 'open') {
      response.writeHead(421, { 'Instance-Id': server, 'content-length': 0 }).end();
      return;
    }
    const pace = this.options.paceOf?.(arrival.path) ?? {};
    if (this.fault.kind === 'refuse' || pace.refuses) {
      if (pace.refuseAfterMs !== undefined) await sleep(pace.refuseAfterMs);
      this.refuse(response);
      return;
    }
    arrival.ran = true;
    this.working.add(id);
    response.once('close', () => {
      this.working.delete(id);
      arrival.stoppedAt = performance.now();
    });
    this.checkAllMembersReady();
    if (this.fault.kind === 'endUnder' && this.fault.body === body) {
      await this.crashDuring(arrival, this.fault.backAfterMs);
      return;
    }
    if (this.crashingPart && hasPart(request, this.crashingPart.part)) {
      await this.crashWhileWriting(arrival, response, this.crashingPart);
      return;
    }
    if (domain) await this.runStream(request, response, id, pace);
    else await this.answer(response, id, pace);
  }

  private refuse(response: ServerResponse): void {
    if (this.retryAfter !== undefined) response.setHeader('Retry-After', this.retryAfter);
    response.writeHead(503, { 'Not-Executed': '1', 'content-length': 0 }).end();
  }

  private async crashDuring(arrival: Arrival, backAfterMs: number): Promise<void> {
    await sleep(this.options.gapMs ?? 5);
    if (this.hasCrashed) return;
    arrival.endedAt = performance.now();
    this.crash();
    await sleep(backAfterMs);
    await this.restart();
  }

  private async crashWhileWriting(
    arrival: Arrival,
    response: ServerResponse,
    { how, backAfterMs }: CrashingPart,
  ): Promise<void> {
    const { id } = arrival;
    const event = 'id: 1\ndata: token 1\n\n';
    const { socket } = response;
    switch (how) {
      case 'after the head':
        response.writeHead(200, this.streamHeaders(id)).flushHeaders();
        break;
      case 'after some events':
        response.writeHead(200, this.streamHeaders(id)).write(event);
        break;
      case 'within an unframed event':
        socket?.write(`${this.unframedHead(id)}${event}id: 2\ndata: par`);
        break;
      case 'after unframed events':
        socket?.write(`${this.unframedHead(id)}${event}`);
        break;
    }
    await sleep(CRASH_AFTER_MS);
    if (this.hasCrashed) return;
    arrival.endedAt = performance.now();
    this.crash(how.includes('unframed') ? 'close' : 'reset');
    await sleep(backAfterMs);
    // It may have been removed meanwhile.
    if (this.crashingPart) await this.restart();
  }

  private streamHeaders(id: string): Record<string, string> {
    return {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Response-Seal': `seal-${this.options.id}`,
    };
  }

  /** The head of a stream with neither a length nor chunks. */
  private unframedHead(id: string): string {
    const headers = Object.entries(this.streamHeaders(id)).map(
      ([name, value]) => `${name}: ${value}`,
    );
    return ['HTTP/1.1 200 OK', ...headers, '', ''].join('\r\n');
  }

  private async answer(response: ServerResponse, id: string, pace: Pace): Promise<void> {
    const head = { 'Attempt-Id': id, 'Response-Seal': `seal-${this.options.id}` };
    const body = `answer to ${id}`;
    await sleep(pace.firstMs ?? this.options.gapMs ?? 5);
    switch (this.fault.kind) {
      case 'endless':
        this.sendWithoutEnd(response, id, this.fault);
        return;
      case 'cut':
        sendAndEnd(response, id, this.fault);
        return;
      case 'loseAnswer':
        hardReset(response.socket);
        return;
      case 'failSome':
        this.answered += 1;
        if (this.answered % this.fault.of < this.fault.failing)
          response.writeHead(500, { ...head, 'content-length': 4 }).end('fail');
        else response.writeHead(200, { ...head, 'content-length': body.length }).end(body);
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

  private async runStream(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    pace: Pace,
  ): Promise<void> {
    this.runningStreams += 1;
    await this.stream(request, response, id, pace);
    this.runningStreams -= 1;
  }

  private async stream(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    { headMs = 0, firstMs = 0, eventBytes = 0, ...pace }: Pace,
  ): Promise<void> {
    const { events = 10, gapMs = 10 } = { ...this.options, ...pace };
    const from = Number(request.headers['last-event-id'] ?? 0);
    if (headMs > 0) await sleep(headMs);
    if (this.fault.kind === 'endless') {
      this.sendWithoutEnd(response, id, this.fault);
      return;
    }
    if (this.fault.kind === 'unframed') response.useChunkedEncodingByDefault = false;
    if (this.fault.kind === 'cut') {
      sendAndEnd(response, id, this.fault);
      return;
    }
    response.writeHead(200, this.streamHeaders(id));
    if (firstMs > 0) response.flushHeaders();
    await sleep(firstMs);
    for (let event = from + 1; event <= events; event += 1) {
      await sleep(gapMs);
      if (this.isStalled() || response.destroyed) return;
      if (this.fault.kind === 'cutStream' && event > this.fault.events) {
        response.write(`id: ${event}\ndata: par`, () => void resetSoon(response));
        return;
      }
      response.write(`id: ${event}\ndata: token ${event}${'x'.repeat(eventBytes)}\n\n`);
    }
    response.end();
  }

  private sendWithoutEnd(
    { socket }: ServerResponse,
    id: string,
    { begin, repeat }: Extract<EngineFault, { kind: 'endless' }>,
  ): void {
    if (!socket) return;
    const part = Buffer.from(repeat.repeat(Math.ceil(ENDLESS_PART_BYTES / repeat.length)));
    const send = (): void => {
      while (!socket.destroyed && socket.write(part));
    };
    socket.on('drain', send);
    socket.once('close', () => {
      this.endlessBytes.push(socket.bytesWritten);
    });
    socket.write(begin(id));
    send();
  }

  private isStalled(): boolean {
    return this.fault.kind === 'stall';
  }
}

function sendAndEnd(
  { socket }: ServerResponse,
  id: string,
  { render, end }: Extract<EngineFault, { kind: 'cut' }>,
): void {
  socket?.write(render(id));
  if (end === 'close') socket?.end();
  else hardReset(socket);
}

/** Whether the prompt of a request has the part. */
export function hasPart({ headers }: Pick<IncomingMessage, 'headers'>, part: string): boolean {
  const parts = String(headers['prompt-prefix'] ?? '').split(',');
  return parts.some((each) => each.startsWith(`${part}:`));
}

function groupKey({ name, epoch }: Pick<Membership, 'name' | 'epoch'>): string {
  return `${name} ${epoch}`;
}

/** Resets after a delay, so that data already written is delivered first. */
async function resetSoon(response: ServerResponse): Promise<void> {
  await sleep(RESET_AFTER_MS);
  hardReset(response.socket);
}
