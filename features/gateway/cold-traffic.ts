/**
 * Simulates one backend server that turns cold, its entries and the requests of a fleet of gateways to it:
 * entries and answers arrive late, and requests are held up while links are cut.
 */
import type { BackendServer } from '../../src/ports/index.js';
import type { Random } from '../../src/core/random/index.js';
import { HEARTBEAT_MS, type QuotaGateway } from './quota-gateway.js';
import { LEAD_MS, TICK_MS } from './quota-fleet.js';

export const PROFILE = { perSecond: 17, startMs: 3_000 };
const SERVER = 'server';
const STEP_MS = 10;
const MAX_ENTRY_DELAY_MS = 1_500;
const MAX_WAY_MS = 30;
/** A request that has not arrived by then was cancelled. */
const LIFETIME_MS = 6_000;

/** The server starts anew, or turns cold as it runs. */
export interface ColdPeriod {
  at: number;
  kind: 'start' | 'turn';
  coldMs: number;
  /** Whether entries show it; if not, only answers do. */
  inEntries: boolean;
}

/** Gateways whose requests to the server are held up, or go over a relay. */
export interface LinkCut {
  at: number;
  forMs: number;
  gateways: number[];
  isRelayed: boolean;
}

export interface TrafficDraw {
  periods: ColdPeriod[];
  cuts: LinkCut[];
  /** Whether all requests come to one gateway, one that may use the server. */
  isOneSided: boolean;
  maxAnswerMs: number;
}

interface Sending {
  gateway: QuotaGateway;
  /** The process that sent it; a restart ends its requests. */
  sender: QuotaGateway['cold'];
  sentAt: number;
  arrivesAt: number;
  contactAt: number;
  isCounted: boolean;
}

/** What one process of a gateway knows of the server. */
interface Knowledge {
  server: BackendServer | undefined;
  toldOf: ColdPeriod | undefined;
  inFlight: number;
}

export class ColdTraffic {
  /** Arrivals at the cold server from gateways that had news of it. */
  readonly arrivals: number[] = [];
  private now = 0;
  private startedAt = 1;
  private period: ColdPeriod | undefined;
  private nextEntryAt = 0;
  private sendings: Sending[] = [];
  private entries: { at: number; period: ColdPeriod | undefined; server: BackendServer }[] = [];
  private readonly delays = new Map<string, number>();
  private readonly known = new WeakMap<QuotaGateway['cold'], Knowledge>();

  constructor(
    private readonly draw: TrafficDraw,
    private readonly random: Random,
  ) {}

  /** Plays one tick of the fleet, in smaller steps; `tickAt` counts from the end of the lead. */
  play(running: readonly QuotaGateway[], tickAt: number): void {
    for (let at = tickAt; at < tickAt + TICK_MS; at += STEP_MS) {
      this.now = at;
      this.changeServer();
      this.deliver();
      for (const gateway of running) this.bringEntry(gateway);
      for (const gateway of this.draw.isOneSided ? this.findUser(running) : running)
        this.send(gateway);
    }
  }

  /** The first gateway that may use the server. */
  private findUser(running: readonly QuotaGateway[]): QuotaGateway[] {
    const user = running.find(
      (gateway) => gateway.cold.ownRate(SERVER, PROFILE, this.localTime(gateway)) > 0,
    );
    return user === undefined ? [] : [user];
  }

  private localTime(gateway: QuotaGateway): number {
    return gateway.localTime(LEAD_MS + this.now);
  }

  private get coldForMs(): number {
    return this.period ? Math.max(0, this.period.at + this.period.coldMs - this.now) : 0;
  }

  private changeServer(): void {
    const begun = this.draw.periods.filter(({ at }) => at <= this.now).at(-1);
    if (begun !== undefined && begun !== this.period) {
      this.period = begun;
      this.nextEntryAt = this.now;
      if (begun.kind === 'start') {
        this.startedAt += 1;
        // What was under way to the previous process is lost.
        this.sendings = [];
      }
    }
    if (this.now < this.nextEntryAt) return;
    this.nextEntryAt = this.now + HEARTBEAT_MS;
    const coldForMs = this.period?.inEntries === false ? 0 : this.coldForMs;
    const { startedAt } = this;
    const server = { ...ENTRY, startedAt, coldForMs };
    this.entries.push({ at: this.now, period: this.period, server });
  }

  private knowledgeOf({ cold }: QuotaGateway): Knowledge {
    const existing = this.known.get(cold);
    if (existing) return existing;
    const created = { server: undefined, toldOf: undefined, inFlight: 0 };
    this.known.set(cold, created);
    return created;
  }

  /** Each gateway sees the entries with a delay of its own. */
  private bringEntry(gateway: QuotaGateway): void {
    if (gateway.cutFromStore) return;
    const delayMs = this.delays.get(gateway.name) ?? this.random.below(MAX_ENTRY_DELAY_MS);
    this.delays.set(gateway.name, delayMs);
    const entry = this.entries.filter(({ at }) => at + delayMs <= this.now).at(-1);
    const known = this.knowledgeOf(gateway);
    if (entry === undefined || entry.server === known.server) return;
    gateway.cold.observeChanges(
      {
        changed: [SERVER],
        before: new Map(known.server && [[SERVER, known.server]]),
        servers: new Map([[SERVER, entry.server]]),
        isServing: known.server !== undefined,
      },
      this.localTime(gateway),
    );
    known.server = entry.server;
    if ((entry.server.coldForMs ?? 0) > 0) known.toldOf = entry.period;
  }

  private send(gateway: QuotaGateway): void {
    const { cold } = gateway;
    const known = this.knowledgeOf(gateway);
    // Nobody reaches a process that it does not know of.
    if (known.server?.startedAt !== this.startedAt || this.coldForMs === 0) return;
    const local = this.localTime(gateway);
    if (cold.waitMs(SERVER, PROFILE, local) > 0) return;
    const isCounted = known.toldOf === this.period || cold.leftMs(SERVER, PROFILE, local) > 0;
    cold.recordSent(SERVER, local);
    known.inFlight += 1;
    const cut = this.draw.cuts.find(
      ({ at, forMs, gateways }) =>
        at <= this.now &&
        this.now < at + forMs &&
        gateways.some((index) => gateway.name === `gateway-${index}`),
    );
    const leavesAt = cut === undefined || cut.isRelayed ? this.now : cut.at + cut.forMs;
    const arrivesAt = leavesAt + this.random.below(MAX_WAY_MS);
    const contactAt = arrivesAt + this.random.below(this.draw.maxAnswerMs);
    const sending = { gateway, sender: cold, sentAt: this.now, arrivesAt, contactAt, isCounted };
    this.sendings.push(sending);
  }

  private deliver(): void {
    const kept: Sending[] = [];
    for (const sending of this.sendings) {
      const { gateway, sender, sentAt, arrivesAt, contactAt, isCounted } = sending;
      if (gateway.cold !== sender) continue;
      const isLost = arrivesAt - sentAt > LIFETIME_MS;
      const isArriving = arrivesAt > this.now - STEP_MS && arrivesAt <= this.now;
      if (isArriving && !isLost && isCounted && this.coldForMs > 0) this.arrivals.push(this.now);
      if (
        (isLost ? sentAt + LIFETIME_MS : contactAt) > this.now ||
        !gateway.isRunning(LEAD_MS + this.now)
      ) {
        kept.push(sending);
        continue;
      }
      this.end(sending, isLost);
    }
    this.sendings = kept;
  }

  private end({ gateway }: Sending, isLost: boolean): void {
    const known = this.knowledgeOf(gateway);
    const local = this.localTime(gateway);
    known.inFlight -= 1;
    if (!isLost) {
      gateway.cold.recordContact(SERVER, local);
      gateway.cold.observeNotice(SERVER, this.coldForMs, local);
      if (this.coldForMs > 0) known.toldOf = this.period;
    }
    if (known.inFlight === 0) gateway.cold.recordIdle(SERVER, local);
  }
}

const ENTRY: BackendServer = {
  id: SERVER,
  service: 'models',
  address: '127.0.0.1:1',
  failureDomain: 'domain-0',
  slots: 34,
  leaving: false,
};

/** The most arrivals in any second. */
export function largestSecond(arrivals: readonly number[]): number {
  let first = 0;
  let largest = 0;
  arrivals.forEach((at, index) => {
    while ((arrivals[first] ?? at) <= at - 1_000) first += 1;
    largest = Math.max(largest, index - first + 1);
  });
  return largest;
}
