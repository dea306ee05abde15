/**
 * Rate-limited, non-blocking logging to standard output.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger as createWinston, format, transports } from 'winston';
import type { Clock, Milliseconds } from '../clock/index.js';
import { LOG_EVENTS, type LogEvent, type LogEventName } from './events.js';
import type { Logger } from './logger.js';

interface BoundedLoggerOptions {
  /** Name of the process, included in every line. */
  source: string;
  level: LogEvent['level'];
  clock: Clock;
  /** Called with the number of suppressed lines. */
  onSuppressed: (lines: number) => void;
}

/** A logger that can be flushed before the process exits. */
export interface BoundedLogger extends Logger {
  /** Logs the suppressed counts, then resolves when all output has been written, or after `ms`. */
  flush(ms: Milliseconds): Promise<void>;
}

/** Maximum lines per second and event; twice the number at the planned request rate. */
const LINES_PER_SECOND = 60;
/**
 * Maximum lines per second and event for warnings, errors and request ends. Leaves room for the load
 * that a gateway takes over when others in its failure domain stop.
 */
const PRIORITY_LINES_PER_SECOND = 200;
/** Maximum bytes buffered for standard output; lines are suppressed while it is exceeded. */
const MAX_PENDING_BYTES = 262_144;
const WINDOW_MS: Milliseconds = 1_000;
/** Interval between checks for pending output during a flush. */
const FLUSH_POLL_MS: Milliseconds = 5;

interface LineCount {
  lines: number;
  suppressed: number;
}

/**
 * Creates a logger that writes JSON lines to standard output.
 *
 * Limits the output so that a burst of events cannot fill the pipe and block the process on writes.
 * The number of suppressed lines is logged for each event.
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
  const counts = new Map<LogEventName, LineCount>();
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
      const deadline = clock.now() + ms;
      startWindow(clock.now());
      while (process.stdout.writableLength > 0 && clock.now() < deadline)
        await sleep(FLUSH_POLL_MS);
    },
    log: (name, values = {}) => {
      const now = clock.now();
      if (now - windowStart >= WINDOW_MS) startWindow(now);
      const count = counts.get(name) ?? { lines: 0, suppressed: 0 };
      counts.set(name, count);
      const { level: eventLevel, isRequestEnd } = LOG_EVENTS[name] as LogEvent;
      const isPriority = eventLevel === 'warn' || eventLevel === 'error' || isRequestEnd === true;
      const maxLines = isPriority ? PRIORITY_LINES_PER_SECOND : LINES_PER_SECOND;
      if (count.lines >= maxLines || process.stdout.writableLength > MAX_PENDING_BYTES) {
        count.suppressed += 1;
        return;
      }
      count.lines += 1;
      write(name, values);
    },
  };
}
