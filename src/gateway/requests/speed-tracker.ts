/**
 * Observes the speed of backend servers and shares what it finds.
 */
import type { ServingFleet, Target, TargetState } from '../../controllers/forwarding/index.js';
import type { SpeedSource } from '../../controllers/peering/index.js';
import {
  expectFirstEventMs,
  expectGapMs,
  LateTicks,
  ServerSpeeds,
  type SpeedKind,
  type SpeedReport,
} from '../../controllers/speed/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy, memoizeLatest } from '../../core/collections/index.js';
import type { ServingService } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';
import { AttemptTiming, type TimedStream } from './attempt-timing.js';
import type { AdmittedRequest } from './types.js';

/** What the tracker needs to know of an attempt. */
export interface TimedAttempt {
  server: string;
  sentAt: Milliseconds;
  /** Another gateway relays it, whose delays are not known here. */
  isRelayed: boolean;
}

/** This gateway's view of the speeds of backend servers. */
export interface SpeedTracker {
  /** Starts to time an attempt; undefined if its times can't be compared with usual ones. */
  time(
    request: AdmittedRequest,
    chosen: Pick<TargetState, 'inFlight' | 'target'>,
    attempt: TimedAttempt,
    isResumed: boolean,
  ): AttemptTiming | undefined;
  /** What the speed of a target changes in its state; empty while it counts as usual. */
  describe(target: Target, service: ServingService): Partial<Pick<TargetState, 'slots' | 'speed'>>;
  /** Adopts the reports of other gateways. */
  adopt(sources: readonly SpeedSource[]): void;
  /** This gateway's observations, for other gateways. */
  report(): SpeedReport[];
  /** Records the lateness of a regular timer, and when it is due next. */
  recordTick(lateMs: Milliseconds, dueAt: Milliseconds): void;
  /** Called when answers to this gateway show that a server has become slow. */
  onNews(listener: () => void): void;
}

const REFRESH_INTERVAL_MS: Milliseconds = 250;
/** Start times that are remembered of servers that are no longer listed. */
const MAX_REMEMBERED_STARTS = 10_000;

export function createSpeedTracker(
  context: Pick<GatewayContext, 'board' | 'clock' | 'logger' | 'metrics'>,
): SpeedTracker {
  const { board, clock, logger, metrics } = context;
  const speeds = new ServerSpeeds();
  const lateTicks = new LateTicks();
  const newsListeners: (() => void)[] = [];
  /** Start time of the last process of each server. */
  const starts = new Map<string, number | undefined>();
  /** When each process was first listed that has started since this gateway has. */
  const listedAt = new Map<string, Milliseconds>();
  const groupsOf = memoizeLatest(listGroups);
  let isFirstFleet = board.fleet.read().revision === 0;
  let refreshedAt = Number.NEGATIVE_INFINITY;
  let tickDueAt = Infinity;

  for (const { id, startedAt } of board.fleet.read().servers.values()) starts.set(id, startedAt);
  board.fleet.subscribe(() => {
    const { changed, servers } = board.fleet.read();
    for (const id of changed) {
      const server = servers.get(id);
      if (server === undefined) speeds.forget(id);
      else if (server.startedAt !== undefined && server.startedAt !== starts.get(id)) {
        starts.delete(id);
        starts.set(id, server.startedAt);
        if (!isFirstFleet) {
          listedAt.set(id, clock.now());
          speeds.recordStart(id, clock.now());
        }
      }
    }
    if (starts.size > MAX_REMEMBERED_STARTS)
      for (const id of [...starts.keys()].filter((known) => !servers.has(known))) {
        starts.delete(id);
        listedAt.delete(id);
      }
    isFirstFleet = false;
  });

  const observe = (
    { server, sentAt, isRelayed }: TimedAttempt,
    group: string,
    slots: number,
    kind: SpeedKind,
    ratio: number,
    since: Milliseconds,
    inFlight: number,
  ): void => {
    const now = clock.now();
    const isPrevious = sentAt < (listedAt.get(server) ?? Number.NEGATIVE_INFINITY);
    if (isRelayed || isPrevious) return;
    const isLate = lateTicks.wasLate(since, now - tickDueAt);
    metrics.timedAnswers.inc({ kind, outcome: isLate ? 'ignored' : 'compared' });
    if (isLate) return;
    speeds.record({ server, group, kind, ratio, use: inFlight / Math.max(1, slots) }, now);
  };
  const refresh = (now: Milliseconds): void => {
    refreshedAt = now;
    if (speeds.isEmpty) return;
    for (const { server, slowness, isSlow } of speeds.refresh(groupsOf(board.fleet.read()), now)) {
      const rounded = Math.round(slowness * 10) / 10;
      logger.log(isSlow ? 'serverSlow' : 'serverNoLongerSlow', { server, slowness: rounded });
    }
    metrics.slowServers.set(speeds.countSlow());
    if (speeds.takeNews()) for (const listener of newsListeners) listener();
  };
  return {
    time: (request, { inFlight, target }, attempt, isResumed) => {
      const { service, model, route, caller } = request;
      const profile = service.engine;
      const isStream = route.repeatability === 'stream';
      if ((profile !== undefined) !== isStream || (isStream && model === undefined))
        return undefined;
      const slots = profile?.slots ?? target.server.slots;
      const group = groupKey(service.name, model?.name);
      // A request that queues at the server is late by the load and not by the speed.
      const isQueued = inFlight >= slots;
      if (profile === undefined && isQueued) return undefined;
      let stream: TimedStream | undefined;
      if (profile && model) {
        const { promptTokens } = caller;
        const expectedMs = expectFirstEventMs(profile, model, promptTokens, inFlight + 1);
        const gapMs = expectGapMs(profile, model, inFlight + 1);
        const gapFactor = (route.targetEventGapMs ?? Infinity) / gapMs;
        speeds.recordHeadroom(group, Math.min(route.targetMs / expectedMs, gapFactor));
        const ignoresFirstEvent = isQueued || isResumed;
        stream = { profile, model, promptTokens, inFlight, ignoresFirstEvent };
      }
      return new AttemptTiming({
        clock,
        stream,
        targetMs: route.targetMs,
        report: (kind, ratio, since, known) => {
          if (kind === 'plainAnswer') speeds.recordHeadroom(group, 1 / ratio);
          observe(attempt, group, slots, kind, ratio, since, Math.max(known, inFlight + 1));
        },
      });
    },
    describe: ({ server }, service) => {
      if (speeds.isEmpty) return {};
      const speed = speeds.speedOf(server.id, clock.now());
      const slots = service.engine?.slots ?? server.slots;
      const usable = speeds.usableSlots(server.id, slots);
      return { ...(usable < slots && { slots: usable }), ...(speed && { speed }) };
    },
    adopt: (sources) => {
      const { servers } = board.fleet.read();
      for (const { source, reports } of sources) {
        const known = reports.filter(({ server }) => servers.has(server));
        speeds.adopt(source, known, clock.now());
      }
    },
    report: () => speeds.report(clock.now()),
    recordTick: (lateMs, dueAt) => {
      const now = clock.now();
      tickDueAt = dueAt;
      lateTicks.record(lateMs, now);
      if (now - refreshedAt >= REFRESH_INTERVAL_MS) refresh(now);
    },
    onNews: (listener) => {
      newsListeners.push(listener);
    },
  };
}

function groupKey(service: string, model: string | undefined): string {
  return `${service} ${model ?? ''}`;
}

/** The targets of each service and model. */
function listGroups({ servers }: ServingFleet): ReadonlyMap<string, readonly string[]> {
  const grouped = groupBy(servers.values(), ({ service, engine, leaving }) => {
    if (leaving) return undefined;
    if (engine === undefined) return groupKey(service, undefined);
    const { membership, model } = engine;
    const isHead = membership?.rank === 0 && membership.state === 'open';
    return isHead && model !== undefined ? groupKey(service, model) : undefined;
  });
  return new Map([...grouped].map(([key, targets]) => [key, targets.map(({ id }) => id)]));
}
