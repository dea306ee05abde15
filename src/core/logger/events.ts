/**
 * The catalogue of log events. Numbers are never reused; docs/log-events.md lists them all.
 *
 * Blocks: 1000 the entry itself, 1100 configuration, 1200 membership, 1300 replicas, 1400 health,
 * 1500 requests, 1600 calls that may run only once, 1700 platform, 1800 operators, 1900 stand-ins.
 */

/** What is known of one kind of event. `message` tells an operator what happened. */
export interface LogEvent {
  number: number;
  level: 'error' | 'warn' | 'info' | 'debug';
  message: string;
}

export const LOG_EVENTS = {
  entryStarted: { number: 1000, level: 'info', message: 'The entry listens for callers.' },
  entryStopping: {
    number: 1001,
    level: 'info',
    message: 'The entry stops and finishes what is in flight.',
  },
  entryStopped: { number: 1002, level: 'info', message: 'The entry has stopped.' },
  unexpectedError: {
    number: 1003,
    level: 'error',
    message: 'An error that no code expected was caught; please report it.',
  },
} as const satisfies Record<string, LogEvent>;

/** The name of an event of the catalogue. */
export type LogEventName = keyof typeof LOG_EVENTS;
