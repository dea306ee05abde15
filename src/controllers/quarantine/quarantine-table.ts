/**
 * Tracks requests, and parts of their prompts, during which backend servers fail, and quarantines those
 * that cause it repeatedly.
 *
 * A request that makes every backend server fail could otherwise take down one after another, because
 * its caller retries at any gateway; so could different requests that have the cause in common. Both are
 * identified by fingerprints, and gateways share their reports.
 *
 * Other requests on the failed servers must not be quarantined too: an answer clears all of a request's
 * fingerprints, and a failure doesn't count against one if a quarantine explains it better.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  ANSWERED_WAIT_MS,
  FAILURES_OF_ANSWERED,
  findCulprit,
  isDominated,
  isExplained,
} from './culprits.js';
import { Evidence } from './evidence.js';
import { covers, QuarantineList, type Quarantine } from './quarantine-list.js';
import {
  fingerprintsOf,
  joinFingerprints,
  parseFingerprints,
  type QuarantineNotice,
  type RequestReport,
} from './types.js';

/** Limits what another gateway may ask for. */
const MAX_QUARANTINE_MS: Milliseconds = 600_000;
/** How long own reports are shared; covers several exchanges at the longest interval. */
const REPORT_SHARING_MS: Milliseconds = 3_000;
const MAX_SHARED_REPORTS = 200;
const MAX_STARTED_AT_ONCE = 20;
/** Failures are reviewed for this long without further ones. */
const REVIEW_MS: Milliseconds = 5_000;
const REVIEW_INTERVAL_MS: Milliseconds = 250;

interface OwnReport {
  report: RequestReport;
  at: Milliseconds;
}

/** What reports and quarantines of other gateways have changed here. */
export interface ReportOutcome {
  /** Quarantines that have begun here. */
  started: string[];
  /** The reports that were news. */
  fresh: RequestReport[];
}

/** The suspect and quarantined fingerprints known to one gateway. */
export class QuarantineTable {
  private readonly quarantines = new QuarantineList();
  private readonly evidence = new Evidence((fingerprint) => this.quarantines.isHeld(fingerprint));
  private ownReports: OwnReport[] = [];
  /** When failures that have led to no quarantine may do so without another one. */
  private reviewAt: Milliseconds | undefined;

  /** `onRelease` is called with each quarantine that ends early, and with what of it remains held. */
  constructor(
    private readonly onRelease: (quarantine: string, remaining?: string) => void = () => undefined,
  ) {}

  /** Number of tracked fingerprints. */
  get size(): number {
    return this.evidence.size;
  }

  /** Records that a server failed while it ran these requests; returns what this quarantines. */
  recordOwnFailure(
    server: string,
    requests: readonly (readonly string[])[],
    at: Milliseconds,
    now: Milliseconds,
  ): string[] {
    const ageMs = now - at;
    const reports = requests.map((fingerprints): RequestReport => {
      const [fingerprint = '', ...parts] = fingerprints;
      const answered = fingerprints.filter((each) => this.evidence.hasAnsweredBefore(each, at));
      return {
        kind: 'serverEnded',
        fingerprint,
        ...(parts.length > 0 && { parts }),
        ...(answered.length > 0 && { answeredBefore: answered }),
        server,
        ageMs,
      };
    });
    this.share(reports, now);
    return this.applyReports(reports, now, true).started;
  }

  /** Records an answer that began at `at` to a request of this gateway. */
  recordOwnAnswer(fingerprints: readonly string[], at: Milliseconds, now: Milliseconds): void {
    const [fingerprint = '', ...parts] = fingerprints;
    // Answers to requests that aren't suspect need not be shared.
    if (!this.applyAnswer(fingerprints, at, now)) return;
    const report: RequestReport = { kind: 'answered', fingerprint, ageMs: now - at };
    this.share([{ ...report, ...(parts.length > 0 && { parts }) }], now);
  }

  /** Applies reports of any gateway. */
  applyReports(reports: readonly RequestReport[], now: Milliseconds, isOwn = false): ReportOutcome {
    const suspects = new Set<string>();
    const fresh = reports.filter((report) => this.applyReport(report, now, isOwn, suspects));
    const started = this.quarantineCulprits(suspects, now);
    if (suspects.size > 0)
      this.releaseExplained(
        reports.flatMap((report) => (report.kind === 'serverEnded' ? [report.server] : [])),
        now,
      );
    return { started, fresh };
  }

  /** Applies what another gateway tells: its reports, then its quarantines. */
  applyNews(
    reports: readonly RequestReport[],
    notices: readonly QuarantineNotice[],
    now: Milliseconds,
  ): ReportOutcome {
    const { started, fresh } = this.applyReports(reports, now);
    const adopted = notices.filter((notice) => this.applyNotice(notice, now));
    return { started: [...started, ...adopted.map(({ fingerprint }) => fingerprint)], fresh };
  }

  /** To be called often: returns quarantines that begin as nothing was answered for long enough. */
  review(now: Milliseconds): string[] {
    if (this.reviewAt === undefined || now < this.reviewAt) return [];
    const suspects = this.evidence.listFailed(FAILURES_OF_ANSWERED);
    const started = this.quarantineCulprits(suspects, now);
    const isWaiting = suspects.some(
      (each) => !this.quarantines.isHeld(each) && this.hasFailedSince(each, now - REVIEW_MS),
    );
    this.reviewAt = isWaiting ? now + REVIEW_INTERVAL_MS : undefined;
    return started;
  }

  /** Applies a quarantine of another gateway; returns whether it holds requests that weren't held. */
  applyNotice({ fingerprint, ageMs, leftMs }: QuarantineNotice, now: Milliseconds): boolean {
    const fingerprints = parseFingerprints(fingerprint);
    const since = now - ageMs;
    if (this.remainingMs(fingerprints, now) !== undefined || leftMs <= 0) return false;
    if (this.quarantines.wasReleasedAfter(fingerprints, since)) return false;
    if (fingerprints.some((each) => this.evidence.answeredAt(each) >= since)) return false;
    // What is sound here may have failed where no answer to it has been heard of.
    if (fingerprints.every((each) => this.evidence.answeredAt(each) >= since - ANSWERED_WAIT_MS))
      return false;
    // The other gateway may have heard of few of the failures.
    if (fingerprints.every((each) => isDominated(this.evidence, each))) return false;
    if (this.isExplainedByOthers(fingerprints, now)) return false;
    this.quarantines.start(fingerprints, since, now + Math.min(leftMs, MAX_QUARANTINE_MS));
    const failures = fingerprints.flatMap((each) => this.evidence.failuresOf(each));
    this.releaseExplained(
      failures.map(({ server }) => server),
      now,
    );
    return true;
  }

  /** Remaining time in quarantine of requests with these fingerprints; undefined if they may be sent. */
  remainingMs(fingerprints: readonly string[], now: Milliseconds): Milliseconds | undefined {
    return this.quarantines.remainingMs(fingerprints, now);
  }

  /** Whether anything is held against one of the fingerprints. */
  isSuspect(fingerprints: readonly string[]): boolean {
    return fingerprints.some(
      (each) => this.evidence.failuresOf(each).length > 0 || this.quarantines.isHeld(each),
    );
  }

  /** Whether this gateway has itself reported a failure that is held against the fingerprints. */
  hasOwnEvidence(quarantine: string): boolean {
    return parseFingerprints(quarantine).some((fingerprint) =>
      this.evidence.failuresOf(fingerprint).some(({ isOwn }) => isOwn),
    );
  }

  /** Recent reports of this gateway, to be shared with other gateways. */
  listOwnReports(now: Milliseconds): RequestReport[] {
    this.ownReports = this.ownReports.filter(({ at }) => now - at <= REPORT_SHARING_MS);
    return this.ownReports.map(({ report, at }) => ({
      ...report,
      ageMs: Math.round(report.ageMs + now - at),
    }));
  }

  /** Quarantines, including those learned from other gateways. */
  listQuarantined(now: Milliseconds): QuarantineNotice[] {
    return this.quarantines.listNotices(now);
  }

  /** Those of the given quarantines that are in force. */
  listAmong(quarantines: readonly string[], now: Milliseconds): QuarantineNotice[] {
    if (quarantines.length === 0) return [];
    return this.listQuarantined(now).filter(({ fingerprint }) => quarantines.includes(fingerprint));
  }

  private hasFailedSince(fingerprint: string, since: Milliseconds): boolean {
    return this.evidence.failuresOf(fingerprint).some(({ at }) => at >= since);
  }

  private share(reports: readonly RequestReport[], now: Milliseconds): void {
    const added = reports.map((report) => ({ report, at: now }));
    this.ownReports = [...this.ownReports, ...added].slice(-MAX_SHARED_REPORTS);
  }

  /** Adds the fingerprints that the report makes suspect to `suspects`; returns whether it is news. */
  private applyReport(
    report: RequestReport,
    now: Milliseconds,
    isOwn: boolean,
    suspects: Set<string>,
  ): boolean {
    const fingerprints = fingerprintsOf(report);
    const at = now - report.ageMs;
    switch (report.kind) {
      case 'answered':
        return this.applyAnswer(fingerprints, at, now);
      case 'serverEnded': {
        const failure = { server: report.server, at, isOwn };
        const involved = this.evidence.addFailure(fingerprints, failure, now);
        if (!isOwn)
          for (const each of report.answeredBefore ?? []) this.evidence.addSoundBefore(each, at);
        for (const fingerprint of involved) suspects.add(fingerprint);
        if (involved.length > 0) this.reviewAt ??= now + ANSWERED_WAIT_MS;
        return involved.length > 0;
      }
    }
  }

  /** Returns whether the answer clears anything. */
  private applyAnswer(
    fingerprints: readonly string[],
    at: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const cleared = this.evidence.addAnswer(fingerprints, at);
    if (!fingerprints.some((each) => this.quarantines.isHeld(each))) return cleared.length > 0;
    let isReleased = false;
    for (const quarantine of this.quarantines.all) {
      const sound = at >= quarantine.since ? fingerprints : cleared;
      if (!quarantine.fingerprints.some((each) => sound.includes(each))) continue;
      this.release(quarantine, sound, now);
      isReleased = true;
    }
    return cleared.length > 0 || isReleased;
  }

  /** Takes fingerprints that were answered out of a quarantine, which ends if none is left. */
  private release(
    { fingerprints, since, until }: Quarantine,
    sound: readonly string[],
    now: Milliseconds,
  ): void {
    this.quarantines.release({ fingerprints }, now);
    const others = fingerprints.filter((each) => !sound.includes(each));
    const remaining = others.length > 0 ? this.quarantines.start(others, since, until) : undefined;
    this.onRelease(joinFingerprints(fingerprints), remaining);
  }

  private quarantineCulprits(suspects: Iterable<string>, now: Milliseconds): string[] {
    const started: string[] = [];
    // Bounded, since a quarantine beyond the maximum number ends another one, which may be next.
    while (started.length < MAX_STARTED_AT_ONCE) {
      const culprit = findCulprit(this.evidence, suspects, this.quarantines, now);
      if (culprit === undefined) break;
      const { fingerprints, forMs } = culprit;
      started.push(this.quarantines.start(fingerprints, now, now + forMs));
    }
    return started;
  }

  /** Ends quarantines with failures of `servers` that others have turned out to explain. */
  private releaseExplained(servers: readonly string[], now: Milliseconds): void {
    const isConcerned = (fingerprint: string): boolean =>
      this.evidence.failuresOf(fingerprint).some(({ server }) => servers.includes(server));
    for (const quarantine of this.quarantines.all) {
      if (quarantine.until <= now || !quarantine.fingerprints.some(isConcerned)) continue;
      if (!this.isExplainedByOthers(quarantine.fingerprints, now)) continue;
      this.quarantines.release(quarantine, now);
      this.onRelease(joinFingerprints(quarantine.fingerprints));
    }
  }

  /** Whether quarantines that aren't wider than this one explain it. */
  private isExplainedByOthers(fingerprints: readonly string[], now: Milliseconds): boolean {
    const others = this.quarantines.all.filter(
      (other) => other.until > now && !covers(other, fingerprints),
    );
    return isExplained(this.evidence, fingerprints, others);
  }
}
