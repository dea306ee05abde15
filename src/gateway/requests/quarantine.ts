/**
 * Quarantines requests that crash backend servers, and shares the evidence with the other gateways.
 *
 * A broken connection alone is no evidence. The server is probed, and the requests that broke off
 * there count as suspects only if its process has ended.
 */
import { incarnationKey } from '../../controllers/groups/index.js';
import { collectReports, type Digest } from '../../controllers/peering/index.js';
import {
  QuarantineTable,
  type RequestReport,
  type QuarantineNotice,
} from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { GatewayContext } from '../types.js';

/** The part of a peer digest about requests that crash servers. */
export type QuarantineDigest = Pick<Digest, 'reports' | 'quarantined'>;

/** Requests that are not sent to any backend server. */
export interface Quarantine {
  /** Time left in quarantine; undefined when the request may be sent. */
  leftMs(fingerprint: string): Milliseconds | undefined;
  /** Records that an attempt at this process of `server` broke off. */
  recordBroken(fingerprint: string, server: BackendServer): void;
  /** Records that a server responded to the request completely. */
  recordAnswered(fingerprint: string): void;
  /** Reports and quarantined requests to send to other gateways. */
  buildDigest(): QuarantineDigest;
  /** Merges the digest of another gateway. */
  mergeDigest(digest: Digest): void;
  list(): QuarantineNotice[];
  /** Restores the requests that were in quarantine before a restart. */
  restore(quarantined: readonly QuarantineNotice[]): void;
  /** Called when this gateway has a new report that the others should get immediately. */
  onReport(listener: () => void): void;
  /** Called when a request has been quarantined of which this gateway has evidence of its own. */
  onQuarantine(listener: () => void): void;
}

/** A check whether a server process has ended. */
interface ExitCheck {
  startedAt: Milliseconds;
  result: 'checking' | 'ended' | 'unconfirmed';
  /** Fingerprints of requests that broke off at the server meanwhile. */
  pending: Set<string>;
}

/** Attempts that break off at one server within this time share one check. */
const EXIT_CHECK_VALID_MS: Milliseconds = 500;

export function createQuarantine(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  calls: Pick<EngineCalls, 'probe'>,
): Quarantine {
  const table = new QuarantineTable();
  const exitChecks = new Map<string, ExitCheck>();
  const reportListeners: (() => void)[] = [];
  const quarantineListeners: (() => void)[] = [];

  const logQuarantined = (fingerprint: string, source: string): void => {
    metrics.quarantined.inc();
    const leftMs = Math.round(table.remainingMs(fingerprint, clock.now()) ?? 0);
    logger.log('requestQuarantined', { fingerprint, source, leftMs });
  };
  const recordServerExit = (server: string, fingerprints: Iterable<string>): void => {
    const now = clock.now();
    const newlyQuarantined = [...fingerprints].filter((fingerprint) =>
      table.recordOwnReport({ kind: 'serverEnded', fingerprint, server, ageMs: 0 }, now),
    );
    for (const fingerprint of newlyQuarantined) logQuarantined(fingerprint, 'own evidence');
    for (const listener of reportListeners) listener();
    if (newlyQuarantined.length > 0) for (const listener of quarantineListeners) listener();
  };
  const runExitCheck = async (server: BackendServer, check: ExitCheck): Promise<void> => {
    const outcome = await calls.probe(server);
    check.result = outcome.kind === 'gone' ? 'ended' : 'unconfirmed';
    if (check.result === 'ended') {
      const requests = check.pending.size;
      logger.log('serverEndedUnderRequests', { server: server.id, requests });
      recordServerExit(server.id, check.pending);
    }
    check.pending.clear();
  };
  const startExitCheck = (
    server: BackendServer,
    processKey: string,
    now: Milliseconds,
  ): ExitCheck => {
    const check: ExitCheck = { startedAt: now, result: 'checking', pending: new Set() };
    exitChecks.set(processKey, check);
    void runExitCheck(server, check);
    return check;
  };
  const pruneExitChecks = (now: Milliseconds): void => {
    for (const [processKey, { startedAt, result }] of exitChecks) {
      if (result !== 'checking' && now - startedAt >= EXIT_CHECK_VALID_MS)
        exitChecks.delete(processKey);
    }
  };
  /**
   * Gateways with evidence of their own store the quarantine, whoever has completed it: that keeps
   * the number of writes small in large fleets.
   */
  const handleQuarantinedByPeer = (fingerprint: string, source: string): void => {
    logQuarantined(fingerprint, source);
    if (table.hasOwnEvidence(fingerprint)) for (const listener of quarantineListeners) listener();
  };
  const mergeReport = (report: RequestReport, peer: string): void => {
    if (table.applyReport(report, clock.now())) handleQuarantinedByPeer(report.fingerprint, peer);
  };
  const mergeQuarantined = (quarantined: readonly QuarantineNotice[], source: string): void => {
    for (const entry of quarantined) {
      if (table.applyNotice(entry, clock.now())) handleQuarantinedByPeer(entry.fingerprint, source);
    }
  };
  return {
    leftMs: (fingerprint) => table.remainingMs(fingerprint, clock.now()),
    recordBroken: (fingerprint, server) => {
      const now = clock.now();
      pruneExitChecks(now);
      const processKey = incarnationKey(server);
      const check = exitChecks.get(processKey) ?? startExitCheck(server, processKey, now);
      switch (check.result) {
        case 'checking':
          check.pending.add(fingerprint);
          break;
        case 'ended':
          recordServerExit(server.id, [fingerprint]);
          break;
        case 'unconfirmed':
          break;
      }
    },
    recordAnswered: (fingerprint) => {
      table.recordOwnReport({ kind: 'answered', fingerprint, ageMs: 0 }, clock.now());
    },
    buildDigest: () => {
      const now = clock.now();
      const reports = table.listOwnReports(now);
      const quarantined = table.listQuarantined(now);
      return {
        ...(reports.length > 0 && { reports }),
        ...(quarantined.length > 0 && { quarantined }),
      };
    },
    mergeDigest: (digest) => {
      for (const report of collectReports(digest)) mergeReport(report, digest.name);
      mergeQuarantined(digest.quarantined ?? [], digest.name);
    },
    list: () => table.listQuarantined(clock.now()),
    restore: (quarantined) => {
      mergeQuarantined(quarantined, 'store');
    },
    onReport: (listener) => {
      reportListeners.push(listener);
    },
    onQuarantine: (listener) => {
      quarantineListeners.push(listener);
    },
  };
}
