/**
 * Decides from whom a gateway gets a version that it knows to exist but does not have.
 *
 * The store is asked first. If it is known to be out of reach, has just been read, or does not answer
 * soon, gateways that have the version are asked; the two take turns until one has answered.
 */
import type { Milliseconds } from '../../core/clock/index.js';

export type PursuitStep =
  { kind: 'readStore' } | { kind: 'askPeer'; /** Address of the gateway. */ peer: string };

/** Time without an answer after which the next source is asked. */
const NEXT_SOURCE_AFTER_MS: Milliseconds = 250;
/** Gateways that are remembered to have the newest version. */
const MAX_HOLDERS = 8;

/** The pursuit of one gateway. Mutable, with a single owner. */
export class VersionPursuit {
  private newestVersion = 0;
  private behindSince: Milliseconds | undefined;
  private holders: string[] = [];
  private lastStep: PursuitStep['kind'] | undefined;
  private lastStepAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private lastReadAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** `minReadIntervalMs`: limits reads of the store during a series of changes. */
  constructor(private readonly minReadIntervalMs: Milliseconds) {}

  get newest(): number {
    return this.newestVersion;
  }

  /** Records that the gateway at `holder` has `version`. Returns whether the version was not known. */
  observe(version: number, holder: string): boolean {
    const isNew = version > this.newestVersion;
    if (isNew) {
      this.newestVersion = version;
      this.holders = [];
    }
    if (version === this.newestVersion && !this.holders.includes(holder)) {
      this.holders = [...this.holders, holder].slice(-MAX_HOLDERS);
    }
    return isNew;
  }

  /** The source to ask now; undefined if the gateway has the newest version, or has just asked. */
  next(now: Milliseconds, own: number, isStoreReachable: boolean): PursuitStep | undefined {
    if (own >= this.newestVersion) {
      this.behindSince = undefined;
      this.lastStep = undefined;
      return undefined;
    }
    this.behindSince ??= now;
    if (this.lastStep !== undefined && now - this.lastStepAt < NEXT_SOURCE_AFTER_MS)
      return undefined;
    const step = this.choose(now, isStoreReachable);
    if (step === undefined) return undefined;
    this.lastStep = step.kind;
    this.lastStepAt = now;
    if (step.kind === 'readStore') this.lastReadAt = now;
    return step;
  }

  private choose(now: Milliseconds, isStoreReachable: boolean): PursuitStep | undefined {
    const mayRead = isStoreReachable && now - this.lastReadAt >= this.minReadIntervalMs;
    if (mayRead && this.lastStep !== 'readStore') return { kind: 'readStore' };
    const behindMs = now - (this.behindSince ?? now);
    // The store may be read soon, which costs the other gateways nothing.
    if (isStoreReachable && this.lastStep === undefined && behindMs < NEXT_SOURCE_AFTER_MS)
      return undefined;
    const [peer, ...others] = this.holders;
    if (peer === undefined) return mayRead ? { kind: 'readStore' } : undefined;
    this.holders = [...others, peer];
    return { kind: 'askPeer', peer };
  }
}
