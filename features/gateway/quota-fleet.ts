/**
 * Simulates gateways that divide limits of the fleet: restarts, freezes, cuts, joins, departures, lost
 * and late digests and outages of the store, on simulated clocks and without a network.
 */
import type { RetryBounds, RetryBudget } from '../../src/controllers/forwarding/index.js';
import { PEERING_TICK_MS, type Digest } from '../../src/controllers/peering/index.js';
import type { Random } from '../../src/core/random/index.js';
import { QuotaGateway, type StoredEntry } from './quota-gateway.js';

export const TICK_MS = PEERING_TICK_MS;
/** Time before the first request, as on a fleet that starts ahead of its traffic. */
export const LEAD_MS = 12_000;
const FAILURE_DOMAINS = 3;
const LOSS_PROBABILITY = 0.05;
const DELAY_PROBABILITY = 0.05;
const MAX_DELAY_MS = 1_500;
/** Callers leave when a gateway has not read their request for this long. */
const CALLER_PATIENCE_MS = 1_000;
/** A retry that has not arrived by then is cancelled. */
const RETRY_LIFETIME_MS = 6_000;

/** A disturbance of the fleet. `gateways` are indices, taken modulo the size of the fleet. */
export type Disturbance =
  | { kind: 'restart'; at: number; gateways: number[]; downMs: number }
  | { kind: 'freeze'; at: number; gateways: number[]; forMs: number }
  /** No gateway on one side reaches one on the other; `cutsStore` includes the store. */
  | { kind: 'cut'; at: number; gateways: number[]; forMs: number; cutsStore: boolean }
  /** Each of them hears no other one. */
  | { kind: 'isolate'; at: number; gateways: number[]; forMs: number; cutsStore: boolean }
  | { kind: 'replace'; at: number; gateways: number[] }
  | { kind: 'join'; at: number; count: number }
  | { kind: 'storeOutage'; at: number; forMs: number };

/** A disturbance, or the end of a cut. */
type FleetEvent = Disturbance | { kind: 'heal'; at: number; gateways: number[] };

/** Requests of callers and retries of all gateways in one tick. */
export interface TickCount {
  at: number;
  requests: number;
  retries: number;
}

/** A retry on its way to a server. */
interface HeldRetry {
  budget: RetryBudget;
  sentAt: number;
}

/** Requests to the limited server in one tick, by gateways that must keep to its limit. */
export interface LimitCount {
  at: number;
  perSecond: number | undefined;
  sent: number;
}

/** A fleet under demand and disturbances. */
export class QuotaFleet {
  now = 0;
  readonly counts: TickCount[] = [];
  readonly limitCounts: LimitCount[] = [];
  /** The requests per second that a server names, if one is limited. */
  serverLimitAt: ((at: number) => number | undefined) | undefined;
  /** The part of the attempts that fail. */
  failureRateAt: (at: number) => number;
  /** Called after each tick with the running gateways. */
  onTick: ((running: readonly QuotaGateway[]) => void) | undefined;
  /** While it returns true, what is sent to the servers of the service arrives later. */
  areServersCut: (at: number) => boolean = () => false;
  /** The largest sum of the shares that the gateways could use at the same time. */
  largestSum = 0;
  private readonly gateways: QuotaGateway[] = [];
  private heldRetries: HeldRetry[] = [];
  private deliveries: { at: number; to: QuotaGateway; digest: Digest }[] = [];
  private pending: FleetEvent[];
  /** The entries of the gateways. */
  private readonly store = new Map<string, StoredEntry>();
  private storeOutageUntil = Number.NEGATIVE_INFINITY;

  constructor(
    size: number,
    private readonly requestsPerTick: number,
    failureRate: number,
    disturbances: readonly Disturbance[],
    private readonly random: Random,
    private readonly failureDomains = FAILURE_DOMAINS,
  ) {
    this.failureRateAt = () => failureRate;
    this.pending = [...disturbances];
    for (let index = 0; index < size; index += 1) this.addGateway();
    for (const gateway of this.gateways) gateway.restart(this.seeds(), 0);
  }

  run(untilMs: number): void {
    while (this.now < untilMs) {
      this.now += TICK_MS;
      this.applyDisturbances();
      this.deliverDue();
      for (const gateway of this.running()) this.runGateway(gateway);
      if (this.now >= LEAD_MS) this.serveRequests();
      if (this.now >= LEAD_MS && this.serverLimitAt) this.sendToLimited(this.serverLimitAt);
      if (this.now >= LEAD_MS) this.onTick?.(this.running());
      this.largestSum = Math.max(this.largestSum, this.sumShares());
    }
  }

  /** The shares of a limit that the running gateways may use together. */
  sumShares(): number {
    return this.running()
      .map((gateway) => gateway.share(this.now))
      .reduce((sum, share) => sum + share, 0);
  }

  private running(): QuotaGateway[] {
    return this.gateways.filter((gateway) => gateway.isRunning(this.now));
  }

  private seeds(): QuotaGateway[] {
    return this.gateways.slice(0, this.failureDomains);
  }

  private addGateway(): QuotaGateway {
    const index = this.gateways.length;
    const gateway = new QuotaGateway(`gateway-${index}`, `domain-${index % this.failureDomains}`);
    this.gateways.push(gateway);
    return gateway;
  }

  private applyDisturbances(): void {
    const due = this.pending.filter(({ at }) => LEAD_MS + at <= this.now);
    this.pending = this.pending.filter(({ at }) => LEAD_MS + at > this.now);
    for (const event of due) this.applyEvent(event);
  }

  private applyEvent(event: FleetEvent): void {
    switch (event.kind) {
      case 'restart':
        for (const gateway of this.select(event.gateways))
          gateway.restart(this.seeds(), this.now + event.downMs);
        break;
      case 'freeze':
        for (const gateway of this.select(event.gateways)) {
          const until = this.now + event.forMs;
          gateway.frozenMs += Math.max(0, until - Math.max(this.now, gateway.frozenUntil));
          gateway.frozenUntil = Math.max(gateway.frozenUntil, until);
        }
        break;
      case 'cut':
        this.cutOff(this.select(event.gateways), event, () => 1);
        break;
      case 'isolate':
        this.cutOff(this.select(event.gateways), event, (index) => 1 + index);
        break;
      case 'replace':
        for (const gateway of this.select(event.gateways)) {
          gateway.startsAt = Number.POSITIVE_INFINITY;
          this.addGateway().restart(this.seeds(), this.now + TICK_MS);
        }
        break;
      case 'join':
        for (let count = 0; count < event.count; count += 1)
          this.addGateway().restart(this.seeds(), this.now);
        break;
      case 'storeOutage':
        this.storeOutageUntil = this.now + event.forMs;
        break;
      case 'heal':
        for (const gateway of this.select(event.gateways)) {
          gateway.side = 0;
          gateway.cutFromStore = false;
        }
        break;
    }
  }

  private cutOff(
    gateways: readonly QuotaGateway[],
    { forMs, cutsStore }: { forMs: number; cutsStore: boolean },
    sideOf: (index: number) => number,
  ): void {
    gateways.forEach((gateway, index) => {
      gateway.side = sideOf(index);
      gateway.cutFromStore = cutsStore;
    });
    const at = this.now + forMs - LEAD_MS;
    const healed = gateways.map((gateway) => this.gateways.indexOf(gateway));
    this.pending.push({ kind: 'heal', at, gateways: healed });
  }

  private select(indices: readonly number[]): QuotaGateway[] {
    const chosen = new Set(indices.map((index) => index % this.gateways.length));
    return [...chosen].flatMap((index) => this.gateways[index] ?? []);
  }

  private runGateway(gateway: QuotaGateway): void {
    const local = gateway.localTime(this.now);
    const reachesStore = !gateway.cutFromStore && this.now >= this.storeOutageUntil;
    if (reachesStore && this.now >= gateway.nextListAt) gateway.list(this.store, this.now);
    const isOutdated = gateway.members.isCounted !== gateway.isStoredAsCounted;
    if (reachesStore && gateway.isRegistered && isOutdated) gateway.writeEntry(this.store);
    gateway.table.removeTimedOut(local);
    for (const { address } of gateway.table.listDuePeers(local)) {
      const other = this.gateways.find(({ location }) => location.address === address);
      if (other) this.exchange(gateway, other);
    }
  }

  private exchange(from: QuotaGateway, to: QuotaGateway): void {
    if (!to.isRunning(this.now) || from.side !== to.side || this.isLost()) return;
    const digest = from.createDigest(this.now);
    if (this.random.fraction() < DELAY_PROBABILITY) {
      const at = this.now + this.random.below(MAX_DELAY_MS);
      this.deliveries.push({ at, to, digest });
      return;
    }
    to.applyDigest(digest, this.now, false);
    if (this.isLost()) return;
    from.applyDigest(to.createDigest(this.now, digest), this.now, true);
  }

  private isLost(): boolean {
    return this.random.fraction() < LOSS_PROBABILITY;
  }

  private deliverDue(): void {
    const due = this.deliveries.filter(({ at }) => at <= this.now);
    this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
    for (const { to, digest } of due) {
      if (to.isRunning(this.now)) to.applyDigest(digest, this.now, false);
    }
  }

  /** Spreads one tick's requests over the gateways that are up; frozen ones handle theirs later. */
  private serveRequests(): void {
    const up = this.gateways.filter(({ startsAt }) => this.now >= startsAt);
    let requests = 0;
    for (let index = 0; index < this.requestsPerTick; index += 1) {
      requests += 1;
      const gateway = up[this.random.below(up.length)];
      gateway?.pendingRequests.push(this.now);
    }
    for (const gateway of up) if (gateway.isRunning(this.now)) this.forward(gateway);
    this.counts.push({ at: this.now, requests, retries: this.deliverRetries() });
  }

  /** Cancels the retries that were held up for too long; returns the number of those that arrive. */
  private deliverRetries(): number {
    const isLost = ({ sentAt }: HeldRetry): boolean => this.now - sentAt > RETRY_LIFETIME_MS;
    const isCut = this.areServersCut(this.now - LEAD_MS);
    const ended = this.heldRetries.filter((retry) => !isCut || isLost(retry));
    this.heldRetries = this.heldRetries.filter((retry) => !ended.includes(retry));
    for (const { budget } of ended) budget.settle(this.now);
    return ended.filter((retry) => !isLost(retry)).length;
  }

  private sendToLimited(limitAt: (at: number) => number | undefined): void {
    const perSecond = limitAt(this.now - LEAD_MS);
    const sent = this.running()
      .map((gateway) => gateway.sendToLimited(perSecond, this.now))
      .reduce((sum, count) => sum + count, 0);
    this.limitCounts.push({ at: this.now - LEAD_MS, perSecond, sent });
  }

  /** Forwards the requests that wait at a gateway, and sends the retries that it may. */
  private forward(gateway: QuotaGateway): void {
    const pending = gateway.pendingRequests.splice(0);
    const failureRate = this.failureRateAt(this.now - LEAD_MS);
    for (const sentAt of pending) {
      if (this.now - sentAt > CALLER_PATIENCE_MS) continue;
      gateway.budget.recordRequest(gateway.localTime(this.now));
      while (this.random.fraction() < failureRate && gateway.takeRetry(this.now))
        this.heldRetries.push({ budget: gateway.budget, sentAt: this.now });
    }
  }
}

/** The most retries of any window, as a fraction of what the bounds allow there. */
export function worstUse(
  counts: readonly TickCount[],
  { ratio, windowMs, slack }: RetryBounds,
): number {
  const ticks = windowMs / TICK_MS;
  const requestsBefore = prefixSums(counts.map(({ requests }) => requests));
  const retriesBefore = prefixSums(counts.map(({ retries }) => retries));
  const between = (sums: readonly number[], start: number, end: number): number =>
    (sums[Math.max(0, end)] ?? 0) - (sums[Math.max(0, start)] ?? 0);
  let worst = 0;
  for (let end = 1; end <= counts.length; end += 1) {
    const start = end - ticks;
    const requests = [0, ticks / 2, ticks].map((back) =>
      between(requestsBefore, start - back, end - back),
    );
    const allowed = ratio * Math.max(...requests) + slack;
    worst = Math.max(worst, between(retriesBefore, start, end) / allowed);
  }
  return worst;
}

function prefixSums(values: readonly number[]): number[] {
  const sums = [0];
  for (const value of values) sums.push((sums.at(-1) ?? 0) + value);
  return sums;
}
