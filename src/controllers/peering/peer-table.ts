/**
 * Who the other gateways are, whom of them to call, and what they do at the backend servers.
 *
 * A few gateways exchange digests pairwise. In a larger fleet that would take more of each instance
 * with every gateway that is added, so each calls one gateway of its failure domain, the hub, which
 * answers for all domains; hubs exchange summaries of their domains. The hub is the first by
 * rendezvous among those that answer, so that no election is needed: when it falls silent, all
 * who notice turn to the same next one.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { addLoad } from './load.js';
import { ageReports } from './reports.js';
import { Roster } from './roster.js';
import type { Digest, DomainSummary, GatewayPeer, KnownPeer, ToldSuspicion } from './types.js';

/**
 * Gateways up to which all exchange pairwise, a choice: 12 in three failure domains have some 30
 * exchanges a second each at the paces below, as many as a hub has in a larger fleet.
 */
const PAIRWISE_MOST = 12;
/** Within a failure domain bytes are free; the load of a replica changes in some hundred ms. */
const NEAR_EVERY_MS: Milliseconds = 200;
/** Of a hub's members each adds this, so that a hub answers some 30 of them a second, whatever their number. */
const NEAR_EVERY_MS_PER_MEMBER: Milliseconds = 30;
/** Between failure domains bytes are dear, and requests seldom go there. */
const FAR_EVERY_MS: Milliseconds = 600;
/** Periods without a call after which the other side calls. */
const TAKE_OVER_PERIODS = 2;
/** Exchanges in a row that a hub may miss before others stop relying on it. */
const MISSED_EXCHANGES = 3;
/** How often {@link PeerTable.listDue} is asked. */
export const PEERING_TICK_MS: Milliseconds = 100;
/** Three digests of the slower pace missed. */
const SILENT_AFTER_MS: Milliseconds = 2_000;
/** Word of a gateway in another failure domain comes over two hubs. */
const FAR_SILENT_AFTER_MS: Milliseconds = 3_500;

/** A digest of another gateway, kept as it came. */
export interface HeardDigest {
  digest: Digest;
  heardAt: Milliseconds;
}

/** A summary that another gateway made. */
interface HeardSummary {
  summary: DomainSummary;
  /** When it was made, by this process's clock. */
  madeAt: Milliseconds;
}

/** A gateway that is heard no more. */
export interface Silence {
  peer: string;
  silentMs: Milliseconds;
}

/** What one gateway knows of all others. Changed in place, owned by one shell. */
export class PeerTable {
  private readonly roster: Roster;
  private readonly digests = new Map<string, HeardDigest>();
  /** What those that are stopping said last; they count among the living no more. */
  private readonly stopping = new Map<string, HeardDigest>();
  private readonly summaries = new Map<string, HeardSummary>();
  private readonly dueAt = new Map<string, Milliseconds>();
  /** Those that were called and have not answered yet, with the first such call. */
  private readonly triedAt = new Map<string, Milliseconds>();
  /** Those that lived at the last {@link dropSilent}. */
  private alive: ReadonlyMap<string, GatewayPeer> = new Map();

  constructor(private readonly self: KnownPeer) {
    this.roster = new Roster(self);
  }

  /** Adds a gateway to call. One whose name is not known yet goes by its address. */
  learn(peer: KnownPeer, now: Milliseconds): void {
    this.roster.learn(peer, now);
  }

  /** Takes what another gateway said; the suspicions in it are for the caller to judge. */
  take(digest: Digest, now: Milliseconds): ToldSuspicion[] {
    if (digest.name === this.self.name) return [];
    this.learn(digest, now);
    digest.known?.forEach((peer) => {
      this.learn(peer, now);
    });
    this.roster.markHeard(digest.name, now);
    this.triedAt.delete(digest.name);
    this.roster.setSilent(digest.name, false);
    const [from, to] = digest.stopping
      ? [this.digests, this.stopping]
      : [this.stopping, this.digests];
    from.delete(digest.name);
    to.set(digest.name, { digest, heardAt: now });
    const told = (digest.summaries ?? []).map((summary) => this.takeSummary(summary, now));
    return [...digest.suspicions, ...told.flat()];
  }

  private takeSummary(summary: DomainSummary, now: Milliseconds): ToldSuspicion[] {
    const madeAt = now - summary.ageMs;
    const before = this.summaries.get(summary.failureDomain);
    if (before && before.madeAt >= madeAt) return [];
    this.summaries.set(summary.failureDomain, { summary, madeAt });
    const { failureDomain } = summary;
    for (const { name, address } of summary.members) {
      this.learn({ name, address, failureDomain }, now);
    }
    return summary.suspicions;
  }

  /** Drops those that were silent too long; returns those that lived at the last call. */
  dropSilent(now: Milliseconds): Silence[] {
    for (const [peer, { heardAt }] of this.digests) {
      if (now - heardAt <= SILENT_AFTER_MS) continue;
      this.digests.delete(peer);
      this.roster.setSilent(peer, true);
    }
    for (const [peer, { heardAt }] of this.stopping) {
      if (now - heardAt > SILENT_AFTER_MS) this.stopping.delete(peer);
    }
    for (const [peer, at] of this.triedAt) {
      if (now - at > SILENT_AFTER_MS && !this.digests.has(peer)) this.roster.setSilent(peer, true);
    }
    for (const [domain, { madeAt }] of this.summaries) {
      if (now - madeAt > this.silentAfter(domain)) this.summaries.delete(domain);
    }
    const before = this.alive;
    this.alive = this.listAlive(now);
    for (const name of this.alive.keys()) this.roster.markHeard(name, now);
    this.forget(now);
    return [...before.values()]
      .filter(({ name }) => !this.alive.has(name))
      .map(({ name, heardAt }) => ({ peer: name, silentMs: now - heardAt }));
  }

  private forget(now: Milliseconds): void {
    for (const name of this.roster.forget(now)) {
      this.dueAt.delete(name);
      this.triedAt.delete(name);
    }
  }

  /** All others that live, by name. */
  listAlive(now: Milliseconds): ReadonlyMap<string, GatewayPeer> {
    const alive = new Map<string, GatewayPeer>();
    for (const { summary, madeAt } of this.summaries.values()) {
      const { failureDomain, hasServed } = summary;
      for (const { name, address, storeReachable, ageMs } of summary.members) {
        const heardAt = madeAt - ageMs;
        const isSilent = now - heardAt > this.silentAfter(failureDomain);
        if (name === this.self.name || isSilent) continue;
        alive.set(name, { name, address, failureDomain, heardAt, storeReachable, hasServed });
      }
    }
    for (const [name, { digest, heardAt }] of this.digests) {
      const told = alive.get(name);
      if (told && told.heardAt >= heardAt) continue;
      const { address, failureDomain, storeReachable, hasServed } = digest;
      alive.set(name, { name, address, failureDomain, heardAt, storeReachable, hasServed });
    }
    return alive;
  }

  /**
   * Gateways that are known and have neither been heard nor found silent, as all others are right after
   * a start: they live, as far as is known, and their requests count in nobody's news.
   */
  countUnheard(): number {
    const isUnheard = ({ name }: KnownPeer): boolean =>
      !this.alive.has(name) && !this.roster.isSilent(name);
    return this.roster.all().filter(isUnheard).length;
  }

  /** Requests of all other gateways under way, by backend server. */
  sumLoad(): ReadonlyMap<string, number> {
    const told = this.isHub() ? undefined : this.summaries.get(this.self.failureDomain);
    if (told) return new Map(told.summary.load);
    const total = new Map<string, number>();
    for (const [domain, { summary }] of this.summaries) {
      if (domain !== this.self.failureDomain) addLoad(total, summary.load);
    }
    for (const { digest } of this.digests.values()) {
      const isSummed = !this.isNear(digest) && this.summaries.has(digest.failureDomain);
      if (!isSummed) addLoad(total, digest.load);
    }
    return total;
  }

  /** Whether this gateway answers for its failure domain. */
  isHub(): boolean {
    return this.roster.hubOf(this.self.failureDomain) === this.self.name;
  }

  /** The others that this gateway should call now; each is returned once in its period. */
  listDue(now: Milliseconds): KnownPeer[] {
    return this.listPartners().filter((peer) => {
      const everyMs = this.periodOf(peer);
      const heardAt = this.digests.get(peer.name)?.heardAt ?? Number.NEGATIVE_INFINITY;
      // An exchange tells both sides: one of them calls, the other only when that one is silent.
      const waitMs = this.isCaller(peer) ? everyMs : TAKE_OVER_PERIODS * everyMs;
      if (now < (this.dueAt.get(peer.name) ?? 0)) return false;
      if (now - heardAt < waitMs - PEERING_TICK_MS) return false;
      this.dueAt.set(peer.name, now + everyMs);
      if (!this.digests.has(peer.name) && !this.triedAt.has(peer.name)) {
        this.triedAt.set(peer.name, now);
      }
      return true;
    });
  }

  /**
   * A member calls its hub: what the answer says is as young as the call, which tells how old the news
   * of the store are. Of two others the one whose name comes first calls.
   */
  private isCaller(peer: KnownPeer): boolean {
    if (!this.isNear(peer)) return this.self.name < peer.name;
    const hub = this.roster.hubOf(this.self.failureDomain);
    if (hub === this.self.name) return false;
    return hub === peer.name || this.self.name < peer.name;
  }

  /** Those of this failure domain to tell at once when a backend server stands still. */
  listNearPartners(): KnownPeer[] {
    return this.listPartners().filter((peer) => this.isNear(peer));
  }

  /** All others that this gateway exchanges digests with. */
  listPartners(): KnownPeer[] {
    const { roster, self } = this;
    if (this.isPairwise()) return roster.all();
    const unnamed = roster.listUnnamed();
    const near = roster.membersOf(self.failureDomain);
    if (this.digests.size === 0) return [...near, ...unnamed];
    const hub = roster.hubOf(self.failureDomain);
    if (hub !== self.name) return near.filter(({ name }) => name === hub);
    const far = roster.listDomains().filter((domain) => domain !== self.failureDomain);
    const hubs = far.flatMap((domain) => roster.get(roster.hubOf(domain)) ?? []);
    const unheard = near.filter(({ name }) => !this.digests.has(name));
    return [...hubs, ...unheard, ...unnamed];
  }

  /**
   * Those heard directly that may tell what this gateway has missed, with what they said last: the
   * living, and one that is stopping while none of these has as new a configuration.
   *
   * Guards against a gateway that starts while the store is away and all who know the configuration
   * are stopping: it would refuse every caller until the store's return. A stop takes seconds, and
   * whoever stops answers other gateways to its end.
   */
  listHeard(): readonly HeardDigest[] {
    const living = [...this.digests.values()];
    const newest = Math.max(0, ...living.map(({ digest }) => digest.configurationVersion));
    const ahead = [...this.stopping.values()].filter(
      ({ digest }) => digest.configurationVersion > newest,
    );
    return [...living, ...ahead];
  }

  /** All others of this failure domain that live. */
  listNear(): KnownPeer[] {
    return [...this.alive.values()].filter((peer) => this.isNear(peer));
  }

  /** Whether the hub of this failure domain can be relied on for news of the store. */
  judgeHub(now: Milliseconds): 'trusted' | 'silent' | 'cut off from the store' {
    const hub = this.digests.get(this.roster.hubOf(this.self.failureDomain));
    if (hub === undefined) return 'silent';
    const everyMs = this.periodOf(hub.digest);
    if (now - hub.heardAt > MISSED_EXCHANGES * everyMs) return 'silent';
    return hub.digest.storeReachable ? 'trusted' : 'cut off from the store';
  }

  /** Gateways that another one may call from now on. */
  listKnown(): KnownPeer[] {
    return this.roster.all();
  }

  /** What this gateway tells of others to `caller`; nothing when it speaks for nobody. */
  listSummaries(own: Digest, now: Milliseconds, caller?: Digest): DomainSummary[] {
    if (this.isPairwise() || !this.isHub()) return [];
    const summary = this.summarise(own, now, caller);
    if (caller?.failureDomain !== this.self.failureDomain) return [summary];
    const far = [...this.summaries.values()].filter(
      ({ summary: told }) => told.failureDomain !== this.self.failureDomain,
    );
    const load = new Map(summary.load);
    for (const { summary: told } of far) addLoad(load, told.load);
    const passed = far.map(({ summary: told, madeAt }) => ({
      ...told,
      ageMs: Math.round(now - madeAt),
      load: [],
      suspicions: told.suspicions.flatMap((one) => ageSuspicion(one, now - madeAt)),
    }));
    return [{ ...summary, load: [...load] }, ...passed];
  }

  /** The own failure domain; without the load of `caller`, who knows it better. */
  private summarise(own: Digest, now: Milliseconds, caller?: Digest): DomainSummary {
    const near = [...this.digests.values()].filter(({ digest }) => this.isNear(digest));
    const load = new Map<string, number>();
    addLoad(load, own.load);
    for (const { digest } of near) if (digest.name !== caller?.name) addLoad(load, digest.load);
    const members = near.map(({ digest, heardAt }) => toMember(digest, now - heardAt));
    const suspicions = near.flatMap(({ digest, heardAt }) =>
      digest.suspicions.flatMap((one) => ageSuspicion(one, now - heardAt)),
    );
    const reports = near.flatMap(({ digest, heardAt }) =>
      ageReports(digest.reports ?? [], now - heardAt),
    );
    const allReports = [...(own.reports ?? []), ...reports];
    return {
      failureDomain: this.self.failureDomain,
      ageMs: 0,
      hasServed: own.hasServed || near.some(({ digest }) => digest.hasServed),
      members: [toMember(own, 0), ...members],
      load: [...load],
      suspicions: [...own.suspicions, ...suspicions],
      ...(allReports.length > 0 && { reports: allReports }),
    };
  }

  /** Few enough that all exchange with all. */
  isPairwise(): boolean {
    return this.roster.size < PAIRWISE_MOST;
  }

  /** How often a member of this failure domain calls its hub. */
  hubPeriod(): Milliseconds {
    return this.periodOf(this.self);
  }

  private periodOf(peer: KnownPeer): Milliseconds {
    if (!this.isNear(peer)) return FAR_EVERY_MS;
    if (this.isPairwise()) return NEAR_EVERY_MS;
    const members = this.roster.countMembers(this.self.failureDomain);
    return Math.max(NEAR_EVERY_MS, NEAR_EVERY_MS_PER_MEMBER * members);
  }

  private isNear(peer: Pick<KnownPeer, 'failureDomain'> | undefined): boolean {
    return peer?.failureDomain === this.self.failureDomain;
  }

  private silentAfter(domain: string): Milliseconds {
    return domain === this.self.failureDomain ? SILENT_AFTER_MS : FAR_SILENT_AFTER_MS;
  }
}

function toMember(
  { name, address, storeReachable }: Digest,
  ageMs: Milliseconds,
): DomainSummary['members'][number] {
  return { name, address, storeReachable, ageMs: Math.round(ageMs) };
}

function ageSuspicion(
  { server, ageMs, leftMs }: ToldSuspicion,
  passedMs: Milliseconds,
): ToldSuspicion[] {
  const left = Math.round(leftMs - passedMs);
  return left > 0 ? [{ server, ageMs: Math.round(ageMs + passedMs), leftMs: left }] : [];
}
