/**
 * The known gateways by failure domain, and the hub of each domain.
 *
 * Members and hubs are looked up for every message, so both are indexed and updated only when a
 * gateway joins, leaves or changes its responsiveness.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { findByRendezvous } from '../membership/rendezvous.js';
import type { KnownPeer } from './types.js';

/** Time after which a gateway that was not heard from is removed. It calls again when it returns. */
const STALE_AFTER_MS: Milliseconds = 15_000;
/** Failure domain of a seed until it reports its own. */
const UNKNOWN_DOMAIN = '';

/** Mutable, owned by one peer table. */
export class Roster {
  private readonly peers = new Map<string, KnownPeer>();
  private readonly membersByDomain = new Map<string, Map<string, KnownPeer>>();
  private readonly lastHeard = new Map<string, Milliseconds>();
  /** Gateways that don't answer, until they are heard from again. */
  private readonly unresponsive = new Set<string>();
  private readonly hubCache = new Map<string, string>();

  constructor(private readonly self: KnownPeer) {}

  /** Adds or updates a gateway. A seed is named by its address until it reports its own name. */
  upsert({ name, address, failureDomain }: KnownPeer, now: Milliseconds): void {
    if (name === this.self.name || address === this.self.address) return;
    if (name !== address) this.remove(address);
    const existing = this.peers.get(name);
    if (existing?.address !== address || existing.failureDomain !== failureDomain) {
      this.remove(name);
      this.add({ name, address, failureDomain });
    }
    if (!this.lastHeard.has(name)) this.lastHeard.set(name, now);
  }

  /** Records that `name` was heard from, directly or through another gateway. */
  markHeard(name: string, now: Milliseconds): void {
    this.lastHeard.set(name, now);
  }

  setUnresponsive(name: string, isUnresponsive: boolean): void {
    if (this.unresponsive.has(name) === isUnresponsive) return;
    if (isUnresponsive) this.unresponsive.add(name);
    else this.unresponsive.delete(name);
    const domain = this.peers.get(name)?.failureDomain;
    if (domain !== undefined) this.hubCache.delete(domain);
  }

  isUnresponsive(name: string): boolean {
    return this.unresponsive.has(name);
  }

  /** Removes gateways that were not heard from for {@link STALE_AFTER_MS}. Returns their names. */
  removeStale(now: Milliseconds): string[] {
    const stale: string[] = [];
    for (const [name, at] of this.lastHeard) if (now - at > STALE_AFTER_MS) stale.push(name);
    for (const name of stale) {
      this.lastHeard.delete(name);
      this.remove(name);
      this.unresponsive.delete(name);
    }
    return stale;
  }

  get size(): number {
    return this.peers.size;
  }

  get(name: string): KnownPeer | undefined {
    return this.peers.get(name);
  }

  all(): KnownPeer[] {
    return [...this.peers.values()];
  }

  /** All known gateways of a failure domain, without this one. */
  membersOf(domain: string): KnownPeer[] {
    return [...(this.membersByDomain.get(domain)?.values() ?? [])];
  }

  countMembers(domain: string): number {
    return this.membersByDomain.get(domain)?.size ?? 0;
  }

  /** Seeds that have not reported their name and failure domain yet. */
  listUnresolvedSeeds(): KnownPeer[] {
    return this.membersOf(UNKNOWN_DOMAIN);
  }

  /** Failure domains with at least one known gateway. */
  listDomains(): string[] {
    return [...this.membersByDomain.keys()].filter((domain) => domain !== UNKNOWN_DOMAIN);
  }

  /**
   * The hub of the domain, by rendezvous hashing over the gateways not marked as unresponsive.
   * Gateways that were never heard from are included until a call to them fails, so that all members
   * choose the same hub even if they have heard from different gateways.
   */
  hubOf(domain: string): string {
    const cached = this.hubCache.get(domain);
    if (cached !== undefined) return cached;
    const names = this.membersOf(domain).flatMap(({ name }) =>
      this.unresponsive.has(name) ? [] : name,
    );
    if (domain === this.self.failureDomain) names.push(this.self.name);
    const hub = findByRendezvous(names, domain) ?? '';
    this.hubCache.set(domain, hub);
    return hub;
  }

  private add(peer: KnownPeer): void {
    const { name, failureDomain } = peer;
    this.peers.set(name, peer);
    const members = this.membersByDomain.get(failureDomain) ?? new Map<string, KnownPeer>();
    this.membersByDomain.set(failureDomain, members.set(name, peer));
    this.hubCache.delete(failureDomain);
  }

  private remove(name: string): void {
    const existing = this.peers.get(name);
    if (existing === undefined) return;
    this.peers.delete(name);
    const members = this.membersByDomain.get(existing.failureDomain);
    members?.delete(name);
    if (members?.size === 0) this.membersByDomain.delete(existing.failureDomain);
    this.hubCache.delete(existing.failureDomain);
  }
}
