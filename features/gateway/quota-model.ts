/**
 * Simulates gateways that divide a retry budget: restarts, freezes, cuts, joins, departures, lost and
 * late digests, on simulated clocks and without a network.
 */
import { RetryBudget, type RetryBounds } from '../../src/controllers/forwarding/index.js';
import {
  collectLimitReports,
  observeMembers,
  PeerTable,
  PEERING_TICK_MS,
  type Digest,
} from '../../src/controllers/peering/index.js';
import { FleetMembers, ServerLimits } from '../../src/controllers/quotas/index.js';
import type { RateLimit } from '../../src/ports/index.js';
import type { Random } from '../../src/core/random/index.js';

export const BOUNDS: RetryBounds = { ratio: 0.2, windowMs: 10_000, slack: 132 };
export const TICK_MS = PEERING_TICK_MS;
/** Time before the first request, as on a fleet that starts ahead of its traffic. */
export const LEAD_MS = 12_000;
const FAILURE_DOMAINS = 3;
const LOSS_PROBABILITY = 0.05;
const DELAY_PROBABILITY = 0.05;
const MAX_DELAY_MS = 1_500;
const LIST_INTERVAL_MS = 15_000;
/** Callers leave when a gateway has not read their request for this long. */
const CALLER_PATIENCE_MS = 1_000;

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

/** Requests that each gateway would send to the limited server in one tick. */
const MAX_SENT_PER_TICK = 3;
const LIMITED_SERVER = 'server';
/** Time after which a gateway that has had an answer with a limit must keep to it. */
const TOLD_MS = 500;

function toRateLimit(perSecond: number | undefined): RateLimit {
  return perSecond === undefined ? { kind: 'none' } : { kind: 'named', perSecond };
}

/** Requests to the limited server in one tick, by gateways that must keep to its limit. */
export interface LimitCount {
  at: number;
  perSecond: number | undefined;
  sent: number;
}

/** The entry of a gateway in the store. */
interface StoredEntry {
  location: { name: string; address: string; failureDomain: string };
  isCounted: boolean;
}

/** A gateway process with its own clock, which stands still while it is frozen. */
class QuotaGateway {
  table: PeerTable;
  budget = new RetryBudget(BOUNDS);
  startsAt = 0;
  frozenUntil = Number.NEGATIVE_INFINITY;
  /** Total time for which it was frozen. */
  frozenMs = 0;
  /** 0 if it is not cut off; gateways reach each other only if theirs are equal. */
  side = 0;
  cutFromStore = false;
  /** When each request that it has not read yet was sent. */
  pendingRequests: number[] = [];
  members: FleetMembers;
  limits: ServerLimits;
  /** The limit in the last answer to this process, and when it was first told that one. */
  told: { perSecond: number | undefined; at: number } | undefined;
  nextListAt = 0;
  isRegistered = false;
  isStoredAsCounted = false;
  private incarnation = 0;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
  ) {
    this.table = new PeerTable(this.location);
    this.members = new FleetMembers(name, 0);
    this.limits = new ServerLimits(this.members);
  }

  get location(): { name: string; address: string; failureDomain: string } {
    const { name, failureDomain } = this;
    return { name, address: `at-${name}`, failureDomain };
  }

  localTime(now: number): number {
    return now - this.frozenMs;
  }

  isRunning(now: number): boolean {
    return now >= this.startsAt && now >= this.frozenUntil;
  }

  /** Discards everything that the process knew. */
  restart(seeds: readonly QuotaGateway[], startsAt: number): void {
    this.incarnation += 1;
    this.startsAt = startsAt;
    this.pendingRequests = [];
    this.table = new PeerTable(this.location);
    this.budget = new RetryBudget(BOUNDS);
    this.members = new FleetMembers(this.name, this.localTime(startsAt));
    this.limits = new ServerLimits(this.members);
    this.told = undefined;
    this.nextListAt = startsAt;
    this.isRegistered = false;
    for (const { location } of seeds) this.table.addPeer(location, this.localTime(startsAt));
  }

  createDigest(now: number, caller?: Digest): Digest {
    const limits = this.limits.report(this.localTime(now));
    const own: Digest = {
      ...this.location,
      incarnation: String(this.incarnation),
      membersHash: this.members.fingerprint,
      storeReachable: !this.cutFromStore,
      stopping: false,
      hasServed: true,
      configurationVersion: 1,
      fleetRevision: 1,
      load: [],
      suspicions: [],
      ...(limits.length > 0 && { limits }),
    };
    return { ...own, summaries: this.table.listSummaries(own, this.localTime(now), caller) };
  }

  applyDigest(digest: Digest, now: number, isResponse: boolean): void {
    this.table.applyDigest(digest, this.localTime(now));
    observeMembers(this.members, digest, this.localTime(now), isResponse);
    for (const report of collectLimitReports(digest))
      this.limits.adopt(report, this.localTime(now));
  }

  /** Lists all entries; before that, writes its own one after a start or a removal. */
  list(store: Map<string, StoredEntry>, now: number): void {
    const local = this.localTime(now);
    this.nextListAt = now + LIST_INTERVAL_MS;
    if (!this.isRegistered) this.register(store);
    this.members.observeList([...store.keys()], local, local);
    this.isRegistered = store.has(this.name);
    for (const { location } of store.values()) this.table.addPeer(location, local);
    for (const name of this.members.listForgettable(local)) store.delete(name);
  }

  private register(store: Map<string, StoredEntry>): void {
    const stored = store.get(this.name);
    if (stored) this.members.restoreEntry(stored.isCounted);
    this.writeEntry(store);
  }

  /** Writes its entry, as at a start and when all members count it. */
  writeEntry(store: Map<string, StoredEntry>): void {
    this.isStoredAsCounted = this.members.isCounted;
    store.set(this.name, { location: this.location, isCounted: this.isStoredAsCounted });
  }

  /** The share of a limit that it may use. */
  share(now: number): number {
    return this.members.share(this.localTime(now), BOUNDS.windowMs);
  }

  /** Sends requests to the limited server while it may; returns how many of them count. */
  sendToLimited(perSecond: number | undefined, now: number): number {
    const local = this.localTime(now);
    let counted = 0;
    for (let sent = 0; sent < MAX_SENT_PER_TICK; sent += 1) {
      if (!this.limits.hasPermit(LIMITED_SERVER, local)) break;
      this.limits.recordSent(LIMITED_SERVER);
      if (this.told === undefined || this.told.perSecond !== perSecond)
        this.told = { perSecond, at: now };
      if (now - this.told.at >= TOLD_MS) counted += 1;
      this.limits.observe(LIMITED_SERVER, toRateLimit(perSecond), local, local);
    }
    return counted;
  }

  /** Takes one retry if its share allows. */
  takeRetry(now: number): boolean {
    const local = this.localTime(now);
    return this.budget.take(local, this.share(now));
  }
}

/** A fleet under demand and disturbances. */
export class QuotaFleet {
  now = 0;
  readonly counts: TickCount[] = [];
  readonly limitCounts: LimitCount[] = [];
  /** The requests per second that a server names, if one is limited. */
  serverLimitAt: ((at: number) => number | undefined) | undefined;
  /** The largest sum of the shares that the gateways could use at the same time. */
  largestSum = 0;
  private readonly gateways: QuotaGateway[] = [];
  private deliveries: { at: number; to: QuotaGateway; digest: Digest }[] = [];
  private pending: FleetEvent[];
  /** The entries of the gateways. */
  private readonly store = new Map<string, StoredEntry>();
  private storeOutageUntil = Number.NEGATIVE_INFINITY;

  constructor(
    size: number,
    private readonly requestsPerTick: number,
    private readonly failureRate: number,
    disturbances: readonly Disturbance[],
    private readonly random: Random,
  ) {
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
    return this.gateways.slice(0, FAILURE_DOMAINS);
  }

  private addGateway(): QuotaGateway {
    const index = this.gateways.length;
    const gateway = new QuotaGateway(`gateway-${index}`, `domain-${index % FAILURE_DOMAINS}`);
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
    let retries = 0;
    for (const gateway of up) {
      if (gateway.isRunning(this.now)) retries += this.forward(gateway);
    }
    this.counts.push({ at: this.now, requests, retries });
  }

  private sendToLimited(limitAt: (at: number) => number | undefined): void {
    const perSecond = limitAt(this.now - LEAD_MS);
    const sent = this.running()
      .map((gateway) => gateway.sendToLimited(perSecond, this.now))
      .reduce((sum, count) => sum + count, 0);
    this.limitCounts.push({ at: this.now - LEAD_MS, perSecond, sent });
  }

  /** Forwards the requests that wait at a gateway; returns the retries that it took. */
  private forward(gateway: QuotaGateway): number {
    let retries = 0;
    const pending = gateway.pendingRequests.splice(0);
    for (const sentAt of pending) {
      if (this.now - sentAt > CALLER_PATIENCE_MS) continue;
      gateway.budget.recordRequest(gateway.localTime(this.now));
      while (this.random.fraction() < this.failureRate && gateway.takeRetry(this.now)) retries += 1;
    }
    return retries;
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
