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
import { findCulprit, isExplained, wasAnsweredBefore } from './culprits.js';
import { Evidence } from './evidence.js';
import { covers, QuarantineList, type Quarantine } from './quarantine-list.js';
import {
  fingerprintsOf,
  isPartFingerprint,
  parseFingerprints,
  type QuarantineNotice,
  type RequestReport,
} from './types.js';

/** Limits what another gateway may ask for. */
const MAX_QUARANTINE_MS: Milliseconds = 600_000;
/** How long own reports are shared; covers several exchanges at the longest interval. */
const REPORT_SHARING_MS: Milliseconds = 3_000;
const MAX_SHARED_REPORTS = 200;
/** A part that was answered is not reported again within this time. */
const ANSWER_SHARING_INTERVAL_MS: Milliseconds = 1_000;

interface OwnReport {
  report: RequestReport;
  at: Milliseconds;
}

/** The suspect and quarantined fingerprints known to one gateway. */
export class QuarantineTable {
  private readonly quarantines = new QuarantineList();
  private readonly evidence = new Evidence((fingerprint) => this.quarantines.isHeld(fingerprint));
  private ownReports: OwnReport[] = [];

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
    const reports = requests.map(([fingerprint = '', ...parts]): RequestReport => {
      return {
        kind: 'serverEnded',
        fingerprint,
        ...(parts.length > 0 && { parts }),
        server,
        ageMs,
      };
    });
    const parts = new Set(requests.flat().filter(isPartFingerprint));
    this.share([...this.reportSoundParts(parts, at, now), ...reports], now);
    return this.applyReports(reports, now, true);
  }

  /** Records an answer that began at `at` to a request of this gateway. */
  recordOwnAnswer(fingerprints: readonly string[], at: Milliseconds, now: Milliseconds): void {
    const [fingerprint = '', ...parts] = fingerprints;
    const isCleared = this.applyAnswer(fingerprints, at, now);
    // Answers to requests that aren't suspect need not be shared.
    if (!isCleared) return;
    const report: RequestReport = { kind: 'answered', fingerprint, ageMs: now - at };
    this.share([{ ...report, ...(parts.length > 0 && { parts }) }], now);
  }

  /** Applies reports of any gateway; returns the quarantines that they start. */
  applyReports(reports: readonly RequestReport[], now: Milliseconds, isOwn = false): string[] {
    const suspects = new Set<string>();
    for (const report of reports) {
      const fingerprints = fingerprintsOf(report);
      const at = now - report.ageMs;
      switch (report.kind) {
        case 'answered':
          this.applyAnswer(fingerprints, at, now);
          break;
        case 'serverEnded':
          for (const fingerprint of this.evidence.addFailure(
            fingerprints,
            { server: report.server, at, isOwn },
            now,
          ))
            suspects.add(fingerprint);
          break;
      }
    }
    return this.quarantineCulprits(suspects, now);
  }

  /** Applies a quarantine of another gateway; returns whether it holds requests that weren't held. */
  applyNotice({ fingerprint, ageMs, leftMs }: QuarantineNotice, now: Milliseconds): boolean {
    const fingerprints = parseFingerprints(fingerprint);
    const since = now - ageMs;
    if (this.remainingMs(fingerprints, now) !== undefined || leftMs <= 0) return false;
    if (this.quarantines.wasReleasedAfter(fingerprints, since)) return false;
    if (fingerprints.some((each) => this.evidence.answeredAt(each) >= since)) return false;
    this.quarantines.start(fingerprints, since, now + Math.min(leftMs, MAX_QUARANTINE_MS));
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

  private share(reports: readonly RequestReport[], now: Milliseconds): void {
    const added = reports.map((report) => ({ report, at: now }));
    this.ownReports = [...this.ownReports, ...added].slice(-MAX_SHARED_REPORTS);
  }

  /** Tells other gateways, which may not have answered these parts, that they are not new. */
  private reportSoundParts(
    parts: Iterable<string>,
    failedAt: Milliseconds,
    now: Milliseconds,
  ): RequestReport[] {
    return [...parts]
      .filter((part) => wasAnsweredBefore(this.evidence, part, failedAt))
      .filter(
        (part) =>
          !this.ownReports.some(
            ({ report, at }) =>
              report.kind === 'answered' &&
              fingerprintsOf(report).includes(part) &&
              now - at < ANSWER_SHARING_INTERVAL_MS,
          ),
      )
      .map((fingerprint) => ({
        kind: 'answered',
        fingerprint,
        ageMs: now - this.evidence.answeredAt(fingerprint),
      }));
  }

  /** Returns whether the answer clears anything. */
  private applyAnswer(
    fingerprints: readonly string[],
    at: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const cleared = this.evidence.addAnswer(fingerprints, at);
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
    if (others.length > 0) this.quarantines.start(others, since, until);
  }

  private quarantineCulprits(suspects: ReadonlySet<string>, now: Milliseconds): string[] {
    const candidates = new Set(suspects);
    const started: string[] = [];
    while (candidates.size > 0) {
      const culprit = findCulprit(this.evidence, candidates, this.quarantines.all, (each) =>
        this.quarantines.isHeld(each),
      );
      if (culprit === undefined) break;
      const { fingerprints, forMs } = culprit;
      for (const fingerprint of fingerprints) candidates.delete(fingerprint);
      if (this.remainingMs(fingerprints, now) !== undefined) continue;
      started.push(this.quarantines.start(fingerprints, now, now + forMs));
      this.releaseExplained(fingerprints, now);
    }
    return started;
  }

  /** Ends quarantines whose failures are explained by that of `fingerprints`, which was found later. */
  private releaseExplained(fingerprints: readonly string[], now: Milliseconds): void {
    const found = [{ fingerprints }];
    for (const quarantine of this.quarantines.all) {
      if (covers({ fingerprints }, quarantine.fingerprints)) continue;
      if (quarantine.fingerprints.every((each) => isExplained(this.evidence, each, found)))
        this.quarantines.release(quarantine, now);
    }
  }
}
