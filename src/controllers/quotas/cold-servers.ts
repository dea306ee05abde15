/**
 * Knows which backend servers are cold and keeps the requests of all gateways to a cold server within
 * what it bears.
 *
 * As for the rates that servers name, only a few gateways use a cold server, chosen by rendezvous hashing
 * among the members of the fleet. Each of them has a token bucket, in which a request that may still be
 * on its way keeps its place: what is held up on a link can't arrive together with a whole burst that is
 * sent afterwards.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, ColdProfile } from '../../ports/index.js';
import type { FleetMembers } from './fleet-members.js';
import type { LimitReport } from './limit-reports.js';

/** By how much the requests of one second may exceed the rate that a cold server names. */
export interface ColdBounds {
  /** Factor of the rate. */
  overrun: number;
  /** Requests beyond that. */
  slack: number;
}

/** How a rate is divided among gateways. */
interface RateDivision {
  /** The largest number of gateways that use the server. */
  users: number;
  /** Requests per second of all of them together. */
  perSecond: number;
  /** Requests that all of them together may have on their way or send at once. */
  burst: number;
}

const MS_PER_SECOND = 1_000;
/** Part of the bound left unused, for a request of a displaced user that arrives late. */
const RESERVED_REQUESTS = 1;
/**
 * Part of the burst that each user has at least. With less, a user can send nothing while its last
 * request is on its way; with more, fewer gateways use a server, and each has to have more of the demand.
 */
const BURST_PER_USER = 1.5;
/** Lowest rate of all gateways together where the bound leaves none. */
const MIN_PER_SECOND = 0.1;
/** A new user sends nothing for this long, so that no second has requests of it and of a displaced one. */
const MEMORY_MS: Milliseconds = 2_000;
/** Data that arrives sooner after a request was sent may have left the server before. */
const ROUND_TRIP_MS: Milliseconds = 20;
/**
 * Heartbeats after the start time within which the entry of a server that has started tells its state:
 * one for the next entry, one for its way here.
 */
const ENTRY_HEARTBEATS = 2;
/** Longest time for which a server counts as cold by one statement; entries renew it. */
const MAX_STATED_MS: Milliseconds = 60_000;
/** A statement that extends the known time by less is no news: the ways of statements differ so much. */
const NEWS_MS: Milliseconds = 250;

/** What is known of a server that is or may be cold. */
interface ColdState {
  /** End by its last entry. */
  entryUntil: Milliseconds;
  /** The latest end by its own answers and by reports of other gateways. */
  noticeUntil: Milliseconds;
  /** When it appeared or restarted, until an entry tells whether it is cold. */
  appearedAt: Milliseconds | undefined;
  /** The last answer to this gateway that stated it. */
  ownNotice: { at: Milliseconds; coldForMs: Milliseconds } | undefined;
  /** The requests that this gateway may send; undefined before it is a user. */
  bucket: Bucket | undefined;
}

/** A token bucket, filled up to `capacity` less the requests that may still be on their way. */
interface Bucket {
  perSecond: number;
  capacity: number;
  tokens: number;
  refilledAt: Milliseconds;
  /** When each request was sent that may still be on its way. */
  sentTimes: Milliseconds[];
}

/** The changes of backend servers that are observed. */
export interface ServerChanges {
  changed: readonly string[];
  before: ReadonlyMap<string, BackendServer>;
  servers: ReadonlyMap<string, BackendServer>;
  /** Requests are being served, so a server that starts now starts cold. */
  isServing: boolean;
}

/**
 * Divides `perSecond` so that no second has more requests than the bounds allow: from each user at most
 * its parts of the burst and of the rate arrive in one second.
 */
function divideColdRate(perSecond: number, { overrun, slack }: ColdBounds): RateDivision {
  const bound = perSecond * overrun + slack;
  const burst = Math.max(1, bound - perSecond - RESERVED_REQUESTS);
  const users = Math.max(1, Math.floor(burst / BURST_PER_USER));
  const rate = Math.max(MIN_PER_SECOND, Math.min(perSecond, bound - burst));
  return { users, perSecond: rate, burst };
}

/** The cold servers, as known to one gateway. Mutable, with a single owner. */
export class ColdServers {
  private readonly states = new Map<string, ColdState>();

  constructor(
    private readonly members: FleetMembers,
    private readonly bounds: ColdBounds,
    private readonly heartbeatMs: Milliseconds,
  ) {}

  /** Ids of all servers that are or may be cold. */
  get ids(): IterableIterator<string> {
    return this.states.keys();
  }

  /** Applies changed entries. */
  observeChanges({ changed, before, servers, isServing }: ServerChanges, now: Milliseconds): void {
    for (const id of changed) {
      const server = servers.get(id);
      const known = before.get(id);
      if (server === undefined) {
        this.states.delete(id);
        continue;
      }
      const isNew = known === undefined || known.startedAt !== server.startedAt;
      if (isNew) this.states.delete(id);
      this.observeEntry(server, isNew && isServing, now);
    }
  }

  /** Records what an answer states; returns whether other gateways have to know. */
  observeNotice(id: string, coldForMs: Milliseconds, now: Milliseconds): boolean {
    const statedMs = Math.min(MAX_STATED_MS, coldForMs);
    if (statedMs <= 0) return false;
    const isNews = !this.extend(id, now + statedMs, now);
    const state = this.ensure(id, now);
    if (isNews) state.ownNotice = { at: now, coldForMs: statedMs };
    return isNews;
  }

  /** Records what another gateway reports; returns whether it is news here. */
  adopt({ server, coldForMs = 0, ageMs }: LimitReport, now: Milliseconds): boolean {
    const until = now - ageMs + Math.min(MAX_STATED_MS, coldForMs);
    return until > now && !this.extend(server, until, now);
  }

  /** What this gateway was told by servers themselves, for other gateways. */
  report(now: Milliseconds): LimitReport[] {
    return [...this.states].flatMap(([server, { ownNotice }]) => {
      if (ownNotice === undefined || now >= ownNotice.at + ownNotice.coldForMs) return [];
      const ageMs = Math.round(now - ownNotice.at);
      return [{ server, perSecond: null, coldForMs: ownNotice.coldForMs, ageMs }];
    });
  }

  /** How much longer the server counts as cold; 0 if it does not. */
  leftMs(id: string, { startMs }: ColdProfile, now: Milliseconds): Milliseconds {
    const state = this.states.get(id);
    return state === undefined ? 0 : Math.max(0, this.endOf(state, startMs) - now);
  }

  /**
   * Time until this gateway may send a request to the server: 0 if it may now, and the time until the
   * server is warm if it is not one of the users.
   */
  waitMs(id: string, profile: ColdProfile, now: Milliseconds): Milliseconds {
    const leftMs = this.leftMs(id, profile, now);
    const state = this.states.get(id);
    if (state === undefined || leftMs === 0) return 0;
    const { users, perSecond, burst } = divideColdRate(profile.perSecond, this.bounds);
    if (!this.members.isAmong(id, users, now, MEMORY_MS)) return leftMs;
    const count = this.countUsers(users);
    const bucket = (state.bucket ??= this.createBucket(id, count, now));
    refill(bucket, now);
    bucket.perSecond = perSecond / count;
    bucket.capacity = Math.max(1, burst / count);
    const missing = Math.max(0, 1 - bucket.tokens);
    return Math.min(leftMs, (missing * MS_PER_SECOND) / bucket.perSecond);
  }

  /** The part of the rate that this gateway has, in requests per second; 0 if it is not a user. */
  ownRate(id: string, profile: ColdProfile, now: Milliseconds): number {
    const { users, perSecond } = divideColdRate(profile.perSecond, this.bounds);
    if (!this.members.isAmong(id, users, now, MEMORY_MS)) return 0;
    return perSecond / this.countUsers(users);
  }

  /** Counts a request that is sent to the server, directly or over a relay. */
  recordSent(id: string, now: Milliseconds): void {
    const bucket = this.states.get(id)?.bucket;
    if (bucket === undefined) return;
    refill(bucket, now);
    bucket.tokens -= 1;
    bucket.sentTimes.push(now);
  }

  /** Records that something came from the server, which shows that earlier requests have arrived. */
  recordContact(id: string, now: Milliseconds): void {
    this.settle(id, now - ROUND_TRIP_MS, now);
  }

  /** Records that no request of this gateway is in flight at the server. */
  recordIdle(id: string, now: Milliseconds): void {
    this.settle(id, Number.POSITIVE_INFINITY, now);
  }

  /** Removes the servers that are no longer cold and returns them. */
  removeEnded(
    profileOf: (id: string) => ColdProfile | undefined,
    now: Milliseconds,
  ): readonly string[] {
    const ended = [...this.states].flatMap(([id, state]) =>
      this.endOf(state, profileOf(id)?.startMs ?? 0) <= now ? id : [],
    );
    for (const id of ended) this.states.delete(id);
    return ended;
  }

  private observeEntry(
    { id, coldForMs }: BackendServer,
    hasStarted: boolean,
    now: Milliseconds,
  ): void {
    const isCold = coldForMs !== undefined && coldForMs > 0;
    if (!isCold && !hasStarted && !this.states.has(id)) return;
    // The age of an entry is not known, so its time counts from now: it ends late, but never early.
    const state = this.ensure(id, now);
    state.entryUntil = isCold ? now + coldForMs : Number.NEGATIVE_INFINITY;
    if (coldForMs !== undefined) state.appearedAt = undefined;
    else if (hasStarted) state.appearedAt = now;
    if (this.endOf(state, Number.POSITIVE_INFINITY) <= now) this.states.delete(id);
  }

  /** Extends the time; returns whether that much was known before. */
  private extend(id: string, until: Milliseconds, now: Milliseconds): boolean {
    const state = this.ensure(id, now);
    const known = Math.max(state.noticeUntil, state.entryUntil);
    state.noticeUntil = Math.max(state.noticeUntil, until);
    return known > now && until <= known + NEWS_MS;
  }

  private endOf(state: ColdState, startMs: Milliseconds): Milliseconds {
    const { appearedAt, entryUntil, noticeUntil } = state;
    const presumedUntil =
      appearedAt === undefined
        ? Number.NEGATIVE_INFINITY
        : appearedAt + startMs + ENTRY_HEARTBEATS * this.heartbeatMs;
    return Math.max(entryUntil, noticeUntil, presumedUntil);
  }

  private ensure(id: string, now: Milliseconds): ColdState {
    const existing = this.states.get(id);
    // What it stated before has ended, and so has the record of the requests at that time.
    if (existing && this.endOf(existing, Number.POSITIVE_INFINITY) > now) return existing;
    const created: ColdState = {
      entryUntil: Number.NEGATIVE_INFINITY,
      noticeUntil: Number.NEGATIVE_INFINITY,
      appearedAt: undefined,
      ownNotice: undefined,
      bucket: existing?.bucket,
    };
    this.states.set(id, created);
    return created;
  }

  /** Records that the requests sent before `sentBefore` are no longer on their way. */
  private settle(id: string, sentBefore: Milliseconds, now: Milliseconds): void {
    const bucket = this.states.get(id)?.bucket;
    if (bucket === undefined || bucket.sentTimes.length === 0) return;
    refill(bucket, now);
    bucket.sentTimes = bucket.sentTimes.filter((at) => at >= sentBefore);
  }

  private countUsers(users: number): number {
    return Math.min(this.members.size, users);
  }

  /** Spreads the first requests of all users over the time that each of them takes to earn one. */
  private createBucket(id: string, users: number, now: Milliseconds): Bucket {
    const tokens = 1 - this.members.positionFor(id) / users;
    return { perSecond: 0, capacity: 1, tokens, refilledAt: now, sentTimes: [] };
  }
}

function refill(bucket: Bucket, now: Milliseconds): void {
  const earned = (bucket.perSecond * Math.max(0, now - bucket.refilledAt)) / MS_PER_SECOND;
  bucket.tokens = Math.min(bucket.capacity - bucket.sentTimes.length, bucket.tokens + earned);
  bucket.refilledAt = now;
}
