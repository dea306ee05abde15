/**
 * The log of cache events as an engine publishes it: late, bounded, and with gaps.
 */
import type { CacheEvent } from '../../adapters/engines/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { CacheChange } from './prefix-cache.js';

const MAX_EVENTS = 1_024;

interface LoggedEvent {
  event: CacheEvent;
  visibleAt: Milliseconds;
}

/** What can be read of the log. */
export interface VisibleEvents {
  events: CacheEvent[];
  oldest: number;
}

/** The log of one engine. */
export interface CacheEventLog {
  record(changes: readonly CacheChange[], now: Milliseconds): void;
  /** Events after `since` that can be seen by now. */
  read(since: number, now: Milliseconds): VisibleEvents;
  /** The last sequence number that can be seen by now. */
  lastSequence(now: Milliseconds): number;
}

/** `loss` is the fraction of events that get a sequence number and are never seen. */
export function createCacheEventLog(
  lagMs: Milliseconds,
  loss: number,
  random: Random,
): CacheEventLog {
  const logged: LoggedEvent[] = [];
  let sequence = 0;
  const visible = (now: Milliseconds): LoggedEvent[] =>
    logged.filter((entry) => entry.visibleAt <= now);

  return {
    record: (changes, now) => {
      for (const change of changes) {
        sequence += 1;
        if (random.fraction() < loss) continue;
        logged.push({ event: { ...change, sequence }, visibleAt: now + lagMs });
      }
      if (logged.length > MAX_EVENTS) logged.splice(0, logged.length - MAX_EVENTS);
    },
    read: (since, now) => ({
      events: visible(now)
        .map((entry) => entry.event)
        .filter((event) => event.sequence > since),
      oldest: logged[0]?.event.sequence ?? sequence,
    }),
    lastSequence: (now) => visible(now).at(-1)?.event.sequence ?? 0,
  };
}
