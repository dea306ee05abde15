/**
 * Quarantines in force and lapsed: which combinations of fingerprints are held, and until when.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { joinFingerprints, type QuarantineNotice } from './types.js';

/** Maximum number of quarantines. Beyond it, the oldest ends. */
const MAX_QUARANTINES = 500;
const MAX_RELEASES = 500;
const MAX_NOTICES = 100;

/** Requests that have all of the fingerprints are held. */
export interface Quarantine {
  readonly fingerprints: readonly string[];
  since: Milliseconds;
  until: Milliseconds;
}

/** The quarantines that one gateway knows. */
export class QuarantineList {
  private readonly quarantines = new Map<string, Quarantine>();
  /** Until when notices of quarantines that were released here are ignored. */
  private readonly releases = new Map<string, Milliseconds>();
  /** All fingerprints of the quarantines. */
  private held = new Set<string>();

  /** All quarantines, also those that have lapsed. */
  get all(): readonly Quarantine[] {
    return [...this.quarantines.values()];
  }

  /** Whether any quarantine, also a lapsed one, has the fingerprint. */
  isHeld(fingerprint: string): boolean {
    return this.held.has(fingerprint);
  }

  /** Remaining time for requests with these fingerprints; undefined if they may be sent. */
  remainingMs(fingerprints: readonly string[], now: Milliseconds): Milliseconds | undefined {
    if (this.quarantines.size === 0) return undefined;
    if (!fingerprints.some((fingerprint) => this.held.has(fingerprint))) return undefined;
    let until = now;
    for (const quarantine of this.quarantines.values()) {
      if (covers(quarantine, fingerprints)) until = Math.max(until, quarantine.until);
    }
    return until > now ? until - now : undefined;
  }

  start(fingerprints: readonly string[], since: Milliseconds, until: Milliseconds): string {
    const id = joinFingerprints(fingerprints);
    this.quarantines.delete(id);
    this.quarantines.set(id, { fingerprints: [...fingerprints], since, until });
    const [oldest] = this.quarantines.keys();
    if (this.quarantines.size > MAX_QUARANTINES && oldest !== undefined)
      this.quarantines.delete(oldest);
    this.indexFingerprints();
    return id;
  }

  /** Ends a quarantine. Notices of those that began before `now` don't start it again. */
  release({ fingerprints }: Pick<Quarantine, 'fingerprints'>, now: Milliseconds): void {
    const id = joinFingerprints(fingerprints);
    this.quarantines.delete(id);
    this.releases.delete(id);
    this.releases.set(id, now);
    const [oldest] = this.releases.keys();
    if (this.releases.size > MAX_RELEASES && oldest !== undefined) this.releases.delete(oldest);
    this.indexFingerprints();
  }

  /** Whether a quarantine that began at `since` was released later. */
  wasReleasedAfter(fingerprints: readonly string[], since: Milliseconds): boolean {
    return (this.releases.get(joinFingerprints(fingerprints)) ?? Number.NEGATIVE_INFINITY) >= since;
  }

  listNotices(now: Milliseconds): QuarantineNotice[] {
    return this.all
      .filter(({ until }) => until > now)
      .map(({ fingerprints, since, until }) => ({
        fingerprint: joinFingerprints(fingerprints),
        ageMs: Math.round(now - since),
        leftMs: Math.round(until - now),
      }))
      .slice(-MAX_NOTICES);
  }

  private indexFingerprints(): void {
    this.held = new Set(this.all.flatMap(({ fingerprints }) => fingerprints));
  }
}

/** Whether requests with these fingerprints have all of those of the quarantine. */
export function covers(
  quarantine: Pick<Quarantine, 'fingerprints'>,
  fingerprints: readonly string[],
): boolean {
  return quarantine.fingerprints.every((each) => fingerprints.includes(each));
}
