/**
 * Simulates entries that share a limit over a network that loses, delays, duplicates and reorders
 * digests, with a list of entries that each sees late. Time is manual; each entry has its own clock.
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
  type EntryListStatus,
  type ShareOptions,
  type ShareState,
} from '../../src/controllers/limits/index.js';
import type { WorkspaceDemand, WorkspaceShare } from '../../src/board/index.js';
import type { Random } from '../../src/core/random/index.js';

export const WORKSPACE: LimitedWorkspace = {
  name: 'gates',
  limits: { requestsPerSecond: 1_000, concurrentRequests: 1_000, tokensPerSecond: 100_000 },
};
export const TICK_MS = 250;
const DIGEST_EVERY_MS = 500;
const MAX_LIST_LAG_MS = 4_000;
const MAX_DELAY_MS = 6_000;
/** Maximum age of a peer's last contact with the platform. */
const MAX_CONTACT_AGE_MS = 1_000;
/** Probability that an entry fetches a peer's list before that peer's next digest. */
const LIST_FETCH_PROBABILITY = 0.8;

export interface Network {
  /** Probability that a digest is lost. */
  loss: number;
  /** Probability that a digest is delayed, and that it is sent twice. */
  delayOrDuplicate: number;
}

export interface Member {
  name: string;
  state: ShareState;
  clockOffset: number;
  clockRate: number;
  share: WorkspaceShare | undefined;
  /** Demand of its callers as a fraction of the limit. */
  demand: number;
  isPaused: boolean;
  cutFromList: boolean;
  cutFromPeers: boolean;
  /** Separated from the platform by a network partition. */
  isPartitioned: boolean;
  /** The newest revision of the list that it has. */
  revision: number;
  platformAt: number;
  peerStatuses: Map<string, PeerStatus>;
}

type PeerStatus = EntryListStatus['peers'][number];

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
  private startedCount = 0;
  private deliveries: Delivery[] = [];
  /** The platform's list over time, newest last. */
  private readonly lists: { at: number; names: string[] }[] = [{ at: 0, names: [] }];

  constructor(
    private readonly options: ShareOptions,
    private readonly network: Network,
    private readonly random: Random,
  ) {}

  /** Starts an entry and lists it immediately. */
  start(name = `entry-${++this.startedCount}`): Member {
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
      isPaused: false,
      cutFromList: false,
      cutFromPeers: false,
      isPartitioned: false,
      revision: 0,
      platformAt: Number.NEGATIVE_INFINITY,
      peerStatuses: new Map(),
    };
    this.members.push(member);
    this.publishList([...this.currentList().filter((listed) => listed !== name), name]);
    return member;
  }

  /** Stops the process; it stays listed until `delist`. */
  kill(member: Member): void {
    this.members = this.members.filter((other) => other !== member);
  }

  delist(name: string): void {
    this.publishList(this.currentList().filter((listed) => listed !== name));
  }

  currentList(): readonly string[] {
    return this.lists.at(-1)?.names ?? [];
  }

  tick(): void {
    this.now += TICK_MS;
    this.deliverDue();
    for (const member of this.members) {
      if (!member.isPaused) this.runMember(member);
    }
  }

  /** What all running entries together would admit now, as a fraction of the limit. */
  totalShare(limit: 'requestsPerSecond' | 'concurrentRequests' = 'requestsPerSecond'): number {
    let sum = 0;
    for (const member of this.members) sum += this.usableShare(member, limit);
    return sum / WORKSPACE.limits[limit];
  }

  /** The share that one entry would apply to a request now. */
  usableShare(
    member: Member,
    limit: 'requestsPerSecond' | 'concurrentRequests' = 'requestsPerSecond',
  ): number {
    return member.share ? shareAt(member.share, this.localNow(member))[limit] : 0;
  }

  private runMember(member: Member): void {
    const now = this.localNow(member);
    if (this.reachesPlatform(member)) this.fetchList(member, now);
    if (this.now % DIGEST_EVERY_MS === 0) this.receivePeerStatus(member, now);
    observeEntries(member.state, this.describeListStatus(member), now);
    const others = this.members.filter((other) => other !== member && !other.cutFromPeers);
    const peerDemands = member.cutFromPeers ? [] : others.map((other) => [describeDemand(other)]);
    observeDemands(member.state, [WORKSPACE], [describeDemand(member)], peerDemands);
    if (this.now % DIGEST_EVERY_MS === 0) this.broadcastDigest(member, now);
    member.share = splitShares(member.state, [WORKSPACE], now).get(WORKSPACE.name);
  }

  private reachesPlatform(member: Member): boolean {
    return !this.isPlatformDown && !member.cutFromList && !member.isPartitioned;
  }

  /** Reads the list with a random lag; never goes back to an older revision. */
  private fetchList(member: Member, now: number): void {
    const asOf = this.now - this.random.below(MAX_LIST_LAG_MS);
    const revision = this.lists.findLastIndex((list) => list.at <= asOf);
    if (revision < member.revision) return;
    member.revision = revision;
    member.platformAt = now;
  }

  /** Receives the peers' status and, sometimes, their newer list. */
  private receivePeerStatus(member: Member, now: number): void {
    for (const other of this.members) {
      if (other === member || !this.areLinked(member, other)) continue;
      if (this.random.fraction() < this.network.loss) continue;
      member.peerStatuses.set(other.name, {
        name: other.name,
        heardAt: now,
        configurationRevision: other.revision,
        platform: this.reachesPlatform(other) ? 'reached' : 'unreached',
      });
      if (this.random.fraction() < LIST_FETCH_PROBABILITY) {
        member.revision = Math.max(member.revision, other.revision);
      }
    }
  }

  private areLinked(first: Member, second: Member): boolean {
    if (first.isPaused || second.isPaused || first.isPartitioned !== second.isPartitioned)
      return false;
    return !first.cutFromPeers && !second.cutFromPeers;
  }

  private describeListStatus(member: Member): EntryListStatus {
    return {
      self: member.name,
      listed: this.lists[member.revision]?.names ?? [],
      revision: member.revision,
      platformConfirmedAt: member.platformAt,
      peers: [...member.peerStatuses.values()],
      maxContactAgeMs: MAX_CONTACT_AGE_MS,
    };
  }

  private broadcastDigest(from: Member, now: number): void {
    const digest = exportLimitDigest(from.state, now);
    if (!digest || from.cutFromPeers) return;
    for (const to of this.members) {
      if (to === from || this.random.fraction() < this.network.loss) continue;
      this.scheduleDelivery(from, to, digest);
      if (this.random.fraction() < this.network.delayOrDuplicate)
        this.scheduleDelivery(from, to, digest);
    }
  }

  private scheduleDelivery(from: Member, to: Member, digest: LimitDigest): void {
    const late = this.random.fraction() < this.network.delayOrDuplicate;
    const delay = late ? this.random.below(MAX_DELAY_MS) : 0;
    this.deliveries.push({ at: this.now + delay, from, to, digest });
  }

  private deliverDue(): void {
    const due = this.deliveries.filter((delivery) => delivery.at <= this.now);
    this.deliveries = this.deliveries.filter((delivery) => delivery.at > this.now);
    for (const { from, to, digest } of due) {
      if (to.isPaused || to.cutFromPeers || from.isPartitioned !== to.isPartitioned) continue;
      importLimitDigest(to.state, from.name, digest, this.localNow(to));
    }
  }

  private publishList(names: string[]): void {
    this.lists.push({ at: this.now, names });
  }

  private localNow(member: Member): number {
    return this.now * member.clockRate + member.clockOffset;
  }
}

function describeDemand({ demand }: Member): WorkspaceDemand {
  return {
    workspace: WORKSPACE.name,
    requestsPerSecond: demand * WORKSPACE.limits.requestsPerSecond,
    tokensPerSecond: 0,
    concurrentRequests: 0,
  };
}
