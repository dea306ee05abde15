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
  type ShareOptions,
  type ShareState,
} from '../../src/controllers/limits/index.js';
import type { WorkspaceShare } from '../../src/board/index.js';
import type { Random } from '../../src/core/random/index.js';

export const LIMITED: LimitedWorkspace = {
  name: 'gates',
  limits: { requestsPerSecond: 1_000, concurrentRequests: 1_000, tokensPerSecond: 100_000 },
};
export const TICK_MS = 250;
const DIGEST_EVERY_MS = 500;
const MOST_LIST_LAG_MS = 4_000;
const MOST_DELAY_MS = 6_000;

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
}

interface Delivery {
  at: number;
  from: Member;
  to: Member;
  digest: LimitDigest;
}

export class ShareFleet {
  now = 0;
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
    for (const member of this.members) {
      if (!member.share) continue;
      sum += shareAt(member.share, this.localNow(member))[of];
    }
    return sum / LIMITED.limits[of];
  }

  private run(member: Member): void {
    const now = this.localNow(member);
    if (!member.cutFromList) this.readList(member, now);
    else observeEntries(member.state, this.knownList(member), Number.NEGATIVE_INFINITY, now);
    const demand = {
      workspace: LIMITED.name,
      requestsPerSecond: member.demand * LIMITED.limits.requestsPerSecond,
      tokensPerSecond: 0,
      concurrentRequests: 0,
    };
    observeDemands(member.state, [LIMITED], [demand]);
    if (this.now % DIGEST_EVERY_MS === 0) this.exchange(member, now);
    member.share = splitShares(member.state, [LIMITED], now).get(LIMITED.name);
  }

  /** The list as it stood up to the longest lag ago; never older than what was read before. */
  private readList(member: Member, now: number): void {
    const asOf = this.now - this.random.below(MOST_LIST_LAG_MS);
    const list = this.lists.findLast((one) => one.at <= asOf) ?? this.lists[0];
    observeEntries(member.state, list?.names ?? [], now, now);
  }

  private knownList(member: Member): string[] {
    const known = [...member.state.view.missingSince];
    return known.filter(([, since]) => since === undefined).map(([name]) => name);
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
      if (to.paused || to.cutFromPeers) continue;
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
