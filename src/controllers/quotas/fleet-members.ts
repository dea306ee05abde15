/**
 * The gateways that share the limits of the fleet, and the share that this one may use.
 *
 * A limit is divided by the number of members. The sum of all shares in use never exceeds it, although
 * gateways may know different members. Each member has an entry in the store:
 *
 * - A gateway uses its share only after it has written its entry, then listed all entries, and then
 *   been shown by each member that it is counted. Of two gateways that use their shares, each
 *   therefore counts the other, and both divide by at least the number of gateways that do.
 * - A silent member counts until its entry has been removed, because behind a partition it goes on
 *   using its share. Its entry is removed after {@link FORGET_AFTER_MS} of silence.
 * - A gateway that can't tell for {@link LEASE_MS} whether its entry still exists stops using its share
 *   until it has listed the entry again. A removed member counts for longer than that.
 *
 * Uses of a limit count for a time, its memory. A gateway waits for that time after a restart, because
 * the uses of its previous process are unknown, and after it has joined, because the other members may
 * just have used larger shares.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { hashNames } from './name-hash.js';

/** How long this gateway's own entry counts as present after it was known to exist. */
const LEASE_MS: Milliseconds = 180_000;
/** Longest memory of a limit: the window in which uses are counted. */
const MAX_MEMORY_MS: Milliseconds = 30_000;
/** A removed member may use its share until its lease expires, and those uses count for a while. */
const REMOVED_HOLD_MS: Milliseconds = LEASE_MS + MAX_MEMORY_MS;
/** Silence after which the entry of a member is removed. */
const FORGET_AFTER_MS: Milliseconds = 600_000;
/** Rankings that are kept. */
const MAX_RANKS = 1_000;

interface Member {
  lastHeardAt: Milliseconds;
  /** It has shown that it counts this gateway. */
  isConfirmed: boolean;
  /** Since when its entry is missing from the store's list. */
  unlistedSince?: Milliseconds;
}

/** One gateway's view of the members. Mutable, with a single owner. */
export class FleetMembers {
  private readonly members = new Map<string, Member>();
  private readonly ranks = new Map<string, readonly string[]>();
  /** When the own entry was last known to exist; negative infinity if it is not known to. */
  private provenAt = Number.NEGATIVE_INFINITY;
  /** Since when all members count this gateway; undefined if they don't yet. */
  private countedSince: Milliseconds | undefined;
  private hasPredecessor = false;
  /** Computed when it is first read after a change. */
  private hash: string | undefined;

  constructor(
    private readonly self: string,
    private readonly startedAt: Milliseconds,
  ) {}

  /** The number of gateways that a limit is divided by. */
  get size(): number {
    return 1 + this.members.size;
  }

  /** Equal for two gateways that count the same members, which includes each other. */
  get fingerprint(): string {
    this.hash ??= hashNames([this.self, ...this.members.keys()]);
    return this.hash;
  }

  /** Applies a complete list of the entries that was requested at `at` and received at `now`. */
  observeList(names: readonly string[], at: Milliseconds, now: Milliseconds): void {
    const listed = new Set(names);
    for (const name of listed) delete this.ensure(name, at)?.unlistedSince;
    for (const [name, member] of this.members) {
      if (listed.has(name) || member.lastHeardAt >= at) continue;
      member.unlistedSince ??= at;
      if (at - member.unlistedSince > REMOVED_HOLD_MS) this.remove(name);
    }
    if (listed.has(this.self)) this.provenAt = Math.max(this.provenAt, at);
    else this.handleOwnRemoval();
    this.updateCounted(now);
  }

  /** Records that a gateway was heard from at `at`, directly or through others. */
  observeHeard(name: string, at: Milliseconds): void {
    const member = this.ensure(name, at);
    if (member === undefined) return;
    member.lastHeardAt = Math.max(member.lastHeardAt, at);
    delete member.unlistedSince;
  }

  /**
   * Extends the lease while the store can't be listed: a member that was heard from has heard this
   * gateway as well, so it won't remove its entry. Called before the members in a digest are recorded,
   * because an expired lease is only renewed by a list.
   */
  renewLease(now: Milliseconds): void {
    const ageMs = now - this.provenAt;
    if (ageMs < LEASE_MS / 2 || ageMs > LEASE_MS) return;
    const heardAt = [...this.members.values()].map(({ lastHeardAt }) => lastHeardAt);
    this.provenAt = Math.max(this.provenAt, Math.min(now, ...heardAt));
  }

  /** Records that a gateway counts this one: it has processed a message of it. */
  confirm(name: string, now: Milliseconds): void {
    const member = this.members.get(name);
    if (member === undefined || member.isConfirmed) return;
    member.isConfirmed = true;
    this.updateCounted(now);
  }

  /** Records that this gateway had an entry, and whether it says that all members count the gateway. */
  restoreEntry(isCounted: boolean): void {
    this.hasPredecessor = true;
    if (isCounted) this.countedSince = Number.NEGATIVE_INFINITY;
  }

  /** Whether all members count this gateway, which stays true as long as its entry exists. */
  get isCounted(): boolean {
    return this.countedSince !== undefined;
  }

  /** The share of a limit with the given memory that this gateway may use, from 0 to 1. */
  share(now: Milliseconds, memoryMs: Milliseconds): number {
    return this.isUsable(now, memoryMs) ? 1 / this.size : 0;
  }

  /** Whether this gateway is one of the `count` that may use the limit `key`. */
  isAmong(key: string, count: number, now: Milliseconds, memoryMs: Milliseconds): boolean {
    if (!this.isUsable(now, memoryMs)) return false;
    return count >= this.size || this.positionFor(key) < count;
  }

  /** The position of this gateway among the members, which are in another order for each `key`. */
  positionFor(key: string): number {
    return this.rank(key).indexOf(this.self);
  }

  /** Members whose entries should be removed. */
  listForgettable(now: Milliseconds): string[] {
    return [...this.members].flatMap(([name, { lastHeardAt }]) =>
      now - lastHeardAt > FORGET_AFTER_MS ? name : [],
    );
  }

  private isUsable(now: Milliseconds, memoryMs: Milliseconds): boolean {
    const { countedSince, hasPredecessor, startedAt } = this;
    if (countedSince === undefined || now - this.provenAt > LEASE_MS) return false;
    const waitsSince = hasPredecessor ? Math.max(countedSince, startedAt) : countedSince;
    return now - waitsSince >= memoryMs;
  }

  /** Without an entry, members may stop counting this gateway, so they have to confirm it again. */
  private handleOwnRemoval(): void {
    this.provenAt = Number.NEGATIVE_INFINITY;
    this.countedSince = undefined;
    for (const member of this.members.values()) member.isConfirmed = false;
  }

  private updateCounted(now: Milliseconds): void {
    if (this.isCounted || this.provenAt === Number.NEGATIVE_INFINITY) return;
    if (![...this.members.values()].every(({ isConfirmed }) => isConfirmed)) return;
    // The first member of a fleet has nobody whose uses it must wait for.
    this.countedSince = this.members.size === 0 ? Number.NEGATIVE_INFINITY : now;
  }

  private rank(key: string): readonly string[] {
    const known = this.ranks.get(key);
    if (known) return known;
    if (this.ranks.size >= MAX_RANKS) this.ranks.clear();
    const ranked = rankByRendezvous([this.self, ...this.members.keys()], key);
    this.ranks.set(key, ranked);
    return ranked;
  }

  private ensure(name: string, at: Milliseconds): Member | undefined {
    if (name === this.self) return undefined;
    const existing = this.members.get(name);
    if (existing) return existing;
    const created: Member = { lastHeardAt: at, isConfirmed: false };
    this.members.set(name, created);
    this.handleChange();
    return created;
  }

  private remove(name: string): void {
    this.members.delete(name);
    this.handleChange();
  }

  private handleChange(): void {
    this.ranks.clear();
    this.hash = undefined;
  }
}
