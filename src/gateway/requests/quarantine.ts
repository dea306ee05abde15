/**
 * Quarantines requests, and parts of prompts, that crash backend servers, and shares the evidence with
 * the other gateways.
 *
 * A broken connection alone is no evidence. The server is probed, and the requests that broke off
 * there count as suspects only if its process has ended. An answer that ended with its connection may
 * have been cut by the end of its server, so it counts neither as broken nor as complete before that.
 */
import { incarnationKey } from '../../controllers/groups/index.js';
import {
  collectReports,
  type Digest,
  type QuarantineNews,
} from '../../controllers/peering/index.js';
import {
  parseFingerprints,
  QuarantineTable,
  type QuarantineNotice,
} from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { GatewayContext } from '../types.js';
import { createExitChecks, type ExitCheck } from './exit-checks.js';

/** The part of a peer digest about requests that crash servers. */
export type QuarantineDigest = Pick<Digest, 'reports' | 'quarantined'>;

/** Fingerprints of one request: its own, then those of the parts of its prompt. */
export type RequestFingerprints = readonly string[];

/** Requests that are not sent to any backend server. */
export interface Quarantine {
  /** Time left in quarantine; undefined when requests with these fingerprints may be sent. */
  leftMs(fingerprints: RequestFingerprints): Milliseconds | undefined;
  /** Records that an attempt at this process of `server` broke off. */
  recordBroken(fingerprints: RequestFingerprints, server: BackendServer): void;
  /** Records a complete response that a server began at `begunAt`. */
  recordAnswered(fingerprints: RequestFingerprints, begunAt: Milliseconds): void;
  /** Records a response that ended with its connection, so that it may be incomplete. */
  recordClosed(
    fingerprints: RequestFingerprints,
    server: BackendServer,
    begunAt: Milliseconds,
  ): void;
  /** Records that no connection to the server could be opened. */
  recordUnreachable(server: BackendServer): void;
  /** Reports and quarantines to send to other gateways. */
  buildDigest(): QuarantineDigest;
  /** Merges the digest of another gateway; returns what of it was news. */
  mergeDigest(digest: Digest): QuarantineNews;
  /** Merges what the gateway `source` tells at once; returns what of it was news. */
  mergeNews(news: QuarantineNews, source: string): QuarantineNews;
  list(): QuarantineNotice[];
  /** Restores the quarantines from before a restart. */
  restore(quarantined: readonly QuarantineNotice[]): void;
  /**
   * Called when this gateway has a new report that the others should get immediately, with the
   * quarantines that began with it.
   */
  onReport(listener: (quarantined: readonly QuarantineNotice[]) => void): void;
  /** Called when a quarantine has begun for which this gateway has evidence of its own. */
  onQuarantine(listener: () => void): void;
  /** Called when a quarantine has ended early. */
  onRelease(listener: (fingerprint: string) => void): void;
}

/** A response that ended with its connection. */
interface ClosedResponse {
  fingerprints: RequestFingerprints;
  begunAt: Milliseconds;
  closedAt: Milliseconds;
}

/** Requests at one server process that a check is to decide on. */
interface UndecidedRequests {
  server: BackendServer;
  /** Those that broke off, by their own fingerprint. */
  broken: Map<string, RequestFingerprints>;
  closed: ClosedResponse[];
}

/** A server that has ended is noticed within this time after its connections have closed. */
const CLOSED_RETENTION_MS: Milliseconds = 3_000;
const MAX_LOGGED_FINGERPRINTS = 20;

type QuarantineContext = Pick<GatewayContext, 'board' | 'clock' | 'logger' | 'metrics'>;

export function createQuarantine(
  { board, clock, logger, metrics }: QuarantineContext,
  calls: Pick<EngineCalls, 'probe'>,
): Quarantine {
  const releaseListeners: ((fingerprint: string) => void)[] = [];
  const table = new QuarantineTable((fingerprint, remaining) => {
    logger.log('quarantineReleased', { fingerprint, ...(remaining && { remaining }) });
    for (const listener of releaseListeners) listener(fingerprint);
  });
  const undecided = new Map<string, UndecidedRequests>();
  const reportListeners: ((quarantined: readonly QuarantineNotice[]) => void)[] = [];
  const quarantineListeners: (() => void)[] = [];

  const logQuarantined = (fingerprint: string, source: string): void => {
    metrics.quarantined.inc();
    const leftMs = Math.round(table.remainingMs(parseFingerprints(fingerprint), clock.now()) ?? 0);
    logger.log('requestQuarantined', { fingerprint, source, leftMs });
  };
  const recordServerExit = (
    server: string,
    requests: readonly RequestFingerprints[],
    at: Milliseconds,
  ): void => {
    const fingerprints = [...new Set(requests.flat())].slice(0, MAX_LOGGED_FINGERPRINTS).join();
    logger.log('serverEndedUnderRequests', { server, requests: requests.length, fingerprints });
    const started = table.recordOwnFailure(server, requests, at, clock.now());
    for (const quarantine of started) logQuarantined(quarantine, 'own evidence');
    const notices = table.listAmong(started, clock.now());
    for (const listener of reportListeners) listener(notices);
    if (started.length > 0) for (const listener of quarantineListeners) listener();
  };
  const recordAnswered = (fingerprints: RequestFingerprints, begunAt: Milliseconds): void => {
    table.recordOwnAnswer(fingerprints, begunAt, clock.now());
  };
  const decide = (server: BackendServer, { result, startedAt, probedAt }: ExitCheck): void => {
    const requests = undecided.get(incarnationKey(server));
    if (requests === undefined) return;
    const { broken, closed } = requests;
    switch (result) {
      case 'ended': {
        const suspects = [...broken.values(), ...closed.map(({ fingerprints }) => fingerprints)];
        recordServerExit(server.id, suspects, startedAt);
        break;
      }
      case 'alive':
        for (const { fingerprints, begunAt, closedAt } of closed) {
          if (closedAt <= probedAt) recordAnswered(fingerprints, begunAt);
        }
        break;
      case 'unconfirmed':
      case 'checking':
        break;
    }
    undecided.delete(incarnationKey(server));
  };
  const checks = createExitChecks(clock, calls, decide);
  const getUndecided = (server: BackendServer): UndecidedRequests => {
    pruneClosed(clock.now());
    const processKey = incarnationKey(server);
    const existing = undecided.get(processKey);
    if (existing) return existing;
    const created: UndecidedRequests = { server, broken: new Map(), closed: [] };
    undecided.set(processKey, created);
    return created;
  };
  const pruneClosed = (now: Milliseconds): void => {
    const isOld = (response?: ClosedResponse): boolean =>
      response !== undefined && now - response.closedAt >= CLOSED_RETENTION_MS;
    for (const [processKey, { broken, closed }] of undecided) {
      while (isOld(closed[0])) closed.shift();
      if (broken.size + closed.length === 0) undecided.delete(processKey);
    }
  };
  // Responses that ended with their connections may be the only ones that an ended process leaves.
  board.fleet.subscribe(() => {
    if (undecided.size === 0) return;
    pruneClosed(clock.now());
    const { servers } = board.fleet.read();
    for (const { server } of [...undecided.values()]) {
      const listed = servers.get(server.id);
      if (listed === undefined || incarnationKey(listed) !== incarnationKey(server))
        checks.check(server);
    }
  });
  /**
   * Gateways with evidence of their own store the quarantine, whoever has completed it: that keeps
   * the number of writes small in large fleets.
   */
  const handleQuarantined = (quarantine: string, source: string): void => {
    logQuarantined(quarantine, source);
    if (table.hasOwnEvidence(quarantine)) for (const listener of quarantineListeners) listener();
  };
  const mergeNews = ({ reports, quarantined }: QuarantineNews, source: string): QuarantineNews => {
    const now = clock.now();
    const { started, fresh } = table.applyNews(reports, quarantined, now);
    for (const quarantine of started) handleQuarantined(quarantine, source);
    return { reports: fresh, quarantined: table.listAmong(started, now) };
  };
  return {
    leftMs: (fingerprints) => {
      const now = clock.now();
      for (const quarantine of table.review(now)) handleQuarantined(quarantine, 'own evidence');
      return table.remainingMs(fingerprints, now);
    },
    recordBroken: (fingerprints, server) => {
      const check = checks.check(server);
      switch (check.result) {
        case 'checking':
          getUndecided(server).broken.set(fingerprints[0] ?? '', fingerprints);
          break;
        case 'ended':
          recordServerExit(server.id, [fingerprints], check.startedAt);
          break;
        case 'alive':
        case 'unconfirmed':
          break;
      }
    },
    recordAnswered,
    recordClosed: (fingerprints, server, begunAt) => {
      getUndecided(server).closed.push({ fingerprints, begunAt, closedAt: clock.now() });
      if (table.isSuspect(fingerprints)) checks.check(server);
    },
    recordUnreachable: (server) => {
      if (undecided.has(incarnationKey(server))) checks.check(server);
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
      const { quarantined = [] } = digest;
      return mergeNews({ reports: collectReports(digest), quarantined }, digest.name);
    },
    mergeNews,
    list: () => table.listQuarantined(clock.now()),
    restore: (quarantined) => {
      mergeNews({ reports: [], quarantined: [...quarantined] }, 'store');
    },
    onReport: (listener) => {
      reportListeners.push(listener);
    },
    onQuarantine: (listener) => {
      quarantineListeners.push(listener);
    },
    onRelease: (listener) => {
      releaseListeners.push(listener);
    },
  };
}
