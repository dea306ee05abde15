/**
 * Tracks the other gateways, their load on the backend servers, and which of them to call next.
 *
 * In a small fleet, all gateways exchange digests pairwise. In a larger one, each gateway calls only
 * the hub of its failure domain, and hubs exchange summaries of their domains, which keeps the cost
 * per gateway independent of the fleet size. The hub is chosen by rendezvous hashing among the
 * responsive gateways, so that all members fail over to the same successor without an election.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { ageLimitReports, newestLimitReports } from '../quotas/index.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { addLoad } from './load.js';
import { ageReports } from './reports.js';
import { Roster } from './roster.js';
import { summarizeSpeeds } from './speeds.js';
import { ageSuspicion } from './suspicions.js';
import type { Digest, DomainSummary, GatewayPeer, KnownPeer, ReportedSuspicion } from './types.js';

/**
 * Largest fleet in which all gateways exchange digests pairwise. Twelve in three failure domains have
 * some 30 exchanges a second each.
 */
const MAX_PAIRWISE_GATEWAYS = 12;
/** Exchange interval within a failure domain, where traffic is free. */
const DOMAIN_INTERVAL_MS: Milliseconds = 200;
/**
 * Minimum interval per domain member: a hub answers some 30 exchanges a second, however many members
 * there are.
 */
const DOMAIN_INTERVAL_MS_PER_MEMBER: Milliseconds = 30;
/** Exchange interval between failure domains, where traffic is billed. */
const CROSS_DOMAIN_INTERVAL_MS: Milliseconds = 600;
/** Intervals without a call after which the other side calls. */
const TAKEOVER_INTERVALS = 2;
/** Consecutive exchanges that a hub may miss before its members stop relying on it. */
const MAX_MISSED_EXCHANGES = 3;
/** Interval at which {@link PeerTable.listDuePeers} is called. */
export const PEERING_TICK_MS: Milliseconds = 100;
/**
 * Gateways of its failure domain that a gateway of a large fleet calls first after its start; any of
 * them introduces it to the others. With calls to all, each start of one of 34 made 33 connections.
 */
const FIRST_CALLS = 4;
/** Time without an answer after which it calls all of them. */
const FIRST_CALLS_MS: Milliseconds = 300;
/** Longest time without a check for gateways that were never heard from and are to be removed. */
const MAX_UNCHECKED_MS: Milliseconds = 500;
/** Allows for three missed exchanges at the cross-domain interval. */
const PEER_TIMEOUT_MS: Milliseconds = 2_000;
/** The state of a member is up to two intervals old when all exchanges succeed; allows for a missed one. */
const TIMEOUT_INTERVALS = 3;
const TIMEOUT_MARGIN_MS: Milliseconds = 500;
/** Added between failure domains, because the state is forwarded by two hubs. */
const CROSS_DOMAIN_MARGIN_MS: Milliseconds = 1_500;

/** The last digest received from another gateway. */
export interface ReceivedDigest {
  digest: Digest;
  receivedAt: Milliseconds;
}

/** The last summary received for a failure domain. */
interface ReceivedSummary {
  summary: DomainSummary;
  /** Creation time of the summary on the local clock. */
  createdAt: Milliseconds;
}

/** A gateway that is no longer considered alive. */
export interface TimedOutPeer {
  peer: string;
  silentMs: Milliseconds;
}

/** One gateway's view of all others. Mutable, with a single owner. */
export class PeerTable {
  private readonly roster: Roster;
  private readonly digests = new Map<string, ReceivedDigest>();
  /** Last digests of gateways that are stopping and no longer count as alive. */
  private readonly stopping = new Map<string, ReceivedDigest>();
  private readonly summaries = new Map<string, ReceivedSummary>();
  /** What was last heard of each gateway, directly or in a summary. */
  private readonly heard = new Map<string, GatewayPeer>();
  /** Gateways that a hub has told to be gone, and when, until they are heard from again. */
  private readonly gone = new Map<string, Milliseconds>();
  private readonly nextExchangeAt = new Map<string, Milliseconds>();
  /** Time of the first unanswered call to each gateway that was never heard from. */
  private readonly unansweredSince = new Map<string, Milliseconds>();
  /** When this gateway first called others in a large fleet. */
  private firstCallAt: Milliseconds | undefined;
  /** Gateways that were alive at the last {@link removeTimedOut}. */
  private alive: ReadonlyMap<string, GatewayPeer> = new Map();
  /** When {@link removeTimedOut} was last called. */
  private checkedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Until when {@link removeTimedOut} finds nothing new, unless a message arrives. */
  private unchangedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly self: KnownPeer) {
    this.roster = new Roster(self);
  }

  /** Adds or updates a gateway. A seed is named by its address until it reports its own name. */
  addPeer(peer: KnownPeer, now: Milliseconds): void {
    this.roster.upsert(peer, now);
  }

  /** Applies a received digest. Returns the suspicions in it for the caller to evaluate. */
  applyDigest(digest: Digest, now: Milliseconds): ReportedSuspicion[] {
    if (digest.name === this.self.name) return [];
    this.unchangedUntil = Number.NEGATIVE_INFINITY;
    this.addPeer(digest, now);
    digest.known?.forEach((peer) => {
      this.addPeer(peer, now);
    });
    this.roster.markHeard(digest.name, now);
    this.unansweredSince.delete(digest.name);
    this.roster.setUnresponsive(digest.name, false);
    const [from, to] = digest.stopping
      ? [this.digests, this.stopping]
      : [this.stopping, this.digests];
    from.delete(digest.name);
    to.set(digest.name, { digest, receivedAt: now });
    if (digest.stopping) this.markGone(digest.name, now);
    else {
      const { name, address, failureDomain, storeReachable, cutOffFrom = [], hasServed } = digest;
      const status = { name, address, failureDomain, storeReachable, cutOffFrom, hasServed };
      this.markHeard({ ...status, lastHeardAt: now });
    }
    const forwarded = (digest.summaries ?? []).map((summary) => this.applySummary(summary, now));
    return [...digest.suspicions, ...forwarded.flat()];
  }

  private applySummary(summary: DomainSummary, now: Milliseconds): ReportedSuspicion[] {
    const createdAt = now - summary.ageMs;
    const before = this.summaries.get(summary.failureDomain);
    if (before && before.createdAt >= createdAt) return [];
    this.summaries.set(summary.failureDomain, { summary, createdAt });
    const { failureDomain, hasServed } = summary;
    for (const { name, address, storeReachable, cutOffFrom = [], ageMs } of summary.members) {
      this.addPeer({ name, address, failureDomain }, now);
      const status = { name, address, failureDomain, storeReachable, cutOffFrom, hasServed };
      this.markHeard({ ...status, lastHeardAt: createdAt - ageMs });
    }
    for (const name of summary.gone ?? []) this.markGone(name, createdAt);
    return summary.suspicions;
  }

  private markHeard(peer: GatewayPeer): void {
    const { name, lastHeardAt } = peer;
    if (name === this.self.name || lastHeardAt <= (this.gone.get(name) ?? -Infinity)) return;
    if (lastHeardAt < (this.heard.get(name)?.lastHeardAt ?? -Infinity)) return;
    this.gone.delete(name);
    this.heard.set(name, peer);
  }

  private markGone(name: string, at: Milliseconds): void {
    if ((this.heard.get(name)?.lastHeardAt ?? -Infinity) > at) return;
    this.heard.delete(name);
    this.gone.set(name, Math.max(at, this.gone.get(name) ?? -Infinity));
  }

  /** Removes gateways that timed out. Returns those that were alive at the last call. */
  removeTimedOut(now: Milliseconds): TimedOutPeer[] {
    const { checkedAt } = this;
    this.checkedAt = now;
    if (now < this.unchangedUntil) return [];
    // They were still alive at the last call, which has not recorded it if nothing had changed.
    for (const name of this.alive.keys()) this.roster.markHeard(name, checkedAt);
    for (const [peer, { digest, receivedAt }] of this.digests) {
      if (now - receivedAt <= this.peerTimeout(digest.failureDomain)) continue;
      const isExpected = this.expectsExchanges(digest);
      this.digests.delete(peer);
      if (isExpected) this.roster.setUnresponsive(peer, true);
    }
    for (const [peer, { receivedAt }] of this.stopping) {
      if (now - receivedAt > PEER_TIMEOUT_MS) this.stopping.delete(peer);
    }
    for (const [peer, since] of this.unansweredSince) {
      if (now - since > PEER_TIMEOUT_MS && !this.digests.has(peer))
        this.roster.setUnresponsive(peer, true);
    }
    for (const [domain, { createdAt }] of this.summaries) {
      if (now - createdAt > this.peerTimeout(domain)) this.summaries.delete(domain);
    }
    const before = this.alive;
    this.alive = this.listAlive(now);
    for (const name of this.alive.keys()) this.roster.markHeard(name, now);
    this.removeStalePeers(now);
    this.unchangedUntil = Math.min(this.nextTimeoutAt(), now + MAX_UNCHECKED_MS);
    return [...before.values()]
      .filter(({ name }) => !this.alive.has(name))
      .map(({ name, lastHeardAt }) => ({ peer: name, silentMs: now - lastHeardAt }));
  }

  /**
   * Whether `peer` exchanges digests with this gateway as long as it runs. In a large fleet, a member that
   * has found its hub no longer calls the others.
   */
  private expectsExchanges(peer: KnownPeer): boolean {
    const { roster, self } = this;
    if (this.isPairwise() || roster.hubOf(peer.failureDomain) === peer.name) return true;
    return this.isInOwnDomain(peer) && roster.hubOf(self.failureDomain) === self.name;
  }

  /** The earliest time at which anything that was received may time out. */
  private nextTimeoutAt(): Milliseconds {
    let next = Number.POSITIVE_INFINITY;
    for (const { lastHeardAt, failureDomain } of this.alive.values())
      next = Math.min(next, lastHeardAt + this.peerTimeout(failureDomain));
    for (const { digest, receivedAt } of this.digests.values())
      next = Math.min(next, receivedAt + this.peerTimeout(digest.failureDomain));
    for (const { receivedAt } of this.stopping.values())
      next = Math.min(next, receivedAt + PEER_TIMEOUT_MS);
    for (const since of this.unansweredSince.values())
      next = Math.min(next, since + PEER_TIMEOUT_MS);
    for (const [domain, { createdAt }] of this.summaries)
      next = Math.min(next, createdAt + this.peerTimeout(domain));
    return next;
  }

  private removeStalePeers(now: Milliseconds): void {
    for (const name of this.roster.removeStale(now)) {
      this.nextExchangeAt.delete(name);
      this.unansweredSince.delete(name);
      this.heard.delete(name);
      this.gone.delete(name);
    }
  }

  /**
   * All other gateways that are alive, by name. Each is alive until its own time is over: a summary that
   * lacks it may be of a hub that has not heard from it yet.
   */
  listAlive(now: Milliseconds): ReadonlyMap<string, GatewayPeer> {
    return new Map(
      [...this.heard].filter(
        ([, { failureDomain, lastHeardAt }]) =>
          now - lastHeardAt <= this.peerTimeout(failureDomain),
      ),
    );
  }

  /**
   * All other gateways that may hold duties of the fleet, by name: those that are known and not known to be
   * gone. Without news of the others, a gateway must not take over what is theirs.
   */
  listCandidates(): ReadonlyMap<string, GatewayPeer> {
    const candidates = new Map<string, GatewayPeer>();
    for (const { name, address, failureDomain } of this.roster.all()) {
      const isSilent = this.roster.isUnresponsive(name) && !this.alive.has(name);
      if (this.gone.has(name) || isSilent || name === address) continue;
      const presumed = { storeReachable: true, cutOffFrom: [], hasServed: false };
      const unheard = { name, address, failureDomain, lastHeardAt: -Infinity, ...presumed };
      candidates.set(name, this.heard.get(name) ?? unheard);
    }
    return candidates;
  }

  /**
   * Counts known gateways that were neither heard from nor found unresponsive, such as all others
   * right after a start. They are presumed alive, but their load is not included in any digest yet.
   */
  countUnheard(): number {
    const isUnheard = ({ name }: KnownPeer): boolean =>
      !this.alive.has(name) && !this.roster.isUnresponsive(name);
    return this.roster.all().filter(isUnheard).length;
  }

  /** Requests in flight from all other gateways, by backend server. */
  sumLoad(): ReadonlyMap<string, number> {
    const domainSummary = this.isHub() ? undefined : this.summaries.get(this.self.failureDomain);
    if (domainSummary) return new Map(domainSummary.summary.load);
    const total = new Map<string, number>();
    for (const [domain, { summary }] of this.summaries) {
      if (domain !== this.self.failureDomain) addLoad(total, summary.load);
    }
    for (const { digest } of this.digests.values()) {
      const isSummarized = !this.isInOwnDomain(digest) && this.summaries.has(digest.failureDomain);
      if (!isSummarized) addLoad(total, digest.load);
    }
    return total;
  }

  /** Whether this gateway is the hub of its failure domain. */
  isHub(): boolean {
    return this.roster.hubOf(this.self.failureDomain) === this.self.name;
  }

  /** Gateways to call now. Each is returned at most once per exchange interval. */
  listDuePeers(now: Milliseconds): KnownPeer[] {
    return this.listCallees(now).filter((peer) => {
      const intervalMs = this.exchangeInterval(peer);
      const lastReceivedAt = this.digests.get(peer.name)?.receivedAt ?? Number.NEGATIVE_INFINITY;
      // An exchange updates both sides, so only one of them calls unless it is overdue.
      const waitMs = this.isInitiator(peer) ? intervalMs : TAKEOVER_INTERVALS * intervalMs;
      if (now < (this.nextExchangeAt.get(peer.name) ?? 0)) return false;
      if (now - lastReceivedAt < waitMs - PEERING_TICK_MS) return false;
      this.nextExchangeAt.set(peer.name, now + intervalMs);
      if (!this.digests.has(peer.name) && !this.unansweredSince.has(peer.name)) {
        this.unansweredSince.set(peer.name, now);
        this.unchangedUntil = Math.min(this.unchangedUntil, now + PEER_TIMEOUT_MS);
      }
      return true;
    });
  }

  /** The partners, of which only a few are called until one has answered. */
  private listCallees(now: Milliseconds): KnownPeer[] {
    const partners = this.listPartners();
    if (this.isPairwise() || this.digests.size > 0) return partners;
    this.firstCallAt ??= now;
    if (now - this.firstCallAt >= FIRST_CALLS_MS) return partners;
    const { failureDomain } = this.self;
    const members = partners.filter((peer) => this.isInOwnDomain(peer)).map(({ name }) => name);
    const first = new Set(rankByRendezvous(members, failureDomain).slice(0, FIRST_CALLS));
    return partners.filter((peer) => !this.isInOwnDomain(peer) || first.has(peer.name));
  }

  /**
   * Whether this gateway calls `peer` rather than the other way round. A member calls its hub, because
   * only responses have a known age and can carry proofs. Otherwise the name that sorts first calls.
   */
  private isInitiator(peer: KnownPeer): boolean {
    if (!this.isInOwnDomain(peer)) return this.self.name < peer.name;
    const hub = this.roster.hubOf(this.self.failureDomain);
    if (hub === this.self.name) return false;
    return hub === peer.name || this.self.name < peer.name;
  }

  /** Exchange partners in the same failure domain. */
  listDomainPartners(): KnownPeer[] {
    return this.listPartners().filter((peer) => this.isInOwnDomain(peer));
  }

  /** All gateways that this one exchanges digests with. */
  listPartners(): KnownPeer[] {
    const { roster, self } = this;
    if (this.isPairwise()) return roster.all();
    const hub = roster.hubOf(self.failureDomain);
    if (this.digests.size > 0 && hub !== self.name) {
      const partner = roster.get(hub);
      return partner ? [partner] : [];
    }
    const unresolvedSeeds = roster.listUnresolvedSeeds();
    const domainMembers = roster.membersOf(self.failureDomain);
    if (this.digests.size === 0) return [...domainMembers, ...unresolvedSeeds];
    const hubs = this.listOtherHubs();
    const unconfirmedMembers = domainMembers.filter(({ name }) => !this.digests.has(name));
    return [...hubs, ...unconfirmedMembers, ...unresolvedSeeds];
  }

  /**
   * Last digests of the gateways to catch up from: those that are alive, and those that are stopping
   * if their configuration is newer. Stopping gateways still answer, and may be the only ones with a
   * configuration during a store outage.
   */
  listCatchUpSources(): readonly ReceivedDigest[] {
    const alive = [...this.digests.values()];
    const newest = Math.max(0, ...alive.map(({ digest }) => digest.configurationVersion));
    const newerStopping = [...this.stopping.values()].filter(
      ({ digest }) => digest.configurationVersion > newest,
    );
    return [...alive, ...newerStopping];
  }

  /** All other gateways of this failure domain that are alive. */
  listDomainPeers(): KnownPeer[] {
    return [...this.alive.values()].filter((peer) => this.isInOwnDomain(peer));
  }

  /** The hubs of the other failure domains, as far as they are known. */
  listOtherHubs(): KnownPeer[] {
    const { roster, self } = this;
    return roster
      .listDomains()
      .filter((domain) => domain !== self.failureDomain)
      .flatMap((domain) => roster.get(roster.hubOf(domain)) ?? []);
  }

  /**
   * Gateways that this one tells of urgent news at once: for the hub of a large fleet, the other gateways
   * of its failure domain and the other hubs. All others tell their exchange partners.
   */
  listRelayPeers(): KnownPeer[] {
    if (this.isPairwise() || !this.isHub()) return [];
    const hubs = this.listPartners().filter((peer) => !this.isInOwnDomain(peer));
    return [...this.listDomainPeers(), ...hubs];
  }

  /** Whether the hub of this failure domain can be relied on to relay store changes. */
  hubStatus(now: Milliseconds): 'trusted' | 'unresponsive' | 'disconnected from the store' {
    const hub = this.digests.get(this.roster.hubOf(this.self.failureDomain));
    if (hub === undefined) return 'unresponsive';
    const intervalMs = this.exchangeInterval(hub.digest);
    if (now - hub.receivedAt > MAX_MISSED_EXCHANGES * intervalMs) return 'unresponsive';
    return hub.digest.storeReachable ? 'trusted' : 'disconnected from the store';
  }

  /** All known gateways, for peers that ask for them. */
  listKnown(): KnownPeer[] {
    return this.roster.all();
  }

  /**
   * Summaries to send to `caller`, empty unless this gateway is a hub. A caller in another failure
   * domain gets only the summary of this one.
   */
  listSummaries(own: Digest, now: Milliseconds, caller?: Digest): DomainSummary[] {
    if (this.isPairwise() || !this.isHub()) return [];
    const summary = this.summarizeDomain(own, now, caller);
    if (caller?.failureDomain !== this.self.failureDomain) return [summary];
    const otherSummaries = [...this.summaries.values()].filter(
      ({ summary: other }) => other.failureDomain !== this.self.failureDomain,
    );
    const load = new Map(summary.load);
    for (const { summary: other } of otherSummaries) addLoad(load, other.load);
    const forwarded = otherSummaries.map(({ summary: other, createdAt }) => ({
      ...other,
      ageMs: Math.round(now - createdAt),
      load: [],
      suspicions: other.suspicions.flatMap((each) => ageSuspicion(each, now - createdAt)),
    }));
    return [{ ...summary, load: [...load] }, ...forwarded];
  }

  /** Summarizes this failure domain, leaving out the load of `caller`. */
  private summarizeDomain(own: Digest, now: Milliseconds, caller?: Digest): DomainSummary {
    const domainDigests = [...this.digests.values()].filter(({ digest }) =>
      this.isInOwnDomain(digest),
    );
    const load = new Map<string, number>();
    addLoad(load, own.load);
    for (const { digest } of domainDigests)
      if (digest.name !== caller?.name) addLoad(load, digest.load);
    const members = domainDigests.map(({ digest, receivedAt }) =>
      toSummaryMember(digest, now - receivedAt),
    );
    const suspicions = domainDigests.flatMap(({ digest, receivedAt }) =>
      digest.suspicions.flatMap((each) => ageSuspicion(each, now - receivedAt)),
    );
    const reports = domainDigests.flatMap(({ digest, receivedAt }) =>
      ageReports(digest.reports ?? [], now - receivedAt),
    );
    const allReports = [...(own.reports ?? []), ...reports];
    const allLimits = newestLimitReports([
      ...(own.limits ?? []),
      ...domainDigests.flatMap(({ digest, receivedAt }) =>
        ageLimitReports(digest.limits ?? [], now - receivedAt),
      ),
    ]);
    const speeds = summarizeSpeeds(own, domainDigests, now, caller);
    const gone = this.listGone();
    const hashes = new Set([own, ...domainDigests.map(({ digest }) => digest)].map(membersHashOf));
    const [membersHash] = hashes.size === 1 ? hashes : [];
    return {
      failureDomain: this.self.failureDomain,
      ageMs: 0,
      hasServed: own.hasServed || domainDigests.some(({ digest }) => digest.hasServed),
      ...(membersHash !== undefined && { membersHash }),
      members: [toSummaryMember(own, 0), ...members],
      ...(gone.length > 0 && { gone }),
      load: [...load],
      suspicions: [...own.suspicions, ...suspicions],
      ...(allReports.length > 0 && { reports: allReports }),
      ...(allLimits.length > 0 && { limits: allLimits }),
      ...(speeds.length > 0 && { speeds }),
    };
  }

  /** Gateways of this failure domain that are stopping, or were heard and are no longer. */
  private listGone(): string[] {
    const members = this.roster.membersOf(this.self.failureDomain).map(({ name }) => name);
    return members.filter(
      (name) =>
        this.stopping.has(name) || (this.roster.isUnresponsive(name) && !this.alive.has(name)),
    );
  }

  /** Whether the fleet is small enough for all gateways to exchange digests pairwise. */
  isPairwise(): boolean {
    return this.roster.size < MAX_PAIRWISE_GATEWAYS;
  }

  /** Interval at which members of this failure domain call their hub. */
  hubInterval(): Milliseconds {
    return this.exchangeInterval(this.self);
  }

  private exchangeInterval(peer: KnownPeer): Milliseconds {
    if (!this.isInOwnDomain(peer)) return CROSS_DOMAIN_INTERVAL_MS;
    if (this.isPairwise()) return DOMAIN_INTERVAL_MS;
    const members = this.roster.countMembers(this.self.failureDomain);
    return Math.max(DOMAIN_INTERVAL_MS, DOMAIN_INTERVAL_MS_PER_MEMBER * members);
  }

  private isInOwnDomain(peer: Pick<KnownPeer, 'failureDomain'> | undefined): boolean {
    return peer?.failureDomain === this.self.failureDomain;
  }

  private peerTimeout(domain: string): Milliseconds {
    const ownMs = Math.max(
      PEER_TIMEOUT_MS,
      TIMEOUT_INTERVALS * this.hubInterval() + TIMEOUT_MARGIN_MS,
    );
    return domain === this.self.failureDomain ? ownMs : ownMs + CROSS_DOMAIN_MARGIN_MS;
  }
}

/** Whether both hold the same gateways, with the same reach. */
export function haveSameDuties(
  a: ReadonlyMap<string, GatewayPeer>,
  b: ReadonlyMap<string, GatewayPeer>,
): boolean {
  if (a.size !== b.size) return false;
  for (const [name, { storeReachable, cutOffFrom }] of a) {
    const other = b.get(name);
    if (other?.storeReachable !== storeReachable) return false;
    if (other.cutOffFrom.join() !== cutOffFrom.join()) return false;
  }
  return true;
}

function membersHashOf({ membersHash }: Digest): string | undefined {
  return membersHash;
}

function toSummaryMember(
  { name, address, storeReachable, cutOffFrom }: Digest,
  ageMs: Milliseconds,
): DomainSummary['members'][number] {
  return {
    name,
    address,
    storeReachable,
    ...(cutOffFrom && { cutOffFrom }),
    ageMs: Math.round(ageMs),
  };
}
