/**
 * Reading the lines that gateways log.
 */
import * as z from 'zod';
import { LOG_EVENTS, type LogEventName } from '../../core/logger/index.js';

const isEventName = (name: string): name is LogEventName => name in LOG_EVENTS;

const lineSchema = z.looseObject({
  /** Milliseconds of the clock of `source`; clocks of two processes can't be compared. */
  at: z.number(),
  name: z.string().refine(isEventName),
  source: z.string(),
});

/** One line of a log, with the values of its event. */
export type LoggedLine = z.infer<typeof lineSchema>;

/** The lines of `text` that are log lines; all others are left out. */
export function parseLines(text: string): LoggedLine[] {
  return text.split('\n').flatMap((line) => {
    if (!line.startsWith('{')) return [];
    try {
      const parsed = lineSchema.safeParse(JSON.parse(line));
      return parsed.success ? [parsed.data] : [];
    } catch {
      // A line that was cut when its process died is no line.
      return [];
    }
  });
}

/** A value of a line as text; empty when it has none. */
export function textOf(line: LoggedLine | undefined, key: string): string {
  const value = line?.[key];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}
