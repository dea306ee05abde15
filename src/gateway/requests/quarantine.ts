/**
 * Keeps requests that end backend servers from being sent, together with the other gateways.
 *
 * A sending that breaks off is no evidence by itself: connections break for many reasons. The server is
 * asked, and only when nothing of that life answers, its end is held against what it had.
 */
import { lifeKey } from '../../controllers/groups/index.js';
import { collectReports, type Digest } from '../../controllers/peering/index.js';
import {
  QuarantineTable,
  type RequestReport,
  type ToldQuarantine,
} from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { EngineCalls } from '../backends/short-call.js';
import type { GatewayContext } from '../types.js';

/** The part of a digest that tells of requests under which servers end. */
export type QuarantineNews = Pick<Digest, 'reports' | 'quarantined'>;

/** Requests that are sent to no backend server. */
export interface Quarantine {
  /** For how long the request is kept from all servers; undefined when it may be sent. */
  leftMs(fingerprint: string): Milliseconds | undefined;
  /** A sending to this life of `server` broke off. */
  recordBroken(fingerprint: string, server: BackendServer): void;
  /** A server answered the request in full. */
  recordAnswered(fingerprint: string): void;
  /** What other gateways are to be told. */
  writeNews(): QuarantineNews;
  /** What another gateway told. */
  takeNews(digest: Digest): void;
  list(): ToldQuarantine[];
  /** Puts back what was in quarantine before a restart. */
  restore(quarantined: readonly ToldQuarantine[]): void;
  /** Called when something was seen here that the other gateways should know at once. */
  onReport(listener: () => void): void;
  /** Called when this gateway's own evidence has put a request into quarantine. */
  onQuarantine(listener: () => void): void;
}

/** Whether one life of a server has ended, and what broke off there meanwhile. */
interface EndCheck {
  startedAt: Milliseconds;
  verdict: 'checking' | 'ended' | 'unproved';
  waiting: Set<string>;
}

/** Sendings that break off at one server together are one question. */
const CHECK_VALID_MS: Milliseconds = 500;

export function createQuarantine(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  calls: Pick<EngineCalls, 'probe'>,
): Quarantine {
  const table = new QuarantineTable();
  const checks = new Map<string, EndCheck>();
  const reportListeners: (() => void)[] = [];
  const quarantineListeners: (() => void)[] = [];

  const noteQuarantined = (fingerprint: string, source: string): void => {
    metrics.quarantined.inc();
    const leftMs = Math.round(table.leftMs(fingerprint, clock.now()) ?? 0);
    logger.log('requestQuarantined', { fingerprint, source, leftMs });
  };
  const recordEnd = (server: string, fingerprints: Iterable<string>): void => {
    const now = clock.now();
    const found = [...fingerprints].filter((fingerprint) =>
      table.record({ kind: 'serverEnded', fingerprint, server, ageMs: 0 }, now),
    );
    for (const fingerprint of found) noteQuarantined(fingerprint, 'own evidence');
    for (const listener of reportListeners) listener();
    if (found.length > 0) for (const listener of quarantineListeners) listener();
  };
  const runCheck = async (server: BackendServer, check: EndCheck): Promise<void> => {
    const outcome = await calls.probe(server);
    check.verdict = outcome.kind === 'gone' ? 'ended' : 'unproved';
    if (check.verdict === 'ended') {
      const requests = check.waiting.size;
      logger.log('serverEndedUnderRequests', { server: server.id, requests });
      recordEnd(server.id, check.waiting);
    }
    check.waiting.clear();
  };
  const beginCheck = (server: BackendServer, life: string, now: Milliseconds): EndCheck => {
    const check: EndCheck = { startedAt: now, verdict: 'checking', waiting: new Set() };
    checks.set(life, check);
    void runCheck(server, check);
    return check;
  };
  const dropOldChecks = (now: Milliseconds): void => {
    for (const [life, { startedAt, verdict }] of checks) {
      if (verdict !== 'checking' && now - startedAt >= CHECK_VALID_MS) checks.delete(life);
    }
  };
  const takeReport = (report: RequestReport, peer: string): void => {
    if (table.learn(report, clock.now())) noteQuarantined(report.fingerprint, peer);
  };
  const takeQuarantined = (quarantined: readonly ToldQuarantine[], source: string): void => {
    for (const told of quarantined) {
      if (table.learnQuarantine(told, clock.now())) noteQuarantined(told.fingerprint, source);
    }
  };
  return {
    leftMs: (fingerprint) => table.leftMs(fingerprint, clock.now()),
    recordBroken: (fingerprint, server) => {
      const now = clock.now();
      dropOldChecks(now);
      const life = lifeKey(server);
      const check = checks.get(life) ?? beginCheck(server, life, now);
      switch (check.verdict) {
        case 'checking':
          check.waiting.add(fingerprint);
          break;
        case 'ended':
          recordEnd(server.id, [fingerprint]);
          break;
        case 'unproved':
          break;
      }
    },
    recordAnswered: (fingerprint) => {
      table.record({ kind: 'answered', fingerprint, ageMs: 0 }, clock.now());
    },
    writeNews: () => {
      const now = clock.now();
      const reports = table.listOwnReports(now);
      const quarantined = table.listQuarantined(now);
      return {
        ...(reports.length > 0 && { reports }),
        ...(quarantined.length > 0 && { quarantined }),
      };
    },
    takeNews: (digest) => {
      for (const report of collectReports(digest)) takeReport(report, digest.name);
      takeQuarantined(digest.quarantined ?? [], digest.name);
    },
    list: () => table.listQuarantined(clock.now()),
    restore: (quarantined) => {
      takeQuarantined(quarantined, 'store');
    },
    onReport: (listener) => {
      reportListeners.push(listener);
    },
    onQuarantine: (listener) => {
      quarantineListeners.push(listener);
    },
  };
}
