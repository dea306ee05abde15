/**
 * Requests under which backend servers end, and those of them that are sent to no more.
 *
 * Guards against a request that ends each backend server which runs it. Its caller comes back with new
 * attempts at any gateway; taken as new, each attempt ends more servers, and all that is under way
 * there breaks off. A request is known by its fingerprint, and gateways count together.
 *
 * Others that were at the same servers aren't to blame. What is answered after all is cleared, and an
 * end counts against no other request once one is in quarantine that was at this end and at as many.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestReport, ToldQuarantine } from './types.js';

/** Servers that end under a request before it is kept from the others. */
const ENDS_UNTIL_QUARANTINE = 3;
const QUARANTINE_MS: Milliseconds = 600_000;
/** Longer than a quarantine, so that one more end after it is enough for the next. */
const REMEMBER_ENDS_MS: Milliseconds = 1_200_000;
/** Reports of one server's end differ by the way of the news; it takes longer to end again. */
const SAME_END_MS: Milliseconds = 2_000;
/** Own reports are told for as long: several exchanges at the slowest pace. */
const TELL_REPORTS_MS: Milliseconds = 3_000;
const MOST_REPORTS_TOLD = 200;
const MOST_QUARANTINED_TOLD = 100;
/** Requests remembered; the oldest that isn't in quarantine makes room. */
const MOST_RECORDS = 5_000;

interface ServerEnd {
  server: string;
  at: Milliseconds;
}

interface Quarantine {
  since: Milliseconds;
  until: Milliseconds;
}

interface RequestRecord {
  ends: ServerEnd[];
  /** Ends before this count for nothing. */
  answeredAt: Milliseconds;
  quarantine: Quarantine | undefined;
}

interface OwnReport {
  report: RequestReport;
  at: Milliseconds;
}

/** Changed in place, owned by one shell. */
export class QuarantineTable {
  private readonly records = new Map<string, RequestRecord>();
  /** Fingerprints of the records with a quarantine, in force or lapsed. */
  private readonly quarantined = new Set<string>();
  private own: OwnReport[] = [];

  /** Requests that are remembered. */
  get size(): number {
    return this.records.size;
  }

  /** Something seen here; true when that quarantines the request. */
  record(report: RequestReport, now: Milliseconds): boolean {
    // Of a request that nothing is held against, each answer would be told to all.
    if (report.kind === 'answered' && !this.isHeld(report.fingerprint)) return false;
    const reports = [...this.own, { report, at: now - report.ageMs }];
    this.own = reports.slice(-MOST_REPORTS_TOLD);
    return this.learn(report, now);
  }

  /** Something that was seen, here or elsewhere; true when that quarantines the request. */
  learn(report: RequestReport, now: Milliseconds): boolean {
    const at = now - report.ageMs;
    switch (report.kind) {
      case 'answered':
        this.clear(report.fingerprint, at);
        return false;
      case 'serverEnded':
        return this.takeEnd(report.fingerprint, { server: report.server, at }, now);
    }
  }

  /** Another gateway keeps a request from all servers; true when that is news. */
  learnQuarantine({ fingerprint, ageMs, leftMs }: ToldQuarantine, now: Milliseconds): boolean {
    const since = now - ageMs;
    const record = this.records.get(fingerprint);
    if (record && record.answeredAt >= since) return false;
    if (this.leftMs(fingerprint, now) !== undefined || leftMs <= 0) return false;
    const until = now + Math.min(leftMs, QUARANTINE_MS);
    this.quarantine(fingerprint, this.open(fingerprint), { since, until });
    return true;
  }

  /** For how long the request is still kept from all servers; undefined when it may be sent. */
  leftMs(fingerprint: string, now: Milliseconds): Milliseconds | undefined {
    const until = this.records.get(fingerprint)?.quarantine?.until;
    return until !== undefined && until > now ? until - now : undefined;
  }

  /** What was seen here lately, to be told to other gateways. */
  listOwnReports(now: Milliseconds): RequestReport[] {
    this.own = this.own.filter(({ at }) => now - at <= TELL_REPORTS_MS);
    return this.own.map(({ report, at }) => ({ ...report, ageMs: Math.round(now - at) }));
  }

  /** All requests in quarantine, those that others told included. */
  listQuarantined(now: Milliseconds): ToldQuarantine[] {
    const told: ToldQuarantine[] = [];
    for (const fingerprint of this.quarantined) {
      const quarantine = this.records.get(fingerprint)?.quarantine;
      const leftMs = this.leftMs(fingerprint, now);
      if (quarantine === undefined || leftMs === undefined) continue;
      const ageMs = Math.round(now - quarantine.since);
      told.push({ fingerprint, ageMs, leftMs: Math.round(leftMs) });
    }
    return told.slice(-MOST_QUARANTINED_TOLD);
  }

  /** Whether anything is held against the request. */
  private isHeld(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    return record !== undefined && (record.ends.length > 0 || record.quarantine !== undefined);
  }

  private clear(fingerprint: string, at: Milliseconds): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    record.answeredAt = Math.max(record.answeredAt, at);
    record.ends = record.ends.filter((end) => end.at > record.answeredAt);
    if (record.quarantine && record.quarantine.since <= record.answeredAt) {
      record.quarantine = undefined;
      this.quarantined.delete(fingerprint);
    }
  }

  private takeEnd(fingerprint: string, end: ServerEnd, now: Milliseconds): boolean {
    const record = this.open(fingerprint);
    if (end.at <= record.answeredAt) return false;
    const recent = record.ends.filter(({ at }) => now - at < REMEMBER_ENDS_MS);
    record.ends = recent;
    if (recent.some((known) => isSameEnd(known, end))) return false;
    recent.push(end);
    if (this.leftMs(fingerprint, now) !== undefined) return false;
    const unexplained = recent.filter((one) => !this.isExplained(fingerprint, one, recent.length));
    if (unexplained.length < ENDS_UNTIL_QUARANTINE) return false;
    this.quarantine(fingerprint, record, { since: now, until: now + QUARANTINE_MS });
    return true;
  }

  /**
   * A request in quarantine was there, and at no fewer ends than the one in question. One that was at
   * more ends than all in quarantine is the better explanation, though they were found first.
   */
  private isExplained(fingerprint: string, end: ServerEnd, ends: number): boolean {
    for (const other of this.quarantined) {
      const known = other === fingerprint ? [] : (this.records.get(other)?.ends ?? []);
      if (known.length >= ends && known.some((one) => isSameEnd(one, end))) return true;
    }
    return false;
  }

  private quarantine(fingerprint: string, record: RequestRecord, quarantine: Quarantine): void {
    record.quarantine = quarantine;
    this.quarantined.add(fingerprint);
  }

  private open(fingerprint: string): RequestRecord {
    const known = this.records.get(fingerprint);
    if (known) return known;
    if (this.records.size >= MOST_RECORDS) this.makeRoom();
    const created: RequestRecord = {
      ends: [],
      answeredAt: Number.NEGATIVE_INFINITY,
      quarantine: undefined,
    };
    this.records.set(fingerprint, created);
    return created;
  }

  private makeRoom(): void {
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

function isSameEnd(one: ServerEnd, other: ServerEnd): boolean {
  return one.server === other.server && Math.abs(one.at - other.at) < SAME_END_MS;
}
