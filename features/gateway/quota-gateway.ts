/**
 * A simulated gateway process that divides limits of the fleet, with its own clock.
 */
import { RetryBudget, type RetryBounds } from '../../src/controllers/forwarding/index.js';
import {
  collectLimitReports,
  observeMembers,
  PeerTable,
  type Digest,
} from '../../src/controllers/peering/index.js';
import { ColdServers, FleetMembers, ServerLimits } from '../../src/controllers/quotas/index.js';
import type { RateLimit } from '../../src/ports/index.js';

export const BOUNDS: RetryBounds = { ratio: 0.2, windowMs: 10_000, slack: 132 };
export const COLD_BOUNDS = { overrun: 1.5, slack: 5 };
export const HEARTBEAT_MS = 1_200;
const LIST_INTERVAL_MS = 15_000;
/** Requests that each gateway would send to the limited server in one tick. */
const MAX_SENT_PER_TICK = 3;
const LIMITED_SERVER = 'server';
/** Time after which a gateway that has had an answer with a limit must keep to it. */
const TOLD_MS = 500;

function toRateLimit(perSecond: number | undefined): RateLimit {
  return perSecond === undefined ? { kind: 'none' } : { kind: 'named', perSecond };
}

/** The entry of a gateway in the store. */
export interface StoredEntry {
  location: { name: string; address: string; failureDomain: string };
  isCounted: boolean;
}

/** A gateway process with its own clock, which stands still while it is frozen. */
export class QuotaGateway {
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
  cold: ColdServers;
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
    this.cold = new ColdServers(this.members, COLD_BOUNDS, HEARTBEAT_MS);
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
    this.cold = new ColdServers(this.members, COLD_BOUNDS, HEARTBEAT_MS);
    this.told = undefined;
    this.nextListAt = startsAt;
    this.isRegistered = false;
    for (const { location } of seeds) this.table.addPeer(location, this.localTime(startsAt));
  }

  createDigest(now: number, caller?: Digest): Digest {
    const local = this.localTime(now);
    const limits = [...this.limits.report(local), ...this.cold.report(local)];
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
    for (const report of collectLimitReports(digest)) {
      if (report.coldForMs !== undefined) this.cold.adopt(report, this.localTime(now));
      else this.limits.adopt(report, this.localTime(now));
    }
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
