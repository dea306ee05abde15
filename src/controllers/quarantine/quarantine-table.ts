/**
 * Tracks requests during which backend servers fail, and quarantines those that cause it repeatedly.
 *
 * A request that makes every backend server fail could otherwise take down one after another, because
 * its caller retries at any gateway. Requests are identified by their fingerprint, and gateways share
 * their reports.
 *
 * Other requests on the failed servers must not be quarantined too: an answer clears a request, and
 * a failure doesn't count against it if a quarantined request was involved in this failure and in at
 * least as many.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestReport, QuarantineNotice } from './types.js';

/** Number of unattributed failures after which a request is quarantined. */
const FAILURES_UNTIL_QUARANTINE = 3;
const QUARANTINE_MS: Milliseconds = 600_000;
/** Exceeds the quarantine, so that a single failure after it starts the next one. */
const FAILURE_RETENTION_MS: Milliseconds = 1_200_000;
/** Reports of one server within this time refer to the same failure. A restart takes longer. */
const SAME_FAILURE_WINDOW_MS: Milliseconds = 2_000;
/** How long own reports are shared; covers several exchanges at the longest interval. */
const REPORT_SHARING_MS: Milliseconds = 3_000;
const MAX_SHARED_REPORTS = 200;
const MAX_SHARED_QUARANTINES = 100;
/** Maximum number of tracked requests. Beyond it, the oldest without a quarantine is evicted. */
const MAX_RECORDS = 5_000;

interface ServerFailure {
  server: string;
  at: Milliseconds;
  /** This gateway has reported it, possibly beside others. */
  isOwn: boolean;
}

interface Quarantine {
  since: Milliseconds;
  until: Milliseconds;
}

interface RequestRecord {
  failures: ServerFailure[];
  /** When the request was last answered. Earlier failures don't count. */
  answeredAt: Milliseconds;
  quarantine: Quarantine | undefined;
}

interface OwnReport {
  report: RequestReport;
  at: Milliseconds;
}

/** The suspect and quarantined requests known to one gateway. */
export class QuarantineTable {
  private readonly records = new Map<string, RequestRecord>();
  /** Fingerprints of the records with an active or expired quarantine. */
  private readonly quarantined = new Set<string>();
  private ownReports: OwnReport[] = [];

  /** Number of tracked requests. */
  get size(): number {
    return this.records.size;
  }

  /** Records a report of this gateway; returns whether it quarantines the request. */
  recordOwnReport(report: RequestReport, now: Milliseconds): boolean {
    // Answers to requests that aren't suspect need not be shared.
    if (report.kind === 'answered' && !this.isSuspect(report.fingerprint)) return false;
    const reports = [...this.ownReports, { report, at: now - report.ageMs }];
    this.ownReports = reports.slice(-MAX_SHARED_REPORTS);
    return this.applyReport(report, now, true);
  }

  /** Applies a report of any gateway; returns whether it quarantines the request. */
  applyReport(report: RequestReport, now: Milliseconds, isOwn = false): boolean {
    const at = now - report.ageMs;
    switch (report.kind) {
      case 'answered':
        this.clearUntil(report.fingerprint, at);
        return false;
      case 'serverEnded':
        return this.addFailure(report.fingerprint, { server: report.server, at, isOwn }, now);
    }
  }

  /** Applies a quarantine of another gateway; returns whether it was unknown here. */
  applyNotice({ fingerprint, ageMs, leftMs }: QuarantineNotice, now: Milliseconds): boolean {
    const since = now - ageMs;
    const record = this.records.get(fingerprint);
    if (record && record.answeredAt >= since) return false;
    if (this.remainingMs(fingerprint, now) !== undefined || leftMs <= 0) return false;
    const until = now + Math.min(leftMs, QUARANTINE_MS);
    this.startQuarantine(fingerprint, this.getOrCreateRecord(fingerprint), { since, until });
    return true;
  }

  /** Remaining time of the request's quarantine; undefined if the request may be sent. */
  remainingMs(fingerprint: string, now: Milliseconds): Milliseconds | undefined {
    const until = this.records.get(fingerprint)?.quarantine?.until;
    return until !== undefined && until > now ? until - now : undefined;
  }

  /** Whether this gateway has itself reported a failure of the request. */
  hasOwnEvidence(fingerprint: string): boolean {
    return this.records.get(fingerprint)?.failures.some(({ isOwn }) => isOwn) ?? false;
  }

  /** Recent reports of this gateway, to be shared with other gateways. */
  listOwnReports(now: Milliseconds): RequestReport[] {
    this.ownReports = this.ownReports.filter(({ at }) => now - at <= REPORT_SHARING_MS);
    return this.ownReports.map(({ report, at }) => ({
      ...report,
      ageMs: Math.round(now - at),
    }));
  }

  /** Quarantined requests, including those learned from other gateways. */
  listQuarantined(now: Milliseconds): QuarantineNotice[] {
    const notices: QuarantineNotice[] = [];
    for (const fingerprint of this.quarantined) {
      const quarantine = this.records.get(fingerprint)?.quarantine;
      const leftMs = this.remainingMs(fingerprint, now);
      if (quarantine === undefined || leftMs === undefined) continue;
      const ageMs = Math.round(now - quarantine.since);
      notices.push({ fingerprint, ageMs, leftMs: Math.round(leftMs) });
    }
    return notices.slice(-MAX_SHARED_QUARANTINES);
  }

  /** Whether the request has recorded failures or a quarantine. */
  private isSuspect(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    return record !== undefined && (record.failures.length > 0 || record.quarantine !== undefined);
  }

  private clearUntil(fingerprint: string, at: Milliseconds): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    record.answeredAt = Math.max(record.answeredAt, at);
    record.failures = record.failures.filter((failure) => failure.at > record.answeredAt);
    if (record.quarantine && record.quarantine.since <= record.answeredAt) {
      record.quarantine = undefined;
      this.quarantined.delete(fingerprint);
    }
  }

  private addFailure(fingerprint: string, failure: ServerFailure, now: Milliseconds): boolean {
    const record = this.getOrCreateRecord(fingerprint);
    if (failure.at <= record.answeredAt) return false;
    const recent = record.failures.filter(({ at }) => now - at < FAILURE_RETENTION_MS);
    record.failures = recent;
    const known = recent.find((other) => isSameFailure(other, failure));
    if (known) {
      known.isOwn ||= failure.isOwn;
      return false;
    }
    recent.push(failure);
    if (this.remainingMs(fingerprint, now) !== undefined) return false;
    const unattributed = recent.filter(
      (candidate) => !this.isAttributedToOther(fingerprint, candidate, recent.length),
    );
    if (unattributed.length < FAILURES_UNTIL_QUARANTINE) return false;
    this.startQuarantine(fingerprint, record, { since: now, until: now + QUARANTINE_MS });
    return true;
  }

  /**
   * Whether another quarantined request was involved in this failure and has at least `minCount`
   * failures. A request with more failures than that is the more likely cause, even if found later.
   */
  private isAttributedToOther(
    fingerprint: string,
    failure: ServerFailure,
    minCount: number,
  ): boolean {
    for (const otherFingerprint of this.quarantined) {
      const others =
        otherFingerprint === fingerprint
          ? []
          : (this.records.get(otherFingerprint)?.failures ?? []);
      if (others.length >= minCount && others.some((other) => isSameFailure(other, failure)))
        return true;
    }
    return false;
  }

  private startQuarantine(
    fingerprint: string,
    record: RequestRecord,
    quarantine: Quarantine,
  ): void {
    record.quarantine = quarantine;
    this.quarantined.add(fingerprint);
  }

  private getOrCreateRecord(fingerprint: string): RequestRecord {
    const existing = this.records.get(fingerprint);
    if (existing) return existing;
    if (this.records.size >= MAX_RECORDS) this.evictOldest();
    const created: RequestRecord = {
      failures: [],
      answeredAt: Number.NEGATIVE_INFINITY,
      quarantine: undefined,
    };
    this.records.set(fingerprint, created);
    return created;
  }

  private evictOldest(): void {
    for (const fingerprint of this.records.keys()) {
      if (this.quarantined.has(fingerprint)) continue;
      this.records.delete(fingerprint);
      return;
    }
    const [oldest] = this.quarantined;
    if (oldest === undefined) return;
    this.quarantined.delete(oldest);
    this.records.delete(oldest);
  }
}

function isSameFailure(first: ServerFailure, second: ServerFailure): boolean {
  return first.server === second.server && Math.abs(first.at - second.at) < SAME_FAILURE_WINDOW_MS;
}
