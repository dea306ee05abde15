/**
 * Which fingerprints were involved when backend servers failed, and when they were last answered.
 *
 * Answers are remembered even if no server has failed, so that a request that is sent again and again, or
 * a part that many requests share, is known to be sound before anything is held against it.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { isPartFingerprint } from './types.js';

/** Exceeds the quarantine, so that a single failure after it starts the next one. */
const FAILURE_RETENTION_MS: Milliseconds = 1_200_000;
/** Reports of one server within this time refer to the same failure. A restart takes longer. */
const SAME_FAILURE_WINDOW_MS: Milliseconds = 2_000;
/** Maximum number of fingerprints with failures. Beyond it, the oldest that isn't held is evicted. */
const MAX_RECORDS = 5_000;
/** Maximum numbers of requests and of parts without failures whose answers are remembered. */
const MAX_ANSWERED = 4_000;
/** A part that was answered within this time before its first failure was answered before. */
const PART_ANSWERED_BEFORE_MS: Milliseconds = 60_000;
/** Shorter for a request, which only its caller's next try would clear. */
const REQUEST_ANSWERED_BEFORE_MS: Milliseconds = 3_000;

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
  /** The last failure of which another gateway reported that it had answered the fingerprint before. */
  reportedSoundAt: Milliseconds;
}

/** What one gateway knows of fingerprints. */
export class Evidence {
  private readonly records = new Map<string, FingerprintRecord>();
  private readonly answeredRequests = new AnswerTimes();
  private readonly answeredParts = new AnswerTimes();

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

  /** Whether the fingerprint was answered shortly before the first of its failures. */
  wasAnsweredBefore(fingerprint: string, firstFailureAt: Milliseconds): boolean {
    const record = this.records.get(fingerprint);
    const reportedAt = record?.reportedSoundAt ?? Number.NEGATIVE_INFINITY;
    return (
      reportedAt >= firstFailureAt - answeredBeforeMs(fingerprint) ||
      this.hasAnsweredBefore(fingerprint, firstFailureAt)
    );
  }

  /** The same without what other gateways have only reported as answered before. */
  hasAnsweredBefore(fingerprint: string, firstFailureAt: Milliseconds): boolean {
    return this.answeredAt(fingerprint) >= firstFailureAt - answeredBeforeMs(fingerprint);
  }

  /** Adds that another gateway had answered the fingerprint shortly before a failure. */
  addSoundBefore(fingerprint: string, failureAt: Milliseconds): void {
    const record = this.records.get(fingerprint);
    if (record) record.reportedSoundAt = Math.max(record.reportedSoundAt, failureAt);
  }

  /** When a request with the fingerprint was last answered, as far as known. */
  answeredAt(fingerprint: string): Milliseconds {
    return (
      this.records.get(fingerprint)?.answeredAt ??
      this.answerTimesOf(fingerprint).get(fingerprint) ??
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
      this.answerTimesOf(fingerprint).record(fingerprint, at);
      return false;
    }
    if (at <= record.answeredAt) return false;
    record.answeredAt = at;
    const before = record.failures.length;
    record.failures = record.failures.filter((failure) => failure.at > at);
    return record.failures.length < before;
  }

  /** Requests have times of their own, since there are many more of them. */
  private answerTimesOf(fingerprint: string): AnswerTimes {
    return isPartFingerprint(fingerprint) ? this.answeredParts : this.answeredRequests;
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
    this.answerTimesOf(fingerprint).delete(fingerprint);
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

/** When fingerprints without failures were last answered; the least recent ones are evicted. */
class AnswerTimes {
  private readonly times = new Map<string, Milliseconds>();

  get(fingerprint: string): Milliseconds | undefined {
    return this.times.get(fingerprint);
  }

  record(fingerprint: string, at: Milliseconds): void {
    const before = this.times.get(fingerprint) ?? Number.NEGATIVE_INFINITY;
    this.times.delete(fingerprint);
    this.times.set(fingerprint, Math.max(before, at));
    if (this.times.size <= MAX_ANSWERED) return;
    const [leastRecent] = this.times.keys();
    if (leastRecent !== undefined) this.times.delete(leastRecent);
  }

  delete(fingerprint: string): void {
    this.times.delete(fingerprint);
  }
}

function answeredBeforeMs(fingerprint: string): Milliseconds {
  return isPartFingerprint(fingerprint) ? PART_ANSWERED_BEFORE_MS : REQUEST_ANSWERED_BEFORE_MS;
}

export function isSameFailure(first: ServerFailure, second: ServerFailure): boolean {
  return first.server === second.server && Math.abs(first.at - second.at) < SAME_FAILURE_WINDOW_MS;
}
