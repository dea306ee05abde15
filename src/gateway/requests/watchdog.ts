/**
 * Shared timer that checks all attempts for stalls and all requests for timeouts.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { inputFirst } from '../../core/pending-input/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { BackendTracker } from './backend-tracker.js';
import { Lateness } from './lateness.js';
import { ProcessorTime } from './processor-time.js';

/** An attempt whose progress is checked. */
export interface WatchedAttempt {
  server: string;
  sentAt: Milliseconds;
  /** When data of this attempt last arrived, or when it was sent. */
  lastProgressAt: Milliseconds;
  /** Without progress of any attempt at the backend server for this long, the server is stalled. */
  serverStallMs: Milliseconds;
  /** Without progress of this attempt alone for this long, its response counts as lost. */
  attemptStallMs: Milliseconds;
  /** Another gateway relays it. */
  isRelayed: boolean;
  /** Reading is paused by backpressure from the caller, so a stall can't be detected. */
  paused: boolean;
  /** It is a retry that may still be on its way to the server. */
  isUnsettledRetry: boolean;
  /** Called when data that the server sent after this attempt shows that it has arrived. */
  onReached(): void;
  /** `server`: no attempt at the server progresses; `response`: only this response is stalled. */
  onStall(kind: 'server' | 'response'): void;
}

/** A request with timeouts to check. */
export interface WatchedRequest {
  onTick(now: Milliseconds): void;
  /** The grace period of a shutdown is over: the request must end now. */
  onShutdownDeadline(): void;
}

/** Checks attempts and requests in flight. */
export interface Watchdog extends GatewayPart {
  attempts: Set<WatchedAttempt>;
  requests: Set<WatchedRequest>;
  /** Called on each tick, after all requests were checked. */
  onTick(listener: () => void): void;
  /** Called at the start of each tick with its lateness, and when the next one is due. */
  onTimer(listener: (lateMs: Milliseconds, dueAt: Milliseconds) => void): void;
  /** Called after the process was paused, as by a suspended machine. */
  onPause(listener: () => void): void;
  /** How late the process was at worst within the last second. */
  latenessMs(): Milliseconds;
}

/** Interval with requests in flight; well below the shortest stall limit. */
const TICK_MS: Milliseconds = 50;
/** Interval without requests in flight; longer, to wake the process less often. */
const IDLE_TICK_MS: Milliseconds = 100;
/**
 * A tick this late means that the process was paused. Data of the backend servers may be waiting in
 * the sockets, so stalls are measured from the end of the pause.
 */
const PROCESS_PAUSE_MS: Milliseconds = 120;
const MS_PER_SECOND = 1_000;
/** Data that arrives sooner after an attempt was sent may have left the server before. */
const ROUND_TRIP_MS: Milliseconds = 20;

export function createWatchdog(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  backends: BackendTracker,
): Watchdog {
  const attempts = new Set<WatchedAttempt>();
  const requests = new Set<WatchedRequest>();
  const pauseListeners: (() => void)[] = [];
  const tickListeners: (() => void)[] = [];
  const timerListeners: ((lateMs: Milliseconds, dueAt: Milliseconds) => void)[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let isChecking = false;
  let dueAt = clock.now();
  let resumedAt = Number.NEGATIVE_INFINITY;
  const lateness = new Lateness();
  const processorTime = new ProcessorTime();

  const schedule = (): void => {
    const isIdle = requests.size === 0 && attempts.size === 0;
    const afterMs = isIdle ? IDLE_TICK_MS : TICK_MS;
    dueAt = clock.now() + afterMs;
    timer = setTimeout(tick, afterMs);
  };
  const tick = (): void => {
    const now = clock.now();
    const lateMs = now - dueAt;
    schedule();
    lateness.record(lateMs, now);
    metrics.lateness.set(lateness.worst(now, now) / MS_PER_SECOND);
    for (const listener of timerListeners) listener(lateMs, dueAt);
    if (lateMs > PROCESS_PAUSE_MS) {
      resumedAt = now;
      const ownMs = Math.round(processorTime.usedMs());
      logger.log('gatewayPaused', { lateMs: Math.round(lateMs), ownMs });
      for (const listener of pauseListeners) listener();
    }
    processorTime.refresh(now);
    if (isChecking) return;
    isChecking = true;
    const checks = checkAll();
    inputFirst.add(() => {
      proceed(checks);
    });
  };
  /** Checks may send requests again, before each of which callers may have left. */
  const proceed = (checks: Iterator<void>): void => {
    isChecking = false;
    while (!isStopped && checks.next().done !== true) {
      if (!inputFirst.isSliceOver) continue;
      isChecking = true;
      inputFirst.add(() => {
        proceed(checks);
      });
      return;
    }
  };
  function* checkAll(): Generator<void> {
    for (const attempt of [...attempts]) if (attempts.has(attempt)) yield* checkAttempt(attempt);
    for (const request of [...requests]) {
      if (requests.has(request)) request.onTick(clock.now());
      yield;
    }
    for (const listener of tickListeners) listener();
  }
  const hasReached = ({ server, sentAt }: WatchedAttempt): boolean =>
    backends.lastContactAt(server) - sentAt > ROUND_TRIP_MS;
  function* checkAttempt(attempt: WatchedAttempt): Generator<void> {
    const now = clock.now();
    if (attempt.isUnsettledRetry && hasReached(attempt)) attempt.onReached();
    if (attempt.paused || !attempts.has(attempt)) return;
    const attemptSilenceMs = now - Math.max(attempt.lastProgressAt, resumedAt);
    const isPrevious = backends.isPreviousProcess(attempt.server, attempt.sentAt);
    const serverSilenceMs = Math.min(
      attemptSilenceMs,
      now - backends.lastProgressAt(attempt.server),
    );
    if (serverSilenceMs > attempt.serverStallMs) {
      const evidence = `no data received for ${Math.round(serverSilenceMs)} ms`;
      // A previous process never responds again; its successor with the same id is not to blame.
      if (!isPrevious)
        backends.suspect(attempt.server, evidence, attempt.isRelayed ? 'relayed' : 'silent');
      for (const other of [...attempts]) {
        const isSameServer = other.server === attempt.server;
        const isSameProcess =
          isSameServer && backends.isPreviousProcess(other.server, other.sentAt) === isPrevious;
        if (!isSameProcess || other.paused || !attempts.has(other)) continue;
        other.onStall('server');
        yield;
      }
    } else if (attemptSilenceMs > attempt.attemptStallMs) {
      attempt.onStall('response');
      yield;
    }
  }
  return {
    attempts,
    requests,
    onTick: (listener) => {
      tickListeners.push(listener);
    },
    onTimer: (listener) => {
      timerListeners.push(listener);
    },
    onPause: (listener) => {
      pauseListeners.push(listener);
    },
    latenessMs: () => lateness.worst(clock.now(), dueAt),
    start: schedule,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
