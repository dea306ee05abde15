/**
 * Learns which backend servers are slower than the usual ones of their service and model.
 *
 * Each gateway reports only what it has observed itself, and keeps the latest reports of each source
 * apart, so that no observation is counted twice. A server without observations counts as usual.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  addEvidence,
  CLEAR_SLOWNESS,
  countAt,
  estimateSlowness,
  forgetIfContradicted,
  isClearlySlow,
  mergeEvidence,
  noEvidence,
  PRIOR_COUNT,
  type Evidence,
} from './evidence.js';
import {
  ageWeight,
  boundReport,
  boundSlowness,
  limitReports,
  roundReported,
  type SpeedReport,
} from './speed-reports.js';
import type { TargetSpeed } from './target-speed.js';

/** What was timed. Each kind is compared with the usual ratio of its own. */
export type SpeedKind = 'firstEvent' | 'eventGaps' | 'plainAnswer';

/** One timed answer, or part of one. */
export interface SpeedObservation {
  server: string;
  /** Service and model; servers are compared within it. */
  group: string;
  kind: SpeedKind;
  /** Actual over expected time. */
  ratio: number;
  /** Known requests in flight as a fraction of the slots. */
  use: number;
}

/** A server that begins or ceases to count as slow. */
export interface SpeedChange {
  server: string;
  slowness: number;
  isSlow: boolean;
}

/** Age up to which usual answers contradict the reports of others, whose server may have just changed. */
const CONTRADICTION_MS: Milliseconds = 400;
/** From this slowness on, a server counts as slow, until it is below {@link CLEAR_SLOWNESS}. */
const SLOW_SLOWNESS = 2;
/** Least count that is worth reporting. */
const MIN_REPORTED_COUNT = 0.5;
/** Use of the slots from which observations count as made near the full count. */
const NEAR_FULL_USE = 0.75;
/** Servers of which the usual ratio of a service is known. */
const MIN_COMPARED = 3;
const MIN_COMPARED_PLAIN = 2;
/** How long a ratio helps to tell the usual one. */
const RATIO_LIFE_MS: Milliseconds = 20_000;
/** Interval at which the usual ratio of a group is computed anew. */
const USUAL_INTERVAL_MS: Milliseconds = 500;
/** Weight of the latest ratio of a server. */
const RATIO_WEIGHT = 0.3;
/** A server that has just started gets more and more of its usual requests for this long. */
const RAMP_MS: Milliseconds = 3_000;
/** Slowness that is assumed of a server right after its start. */
const START_SLOWNESS = 4;
/** Reports of a source that was not heard for this long are dropped. */
const SOURCE_TIMEOUT_MS: Milliseconds = 6_000;
/** Weight of the latest request for the time that a group has to spare. */
const HEADROOM_WEIGHT = 0.05;
/** Most servers of which observations are kept. */
const MAX_SERVERS = 4_096;

interface OwnEvidence {
  usual: Evidence;
  nearFull: Evidence;
}

interface GroupRatios {
  byServer: Map<string, { logRatio: number; at: Milliseconds }>;
  usualLog: number | undefined;
  computedAt: Milliseconds;
}

interface ReceivedReports {
  reports: readonly SpeedReport[];
  receivedAt: Milliseconds;
}

/** Speed of a server as of the last refresh. */
interface KnownSpeed {
  slowness: number;
  isSlow: boolean;
  isTooSlow: boolean;
  /** Part of the slots that can be used without slowing the server down. */
  slotShare: number;
}

/** Speeds of the servers that differ from the usual, as known to one gateway. Mutable, with a single owner. */
export class ServerSpeeds {
  private readonly own = new Map<string, OwnEvidence>();
  private readonly ratios = new Map<string, GroupRatios>();
  private readonly received = new Map<string, ReceivedReports>();
  private readonly headrooms = new Map<string, number>();
  private readonly startedAt = new Map<string, Milliseconds>();
  private hasNews = false;
  private known: ReadonlyMap<string, KnownSpeed> = new Map();

  /** Records a timed answer. Invalid ratios are ignored. */
  record(observation: SpeedObservation, now: Milliseconds): void {
    const { server, group, kind, use } = observation;
    const ratio = boundSlowness(observation.ratio);
    if (ratio === undefined || Number.isNaN(use)) return;
    const logRatio = Math.log(ratio);
    const usualLog = this.recordRatio(`${kind} ${group}`, kind, server, logRatio, now);
    if (usualLog === undefined) return;
    const relative = boundSlowness(Math.exp(logRatio - usualLog)) ?? 1;
    const evidence = this.own.get(server) ?? this.createOwn(server, now);
    const part = use >= NEAR_FULL_USE ? evidence.nearFull : evidence.usual;
    const seemedSlow = isClearlySlow(part);
    forgetIfContradicted(part, relative);
    addEvidence(part, 1, relative, now);
    if (!seemedSlow && isClearlySlow(part) && !this.known.has(server)) this.hasNews = true;
  }

  /** Records by what factor the time that a request is allowed exceeds the expected one. */
  recordHeadroom(group: string, factor: number): void {
    const bounded = boundSlowness(factor);
    if (bounded === undefined) return;
    const before = this.headrooms.get(group) ?? bounded;
    this.headrooms.set(group, before + HEADROOM_WEIGHT * (bounded - before));
  }

  /** Records that a new process of the server has begun to be listed. */
  recordStart(server: string, now: Milliseconds): void {
    this.forget(server);
    this.startedAt.set(server, now);
  }

  /** Replaces the reports of `source`, which never contain observations of this gateway. */
  adopt(source: string, reports: readonly SpeedReport[], now: Milliseconds): void {
    const bounded = reports.flatMap((report) => boundReport(report) ?? []);
    if (bounded.length === 0) this.received.delete(source);
    else this.received.set(source, { reports: bounded, receivedAt: now });
  }

  /** Discards what is known of a server that is gone or has restarted. */
  forget(server: string): void {
    this.own.delete(server);
    this.startedAt.delete(server);
    for (const { byServer } of this.ratios.values()) byServer.delete(server);
    for (const [source, { reports, receivedAt }] of this.received) {
      const others = reports.filter((report) => report.server !== server);
      this.received.set(source, { reports: others, receivedAt });
    }
  }

  /** Whether there is anything to refresh. */
  get isEmpty(): boolean {
    return (
      this.own.size === 0 &&
      this.received.size === 0 &&
      this.startedAt.size === 0 &&
      this.known.size === 0
    );
  }

  /**
   * Computes the speeds of all servers anew; `groups` lists the targets of each group. Returns the servers
   * that begin or cease to count as slow.
   */
  refresh(groups: ReadonlyMap<string, readonly string[]>, now: Milliseconds): SpeedChange[] {
    this.expire(now);
    const evidence = this.sumEvidence(now);
    const known = new Map<string, KnownSpeed>();
    const changes: SpeedChange[] = [];
    for (const [group, servers] of groups) {
      const observed = servers.filter((server) => evidence.has(server));
      if (observed.length === 0) continue;
      const usual = medianSlowness(observed, servers.length, evidence);
      const headroom = this.headrooms.get(group) ?? Infinity;
      for (const server of observed) {
        const own = evidence.get(server);
        if (own === undefined) continue;
        const wasSlow = this.known.get(server)?.isSlow ?? false;
        const speed = describeSpeed(own, usual, headroom, wasSlow);
        if (speed.isSlow !== wasSlow)
          changes.push({ server, slowness: speed.slowness, isSlow: speed.isSlow });
        if (speed.slowness >= CLEAR_SLOWNESS || speed.slotShare < 1) known.set(server, speed);
      }
    }
    for (const [server, { isSlow }] of this.known) {
      const isReported = changes.some((change) => change.server === server);
      if (isSlow && !known.has(server) && !isReported)
        changes.push({ server, slowness: 1, isSlow: false });
    }
    this.known = known;
    return changes;
  }

  /** Speed of a target; undefined while it counts as usual. */
  speedOf(server: string, now: Milliseconds): TargetSpeed | undefined {
    const known = this.known.get(server);
    const startedAt = this.startedAt.get(server);
    const ramp = startedAt === undefined ? 1 : rampSlowness(now - startedAt);
    const slowness = Math.max(ramp, known?.slowness ?? 1);
    if (slowness <= 1 || (slowness < CLEAR_SLOWNESS && ramp <= 1)) return undefined;
    return { slowness, isTooSlow: known?.isTooSlow ?? false };
  }

  /** The part of `slots` that the server can use without slowing down; at least one slot. */
  usableSlots(server: string, slots: number): number {
    const share = this.known.get(server)?.slotShare ?? 1;
    return share < 1 ? Math.max(1, Math.floor(slots * share)) : slots;
  }

  countSlow(): number {
    return [...this.known.values()].filter(({ isSlow }) => isSlow).length;
  }

  /** Number of observations of the server by all gateways, weighted by age. */
  countEvidence(server: string, now: Milliseconds): number {
    const evidence = this.sumEvidence(now).get(server);
    return evidence ? evidence.usual.count + evidence.nearFull.count : 0;
  }

  /**
   * This gateway's own observations of servers that differ clearly, and of those that others report:
   * otherwise only the gateways that happened to see slow answers would be heard.
   */
  report(now: Milliseconds): SpeedReport[] {
    const reported = new Set(
      [...this.received.values()].flatMap(({ reports }) => reports.map(({ server }) => server)),
    );
    const reports = [...this.own].flatMap(([server, { usual, nearFull }]) => {
      const isDoubted = reported.has(server) || this.known.has(server);
      const isWorth = (evidence: Evidence): boolean => {
        const count = countAt(evidence, now);
        if (count < MIN_REPORTED_COUNT) return false;
        const isRecent = now - evidence.at <= CONTRADICTION_MS;
        return isClearlySlow(evidence) || (isDoubted && isRecent);
      };
      const toReport = (evidence: Evidence): SpeedReport => ({
        server,
        slowness: roundReported(Math.exp(evidence.logSum / evidence.count)),
        count: roundReported(countAt(evidence, now)),
        ageMs: 0,
      });
      return [
        ...(isWorth(usual) ? [toReport(usual)] : []),
        ...(isWorth(nearFull) ? [{ ...toReport(nearFull), nearFull: true as const }] : []),
      ];
    });
    return limitReports(reports);
  }

  /** Whether a server has begun to seem slow to this gateway that was not known as slow; resets it. */
  takeNews(): boolean {
    const { hasNews } = this;
    this.hasNews = false;
    return hasNews;
  }

  private createOwn(server: string, now: Milliseconds): OwnEvidence {
    const oldest = this.own.size >= MAX_SERVERS ? this.own.keys().next().value : undefined;
    if (oldest !== undefined) this.own.delete(oldest);
    const created = { usual: noEvidence(now), nearFull: noEvidence(now) };
    this.own.set(server, created);
    return created;
  }

  /** Records a ratio and returns the logarithm of the usual one, if it is known. */
  private recordRatio(
    key: string,
    kind: SpeedKind,
    server: string,
    logRatio: number,
    now: Milliseconds,
  ): number | undefined {
    const ratios = this.ratios.get(key) ?? {
      byServer: new Map<string, { logRatio: number; at: Milliseconds }>(),
      usualLog: undefined,
      computedAt: Number.NEGATIVE_INFINITY,
    };
    this.ratios.set(key, ratios);
    const before = ratios.byServer.get(server)?.logRatio ?? logRatio;
    ratios.byServer.set(server, { logRatio: before + RATIO_WEIGHT * (logRatio - before), at: now });
    if (now - ratios.computedAt >= USUAL_INTERVAL_MS) {
      for (const [id, { at }] of ratios.byServer)
        if (now - at > RATIO_LIFE_MS) ratios.byServer.delete(id);
      ratios.usualLog = usualLogOf(kind, ratios.byServer);
      ratios.computedAt = now;
    }
    return ratios.usualLog;
  }

  private expire(now: Milliseconds): void {
    for (const [source, { receivedAt }] of this.received)
      if (now - receivedAt > SOURCE_TIMEOUT_MS) this.received.delete(source);
    for (const [server, at] of this.startedAt)
      if (now - at > RAMP_MS) this.startedAt.delete(server);
    for (const [server, { usual, nearFull }] of this.own) {
      const count = countAt(usual, now) + countAt(nearFull, now);
      if (count < MIN_REPORTED_COUNT / 2) this.own.delete(server);
    }
  }

  /** The observations of this gateway and all others, by server. */
  private sumEvidence(now: Milliseconds): Map<string, OwnEvidence> {
    const sums = new Map<string, OwnEvidence>();
    const sumOf = (server: string): OwnEvidence => {
      const known = sums.get(server);
      if (known) return known;
      const created = { usual: noEvidence(now), nearFull: noEvidence(now) };
      sums.set(server, created);
      return created;
    };
    for (const [server, { usual, nearFull }] of this.own) {
      mergeEvidence(sumOf(server).usual, usual, now);
      mergeEvidence(sumOf(server).nearFull, nearFull, now);
    }
    for (const { reports, receivedAt } of this.received.values()) {
      for (const { server, slowness, count, ageMs, nearFull } of reports) {
        const sum = sumOf(server);
        const weight = count * ageWeight(ageMs + now - receivedAt);
        addEvidence(nearFull ? sum.nearFull : sum.usual, weight, slowness, now);
      }
    }
    return sums;
  }
}

/** Median slowness of the targets of a group; those without observations count as usual. */
function medianSlowness(
  observed: readonly string[],
  all: number,
  evidence: ReadonlyMap<string, OwnEvidence>,
): number {
  const estimates = observed.map((server) => {
    const own = evidence.get(server);
    return own ? estimateSlowness(own.usual, own.nearFull) : 1;
  });
  const unobserved = Array.from({ length: all - observed.length }, () => 1);
  return lowerMedian([...estimates, ...unobserved]) ?? 1;
}

function describeSpeed(
  { usual, nearFull }: OwnEvidence,
  groupUsual: number,
  headroom: number,
  wasSlow: boolean,
): KnownSpeed {
  const base = Math.max(1, groupUsual);
  const atLowUse = Math.max(1, estimateSlowness(usual) / base);
  const atHighUse = Math.max(1, estimateSlowness(nearFull) / base);
  // Slow near the full count only. A server that has just become slow fills up, so what was observed with
  // fewer requests counts only while it is recent.
  const isProven = usual.count >= Math.max(PRIOR_COUNT, nearFull.count);
  const slowsDown = isProven && atHighUse >= SLOW_SLOWNESS && atLowUse < CLEAR_SLOWNESS;
  const slowness = slowsDown ? atLowUse : Math.max(1, estimateSlowness(usual, nearFull) / base);
  const isSlow = slowness >= (wasSlow ? CLEAR_SLOWNESS : SLOW_SLOWNESS);
  const isTooSlow = isSlow && slowness > Math.max(CLEAR_SLOWNESS, headroom);
  return { slowness, isSlow, isTooSlow, slotShare: slowsDown ? NEAR_FULL_USE : 1 };
}

function usualLogOf(
  kind: SpeedKind,
  byServer: ReadonlyMap<string, { logRatio: number }>,
): number | undefined {
  const isPlain = kind === 'plainAnswer';
  if (byServer.size < (isPlain ? MIN_COMPARED_PLAIN : MIN_COMPARED)) return isPlain ? undefined : 0;
  return lowerMedian([...byServer.values()].map(({ logRatio }) => logRatio));
}

/** The median, or the lower one of the middle two. */
function lowerMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1];
}

function rampSlowness(sinceMs: Milliseconds): number {
  const left = 1 - Math.min(1, Math.max(0, sinceMs) / RAMP_MS);
  return 1 + (START_SLOWNESS - 1) * left;
}
