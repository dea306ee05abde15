/**
 * Keeps to the request rates that backend servers in need name for all gateways together.
 *
 * A limit is used by a few gateways only, chosen per server by rendezvous hashing among the members of
 * the fleet. Each of them has a token bucket with its share of the rate. The other gateways choose other
 * servers. So the sum of all requests stays near the limit in fleets of any size.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { RateLimit } from '../../ports/index.js';
import type { FleetMembers } from './fleet-members.js';
import type { LimitReport } from './limit-reports.js';

/**
 * Requests that all gateways together may send at once after an idle time, beyond one second's worth of
 * the limit. Also the number of gateways that use a limit near zero, since each may send at least one.
 */
const BURST_REQUESTS = 4;
/** Lowest rate for all gateways together; the answers tell when the limit has ended. */
const MIN_PER_SECOND = 0.1;
/** How long a server counts the requests of a displaced user or a previous process. */
const MEMORY_MS: Milliseconds = 4_000;
/** How long the end of a limit is reported to other gateways. */
const END_REPORT_MS: Milliseconds = 60_000;
/** A limit that no answer has confirmed for this long has ended unnoticed. */
const EXPIRY_MS: Milliseconds = 120_000;
const MS_PER_SECOND = 1_000;

/** What is known of one server's limit. */
interface KnownLimit {
  /** Requests per second of all gateways; undefined if the limit has ended. */
  perSecond: number | undefined;
  observedAt: Milliseconds;
  /** Observed in an answer to this gateway rather than reported by another one. */
  isOwn: boolean;
  /** Requests that this gateway may send now, including a fraction of the next one. */
  tokens: number;
  refilledAt: Milliseconds;
}

/** The named limits, as known to one gateway. Mutable, with a single owner. */
export class ServerLimits {
  private readonly known = new Map<string, KnownLimit>();

  constructor(private readonly members: FleetMembers) {}

  /**
   * Records what an answer to an attempt sent at `sentAt` says. Returns whether that is a change. An
   * answer without a limit ends a limit only if it was asked for after the limit was named: answers on
   * different connections may overtake each other.
   */
  observe(server: string, limit: RateLimit, sentAt: Milliseconds, now: Milliseconds): boolean {
    const current = this.known.get(server);
    switch (limit.kind) {
      case 'named':
        return this.record(server, limit.perSecond, now, now, true);
      case 'none':
        if (current?.perSecond === undefined || sentAt < current.observedAt) return false;
        return this.record(server, undefined, now, now, true);
      case 'unreadable':
        return false;
    }
  }

  /** Records the report of another gateway unless something newer is known. Returns whether it is a change. */
  adopt({ server, perSecond, ageMs }: LimitReport, now: Milliseconds): boolean {
    const observedAt = now - ageMs;
    const current = this.known.get(server);
    if (current ? observedAt <= current.observedAt : perSecond === null) return false;
    return this.record(server, perSecond ?? undefined, observedAt, now, false);
  }

  /** The limit that the server names; undefined if it names none. */
  limitOf(server: string, now: Milliseconds): number | undefined {
    const current = this.known.get(server);
    return current && now - current.observedAt <= EXPIRY_MS ? current.perSecond : undefined;
  }

  /** Whether this gateway may send a request to the server now. */
  hasPermit(server: string, now: Milliseconds): boolean {
    const perSecond = this.limitOf(server, now);
    if (perSecond === undefined) return true;
    const users = this.countUsers(perSecond);
    if (!this.members.isAmong(server, users, now, MEMORY_MS)) return false;
    const rate = Math.max(MIN_PER_SECOND, perSecond) / users;
    const capacity = Math.max(1, (BURST_REQUESTS + perSecond) / users);
    return this.refill(server, rate, capacity, now) >= 1;
  }

  /** Counts a request that is sent to the server. */
  recordSent(server: string): void {
    const current = this.known.get(server);
    if (current) current.tokens = Math.max(0, current.tokens - 1);
  }

  /** Discards what is known of a server that is gone or has restarted. */
  forget(server: string): void {
    this.known.delete(server);
  }

  /** This gateway's own observations, for other gateways. */
  report(now: Milliseconds): LimitReport[] {
    return [...this.known].flatMap(([server, { perSecond, observedAt, isOwn }]) => {
      const ageMs = Math.round(now - observedAt);
      const isCurrent = ageMs <= (perSecond === undefined ? END_REPORT_MS : EXPIRY_MS);
      return isOwn && isCurrent ? [{ server, perSecond: perSecond ?? null, ageMs }] : [];
    });
  }

  private record(
    server: string,
    perSecond: number | undefined,
    observedAt: Milliseconds,
    now: Milliseconds,
    isOwn: boolean,
  ): boolean {
    const before = this.known.get(server);
    const { tokens, refilledAt } = before ?? {
      tokens: this.initialTokens(server, perSecond ?? 0),
      refilledAt: now,
    };
    this.known.set(server, { perSecond, observedAt, isOwn, tokens, refilledAt });
    return before?.perSecond !== perSecond;
  }

  /** Staggers the users, so that the end of a limit is noticed soon after its next request is due. */
  private initialTokens(server: string, perSecond: number): number {
    const users = this.countUsers(perSecond);
    return (this.members.positionFor(server) % users) / users;
  }

  private countUsers(perSecond: number): number {
    return Math.min(this.members.size, BURST_REQUESTS + Math.floor(perSecond));
  }

  /** Adds what was earned at `rate` per second; returns the tokens. */
  private refill(server: string, rate: number, capacity: number, now: Milliseconds): number {
    const current = this.known.get(server);
    if (current === undefined) return 1;
    const earned = (rate * Math.max(0, now - current.refilledAt)) / MS_PER_SECOND;
    current.tokens = Math.min(capacity, current.tokens + earned);
    current.refilledAt = now;
    return current.tokens;
  }
}
