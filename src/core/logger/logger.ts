/**
 * Structured logging of numbered events, one JSON line each.
 */
import { createLogger as createWinston, format, transports } from 'winston';
import { LOG_EVENTS, type LogEventName } from './events.js';

/** Additional fields of a log line. */
export type LogValues = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
  log(event: LogEventName, values?: LogValues): void;
}

/**
 * Creates a logger that writes to standard error. `source` names the process in every line.
 *
 * @example createLogger('entry-1', 'info').log('entryStarted', { address: '127.0.0.1:8080' });
 */
export function createLogger(source: string, level: 'error' | 'warn' | 'info' | 'debug'): Logger {
  const winston = createWinston({
    level,
    format: format.combine(format.timestamp(), format.json()),
    defaultMeta: { source },
    // winston declares its transports as classes and builds them from a factory's type.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
  return {
    log: (name, values = {}) => {
      const event = LOG_EVENTS[name];
      winston.log({
        ...values,
        level: event.level,
        message: event.message,
        event: event.number,
        name,
      });
    },
  };
}

/** A logger that discards all events. */
export const silentLogger: Logger = { log: () => undefined };
