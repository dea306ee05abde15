/**
 * The lines of requests that wait for a target with room, one for each model of a service.
 */
import {
  FirstEventTimes,
  listHopeless,
  orderLine,
  type LinePace,
  type WaitingRequest,
} from '../../controllers/waiting/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { AdmittedRequest } from './types.js';

/** A request in a line, as the line sees it. */
export interface InLine extends WaitingRequest {
  /** Sends it if a target has room; false when none has. */
  trySend(): boolean;
  /** Ends it: it won't be served in time to be worth anything. */
  refuse(): void;
}

/** The request path's lines. */
export interface WaitingLines {
  join(request: AdmittedRequest, how: Pick<InLine, 'trySend' | 'refuse'>): InLine;
  leave(request: AdmittedRequest, waiting: InLine): void;
  /** A sending to a target, whether it waited or not. */
  recordSent(request: AdmittedRequest): void;
  /** Whether somebody waits before one that comes now. */
  hasLine(request: AdmittedRequest): boolean;
  /** A target may have room: those whose turn it is are sent soon. */
  serveSoon(): void;
  /** Sends all whose turn it is, and refuses those that wait in vain. */
  serve(): void;
  recordFirstEvent(request: AdmittedRequest, tookMs: Milliseconds): void;
  /** What first events take now from the sending on. */
  usualFirstMs(request: AdmittedRequest): Milliseconds;
}

/**
 * Callers of streams leave after this long without an event, at the earliest: the platform's contract
 * with them, two seconds or a multiple of the route's aims, whichever is longer.
 */
const PATIENCE_MS: Milliseconds = 2_000;

interface Line {
  waiting: Set<InLine>;
  pace: LinePace;
}

export function createWaitingLines(clock: Clock): WaitingLines {
  const lines = new Map<string, Line>();
  const firstEvents = new FirstEventTimes();
  let isDue = false;

  const lineOf = (request: AdmittedRequest): Line => {
    const key = keyOf(request);
    const known = lines.get(key);
    if (known) return known;
    const created: Line = { waiting: new Set(), pace: { since: 0, sent: 0 } };
    lines.set(key, created);
    return created;
  };
  const serveLine = ({ waiting, pace }: Line): void => {
    const now = clock.now();
    for (const next of orderLine(waiting, now)) {
      if (!next.trySend()) break;
    }
    for (const hopeless of listHopeless(orderLine(waiting, now), now, pace)) hopeless.refuse();
  };
  const serve = (): void => {
    for (const line of lines.values()) if (line.waiting.size > 0) serveLine(line);
  };
  return {
    join: (request, how) => {
      const now = clock.now();
      const line = lineOf(request);
      if (line.waiting.size === 0) line.pace = { since: now, sent: 0 };
      const { route, holder, arrivedAt } = request;
      const firstMs = firstEvents.expect(keyOf(request), route.targetMs);
      const waiting: InLine = {
        ...how,
        rank: holder?.priority ?? route.priority,
        since: arrivedAt,
        onTimeUntil: arrivedAt + route.targetMs - firstMs,
        worthUntil: Math.min(request.answerBy, arrivedAt + PATIENCE_MS) - firstMs,
      };
      line.waiting.add(waiting);
      return waiting;
    },
    leave: (request, waiting) => {
      lineOf(request).waiting.delete(waiting);
    },
    recordSent: (request) => {
      lineOf(request).pace.sent += 1;
    },
    hasLine: (request) => lineOf(request).waiting.size > 0,
    serveSoon: () => {
      if (isDue) return;
      isDue = true;
      setImmediate(() => {
        isDue = false;
        serve();
      });
    },
    serve,
    usualFirstMs: (request) => firstEvents.expect(keyOf(request), request.route.targetMs),
    recordFirstEvent: (request, tookMs) => {
      firstEvents.record(keyOf(request), tookMs);
    },
  };
}

function keyOf({ service, model }: AdmittedRequest): string {
  return `${service.name} ${model?.name ?? ''}`;
}
