/**
 * Which fingerprints were involved when backend servers failed, and when they were last answered.
 *
 * Parts of prompts that are answered are remembered even if no server has failed with them, so that a
 * part that many requests share is known to be sound before anything is held against it.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { isPartFingerprint } from './types.js';

/** Exceeds the quarantine, so that a single failure after it starts the next one. */
const FAILURE_RETENTION_MS: Milliseconds = 1_200_000;
/** Reports of one server within this time refer to the same failure. A restart takes longer. */
const SAME_FAILURE_WINDOW_MS: Milliseconds = 2_000;
/** Maximum number of fingerprints with failures. Beyond it, the oldest that isn't held is evicted. */
const MAX_RECORDS = 5_000;
const MAX_ANSWERED_PARTS = 4_000;
/** A part that was answered within this time before its first failure was answered before. */
const ANSWERED_BEFORE_MS: Milliseconds = 60_000;

/** A failed backend server. */
export interface ServerFailure {
  server: string;
  at: Milliseconds;
  /** This gateway has reported it, possibly beside others. */
  isOwn: boolean;
}

/** A failure in which one fingerprint was involved. */
export interface Involvement extends ServerFailure {
  /** Fingerprints that each request with this one had as well. */
  companions: readonly string[];
}

interface FingerprintRecord {
  /** Failures since the last answer, in the order of their reports. */
  failures: Involvement[];
  answeredAt: Milliseconds;
  /** The last failure of which another gateway reported that it had answered the part before. */
  reportedSoundAt: Milliseconds;
}

/** What one gateway knows of fingerprints. */
export class Evidence {
  private readonly records = new Map<string, FingerprintRecord>();
  /** When parts without a record were last answered, least recent first. */
  private readonly answeredParts = new Map<string, Milliseconds>();

  /** `isHeld` tells which fingerprints must not be evicted. */
  constructor(private readonly isHeld: (fingerprint: string) => boolean) {}

  /** Number of fingerprints with failures. */
  get size(): number {
    return this.records.size;
  }

  /** Failures since the last answer. */
  failuresOf(fingerprint: string): readonly Involvement[] {
    return this.records.get(fingerprint)?.failures ?? [];
  }

  /** Fingerprints with at least so many failures since their last answer. */
  listFailed(minFailures: number): string[] {
    return [...this.records]
      .filter(([, { failures }]) => failures.length >= minFailures)
      .map(([fingerprint]) => fingerprint);
  }

  /** Whether a part was answered shortly before the first of its failures. */
  wasAnsweredBefore(fingerprint: string, firstFailureAt: Milliseconds): boolean {
    if (!isPartFingerprint(fingerprint)) return false;
    const record = this.records.get(fingerprint);
    const soundAt = Math.max(
      this.answeredAt(fingerprint),
      record?.reportedSoundAt ?? Number.NEGATIVE_INFINITY,
    );
    return soundAt >= firstFailureAt - ANSWERED_BEFORE_MS;
  }

  /** Adds that another gateway had answered the part shortly before a failure. */
  addSoundBefore(part: string, failureAt: Milliseconds): void {
    const record = this.records.get(part);
    if (record) record.reportedSoundAt = Math.max(record.reportedSoundAt, failureAt);
  }

  /** When a request with the fingerprint was last answered, as far as known. */
  answeredAt(fingerprint: string): Milliseconds {
    return (
      this.records.get(fingerprint)?.answeredAt ??
      this.answeredParts.get(fingerprint) ??
      Number.NEGATIVE_INFINITY
    );
  }

  /**
   * Adds that the server failed while it ran a request with these fingerprints. Returns those that
   * were not known to be involved.
   */
  addFailure(fingerprints: readonly string[], failure: ServerFailure, now: Milliseconds): string[] {
    return fingerprints.filter((fingerprint) => {
      const companions = fingerprints.filter((other) => other !== fingerprint);
      return this.involve(fingerprint, { ...failure, companions }, now);
    });
  }

  /**
   * Adds that a request with these fingerprints, whose answer began at `at`, was answered. Returns the
   * fingerprints that this clears of failures.
   */
  addAnswer(fingerprints: readonly string[], at: Milliseconds): string[] {
    return fingerprints.filter((fingerprint) => this.clear(fingerprint, at));
  }

  private involve(fingerprint: string, involvement: Involvement, now: Milliseconds): boolean {
    const record = this.getOrCreateRecord(fingerprint);
    if (involvement.at <= record.answeredAt) return false;
    record.failures = record.failures.filter(({ at }) => now - at < FAILURE_RETENTION_MS);
    const known = record.failures.find((other) => isSameFailure(other, involvement));
    if (known === undefined) {
      record.failures.push(involvement);
      return true;
    }
    known.isOwn ||= involvement.isOwn;
    known.companions = known.companions.filter((other) => involvement.companions.includes(other));
    return false;
  }

  private clear(fingerprint: string, at: Milliseconds): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      if (isPartFingerprint(fingerprint)) this.rememberAnswer(fingerprint, at);
      return false;
    }
    if (at <= record.answeredAt) return false;
    record.answeredAt = at;
    const before = record.failures.length;
    record.failures = record.failures.filter((failure) => failure.at > at);
    return record.failures.length < before;
  }

  private rememberAnswer(part: string, at: Milliseconds): void {
    const before = this.answeredParts.get(part) ?? Number.NEGATIVE_INFINITY;
    this.answeredParts.delete(part);
    this.answeredParts.set(part, Math.max(before, at));
    if (this.answeredParts.size <= MAX_ANSWERED_PARTS) return;
    const [leastRecent] = this.answeredParts.keys();
    if (leastRecent !== undefined) this.answeredParts.delete(leastRecent);
  }

  private getOrCreateRecord(fingerprint: string): FingerprintRecord {
    const existing = this.records.get(fingerprint);
    if (existing) return existing;
    if (this.records.size >= MAX_RECORDS) this.evictOldest();
    const created: FingerprintRecord = {
      failures: [],
      answeredAt: this.answeredAt(fingerprint),
      reportedSoundAt: Number.NEGATIVE_INFINITY,
    };
    this.answeredParts.delete(fingerprint);
    this.records.set(fingerprint, created);
    return created;
  }

  private evictOldest(): void {
    for (const fingerprint of this.records.keys()) {
      if (this.isHeld(fingerprint)) continue;
      this.records.delete(fingerprint);
      return;
    }
  }
}

export function isSameFailure(first: ServerFailure, second: ServerFailure): boolean {
  return first.server === second.server && Math.abs(first.at - second.at) < SAME_FAILURE_WINDOW_MS;
}
