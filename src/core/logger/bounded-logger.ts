/**
 * Logging to standard output that stays within a budget and never waits for a reader.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger as createWinston, format, transports } from 'winston';
import type { Clock, Milliseconds } from '../clock/index.js';
import { LOG_EVENTS, type LogEvent, type LogEventName } from './events.js';
import type { Logger } from './logger.js';

interface BoundedLoggerOptions {
  /** Names the process in every line. */
  source: string;
  level: LogEvent['level'];
  clock: Clock;
  /** Called with the number of lines that were left out. */
  onSuppressed: (lines: number) => void;
}

/** A logger whose last lines can be waited for. */
export interface BoundedLogger extends Logger {
  /** Tells what was left out, and resolves when all lines are with the reader, or after `ms`. */
  flush(ms: Milliseconds): Promise<void>;
}

/** Lines a second of one kind of event: twice what the planned rate of requests writes of each. */
const LINES_PER_SECOND = 60;
/**
 * Lines a second of an event that tells of something gone wrong, or how a request ended: a gateway
 * takes several times its planned rate while others of its failure domain stop.
 */
const KEPT_LINES_PER_SECOND = 200;
/** Bytes that may wait for a reader; beyond it lines are left out until it reads on. */
const MOST_WAITING_BYTES = 262_144;
const SECOND_MS: Milliseconds = 1_000;
/** Between two looks at whether the reader has all lines. */
const FLUSH_POLL_MS: Milliseconds = 5;

interface EventCount {
  lines: number;
  suppressed: number;
}

/**
 * A logger of JSON lines on standard output.
 *
 * Guards against logs that cost requests: a burst of failures would fill the reader's pipe and the
 * process would stand still in its writes. What is left out is counted, and the count is written.
 */
export function createBoundedLogger(options: BoundedLoggerOptions): BoundedLogger {
  const { source, level, clock, onSuppressed } = options;
  const winston = createWinston({
    level,
    format: format.json(),
    // winston declares its transports as classes and builds them from a factory's type.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new transports.Stream({ stream: process.stdout })],
  });
  const counts = new Map<LogEventName, EventCount>();
  let windowStart = clock.now();

  const write = (name: LogEventName, values: object): void => {
    const event: LogEvent = LOG_EVENTS[name];
    const at = Math.round(clock.now());
    winston.log({
      level: event.level,
      at,
      event: event.number,
      name,
      source,
      message: event.message,
      ...values,
    });
  };
  const startWindow = (now: Milliseconds): void => {
    windowStart = now;
    for (const [name, { suppressed }] of counts) {
      if (suppressed === 0) continue;
      onSuppressed(suppressed);
      write('linesSuppressed', { of: name, lines: suppressed });
    }
    counts.clear();
  };
  return {
    flush: async (ms) => {
      const endAt = clock.now() + ms;
      startWindow(clock.now());
      while (process.stdout.writableLength > 0 && clock.now() < endAt) await sleep(FLUSH_POLL_MS);
    },
    log: (name, values = {}) => {
      const now = clock.now();
      if (now - windowStart >= SECOND_MS) startWindow(now);
      const count = counts.get(name) ?? { lines: 0, suppressed: 0 };
      counts.set(name, count);
      const { level: eventLevel, isEnd } = LOG_EVENTS[name] as LogEvent;
      const isKept = eventLevel === 'warn' || eventLevel === 'error' || isEnd === true;
      const most = isKept ? KEPT_LINES_PER_SECOND : LINES_PER_SECOND;
      if (count.lines >= most || process.stdout.writableLength > MOST_WAITING_BYTES) {
        count.suppressed += 1;
        return;
      }
      count.lines += 1;
      write(name, values);
    },
  };
}
