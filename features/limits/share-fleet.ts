/**
 * Entries that split a limit over a network that loses, delays, doubles and reorders digests, with
 * a list of entries that each sees late. Time is manual; each entry has its own clock.
 */
import {
  createShareState,
  exportLimitDigest,
  importLimitDigest,
  observeDemands,
  observeEntries,
  shareAt,
  splitShares,
  type LimitDigest,
  type LimitedWorkspace,
  type ListNews,
  type ShareOptions,
  type ShareState,
} from '../../src/controllers/limits/index.js';
import type { WorkspaceDemand, WorkspaceShare } from '../../src/board/index.js';
import type { Random } from '../../src/core/random/index.js';

export const LIMITED: LimitedWorkspace = {
  name: 'gates',
  limits: { requestsPerSecond: 1_000, concurrentRequests: 1_000, tokensPerSecond: 100_000 },
};
export const TICK_MS = 250;
const DIGEST_EVERY_MS = 500;
const MOST_LIST_LAG_MS = 4_000;
const MOST_DELAY_MS = 6_000;
/** How old a peer's word that it reaches the platform may be. */
const CONTACT_MS = 1_000;
/** Chance that a list that a peer has is fetched before its next digest. */
const PULL_CHANCE = 0.8;

export interface Network {
  /** Chance that a digest is lost, and that one comes late or twice. */
  loss: number;
  trouble: number;
}

export interface Member {
  name: string;
  state: ShareState;
  clockOffset: number;
  clockRate: number;
  share: WorkspaceShare | undefined;
  /** Asked of the limit by its callers, as a part of it. */
  demand: number;
  paused: boolean;
  cutFromList: boolean;
  cutFromPeers: boolean;
  /** On the other side of a partition from the platform. */
  isFar: boolean;
  /** The newest version of the list that it has. */
  revision: number;
  platformAt: number;
  heard: Map<string, HeardEntry>;
}

type HeardEntry = ListNews['peers'][number];

interface Delivery {
  at: number;
  from: Member;
  to: Member;
  digest: LimitDigest;
}

export class ShareFleet {
  now = 0;
  isPlatformDown = false;
  members: Member[] = [];
  private started = 0;
  private deliveries: Delivery[] = [];
  /** The platform's list over time, newest last. */
  private readonly lists: { at: number; names: string[] }[] = [{ at: 0, names: [] }];

  constructor(
    private readonly options: ShareOptions,
    private readonly network: Network,
    private readonly random: Random,
  ) {}

  /** Starts an entry; it is listed at once. */
  start(name = `entry-${++this.started}`): Member {
    const clockOffset = this.random.below(1_000_000);
    const clockRate = 1 + (this.random.fraction() - 0.5) / 100;
    const localNow = this.now * clockRate + clockOffset;
    const state = createShareState(name, `${name}-${this.now}`, this.options, localNow);
    const member: Member = {
      name,
      state,
      clockOffset,
      clockRate,
      share: undefined,
      demand: 1,
      paused: false,
      cutFromList: false,
      cutFromPeers: false,
      isFar: false,
      revision: 0,
      platformAt: Number.NEGATIVE_INFINITY,
      heard: new Map(),
    };
    this.members.push(member);
    this.list([...this.listed().filter((one) => one !== name), name]);
    return member;
  }

  /** Ends the process; its place in the list stays until `delist`. */
  kill(member: Member): void {
    this.members = this.members.filter((one) => one !== member);
  }

  delist(name: string): void {
    this.list(this.listed().filter((one) => one !== name));
  }

  listed(): readonly string[] {
    return this.lists.at(-1)?.names ?? [];
  }

  tick(): void {
    this.now += TICK_MS;
    this.deliver();
    for (const member of this.members) {
      if (!member.paused) this.run(member);
    }
  }

  /** The sum of what all entries that run would admit now, as parts of the limit. */
  sum(of: 'requestsPerSecond' | 'concurrentRequests' = 'requestsPerSecond'): number {
    let sum = 0;
    for (const member of this.members) sum += this.usable(member, of);
    return sum / LIMITED.limits[of];
  }

  /** What one entry would admit now. */
  usable(
    member: Member,
    of: 'requestsPerSecond' | 'concurrentRequests' = 'requestsPerSecond',
  ): number {
    return member.share ? shareAt(member.share, this.localNow(member))[of] : 0;
  }

  private run(member: Member): void {
    const now = this.localNow(member);
    if (this.reachesPlatform(member)) this.readList(member, now);
    if (this.now % DIGEST_EVERY_MS === 0) this.hearPeers(member, now);
    observeEntries(member.state, this.describeNews(member), now);
    const others = this.members.filter((one) => one !== member && !one.cutFromPeers);
    const heard = member.cutFromPeers ? [] : others.map((one) => [describeDemand(one)]);
    observeDemands(member.state, [LIMITED], [describeDemand(member)], heard);
    if (this.now % DIGEST_EVERY_MS === 0) this.exchange(member, now);
    member.share = splitShares(member.state, [LIMITED], now).get(LIMITED.name);
  }

  private reachesPlatform(member: Member): boolean {
    return !this.isPlatformDown && !member.cutFromList && !member.isFar;
  }

  /** The list as it stood up to the longest lag ago; never older than what was known before. */
  private readList(member: Member, now: number): void {
    const asOf = this.now - this.random.below(MOST_LIST_LAG_MS);
    const revision = this.lists.findLastIndex((one) => one.at <= asOf);
    if (revision < member.revision) return;
    member.revision = revision;
    member.platformAt = now;
  }

  /** Digests of the others: whoever knows a newer list passes it on. */
  private hearPeers(member: Member, now: number): void {
    for (const other of this.members) {
      if (other === member || !this.areLinked(member, other)) continue;
      if (this.random.fraction() < this.network.loss) continue;
      member.heard.set(other.name, {
        name: other.name,
        heardAt: now,
        configurationRevision: other.revision,
        platform: this.reachesPlatform(other) ? 'reached' : 'unreached',
      });
      if (this.random.fraction() < PULL_CHANCE) {
        member.revision = Math.max(member.revision, other.revision);
      }
    }
  }

  private areLinked(one: Member, other: Member): boolean {
    if (one.paused || other.paused || one.isFar !== other.isFar) return false;
    return !one.cutFromPeers && !other.cutFromPeers;
  }

  private describeNews(member: Member): ListNews {
    return {
      self: member.name,
      listed: this.lists[member.revision]?.names ?? [],
      revision: member.revision,
      platformAt: member.platformAt,
      peers: [...member.heard.values()],
      contactMs: CONTACT_MS,
    };
  }

  private exchange(from: Member, now: number): void {
    const digest = exportLimitDigest(from.state, now);
    if (!digest || from.cutFromPeers) return;
    for (const to of this.members) {
      if (to === from || this.random.fraction() < this.network.loss) continue;
      this.send(from, to, digest);
      if (this.random.fraction() < this.network.trouble) this.send(from, to, digest);
    }
  }

  private send(from: Member, to: Member, digest: LimitDigest): void {
    const late = this.random.fraction() < this.network.trouble;
    const delay = late ? this.random.below(MOST_DELAY_MS) : 0;
    this.deliveries.push({ at: this.now + delay, from, to, digest });
  }

  private deliver(): void {
    const due = this.deliveries.filter((delivery) => delivery.at <= this.now);
    this.deliveries = this.deliveries.filter((delivery) => delivery.at > this.now);
    for (const { from, to, digest } of due) {
      if (to.paused || to.cutFromPeers || from.isFar !== to.isFar) continue;
      importLimitDigest(to.state, from.name, digest, this.localNow(to));
    }
  }

  private list(names: string[]): void {
    this.lists.push({ at: this.now, names });
  }

  private localNow(member: Member): number {
    return this.now * member.clockRate + member.clockOffset;
  }
}

function describeDemand({ demand }: Member): WorkspaceDemand {
  return {
    workspace: LIMITED.name,
    requestsPerSecond: demand * LIMITED.limits.requestsPerSecond,
    tokensPerSecond: 0,
    concurrentRequests: 0,
  };
}
